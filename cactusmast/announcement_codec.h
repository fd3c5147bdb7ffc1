// Decodes the announcements of backend servers; an adapter implements it for
// its platform.

#ifndef CACTUSMAST_ANNOUNCEMENT_CODEC_H_
#define CACTUSMAST_ANNOUNCEMENT_CODEC_H_

#include <string>

#include "cactusmast/backend_runner.h"
#include "util/result.h"

namespace cactusmast {

enum class announcement_kind : uint8_t
{
  Present,
  Withdrawn, // it deregisters because it is about to exit
  Count
};

struct decoded_announcement
{
  announcement_kind mKind = announcement_kind::Present;
  server_announcement mServer; // if Withdrawn, only mId is set
};

class announcement_codec
{
public:
  virtual ~announcement_codec() = default;
  // Errors: NotFound for any other path, BadRequest for a body that cannot be
  // parsed or that names an unknown state.
  virtual result<decoded_announcement> Decode(
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody) const = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_ANNOUNCEMENT_CODEC_H_
