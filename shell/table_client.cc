#include "shell/table_client.h"

#include <nlohmann/json.hpp>

#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxConnections = 8;

} // namespace

table_client::table_client(std::string aUrl,
                           uint32_t aTimeoutMs,
                           callback aOnReply)
  : mUrl(std::move(aUrl))
  , mClient(kMaxConnections, aTimeoutMs)
  , mOnReply(std::move(aOnReply))
{
}

uint64_t
table_client::Read(const std::string& aPrefix,
                   uint32_t aLimit,
                   bool aNewestFirst)
{
  mCounters.mReads++;
  json body = { { "prefix", aPrefix },
                { "limit", aLimit },
                { "newest_first", aNewestFirst } };
  uint64_t request = mNextRequest++;
  Send(request, "/v1/read", body.dump());
  return request;
}

uint64_t
table_client::Commit(std::vector<table_write> aWrites)
{
  mCounters.mWrites++;
  json writes = json::array();
  for (const table_write& write : aWrites) {
    json row = { { "key", write.mKey }, { "value", write.mValue } };
    if (write.mExpected.has_value()) {
      row["expected"] = *write.mExpected;
    }
    if (write.mErase) {
      row["erase"] = true;
    }
    writes.push_back(std::move(row));
  }
  uint64_t request = mNextRequest++;
  Send(request, "/v1/commit", json({ { "writes", writes } }).dump());
  return request;
}

void
table_client::Send(uint64_t aRequest,
                   const std::string& aPath,
                   std::string aBody)
{
  http_request request;
  request.mUrl = mUrl + aPath;
  request.mBody = std::move(aBody);
  mClient.Send(request, [this, aRequest](const http_response& aResponse) {
    table_reply reply = Decode(aRequest, aResponse);
    mCounters.mUnavailable += reply.mStatus == table_status::Unavailable;
    mOnReply(reply);
  });
}

table_reply
table_client::Decode(uint64_t aRequest, const http_response& aResponse) const
{
  table_reply reply;
  reply.mRequest = aRequest;
  constexpr int kConflict = 409;
  constexpr int kOk = 200;
  if (aResponse.mFault == http_fault::None && aResponse.mStatus == kConflict) {
    reply.mStatus = table_status::Conflict;
    return reply;
  }
  if (aResponse.mFault != http_fault::None || aResponse.mStatus != kOk) {
    return reply; // Unavailable: a write may or may not have taken effect
  }
  json body = ParseBoundedJson(aResponse.mBody);
  auto rows = body.find("rows");
  if (!body.is_object() || (rows != body.end() && !rows->is_array())) {
    return reply;
  }
  reply.mStatus = table_status::Ok;
  if (rows == body.end()) {
    return reply;
  }
  for (const json& row : *rows) {
    std::optional<std::string> key = TextField(row, "key");
    std::optional<std::string> value = TextField(row, "value");
    std::optional<int64_t> version = WholeField(row, "version");
    if (key && value && version) {
      reply.mRows.push_back({ *key, *value, uint64_t(*version) });
    }
  }
  return reply;
}

} // namespace cactusmast
