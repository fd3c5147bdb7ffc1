// Random schedules of faults on the virtual clock, checked against all
// promises. A failing seed prints its shortest schedule. With
// CACTUSMAST_SOAK=N it runs N seeds from CACTUSMAST_SEED on.

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
  milliseconds mAt;
  milliseconds mLasts;
  uint32_t mFirst;  // which entry or guard
  uint32_t mSecond; // the other end of a link
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
  schedule made;
  made.mSeed = aSeed;
  made.mEntries = 2 + random() % 2;
  made.mGuards = 2 + random() % 3;
  made.mShards = random() % 4 == 0 ? 2 : 1;
  size_t count = 1 + random() % 5;
  for (size_t i = 0; i < count; i++) {
    planned_fault fault;
    fault.mKind = fault_kind(random() % uint64_t(fault_kind::Count));
    fault.mAt = milliseconds(random() % 6000);
    fault.mLasts = milliseconds(100 + random() % 9000);
    fault.mFirst = uint32_t(random() % 12);
    fault.mSecond = uint32_t(random() % 12);
    made.mFaults.push_back(fault);
  }
  return made;
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
    constexpr seconds kLastRetry{ 1080 };
    options.mRetryUntil = kLastRetry;
    mWorld = PrepareWorld(options);
  }

  std::vector<violation> Run()
  {
    instant zero = mWorld->Now();
    PlanLoad(zero);
    for (const planned_fault& fault : mSchedule.mFaults) {
      mWorld->At(zero + fault.mAt, [this, fault] { Begin(fault); });
      mWorld->At(zero + fault.mAt + fault.mLasts,
                 [this, fault] { End(fault); });
    }
    // All is whole again after 16 s; jobs end by their deadlines, and nobody
    // comes back later than the retention allows.
    mWorld->RunUntil(zero + seconds(120));
    check_options options;
    options.mConfigDeadline = false; // cut-off processes are excused here
    return Check(mWorld->History(), options);
  }

private:
  void PlanLoad(instant aZero)
  {
    for (uint32_t i = 0; i < 12; i++) {
      caller_request request;
      request.mKey = "job-" + std::to_string(i);
      request.mTasks = 1 + i * 2;
      request.mRun = milliseconds(50 + 60 * i);
      request.mEntry = 1 + i % mSchedule.mEntries;
      request.mProfile = i % 3 == 0 ? "confirm-cut" : "quote";
      mWorld->At(aZero + milliseconds(500 * i),
                 [this, request] { mWorld->Submit(request); });
      if (i % 4 == 0) {
        // Believed lost, and submitted again elsewhere.
        caller_request again = request;
        again.mEntry++;
        again.mPersistent = false;
        mWorld->At(aZero + milliseconds(500 * i + 900),
                   [this, again] { mWorld->Submit(again); });
      }
    }
  }

  std::string EntryName(const planned_fault& aFault) const
  {
    return Pick("entry", aFault.mFirst, mSchedule.mEntries);
  }

  std::string GuardName(const planned_fault& aFault) const
  {
    return Pick("guard", aFault.mFirst, mSchedule.mGuards);
  }

  uint32_t GuardNumber(const planned_fault& aFault) const
  {
    return aFault.mFirst % mSchedule.mGuards + 1;
  }

  std::string OtherEnd(const planned_fault& aFault) const
  {
    return Pick("entry", aFault.mSecond, mSchedule.mEntries);
  }

  std::string LinkEnd(const planned_fault& aFault) const
  {
    bool entry = aFault.mSecond % 3 == 0;
    return entry ? EntryName(aFault) : GuardName(aFault);
  }

  void Begin(const planned_fault& aFault)
  {
    switch (aFault.mKind) {
      case fault_kind::KillEntry:
        mWorld->Kill(EntryName(aFault));
        break;
      case fault_kind::KillGuard:
        mWorld->Kill(GuardName(aFault));
        break;
      case fault_kind::LoseGuard:
        mWorld->LoseMachine(GuardName(aFault));
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
        mWorld->Silence(LinkEnd(aFault), OtherEnd(aFault));
        break;
      case fault_kind::BlockLink:
        mWorld->Block(LinkEnd(aFault), OtherEnd(aFault));
        break;
      case fault_kind::BlockBothWays:
        mWorld->Block(LinkEnd(aFault), OtherEnd(aFault));
        mWorld->Block(OtherEnd(aFault), LinkEnd(aFault));
        break;
      case fault_kind::DelayLink:
        mWorld->Delay(OtherEnd(aFault), LinkEnd(aFault), aFault.mLasts / 4);
        break;
      case fault_kind::TableDown:
        mWorld->NoteFault();
        mWorld->SetTable({ true, duration(0), 0 });
        break;
      case fault_kind::TableLosesReplies:
        mWorld->NoteFault();
        mWorld->SetTable({ false, duration(0), 0.5 });
        break;
      case fault_kind::Change:
        Change(aFault);
        break;
      case fault_kind::OldConfig:
        mWorld->PushOldConfig(2);
        break;
      case fault_kind::SlowBackend:
        mWorld->NoteFault();
        mWorld->SetBackend(GuardNumber(aFault), 0.05, 0.3);
        break;
      case fault_kind::Cancel:
        mWorld->NoteFault();
        CancelAt(aFault);
        break;
      case fault_kind::Count:
        break;
    }
  }

  void CancelAt(const planned_fault& aFault)
  {
    mWorld->Cancel("job-" + std::to_string(aFault.mFirst),
                   aFault.mSecond % mSchedule.mEntries + 1);
  }

  void Change(const planned_fault& aFault)
  {
    profile changed = ScenarioProfiles()[0];
    changed.mDeadlineMs = 20000 + aFault.mFirst;
    mWorld->PutProfile(aFault.mSecond % mSchedule.mEntries + 1, changed, 1);
  }

  void End(const planned_fault& aFault)
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
        mWorld->SetTable({});
        break;
      case fault_kind::SlowBackend:
        mWorld->SetBackend(GuardNumber(aFault), 1, 0);
        break;
      default:
        break;
    }
  }

  const schedule& mSchedule;
  std::unique_ptr<world> mWorld;
};

