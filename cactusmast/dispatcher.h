// Decides which queued task starts next, and on which worker.
//
// One dispatcher serves one shard: a set of workers whose slots one entry
// holds under leases. Because no one else starts tasks there, the dispatcher
// knows every slot's occupancy exactly, and needs neither probes nor queues
// at the workers: a task stays here until a slot is its own, and is never
// refused for want of one.
//
// Placement picks the free slot with the earliest expected end, counting the
// learned run time on that worker and the network's latency to it. When only
// slow slots are free, it compares starting now with waiting for a faster
// slot: the faster workers' slots come free at the sum of their running
// tasks over their expected run times, so the task at position n of the queue
// waits about n over that rate. If waiting wins, the slow slot stays idle;
// after twice the expected wait it is used all the same, in case the fast
// workers are held up by stragglers.
//
// Admission refuses early what cannot be served: a submission that no known
// worker can ever run, that would overflow its profile's or team's queue, or
// whose expected wait is over the profile's bound or leaves no time before
// its deadline. A refused submission has not been run.
//
// Invariants:
//   - a worker never holds more tasks than its slots, its warm-up limit and
//     its profile's limit allow;
//   - a task is in the queue or counted as running on one worker, never both.

#ifndef CACTUSMAST_DISPATCHER_H_
#define CACTUSMAST_DISPATCHER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cactusmast/error.h"
#include "cactusmast/estimator.h"
#include "cactusmast/health.h"
#include "cactusmast/ids.h"
#include "cactusmast/profile.h"
#include "cactusmast/task_queue.h"
#include "util/result.h"

namespace cactusmast {

// What a worker is and has, as its guard announced it.
struct worker_traits
{
  std::vector<std::string> mServices;
  uint32_t mSlots = 0;
  uint32_t mCpus = 0;
  uint32_t mMemoryMb = 0;
  uint32_t mAccelerators = 0;
  // Network latency there and back.
  duration mLatency{};
};

struct dispatcher_options
{
  health_options mHealth;
  // Dispatches of refused tasks may not exceed this share of first ones.
  double mRetryShare = 0.1;
  // Retries allowed regardless, so that small loads can retry at all.
  uint32_t mRetryFloor = 10;
  // Off only to measure what waiting for a faster slot gains.
  bool mHoldForFaster = true;
};

struct assignment
{
  job_handle mJob;
  uint32_t mLane;
  uint32_t mTeam;
  uint32_t mWorker;
  duration mExpected;
};

// How a task that was assigned came back.
struct completion
{
  uint32_t mWorker;
  uint32_t mLane;
  uint32_t mTeam;
  duration mExpected; // from the assignment
  duration mRun;
  bool mFailed; // by the worker's fault, as far as can be told
};

class dispatcher
{
public:
  explicit dispatcher(const dispatcher_options& aOptions);

  // The lane of a profile; adds or updates it.
  uint32_t SetLane(const profile& aProfile);
  uint32_t SetTeam(const team& aTeam);

  uint32_t AddWorker(const worker_traits& aTraits);
  // Slots, services or capabilities changed.
  void UpdateWorker(uint32_t aWorker, const worker_traits& aTraits);
  // False keeps the worker but starts nothing on it.
  void SetAccepting(uint32_t aWorker, bool aAccepting);
  // It is gone; its running tasks must be settled by the caller first.
  void RemoveWorker(uint32_t aWorker);

  // Decides about a submission of aCount tasks; throws failure when refused.
  // aRandom (0 to 1) spreads the advised return of refused callers.
  void Admit(uint32_t aLane,
             uint32_t aTeam,
             uint32_t aCount,
             duration aDeadline,
             double aRandom);
  void Enqueue(job_handle aJob,
               uint32_t aLane,
               uint32_t aTeam,
               uint32_t aPriority,
               uint32_t aCount);
  uint32_t Remove(job_handle aJob) { return mQueue.Remove(aJob); }

  // The next start, or false when nothing can or should start now.
  bool Next(instant aNow, assignment* aOut);

  void Finished(const completion& aDone, instant aNow);
  // The worker did not start it: the slot is free again, nothing was learned.
  void NotStarted(uint32_t aWorker,
                  uint32_t aLane,
                  uint32_t aTeam,
                  duration aExpected);
  // Counts the slot of a task found running on a worker that was taken over,
  // and frees it again.
  void AdoptRunning(uint32_t aWorker) { mWorkers[aWorker].mRunning++; }
  void ReleaseAdopted(uint32_t aWorker) { mWorkers[aWorker].mRunning--; }
  // True when the retry budget allows one more dispatch of a refused task.
  bool TakeRetry();
  void PutBack(job_handle aJob,
               uint32_t aLane,
               uint32_t aTeam,
               uint32_t aPriority);

  // True when some known worker could run the lane's tasks, busy or not.
  bool Satisfiable(uint32_t aLane) const;
  static bool Fits(const worker_traits& aTraits, const profile& aProfile);
  // Jobs that make room for a newcomer, by the lane's shedding order.
  std::vector<job_handle> ShedFor(uint32_t aLane,
                                  uint32_t aPriority,
                                  uint32_t aCount) const;

  const profile& LaneProfile(uint32_t aLane) const
  {
    return mLanes[aLane].mProfile;
  }
  const task_queue& Queue() const { return mQueue; }
  const run_time_estimator& Estimator() const { return mEstimator; }
  uint32_t Running(uint32_t aWorker) const
  {
    return mWorkers[aWorker].mRunning;
  }
  uint32_t Slots(uint32_t aWorker) const
  {
    return mWorkers[aWorker].mTraits.mSlots;
  }
  bool SetAside(uint32_t aWorker, instant aNow) const
  {
    return mHealth.SetAside(aWorker, aNow);
  }
  uint64_t Retries() const { return mRetries; }

private:
  struct worker_row
  {
    bool mPresent = false;
    bool mAccepting = false;
    worker_traits mTraits;
    uint32_t mRunning = 0;
    std::vector<uint32_t> mRunningByLane;
  };

  struct lane_row
  {
    profile mProfile;
    uint32_t mRunning = 0;
    std::vector<bool> mEligible; // by worker
    instant mHeldSince{};
    bool mHeld = false;
  };

  struct choice
  {
    bool mFound = false;
    bool mHold = false;
    uint32_t mWorker = 0;
    duration mExpected{};
  };

  void RefreshEligible(lane_row& aLane, uint32_t aWorker);
  bool HasFreeSlot(uint32_t aLane, uint32_t aWorker, instant aNow) const;
  choice Choose(uint32_t aLane, instant aNow);
  // Expected end, from now, on a slot faster than aBest that is still busy.
  bool BetterToWait(uint32_t aLane, duration aBest, duration* aWait) const;
  void Release(uint32_t aWorker, uint32_t aLane);
  // Slots that the lane's tasks may use, and their mean expected run time.
  void Capacity(uint32_t aLane, double* aSlots, duration* aRun) const;

  dispatcher_options mOptions;
  task_queue mQueue;
  run_time_estimator mEstimator;
  worker_health mHealth;
  std::vector<worker_row> mWorkers;
  std::vector<lane_row> mLanes;
  std::vector<team> mTeams;
  uint64_t mFirstDispatches = 0;
  uint64_t mRetries = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_DISPATCHER_H_
