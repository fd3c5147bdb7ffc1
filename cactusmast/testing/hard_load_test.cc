// Surges and waves of load on a service with several routes, and failures of
// entries meanwhile.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "cactusmast/testing/sized_load.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

overload_settings
AllParts()
{
  overload_settings settings;
  settings.mRouteShares = true;
  settings.mGuaranteedPercent = 10;
  settings.mLateDeferral = true;
  return settings;
}

using fault = std::function<void(sized_world*)>;

constexpr size_t kEntries = 5;
constexpr size_t kServers = 20;
// Gets the surge in the tests of one entry. It is not the one with more callers
// than the others.
constexpr size_t kSurgeEntry = 2;

// Four times the jobs of the kind for 3 s, which exceeds the capacity.
load_plan
SurgeOf(load_kind aKind)
{
  load_plan plan;
  plan.mLoad = 0.8;
  plan.mSpan = seconds(5);
  plan.mDeclaredSigma = 0.4;
  plan.mSurge = load_surge{ aKind, 4, seconds(1), seconds(3), {} };
  return plan;
}

load_plan
Wave()
{
  load_plan plan;
  plan.mLoad = 0.85;
  plan.mSpan = seconds(8);
  plan.mDeclaredSigma = 0.4;
  plan.mSwing = 0.55;
  plan.mPeriod = seconds(4);
  return plan;
}

void
Add(const load_counts& aMore, load_counts* aSum)
{
  aSum->mJobs += aMore.mJobs;
  aSum->mInTime += aMore.mInTime;
  aSum->mLate += aMore.mLate;
  aSum->mRefused += aMore.mRefused;
}

// The sums of two worlds.
struct outcome
{
  load_counts mAll;
  counts_by_kind mByKind;
  counts_by_kind mOtherEntries; // all but kSurgeEntry

  size_t UrgentInTime() const { return mByKind.at(load_kind::Urgent).mInTime; }
};

outcome
Play(const load_plan& aPlan,
     const overload_settings& aSettings,
     const fault& aFault = {})
{
  outcome sums;
  for (uint32_t seed : { 1u, 2u }) {
    CAPTURE(seed);
    sized_world world(kEntries, kServers, seed, {}, 1, aSettings);
    if (aFault) {
      aFault(&world);
    }
    load_result result = PlayLoad(&world, aPlan, seed);
    CHECK(world.Violations().empty());
    Add(result, &sums.mAll);
    for (const auto& [kind, counts] : result.mByKind) {
      Add(counts, &sums.mByKind[kind]);
    }
    for (size_t i = 0; i < kEntries; i++) {
      if (i != kSurgeEntry) {
        for (const auto& [kind, counts] : result.mByEntry[i]) {
          Add(counts, &sums.mOtherEntries[kind]);
        }
      }
    }
  }
  for (const auto& [kind, counts] : sums.mByKind) {
    MESSAGE("kind ",
            int(kind),
            ": ",
            counts.mInTime,
            " in time, ",
            counts.mLate,
            " late, ",
            counts.mRefused,
            " refused of ",
            counts.mJobs);
  }
  return sums;
}

// Of the jobs, as their callers see it: a late answer is worth a fifth of one
// in time.
double
Value(const load_counts& aCounts)
{
  return double(aCounts.mInTime) + double(aCounts.mLate) / 5;
}

// Demand on the urgent route at other entries than aEntry, as known there.
double
UrgentAtOthers(sized_world* aWorld, size_t aEntry)
{
  return aWorld->Coordinator(aEntry)
    .Demand()
    .Others("urgent", aWorld->Now())
    .mOfferedMillis;
}

// Whether the entry limits any route.
bool
IsLimited(sized_world* aWorld, size_t aEntry)
{
  const auto& shares = aWorld->Coordinator(aEntry).Shares();
  return std::any_of(shares.begin(), shares.end(), [](const auto& aShare) {
    return aShare.second.mLimit.IsLimited();
  });
}