// Drops faults one by one for as long as the promise stays broken.
schedule
Shorten(schedule aSchedule)
{
  for (size_t i = 0; i < aSchedule.mFaults.size();) {
    schedule fewer = aSchedule;
    fewer.mFaults.erase(fewer.mFaults.begin() + long(i));
    if (schedule_run(fewer).Run().empty()) {
      i++;
    } else {
      aSchedule = fewer;
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
            std::to_string(fault.mLasts.count()) +
            " ms: " + kFaultNames[size_t(fault.mKind)] + " " +
            std::to_string(fault.mFirst) + " " + std::to_string(fault.mSecond);
  }
  return text;
}

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("random schedules of faults break no promise")
{
  uint64_t first = FromEnvironment("CACTUSMAST_SEED", 1);
  uint64_t count = FromEnvironment("CACTUSMAST_SOAK", 2000);
  for (uint64_t seed = first; seed < first + count; seed++) {
    schedule planned = MakeSchedule(seed);
    std::vector<violation> broken = schedule_run(planned).Run();
    if (broken.empty()) {
      continue;
    }
    schedule shortest = Shorten(planned);
    std::vector<violation> left = schedule_run(shortest).Run();
    std::string text = Describe(shortest);
    for (size_t i = 0; i < left.size() && i < 5; i++) {
      text += "\n  " + Name(left[i].mPromise) + ": " + left[i].mText;
    }
    FAIL_CHECK(text);
  }
}

TEST_CASE("random schedules find a missing safeguard")
{
  // Without these the tester would prove nothing.
  using s = scenario_safeguards;
  const std::function<void(s&)> kMutants[] = {
    [](s& aSet) { aSet.mEntry.mOwner.mUseRecords = false; },
    [](s& aSet) { aSet.mEntry.mOwner.mWaitForRecords = false; },
    [](s& aSet) { aSet.mEntry.mOwner.mDeduplicateJobs = false; },
    [](s& aSet) { aSet.mEntry.mConfig.mMonotonicVersion = false; },
    [](s& aSet) { aSet.mGuard.mMonotonicConfig = false; },
  };
  int number = 0;
  for (const auto& switchOff : kMutants) {
    scenario_safeguards without;
    switchOff(without);
    constexpr uint64_t kSeeds = 400;
    bool found = false;
    for (uint64_t seed = 1; seed <= kSeeds && !found; seed++) {
      schedule planned = MakeSchedule(seed);
      found = !schedule_run(planned, without).Run().empty();
    }
    CHECK_MESSAGE(found, "mutant ", number);
    number++;
  }
}

} // namespace cactusmast::testing
