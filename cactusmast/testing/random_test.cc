// Random schedules of faults in a simulated world, with all promises checked
// over the history of each run. For a failing seed, the test prints its shrunk
// schedule. With CACTUSMAST_SOAK=N it runs N seeds, the first of which is
// CACTUSMAST_SEED.

#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>

#include "cactusmast/testing/scenario.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class fault_kind : uint8_t
{
  KillEntry,
  KillGuard,
  LoseGuard,
  KillBackend,
  PauseEntry,
  PauseGuard,
  DrainEntry,
  DrainGuard,
  Withdraw,
  SilenceLink,
  BlockLink,
  BlockBothWays,
  DelayLink,
  TableDown,
  TableLosesReplies,
  Change,
  OldConfig,
  SlowBackend,
  Cancel,
  Count
};

const char* const kFaultNames[] = {
  "kill entry",     "kill guard",  "lose guard",
  "kill backend",   "pause entry", "pause guard",
  "drain entry",    "drain guard", "withdraw",
  "silence link",   "block link",  "block both ways",
  "delay link",     "table down",  "table loses replies",
  "change profile", "old config",  "slow backend",
  "cancel"
};

struct planned_fault
{
  fault_kind mKind;
  milliseconds mAt; // since the start of the run
  milliseconds mDuration;
  // Selects the entry, guard or job, modulo their number.
  uint32_t mFirstIndex;
  // Selects the entry that is the other end of a connection or that handles a
  // cancellation or a change, modulo their number.
  uint32_t mSecondIndex;
};

struct schedule
{
  uint64_t mSeed = 0;
  uint32_t mEntries = 2;
  uint32_t mGuards = 3;
  uint32_t mShards = 1;
  std::vector<planned_fault> mFaults;
};

schedule
MakeSchedule(uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  schedule result;
  result.mSeed = aSeed;
  result.mEntries = 2 + random() % 2;
  result.mGuards = 2 + random() % 3;
  result.mShards = random() % 4 == 0 ? 2 : 1;
  size_t count = 1 + random() % 5;
  for (size_t i = 0; i < count; i++) {
    planned_fault fault;
    fault.mKind = fault_kind(random() % uint64_t(fault_kind::Count));
    fault.mAt = milliseconds(random() % 6000);
    fault.mDuration = milliseconds(100 + random() % 9000);
    fault.mFirstIndex = uint32_t(random() % 12);
    fault.mSecondIndex = uint32_t(random() % 12);
    result.mFaults.push_back(fault);
  }
  return result;
}

std::string
Pick(const char* aKind, uint32_t aNumber, uint32_t aCount)
{
  return std::string(aKind) + "-" + std::to_string(aNumber % aCount + 1);
}

class schedule_run
{
public:
  explicit schedule_run(const schedule& aSchedule,
                        const scenario_safeguards& aSafeguards = {})
    : mSchedule(aSchedule)
  {
    world_options options;
    options.mSeed = aSchedule.mSeed;
    options.mEntries = aSchedule.mEntries;
    options.mGuards = aSchedule.mGuards;
    options.mShards = aSchedule.mShards;
    options.mEntrySafeguards = aSafeguards.mEntry;
    options.mGuardSafeguards = aSafeguards.mGuard;
    // 80 s into the run: the world's clock starts at 1000 s.
    constexpr seconds kResubmitUntil{ 1080 };
    options.mResubmitUntil = kResubmitUntil;
    mWorld = PrepareWorld(options);
  }

  std::vector<violation> Run()
  {
    instant start = mWorld->Now();
    ScheduleLoad(start);
    for (const planned_fault& fault : mSchedule.mFaults) {
      mWorld->At(start + fault.mAt, [this, fault] { BeginFault(fault); });
      mWorld->At(start + fault.mAt + fault.mDuration,
                 [this, fault] { EndFault(fault); });
    }
    // All faults have ended after 16 s. 120 s leave time for all jobs to end
    // by their deadlines and for resubmissions, which stop at kResubmitUntil
    // so that none comes later than the retention of finished jobs.
    mWorld->RunUntil(start + seconds(120));
    check_options options;
    // Faults may cut processes off from new configurations.
    options.mConfigDeadline = false;
    return Check(mWorld->History(), options);
  }

private:
  void ScheduleLoad(instant aStart)
  {
    for (uint32_t i = 0; i < 12; i++) {
      caller_request request;
      request.mKey = "job-" + std::to_string(i);
      request.mTasks = 1 + i * 2;
      request.mRunTime = milliseconds(50 + 60 * i);
      request.mEntry = 1 + i % mSchedule.mEntries;
      request.mProfile = i % 3 == 0 ? "confirm-cut" : "quote";
      mWorld->At(aStart + milliseconds(500 * i),
                 [this, request] { mWorld->Submit(request); });
      if (i % 4 == 0) {
        // A caller that believes its request lost submits the job again
        // through another entry.
        caller_request duplicate = request;
        duplicate.mEntry++;
        duplicate.mResubmit = false;
        mWorld->At(aStart + milliseconds(500 * i + 900),
                   [this, duplicate] { mWorld->Submit(duplicate); });
      }
    }
  }

