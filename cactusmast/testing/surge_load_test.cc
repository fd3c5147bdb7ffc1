// A surge of a low-priority route of long tasks, above the capacity of the
// backend servers.

#include <doctest/doctest.h>

#include "cactusmast/testing/sized_load.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

constexpr size_t kEntries = 8;
constexpr size_t kServers = 51;
constexpr double kSpeeds[] = { 0.6, 1.0, 1.6 };
constexpr uint32_t kGuaranteedPercent = 10;
constexpr duration kSurgeTime = seconds(5);
// Until demand is known as a mean over about a second.
constexpr duration kWarmUp = seconds(3);
constexpr double kSurgeFactor = 2.5;
// With the surge, 1.25 times the capacity. Long tasks are 31% of the work
// without it.
constexpr double kLoad = 0.853;
// Work of a job in seconds, and tasks that fit in a backend server.
constexpr double kLongWorkS = 3.6;
constexpr double kMiddleWorkS = 0.4;
constexpr double kTasksPerServer = 10;

load_result
PlaySurge(bool aShares, uint32_t aSeed)
{
  overload_settings settings;
  settings.mRouteShares = aShares;
  settings.mGuaranteedPercent = aShares ? kGuaranteedPercent : 0;
  sized_world world(kEntries, kServers, aSeed, {}, 1, settings);
  for (size_t i = 0; i < kServers; i++) {
    world.Server(i).mSpeed = kSpeeds[i % std::size(kSpeeds)];
  }
  load_plan plan;
  plan.mLoad = kLoad;
  plan.mSpan = kWarmUp + kSurgeTime + seconds(1);
  // Declared run times are exact: errors in them make urgent jobs late even
  // without the surge.
  plan.mDeclaredSigma = 0;
  plan.mSurge = load_surge{
    load_kind::Long, kSurgeFactor, kWarmUp, kSurgeTime, std::nullopt
  };
  load_result result = PlayLoad(&world, plan, aSeed);
  CHECK(world.Violations().empty());
  return result;
}

} // namespace

TEST_CASE("a surge of a long route leaves an urgent one in time")
{
  // Guards against a route that takes the capacity of more urgent routes, and
  // against limits that leave capacity unused.
  for (uint32_t seed : { 1u, 2u, 3u }) {
    load_result with = PlaySurge(true, seed);
    load_result without = PlaySurge(false, seed);
    const load_counts& urgent = with.mByKind[load_kind::Urgent];
    CHECK(urgent.mInTime * 100 >= urgent.mJobs * 95);
    const load_counts& surging = with.mByKind[load_kind::Long];
    double guaranteedS = kGuaranteedPercent / 100.0 * kServers *
                         kTasksPerServer *
                         double((kWarmUp + kSurgeTime).count()) / 1e6;
    CHECK(double(surging.mInTime) * kLongWorkS >= guaranteedS);
    const load_counts& middle = with.mByKind[load_kind::Middle];
    CHECK(double(middle.mInTime) * kMiddleWorkS >= guaranteedS);
    MESSAGE("seed ",
            seed,
            ": urgent in time ",
            urgent.mInTime,
            " of ",
            urgent.mJobs,
            ", long ",
            surging.mInTime,
            " of ",
            surging.mJobs,
            "; work in time ",
            with.mInTimeWorkS,
            " s, without limits ",
            without.mInTimeWorkS,
            " s");
    CHECK(with.mInTimeWorkS >= 0.97 * without.mInTimeWorkS);
    CHECK(double(with.mInTime) >= 0.97 * double(without.mInTime));
  }
}

} // namespace cactusmast::testing
