// Callers' and operators' JSON: requests in, replies out. Pure text, so that
// it can be tested and fuzzed without a server; docs/API.md describes it.

#ifndef CACTUSMAST_API_JSON_H_
#define CACTUSMAST_API_JSON_H_

#include <string>
#include <string_view>

#include "cactusmast/entry_node.h"

namespace cactusmast {

struct api_limits
{
  size_t mMaxBody = 8u << 20;
  uint32_t mMaxTasks = 1000;
  size_t mMaxPayload = 256u << 10;
  size_t mMaxKey = 200;
  uint32_t mMaxWaitMs = 120000;
};

// The body of a job submission. mTeam, mKey and mId are left to the caller.
result<submission>
ParseSubmission(std::string_view aBody, const api_limits& aLimits);

// Checks an idempotency key or a team name that came from outside.
result<std::string>
CheckKey(std::string_view aKey, const api_limits& aLimits);

// A whole answer, an interim state or an error, as one typed shape each.
std::string
RenderJobReply(const job_id& aId, const wire::job_reply_msg& aReply);

std::string
RenderError(const failure& aError);

// The HTTP status of a reply: 200 decided, 202 running, or the error's.
int
StatusOf(const wire::job_reply_msg& aReply);

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

// Rows of the audit trail as one array, newest first.
std::string
RenderAudit(const std::vector<table_row>& aRows, const std::string& aName);

} // namespace cactusmast

#endif // CACTUSMAST_API_JSON_H_