double
UrgentAt(sized_world* aWorld, size_t aEntry)
{
  const demand_by_route& own = aWorld->Coordinator(aEntry).Demand().Own();
  auto found = own.find("urgent");
  return found == own.end() ? 0 : found->second.mOfferedMillis;
}

} // namespace

TEST_CASE("entries learn each other's demand by route, except over a cut link")
{
  // Guards against shares computed from demand that is stale or of another
  // route.
  sized_world world(3, 4, 1, {}, 1, AllParts());
  world.SetRoutes({ { "urgent", 0 }, { "middle", 1 } });
  world.CutEntries(2, 0, seconds(8));
  for (int i = 0; i < 40; i++) {
    world.At(milliseconds(25 * i),
             [&world] { world.Submit(0, 2, 100, 1500, 0, 1); });
  }
  world.Run(seconds(1));
  double own = world.Coordinator(0).Demand().Own().at("middle").mOfferedMillis;
  auto seenBy = [&world](size_t aEntry, const std::string& aRoute) {
    return world.Coordinator(aEntry)
      .Demand()
      .Others(aRoute, world.Now())
      .mOfferedMillis;
  };
  CHECK(seenBy(1, "middle") == doctest::Approx(own).epsilon(0.01));
  CHECK(seenBy(1, "urgent") == 0);
  CHECK(seenBy(2, "middle") == 0);
  CHECK(world.Violations().empty());
}

TEST_CASE("in a surge of the urgent route it keeps its jobs in time, and the "
          "long route its guarantee")
{
  // Guards against limits on the route of the first priority, and against a
  // route that is starved by it.
  outcome without = Play(SurgeOf(load_kind::Urgent), {});
  outcome with = Play(SurgeOf(load_kind::Urgent), AllParts());
  CHECK(with.UrgentInTime() >= without.UrgentInTime());
  // Long jobs are 0.31 of the work at 0.8 of the capacity; a tenth of it is
  // guaranteed.
  const load_counts& longJobs = with.mByKind[load_kind::Long];
  CHECK(double(longJobs.mInTime + longJobs.mLate) >=
        0.1 / (0.31 * 0.8) * double(longJobs.mJobs));
}

TEST_CASE("a surge of the middle route at one entry costs the urgent route no "
          "job in time at the others")
{
  // Guards against limits that an entry applies only to what its own callers
  // have increased.
  load_plan plan = SurgeOf(load_kind::Middle);
  plan.mSurge->mEntry = kSurgeEntry;
  outcome without = Play(plan, {});
  outcome with = Play(plan, AllParts());
  CHECK(with.mOtherEntries[load_kind::Urgent].mInTime >=
        without.mOtherEntries[load_kind::Urgent].mInTime);
  CHECK(with.UrgentInTime() >= without.UrgentInTime());
}

TEST_CASE("in waves of all routes shares cost no value")
{
  // Guards against limits that lag behind the wave and refuse jobs while
  // capacity is free.
  outcome without = Play(Wave(), {});
  outcome with = Play(Wave(), AllParts());
  MESSAGE("all: ", Value(without.mAll), " ", Value(with.mAll));
  CHECK(Value(with.mAll) >= Value(without.mAll));
  CHECK(with.UrgentInTime() >= without.UrgentInTime());
}