  std::string EntryName(const planned_fault& aFault) const
  {
    return Pick("entry", aFault.mFirstIndex, mSchedule.mEntries);
  }

  std::string GuardName(const planned_fault& aFault) const
  {
    return Pick("guard", aFault.mFirstIndex, mSchedule.mGuards);
  }

  uint32_t GuardNumber(const planned_fault& aFault) const
  {
    return aFault.mFirstIndex % mSchedule.mGuards + 1;
  }

  std::string OtherEnd(const planned_fault& aFault) const
  {
    return Pick("entry", aFault.mSecondIndex, mSchedule.mEntries);
  }

  std::string LinkEnd(const planned_fault& aFault) const
  {
    bool entry = aFault.mSecondIndex % 3 == 0;
    return entry ? EntryName(aFault) : GuardName(aFault);
  }

  void BeginFault(const planned_fault& aFault)
  {
    switch (aFault.mKind) {
      case fault_kind::KillEntry:
        mWorld->Kill(EntryName(aFault));
        break;
      case fault_kind::KillGuard:
        mWorld->Kill(GuardName(aFault));
        break;
      case fault_kind::LoseGuard:
        mWorld->FailMachine(GuardName(aFault));
        break;
      case fault_kind::KillBackend:
        mWorld->KillBackend(GuardNumber(aFault));
        break;
      case fault_kind::PauseEntry:
        mWorld->Pause(EntryName(aFault));
        break;
      case fault_kind::PauseGuard:
        mWorld->Pause(GuardName(aFault));
        break;
      case fault_kind::DrainEntry:
        mWorld->Drain(EntryName(aFault));
        break;
      case fault_kind::DrainGuard:
        mWorld->Drain(GuardName(aFault));
        break;
      case fault_kind::Withdraw:
        mWorld->WithdrawBackend(GuardNumber(aFault));
        break;
      case fault_kind::SilenceLink:
        mWorld->LoseMessages(LinkEnd(aFault), OtherEnd(aFault));
        break;
      case fault_kind::BlockLink:
        mWorld->Block(LinkEnd(aFault), OtherEnd(aFault));
        break;
      case fault_kind::BlockBothWays:
        mWorld->Block(LinkEnd(aFault), OtherEnd(aFault));
        mWorld->Block(OtherEnd(aFault), LinkEnd(aFault));
        break;
      case fault_kind::DelayLink:
        mWorld->Delay(OtherEnd(aFault), LinkEnd(aFault), aFault.mDuration / 4);
        break;
      case fault_kind::TableDown:
        mWorld->RecordFault();
        mWorld->SetTableFaults({ true, duration(0), 0 });
        break;
      case fault_kind::TableLosesReplies:
        mWorld->RecordFault();
        mWorld->SetTableFaults({ false, duration(0), 0.5 });
        break;
      case fault_kind::Change:
        ChangeProfile(aFault);
        break;
      case fault_kind::OldConfig:
        mWorld->PushOldConfig(2);
        break;
      case fault_kind::SlowBackend:
        mWorld->RecordFault();
        mWorld->SetBackendBehaviour(GuardNumber(aFault), 0.05, 0.3);
        break;
      case fault_kind::Cancel:
        mWorld->RecordFault();
        CancelJob(aFault);
        break;
      case fault_kind::Count:
        break;
    }
  }

  void CancelJob(const planned_fault& aFault)
  {
    mWorld->Cancel("job-" + std::to_string(aFault.mFirstIndex),
                   aFault.mSecondIndex % mSchedule.mEntries + 1);
  }

  void ChangeProfile(const planned_fault& aFault)
  {
    profile changed = ScenarioProfiles()[0];
    changed.mDeadlineMs = 20000 + aFault.mFirstIndex;
    mWorld->PutProfile(
      aFault.mSecondIndex % mSchedule.mEntries + 1, changed, 1);
  }

