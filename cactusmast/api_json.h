// Parses the JSON requests of callers and operators, and renders the replies.
// It performs no I/O, so that it can be tested and fuzzed without a server.
// docs/API.md describes the API.

#ifndef CACTUSMAST_API_JSON_H_
#define CACTUSMAST_API_JSON_H_

#include <string>
#include <string_view>

#include "cactusmast/entry_node.h"

namespace cactusmast {

// Limits of a caller's request.
struct api_limits
{
  size_t mMaxBodyBytes = 8u << 20;
  uint32_t mMaxTasks = 1000;
  size_t mMaxPayloadBytes = 256u << 10; // of one task
  size_t mMaxKey = 200;                 // characters
  // Maximum time for which a request waits for its job's answer.
  uint32_t mMaxWaitMs = 120000;
};

// Parses the body of a job submission. The calling code sets mTeam, mKey and
// mId, which are not in the body. Returns BadRequest or TooLarge on error.
result<submission>
ParseSubmission(std::string_view aBody, const api_limits& aLimits);

// Validates an idempotency key or a team name from a request; returns it, or
// BadRequest.
result<std::string>
ParseKey(std::string_view aKey, const api_limits& aLimits);

// Renders the answer of a job, the state of a running one, or an error.
std::string
RenderJobReply(const job_id& aId, const wire::job_reply_msg& aReply);

std::string
RenderError(const failure& aError);

// The HTTP status of a reply: 200 if the job has ended, 202 if it runs, else
// that of the error.
int
HttpStatusOf(const wire::job_reply_msg& aReply);

std::string
RenderStatus(const entry_node& aNode, instant aNow);

std::string
RenderWorkers(const entry_node& aNode, instant aNow);

std::string
RenderProfiles(const deployment_config& aConfig);

std::string
RenderTeams(const deployment_config& aConfig);

std::string
RenderChange(const change_outcome& aOutcome);

// Renders rows of the audit trail as one array, newest first. Only changes of
// the profile or team aName are included; an empty aName includes all.
std::string
RenderAudit(const std::vector<table_row>& aRows, const std::string& aName);

} // namespace cactusmast

#endif // CACTUSMAST_API_JSON_H_
