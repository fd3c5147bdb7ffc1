#include "cactusmast/api_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;

failure
SubmissionError(const std::string& aText)
{
  return failure(error_code::BadRequest, "read submission", "caller", aText);
}

// Serializes aObject. Invalid UTF-8 is replaced, because otherwise the output
// of one task could make the whole answer unreadable.
std::string
Dump(const json& aObject)
{
  return aObject.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
ErrorObject(error_code aCode,
            const std::string& aText,
            const std::string& aStep,
            const std::string& aPeer,
            run_state aRun,
            int64_t aRetryAfterMs)
{
  json error = { { "code", Name(aCode) },
                 { "text", aText },
                 { "step", aStep },
                 { "peer", aPeer },
                 { "run", Name(aRun) } };
  if (aRetryAfterMs > 0) {
    error["retry_after_ms"] = aRetryAfterMs;
  }
  return { { "error", error } };
}

json
TaskObject(const wire::task_result_msg& aTask)
{
  json task = { { "index", aTask.ref.index() },
                { "outcome", Name(task_outcome(aTask.outcome)) },
                { "run", Name(run_state(aTask.run)) },
                { "run_us", aTask.run_us } };
  if (aTask.outcome == uint8_t(task_outcome::Succeeded)) {
    task["output"] = aTask.output;
    task["run"] = Name(run_state::Run);
  } else {
    task["reason"] = Name(task_reason(aTask.reason));
    if (!aTask.output.empty()) {
      task["output"] = aTask.output;
    }
  }
  return task;
}

void
RefuseUnknownKeys(const json& aObject)
{
  for (const auto& [key, value] : aObject.items()) {
    if (key != "profile" && key != "deadline_ms" && key != "tasks") {
      throw SubmissionError("unknown key " + key);
    }
  }
}

// Parser callback that refuses what the JSON parser would silently accept:
// excessive nesting, and duplicate keys of the outermost object.
class strict_filter
{
public:
  bool operator()(int aDepth, json::parse_event_t aEvent, json& aParsed)
  {
    constexpr int kMaxDepth = 32;
    if (aDepth > kMaxDepth) {
      throw SubmissionError("nested too deeply");
    }
    if (aEvent == json::parse_event_t::key && aDepth == 1) {
      auto key = aParsed.get<std::string>();
      if (std::find(mSeenKeys.begin(), mSeenKeys.end(), key) !=
          mSeenKeys.end()) {
        throw SubmissionError("key " + key + " is duplicated");
      }
      mSeenKeys.push_back(key);
    }
    return true;
  }

private:
  std::vector<std::string> mSeenKeys;
};

submission
ReadSubmission(const json& aObject, const api_limits& aLimits)
{
  if (!aObject.is_object()) {
    throw SubmissionError("the body must be an object");
  }
  RefuseUnknownKeys(aObject);
  submission parsed;
  if (!aObject.contains("profile") || !aObject["profile"].is_string()) {
    throw SubmissionError("profile must be text");
  }
  parsed.mProfile = aObject["profile"].get<std::string>();
  if (aObject.contains("deadline_ms")) {
    const json& deadline = aObject["deadline_ms"];
    constexpr uint64_t kMaxDeadlineMs = 3600000;
    if (!deadline.is_number_unsigned() || deadline.get<uint64_t>() == 0 ||
        deadline.get<uint64_t>() > kMaxDeadlineMs) {
      throw SubmissionError(
        "deadline_ms must be a whole number from 1 to 3600000");
    }
    parsed.mDeadline = std::chrono::milliseconds(deadline.get<uint64_t>());
  }
  if (!aObject.contains("tasks") || !aObject["tasks"].is_array() ||
      aObject["tasks"].empty()) {
    throw SubmissionError("tasks must be an array with at least one task");
  }
  if (aObject["tasks"].size() > aLimits.mMaxTasks) {
    throw failure(error_code::TooLarge,
                  "read submission",
                  "caller",
                  "a job may have at most " +
                    std::to_string(aLimits.mMaxTasks) + " tasks");
  }
  for (const json& task : aObject["tasks"]) {
    std::string payload =
      task.is_string() ? task.get<std::string>() : Dump(task);
    if (payload.size() > aLimits.mMaxPayloadBytes) {
      throw failure(error_code::TooLarge,
                    "read submission",
                    "caller",
                    "a task may have at most " +
                      std::to_string(aLimits.mMaxPayloadBytes) + " bytes");
    }
    parsed.mPayloads.push_back(std::move(payload));
  }
  return parsed;
}

} // namespace

result<submission>
ParseSubmission(std::string_view aBody, const api_limits& aLimits)
{
  if (aBody.size() > aLimits.mMaxBodyBytes) {
    return failure(error_code::TooLarge,
                   "read submission",
                   "caller",
                   "a body may have at most " +
                     std::to_string(aLimits.mMaxBodyBytes) + " bytes");
  }
  try {
    return ReadSubmission(json::parse(aBody, strict_filter()), aLimits);
  } catch (const failure& error) {
    return error;
  } catch (const json::exception& error) {
    return SubmissionError(error.what());
  }
}

result<std::string>
ParseKey(std::string_view aKey, const api_limits& aLimits)
{
  bool printable = std::all_of(aKey.begin(), aKey.end(), [](char aChar) {
    return aChar > 32 && aChar < 127;
  });
  if (aKey.empty() || aKey.size() > aLimits.mMaxKey || !printable) {
    return failure(error_code::BadRequest,
                   "read key",
                   "caller",
                   "a key must have 1 to " + std::to_string(aLimits.mMaxKey) +
                     " printable characters without spaces");
  }
  return std::string(aKey);
}

