// A simulation for the benchmarks: runners with speeds and slots on a virtual
// clock, a workload of parallel jobs, and the policies that are compared. Of
// processes and messages it models only the latency and the message count.

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
  uint32_t mSlots = 8; // of each runner
  uint32_t mEntries = 3;
  double mMinSpeed = 1;
  double mMaxSpeed = 6;
  double mClientLatency = 0.003; // one way
  double mLatency = 0.0005;      // one way, between processes
  double mLoad = 0.7;            // share of the capacity
  double mDuration = 120;        // of arrivals
  double mWarmUp = 20;           // left out of the figures
  uint32_t mTeams = 8;
  bool mTeamsEqual = true; // else their quotas are 1 to 4
  // The arrival rate is multiplied by mBurstFactor from mBurstFrom until
  // mBurstUntil.
  double mBurstFrom = 0;
  double mBurstUntil = 0;
  double mBurstFactor = 1;
  // Runner 0 fails every task immediately from this time on; < 0: never.
  double mFailFrom = -1;
  // Runner 0 takes no more tasks from this time on; < 0: never.
  double mLeaveFrom = -1;
  // Refuse jobs as the library does; otherwise all are queued.
  bool mAdmission = false;
  double mDeadline = 30;
  double mMaxWait = 0.25; // of the profiles
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
  double mCapacity = 0; // work per second of all slots
};

workload
MakeWorkload(const model_options& aOptions);

enum class policy : uint8_t
{
  FifoBound,     // clairvoyant, in order of arrival
  ShortestBound, // clairvoyant, shortest task first
  Library,       // cactusmast's dispatcher
  NoHold,        // the same, but it never waits for a faster slot
  Random,        // push to a random runner
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
  double mEnd = 0; // when the answer reaches the client
};

struct run_result
{
  std::vector<task_outcome_row> mTasks;
  uint64_t mWasted = 0;   // wasted messages as docs defines them
  uint64_t mMessages = 0; // all messages
};

run_result
RunPolicy(const model_options& aOptions,
          const workload& aWorkload,
          policy aPolicy);

} // namespace cactusmast::bench

#endif // BENCH_RUNNER_MODEL_H_
