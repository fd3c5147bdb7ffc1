// Jobs that an entry refuses because its processor cannot keep up: a processor
// that serves requests in order, and callers that send more than it can do.

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

#include "cactusmast/admission_control.h"

namespace cactusmast {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What callers get, and how long their requests waited.
struct served_load
{
  uint32_t mOffered = 0;
  uint32_t mInTime = 0; // admitted, after a wait of at most kMaxWait
  uint32_t mRefused = 0;
  duration mLongestWait{};
};

// A wait that the objective of a short task allows.
constexpr duration kMaxWait = milliseconds(60);

// An entry whose processor takes mJobCost for a job and mRefusalCost for a
// refusal.
struct busy_entry
{
  explicit busy_entry(uint32_t aSeed)
    : mEngine(aSeed)
  {
  }

  // Callers send aPerSecond jobs a second, at random times, for aTime.
  served_load Serve(double aPerSecond, duration aTime)
  {
    served_load load;
    instant end = mArrival + aTime;
    std::exponential_distribution<double> gap(aPerSecond);
    while (mArrival < end) {
      mArrival += microseconds(int64_t(gap(mEngine) * 1e6));
      load.mOffered++;
      instant begin = std::max(mArrival, mFreeAt);
      duration waited = begin - mArrival;
      load.mLongestWait = std::max(load.mLongestWait, waited);
      bool admitted = mAdmission.Admits(waited, begin);
      mFreeAt = begin + (admitted ? mJobCost : mRefusalCost);
      load.mRefused += admitted ? 0 : 1;
      load.mInTime += admitted && waited <= kMaxWait ? 1 : 0;
    }
    return load;
  }

  duration mJobCost = microseconds(3300);
  duration mRefusalCost = microseconds(1300);
  std::mt19937 mEngine;
  admission_control mAdmission;
  instant mArrival = seconds(1);
  instant mFreeAt = seconds(1);
};

} // namespace

TEST_CASE("an entry that keeps up refuses nothing")
{
  // Guards against refusals of jobs that would have been served in time.
  for (uint32_t seed = 1; seed <= 20; seed++) {
    busy_entry entry(seed);
    served_load load = entry.Serve(180, seconds(30));
    CHECK(load.mRefused == 0);
  }
}

TEST_CASE("a short standstill causes no refusal")
{
  // Guards against refusals of what an entry has caught up with a moment later.
  admission_control admission;
  instant now = seconds(10);
  for (int i = 0; i < 50; i++) {
    CHECK(admission.Admits(milliseconds(60 - i), now += milliseconds(2)));
  }
}

TEST_CASE("an entry that is offered too much serves what it can in time")
{
  // Guards against the collapse in which an overloaded entry accepts everything
  // and answers nothing in time.
  for (uint32_t seed = 1; seed <= 20; seed++) {
    for (double offered : { 330.0, 400.0, 500.0, 600.0 }) {
      busy_entry entry(seed);
      entry.Serve(180, seconds(5));
      served_load load = entry.Serve(offered, seconds(10));
      // The processor does both the jobs and the refusals.
      double possible = (1e6 - offered * double(entry.mRefusalCost.count())) /
                        double((entry.mJobCost - entry.mRefusalCost).count()) *
                        10;
      INFO("seed " << seed << ", offered " << offered);
      CHECK(load.mInTime > 0.8 * std::min<double>(possible, load.mOffered));
      CHECK(load.mLongestWait <
            admission_control::kMeanTime + 2 * admission_control::kMaxWait);
    }
  }
}

TEST_CASE("an entry accepts everything again soon after a rush")
{
  // Guards against refusals that outlast the load that called for them.
  for (uint32_t seed = 1; seed <= 20; seed++) {
    busy_entry entry(seed);
    entry.Serve(600, seconds(8));
    entry.Serve(180, seconds(2));
    served_load load = entry.Serve(180, seconds(10));
    INFO("seed " << seed);
    CHECK(load.mRefused == 0);
    CHECK(load.mInTime > 0.99 * load.mOffered);
  }
}

TEST_CASE("an entry that can serve hardly anything still tries some jobs")
{
  // Guards against an entry that refuses everything for good.
  busy_entry entry(1);
  entry.mRefusalCost = milliseconds(3);
  served_load load = entry.Serve(600, seconds(10));
  CHECK(load.mOffered - load.mRefused > 100);
  entry.mRefusalCost = milliseconds(1);
  entry.Serve(180, seconds(30));
  CHECK(entry.Serve(180, seconds(5)).mRefused == 0);
}

} // namespace cactusmast