std::string
RenderError(const failure& aError)
{
  return Dump(ErrorObject(aError.Code(),
                          aError.what(),
                          aError.Step(),
                          aError.Peer(),
                          aError.RunState(),
                          aError.RetryAfter().count()));
}

int
HttpStatusOf(const wire::job_reply_msg& aReply)
{
  if (aReply.error != 0) {
    return HttpStatus(error_code(aReply.error));
  }
  return aReply.state == uint8_t(job_state::Running) ? 202 : 200;
}

std::string
RenderJobReply(const job_id& aId, const wire::job_reply_msg& aReply)
{
  if (aReply.error != 0) {
    json error = ErrorObject(error_code(aReply.error),
                             aReply.text,
                             aReply.step,
                             aReply.peer,
                             run_state(aReply.run),
                             aReply.retry_after_ms);
    error["job"] = aId.Text();
    return Dump(error);
  }
  json answer = { { "job", aId.Text() },
                  { "state", Name(job_state(aReply.state)) } };
  if (aReply.state != uint8_t(job_state::Running)) {
    answer["tasks"] = json::array();
    for (const wire::task_result_msg& task : aReply.tasks) {
      answer["tasks"].push_back(TaskObject(task));
    }
  }
  return Dump(answer);
}

std::string
RenderStatus(const entry_node& aNode, instant aNow)
{
  uint64_t version = aNode.Config().Config().mVersion;
  json status = { { "config_version", version },
                  { "config_fresh", aNode.Config().IsFresh(aNow) },
                  { "draining", aNode.IsDraining() },
                  { "open_requests", aNode.OpenRequests() },
                  { "processes", json::array() },
                  { "shards", json::array() },
                  { "lagging", json::array() } };
  for (const process_status& process : aNode.Processes(aNow)) {
    json row = { { "role", Name(process.mRole) },
                 { "name", process.mName },
                 { "incarnation", process.mIncarnation },
                 { "data_center", process.mDataCenter },
                 { "config_version", process.mConfigVersion },
                 { "draining", process.mDraining } };
    if (process.mRole == process_role::Guard) {
      row["shard"] = process.mShard;
      row["slots"] = process.mSlots;
      row["running"] = process.mRunning;
      row["services"] = process.mServices;
    }
    if (process.mConfigVersion < version) {
      status["lagging"].push_back(process.mName);
    }
    status["processes"].push_back(std::move(row));
  }
  for (const entry_node::shard_status& shard : aNode.Shards(aNow)) {
    json row = { { "shard", shard.mShard },
                 { "owner", shard.mOwner },
                 { "epoch", shard.mEpoch },
                 { "local", shard.mLocal },
                 { "workers", shard.mWorkers } };
    if (shard.mLocal) {
      // Only the owner of the shard knows these values.
      row["complete"] = shard.mComplete;
      row["queued"] = shard.mQueued;
      row["undecided_jobs"] = shard.mUndecided;
    }
    status["shards"].push_back(std::move(row));
  }
  return Dump(status);
}

std::string
RenderWorkers(const entry_node& aNode, instant aNow)
{
  json workers = json::array();
  for (const shard_owner::worker_status& worker : aNode.Workers(aNow)) {
    workers.push_back({ { "name", worker.mName },
                        { "incarnation", worker.mIncarnation },
                        { "connected", worker.mConnected },
                        { "leased", worker.mLeased },
                        { "set_aside", worker.mQuarantined },
                        { "slots", worker.mSlots },
                        { "running", worker.mRunning },
                        { "slowness", worker.mSlowness } });
  }
  return Dump({ { "workers", workers } });
}

std::string
RenderProfiles(const deployment_config& aConfig)
{
  json profiles = json::array();
  for (const auto& [name, value] : aConfig.mProfiles) {
    profiles.push_back(json::parse(SerializeProfile(value)));
  }
  return Dump({ { "version", aConfig.mVersion }, { "profiles", profiles } });
}

std::string
RenderTeams(const deployment_config& aConfig)
{
  json teams = json::array();
  for (const auto& [name, value] : aConfig.mTeams) {
    teams.push_back(json::parse(SerializeTeam(value)));
  }
  return Dump({ { "version", aConfig.mVersion }, { "teams", teams } });
}

std::string
RenderChange(const change_outcome& aOutcome)
{
  if (!aOutcome.mAccepted) {
    return Dump(ErrorObject(aOutcome.mError,
                            aOutcome.mText,
                            "change configuration",
                            "table",
                            aOutcome.mRunState,
                            0));
  }
  return Dump({ { "accepted", true },
                { "version", aOutcome.mVersion },
                { "revision", aOutcome.mRevision } });
}

std::string
RenderAudit(const std::vector<table_row>& aRows, const std::string& aName)
{
  json rows = json::array();
  for (const table_row& row : aRows) {
    json change = ParseBoundedJson(row.mValue);
    bool included = change.is_object() &&
                    (aName.empty() || TextField(change, "name") == aName);
    if (included) {
      rows.push_back(std::move(change));
    }
  }
  std::stable_sort(
    rows.begin(), rows.end(), [](const json& aLeft, const json& aRight) {
      return WholeField(aLeft, "when") > WholeField(aRight, "when");
    });
  return Dump({ { "audit", rows } });
}

} // namespace cactusmast