  void EndFault(const planned_fault& aFault)
  {
    switch (aFault.mKind) {
      case fault_kind::KillEntry:
      case fault_kind::DrainEntry:
        mWorld->Restart(EntryName(aFault));
        break;
      case fault_kind::KillGuard:
      case fault_kind::LoseGuard:
      case fault_kind::DrainGuard:
        mWorld->Restart(GuardName(aFault));
        break;
      case fault_kind::PauseEntry:
        mWorld->Resume(EntryName(aFault));
        break;
      case fault_kind::PauseGuard:
        mWorld->Resume(GuardName(aFault));
        break;
      case fault_kind::KillBackend:
      case fault_kind::Withdraw:
        mWorld->AnnounceBackend(GuardNumber(aFault));
        break;
      case fault_kind::BlockLink:
        mWorld->Unblock(LinkEnd(aFault), OtherEnd(aFault));
        break;
      case fault_kind::BlockBothWays:
        mWorld->Unblock(LinkEnd(aFault), OtherEnd(aFault));
        mWorld->Unblock(OtherEnd(aFault), LinkEnd(aFault));
        break;
      case fault_kind::DelayLink:
        mWorld->Delay(
          OtherEnd(aFault), LinkEnd(aFault), std::chrono::microseconds(1));
        break;
      case fault_kind::TableDown:
      case fault_kind::TableLosesReplies:
        mWorld->SetTableFaults({});
        break;
      case fault_kind::SlowBackend:
        mWorld->SetBackendBehaviour(GuardNumber(aFault), 1, 0);
        break;
      default:
        break;
    }
  }

  const schedule& mSchedule;
  std::unique_ptr<world> mWorld;
};

// Removes each fault without which some promise is still broken.
schedule
ShrinkSchedule(schedule aSchedule)
{
  for (size_t i = 0; i < aSchedule.mFaults.size();) {
    schedule candidate = aSchedule;
    candidate.mFaults.erase(candidate.mFaults.begin() + long(i));
    if (schedule_run(candidate).Run().empty()) {
      i++;
    } else {
      aSchedule = candidate;
    }
  }
  return aSchedule;
}

std::string
Describe(const schedule& aSchedule)
{
  std::string text = "seed " + std::to_string(aSchedule.mSeed) + ", " +
                     std::to_string(aSchedule.mEntries) + " entries, " +
                     std::to_string(aSchedule.mGuards) + " guards, " +
                     std::to_string(aSchedule.mShards) + " shards";
  for (const planned_fault& fault : aSchedule.mFaults) {
    text += "\n  at " + std::to_string(fault.mAt.count()) + " ms for " +
            std::to_string(fault.mDuration.count()) +
            " ms: " + kFaultNames[size_t(fault.mKind)] + " " +
            std::to_string(fault.mFirstIndex) + " " +
            std::to_string(fault.mSecondIndex);
  }
  return text;
}

uint64_t
ReadEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("random schedules of faults break no promise")
{
  uint64_t first = ReadEnvironment("CACTUSMAST_SEED", 1);
  uint64_t count = ReadEnvironment("CACTUSMAST_SOAK", 2000);
  for (uint64_t seed = first; seed < first + count; seed++) {
    schedule planned = MakeSchedule(seed);
    std::vector<violation> violations = schedule_run(planned).Run();
    if (violations.empty()) {
      continue;
    }
    schedule shrunk = ShrinkSchedule(planned);
    std::vector<violation> remaining = schedule_run(shrunk).Run();
    std::string text = Describe(shrunk);
    for (size_t i = 0; i < remaining.size() && i < 5; i++) {
      text += "\n  " + Name(remaining[i].mPromise) + ": " + remaining[i].mText;
    }
    FAIL_CHECK(text);
  }
}

TEST_CASE("random schedules break a promise when a safeguard is switched off")
{
  // Guards against schedules or checks too weak to show the faults that these
  // safeguards prevent.
  using s = scenario_safeguards;
  const std::function<void(s&)> kMutants[] = {
    [](s& aSet) { aSet.mEntry.mShardOwner.mUseRecords = false; },
    [](s& aSet) { aSet.mEntry.mShardOwner.mWaitForRecords = false; },
    [](s& aSet) { aSet.mEntry.mShardOwner.mDeduplicateJobs = false; },
    [](s& aSet) { aSet.mEntry.mConfig.mMonotonicConfig = false; },
    [](s& aSet) { aSet.mGuard.mMonotonicConfig = false; },
  };
  int mutant = 0;
  for (const auto& switchOffSafeguard : kMutants) {
    scenario_safeguards safeguards;
    switchOffSafeguard(safeguards);
    constexpr uint64_t kSeeds = 400;
    bool found = false;
    for (uint64_t seed = 1; seed <= kSeeds && !found; seed++) {
      schedule planned = MakeSchedule(seed);
      found = !schedule_run(planned, safeguards).Run().empty();
    }
    CHECK_MESSAGE(found, "mutant ", mutant);
    mutant++;
  }
}

} // namespace cactusmast::testing
