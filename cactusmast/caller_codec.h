// Decodes callers' requests and encodes their answers. Each platform adapter
// implements it.

#ifndef CACTUSMAST_CALLER_CODEC_H_
#define CACTUSMAST_CALLER_CODEC_H_

#include <cstdint>
#include <string>

#include "cactusmast/job_coordinator.h"
#include "cactusmast/sized_task.h"
#include "util/result.h"

namespace cactusmast {

class caller_codec
{
public:
  virtual ~caller_codec() = default;

  // Errors: BadRequest for a body that can never be accepted, Unavailable for
  // kinds of jobs that are not served.
  virtual result<job_submission> DecodeJob(const std::string& aBody) const = 0;
  virtual std::string EncodeEnding(job_ending aEnding) const = 0;
  virtual std::string EncodeQueueLength(uint32_t aJobs) const = 0;
  // The name of the request header that holds the caller timeout in ms.
  virtual const char* CallerTimeoutHeader() const = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_CALLER_CODEC_H_
