#include "cactusmast/settings.h"

#include "cactusmast/instance_settings.h"
#include "cactusmast/settings_reader.h"

namespace cactusmast {

using detail::CatchErrors;
using detail::Load;
using detail::ReadSettingsFile;
using detail::settings_reader;

namespace {

void
ReadProcess(settings_reader& aReader, process_settings* aOut)
{
  constexpr uint32_t kMinFrame = 1u << 20;
  constexpr uint32_t kMaxBytes = 1u << 30;
  std::string role;
  aReader.Text("role", true, &role);
  aReader.Text("name", true, &aOut->mName);
  aReader.Address("listen", true, &aOut->mListen);
  aReader.Address("http", true, &aOut->mHttp);
  aReader.Text("data_center", true, &aOut->mDataCenter);
  aReader.Text("region", false, &aOut->mRegion);
  aReader.Text("table_url", true, &aOut->mTableUrl);
  aReader.Text("shared_key", true, &aOut->mSharedKey);
  aReader.Addresses("seed_entries", &aOut->mSeedEntries);
  aReader.Number("drain_timeout_ms", 100, 3600000, &aOut->mDrainTimeoutMs);
  aReader.Number("table_timeout_ms", 50, 60000, &aOut->mTableTimeoutMs);
  aReader.Number(
    "max_frame_bytes", kMinFrame, kMaxBytes, &aOut->mMaxFrameBytes);
  aReader.Number("max_send_bytes", kMinFrame, kMaxBytes, &aOut->mMaxSendBytes);
}

} // namespace

result<entry_settings>
ReadEntrySettings(const std::string& aText, const std::string& aFile)
{
  return ReadSettingsFile<entry_settings>(
    aText, aFile, [](settings_reader& aReader, entry_settings* aOut) {
      ReadProcess(aReader, &aOut->mProcess);
      aReader.Number("initial_shards", 1, 1024, &aOut->mInitialShards);
      aReader.Number("retention_ms", 1000, 86400000, &aOut->mRetentionMs);
      aReader.Number(
        "max_answer_bytes", 1u << 16, 1u << 30, &aOut->mMaxAnswerBytes);
      aReader.Number("max_open_requests", 1, 1000000, &aOut->mMaxOpenRequests);
      aReader.Number("max_job_tasks", 1, 100000, &aOut->mApi.mMaxTasks);
      aReader.Tokens("operator_tokens", &aOut->mOperatorTokens);
      aReader.Tokens("team_tokens", &aOut->mTeamTokens);
    });
}

result<guard_settings>
ReadGuardSettings(const std::string& aText, const std::string& aFile)
{
  return ReadSettingsFile<guard_settings>(
    aText, aFile, [](settings_reader& aReader, guard_settings* aOut) {
      ReadProcess(aReader, &aOut->mProcess);
      aReader.Number("shard", 0, 1023, &aOut->mShard);
      aReader.Number("retention_ms", 1000, 86400000, &aOut->mRetentionMs);
      aReader.Number("max_records", 1000, 10000000, &aOut->mMaxRecords);
      aReader.Number(
        "max_result_bytes", 1u << 16, 1u << 30, &aOut->mMaxResultBytes);
    });
}

result<std::string>
CheckSettings(const std::string& aText, const std::string& aFile)
{
  return CatchErrors<std::string>(aFile, [&]() -> std::string {
    YAML::Node node = Load(aText, aFile);
    std::string role =
      node.IsMap() && node["role"] ? node["role"].as<std::string>() : "";
    if (role == "entry") {
      ReadEntrySettings(aText, aFile).Value();
    } else if (role == "guard") {
      ReadGuardSettings(aText, aFile).Value();
    } else if (role == "coordinator") {
      ReadCoordinatorSettings(aText, aFile).Value();
    } else if (role == "executor") {
      ReadExecutorSettings(aText, aFile).Value();
    } else {
      throw failure(
        error_code::BadRequest,
        "read settings",
        aFile,
        aFile + ":1: role must be one of entry, guard, coordinator, executor");
    }
    return role;
  });
}

} // namespace cactusmast
