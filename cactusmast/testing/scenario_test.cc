// Runs every scenario file. Also shows that each safeguard is needed: if it is
// switched off, the scenario that is listed with it must fail.

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <functional>

#include "cactusmast/testing/scenario.h"

namespace cactusmast::testing {
namespace {

std::vector<std::string>
ScenarioFiles()
{
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator("scenarios")) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

struct mutant
{
  const char* mName;
  const char* mScenario;
  std::function<void(scenario_safeguards&)> mSwitchOff;
};

const std::vector<mutant>&
Mutants()
{
  using safeguards = scenario_safeguards;
  static const std::vector<mutant> kMutants = {
    { "guard closes links after a pause",
      "guard_paused_past_deadline",
      [](safeguards& aSet) { aSet.mGuard.mCloseLinksAfterPause = false; } },
    { "guard refuses older configurations",
      "old_configuration_returns",
      [](safeguards& aSet) { aSet.mGuard.mMonotonicConfig = false; } },
    { "owner waits for records",
      "owner_killed_guard_paused",
      [](safeguards& aSet) {
        aSet.mEntry.mShardOwner.mWaitForRecords = false;
      } },
    { "owner uses records",
      "owner_killed",
      [](safeguards& aSet) { aSet.mEntry.mShardOwner.mUseRecords = false; } },
    { "owner deduplicates jobs",
      "resubmitted",
      [](safeguards& aSet) {
        aSet.mEntry.mShardOwner.mDeduplicateJobs = false;
      } },
    { "owner resolves dispatches in doubt before a retry",
      "lost_dispatch",
      [](safeguards& aSet) {
        aSet.mEntry.mShardOwner.mResolveBeforeRetry = false;
      } },
    { "owner steps down when superseded",
      "owner_superseded_while_paused",
      [](safeguards& aSet) {
        aSet.mEntry.mShardOwner.mStepDownWhenSuperseded = false;
      } },
    { "owner records abandoned tasks at guards",
      "cancelled_then_owner_lost",
      [](safeguards& aSet) {
        aSet.mEntry.mShardOwner.mRecordAbandoned = false;
      } },
    { "changes based on an outdated revision are refused",
      "operators_race",
      [](safeguards& aSet) { aSet.mEntry.mConfig.mCompareRevision = false; } },
    { "changes are read back after a lost reply",
      "table_loses_replies",
      [](safeguards& aSet) { aSet.mEntry.mConfig.mReadBack = false; } },
    { "entries refuse older configurations",
      "old_configuration_returns",
      [](safeguards& aSet) { aSet.mEntry.mConfig.mMonotonicConfig = false; } },
    { "failing workers are quarantined",
      "failing_worker",
      [](safeguards& aSet) { aSet.mHealth.mEnabled = false; } },
  };
  return kMutants;
}

std::string
Join(const std::vector<std::string>& aLines)
{
  std::string joined;
  for (const std::string& line : aLines) {
    joined += "\n  " + line;
  }
  return joined;
}

} // namespace

TEST_CASE("every scenario passes")
{
  std::vector<std::string> files = ScenarioFiles();
  REQUIRE(files.size() >= 30);
  for (const std::string& file : files) {
    std::vector<std::string> failures = RunScenario(file);
    CHECK_MESSAGE(failures.empty(), file, Join(failures));
  }
}

TEST_CASE(
  "every safeguard listed here is needed: its scenario fails without it")
{
  for (const mutant& tested : Mutants()) {
    scenario_safeguards reduced;
    tested.mSwitchOff(reduced);
    std::string file = std::string("scenarios/") + tested.mScenario + ".yaml";
    CHECK_MESSAGE(!RunScenario(file, reduced).empty(),
                  file,
                  " passes without: ",
                  std::string(tested.mName));
  }
}

} // namespace cactusmast::testing