TEST_CASE("an entry cut off from the others in a surge limits only by what it "
          "sees")
{
  // Guards against limits that are kept, or follow old values, after the cut.
  load_plan plan = SurgeOf(load_kind::Urgent);
  plan.mSpan = seconds(8);
  plan.mSurge->mFrom = {};
  plan.mSurge->mFor = plan.mSpan;
  plan.mSurge->mFactor = 6; // long jobs do not fit beside the urgent ones
  fault cut = [](sized_world* aWorld) {
    aWorld->At(seconds(2), [aWorld] {
      CHECK(UrgentAtOthers(aWorld, kSurgeEntry) > 0);
      CHECK(IsLimited(aWorld, kSurgeEntry));
      for (size_t i = 0; i < kEntries; i++) {
        aWorld->CutEntries(kSurgeEntry, i, seconds(10));
      }
    });
    // Limits are lifted in steps once the values have expired.
    aWorld->At(seconds(2) + kDemandExpired + milliseconds(500), [aWorld] {
      CHECK(UrgentAtOthers(aWorld, kSurgeEntry) == 0);
      CHECK(UrgentAtOthers(aWorld, 0) > 0);
      CHECK_FALSE(IsLimited(aWorld, kSurgeEntry));
    });
  };
  Play(plan, AllParts(), cut);
}

TEST_CASE("an entry that restarts in a surge is counted once by the others")
{
  // Guards against shares by a total in which a restarted entry counts twice,
  // or not at all.
  fault restart = [](sized_world* aWorld) {
    aWorld->At(milliseconds(1500),
               [aWorld] { aWorld->KillEntry(kSurgeEntry, milliseconds(300)); });
    // The restarted entry has known its own demand for longer than its mean.
    aWorld->At(milliseconds(3500), [aWorld] {
      double sum = 0;
      for (size_t i = 1; i < kEntries; i++) {
        sum += UrgentAt(aWorld, i);
      }
      double known = UrgentAtOthers(aWorld, 0);
      CHECK(known == doctest::Approx(sum).epsilon(0.2));
    });
  };
  load_plan plan = SurgeOf(load_kind::Urgent);
  plan.mSurge->mEntry = kSurgeEntry;
  Play(plan, AllParts(), restart);
}

TEST_CASE("a job with a false declared run time limits no other route")
{
  // Guards against a caller whose one wrong number starves other routes for
  // seconds: a job uses nothing after its caller has stopped waiting.
  sized_world world(2, 4, 1, {}, 1, AllParts());
  world.SetRoutes({ { "urgent", 0 }, { "middle", 1 } });
  constexpr uint32_t kDayMs = 86400000;
  world.Submit(0, 4, 60, 1500, kDayMs, 0);
  // Half of the capacity.
  for (int i = 0; i < 300; i++) {
    world.At(milliseconds(10 * i),
             [&world, i] { world.Submit(size_t(i) % 2, 2, 100, 1500, 0, 1); });
  }
  world.Run(seconds(2));
  CHECK_FALSE(IsLimited(&world, 0));
  CHECK_FALSE(IsLimited(&world, 1));
  world.Run(seconds(2));
  // The job itself may end in any way.
  CHECK(world.CountEnding(job_ending::Completed) >= 300);
  CHECK(world.Violations().empty());
}

TEST_CASE("shares between 40 entries and 160 backend servers take no more than "
          "a tenth more messages")
{
  // Guards against held tasks that are dispatched or subscribed for again and
  // again.
  load_plan plan = SurgeOf(load_kind::Long); // few jobs for its work
  plan.mLoad = 0.5;
  plan.mSpan = milliseconds(1500);
  plan.mSurge->mFactor = 10;
  plan.mSurge->mFrom = {};
  plan.mSurge->mFor = plan.mSpan;
  plan.mCompletionTime = milliseconds(500);
  size_t messages[2] = {};
  for (size_t shares : { 0, 1 }) {
    sized_world world(
      40, 160, 1, {}, 3, shares == 1 ? AllParts() : overload_settings{});
    size_t before = world.MessagesOut();
    world.At(plan.mSpan, [&world, shares] {
      CHECK(IsLimited(&world, 0) == (shares == 1));
    });
    PlayLoad(&world, plan, 1);
    messages[shares] = world.MessagesOut() - before;
    CHECK(world.Violations().empty());
  }
  MESSAGE(messages[0],
          " messages to executors without shares, ",
          messages[1],
          " with");
  CHECK(double(messages[1]) <= 1.1 * double(messages[0]));
}

} // namespace cactusmast::testing
