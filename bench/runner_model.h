// Fake runners with speeds and slots on a virtual clock, a workload of
// parallel jobs, and the policies that are compared on them. Used by the
// benchmarks only; it knows nothing of processes or messages beyond their
// latency and their count.

#ifndef BENCH_RUNNER_MODEL_H_
#define BENCH_RUNNER_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cactusmast::bench {

// All times are in seconds.
struct model_options
{
  std::string mName;
  uint64_t mSeed = 1;
  uint32_t mRunners = 10;
  uint32_t mSlots = 8;
  uint32_t mEntries = 3;
  double mMinSpeed = 1;
  double mMaxSpeed = 6;
  double mClientLatency = 0.003; // one way
  double mLatency = 0.0005;      // one way, between processes
  double mLoad = 0.7;            // share of the capacity
  double mDuration = 120;        // of arrivals
  double mWarmUp = 20;           // left out of the figures
  uint32_t mTeams = 8;
  bool mTeamsEqual = true;
  // Overload: arrivals times mBurstFactor between the two.
  double mBurstFrom = 0;
  double mBurstUntil = 0;
  double mBurstFactor = 1;
  // One runner that fails everything at once from this time on; < 0: none.
  double mFailFrom = -1;
  // The same runner is taken out at this time instead; < 0: never.
  double mLeaveFrom = -1;
  // Refuse as the library does; without, everything is queued.
  bool mAdmission = false;
  double mDeadline = 30;
  double mMaxWait = 0.25;
  bool mSingleTasks = false;
};

struct model_task
{
  double mArrival = 0;
  uint32_t mJob = 0;
  uint32_t mProfile = 0;
  uint32_t mTeam = 0;
  double mWork = 0; // run time on a runner of speed 1
};

struct workload
{
  std::vector<double> mSpeeds; // by runner
  std::vector<model_task> mTasks;
  uint32_t mJobs = 0;
  double mCapacity = 0; // work a second
};

workload
MakeWorkload(const model_options& aOptions);

enum class policy : uint8_t
{
  FifoBound,     // clairvoyant, in the order of arrival
  ShortestBound, // clairvoyant, the shortest task first
  Library,       // cactusmast's dispatcher
  NoHold,        // the same, but never waiting for a faster slot
  Random,        // push to any runner
  RoundRobin,
  TwoChoices,    // push to the shorter of two probed queues
  StaleShortest, // push to the shortest queue as known 100 ms ago
  Count
};

std::string
Name(policy aPolicy);

struct task_outcome_row
{
  bool mDone = false;
  bool mFailed = false;
  bool mRefused = false;
  uint32_t mRunner = 0;
  double mStart = 0;
  double mRun = 0;
  double mResponse = 0; // at the client
  double mIdeal = 0;
  double mEnd = 0; // arrival of the answer, absolute
};

struct run_result
{
  std::vector<task_outcome_row> mTasks;
  uint64_t mWasted = 0;   // messages by the definition in docs
  uint64_t mMessages = 0; // all
};

run_result
RunPolicy(const model_options& aOptions,
          const workload& aWorkload,
          policy aPolicy);

} // namespace cactusmast::bench

#endif // BENCH_RUNNER_MODEL_H_
