// Decides which queued task starts next, and on which worker.
//
// One dispatcher serves one shard: a set of workers whose slots one entry
// holds under leases. Because no one else starts tasks there, the dispatcher
// knows every slot's occupancy exactly, and needs neither probes nor queues
// at the workers: a task stays here until a slot is its own, and is never
// refused for want of one.
//
// Whenever a slot may be free, the dispatcher plans ahead with what it has
// learned. It takes the queued groups in order, and lets each task have the
// slot on which it is expected to end first, counting slots that are busy now
// with the expected rest of what runs there. A task whose slot is free starts;
// one that is better off waiting for a faster slot is only entered into the
// plan, and the free slot goes to the next. So a slow server is used exactly
// as far as the queue makes it worth while. Waiting needs slots to spare; when
// nearly all are busy, leaving one idle costs those behind more than it gains.
// A task that has waited longer than
// the slow slot would have taken stops waiting, in case the fast ones are held
// up by stragglers.
//
// The order: teams that are behind in virtual time first; among teams that
// are level within a small slack, the greatest of two to the priority times
// (waited + expected run) over the square of the expected run. Short work
// passes long work at little cost to the latter, and waiting raises the score;
// what has waited for half of its deadline goes first, so that nothing
// starves. docs/MEASUREMENTS.md has the figures of the exponents tried.
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
#include "cactusmast/slot_plan.h"
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
  // A team counts as level with the one that is furthest behind while it is
  // ahead by less than this many seconds of all slots. A tenth of a second
  // shifts a share over ten seconds by one hundredth at most.
  double mTeamSlack = 0.05;
  // Queued tasks that one plan looks at.
  uint32_t mPlanHorizon = 64;
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
  duration mRunTime;
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
               uint32_t aCount,
               instant aNow);
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
  void PutBack(job_handle aJob, uint32_t aLane, uint32_t aTeam, instant aNow);

  // True when some known worker could run the lane's tasks, busy or not.
  bool IsSatisfiable(uint32_t aLane) const;
  static bool Fits(const worker_traits& aTraits, const profile& aProfile);
  // The team's queued jobs of lower priority that make room for aCount tasks
  // of aLane, when its shedding order allows.
  std::vector<job_handle> ShedFor(uint32_t aLane,
                                  uint32_t aTeam,
                                  uint32_t aCount) const;

  const profile& LaneProfile(uint32_t aLane) const
  {
    return mLanes[aLane].mProfile;
  }
  uint32_t TeamQueueLimit(uint32_t aTeam) const
  {
    return mTeams[aTeam].mQueueLimit;
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
  bool IsQuarantined(uint32_t aWorker, instant aNow) const
  {
    return mHealth.IsQuarantined(aWorker, aNow);
  }
  uint64_t Retries() const { return mRetries; }

private:
  struct running_task
  {
    uint32_t mLane;
    instant mStarted;
  };

  struct worker_row
  {
    bool mPresent = false;
    bool mAccepting = false;
    worker_traits mTraits;
    uint32_t mRunning = 0;
    std::vector<uint32_t> mRunningByLane;
    std::vector<running_task> mTasks;
  };

  struct lane_row
  {
    profile mProfile;
    uint32_t mRunning = 0;
    std::vector<bool> mEligible; // by worker
  };

  void RefreshEligible(lane_row& aLane, uint32_t aWorker);
  bool MakePlan(instant aNow);
  void PlanWorker(uint32_t aWorker, instant aNow);
  // The group that goes next in the plan; false when none is left.
  bool NextGroup(instant aNow, size_t* aIndex);
  double Score(const task_queue::group& aGroup, instant aNow) const;
  bool Capped(uint32_t aLane) const;
  // The worker on which a task of aLane is expected to end first; false when
  // none can take it. With aFreeOnly, among those with a free slot.
  bool EarliestFinish(uint32_t aLane,
                      bool aFreeOnly,
                      uint32_t* aWorker,
                      double* aEnd) const;
  void Start(const task_queue::group& aGroup,
             uint32_t aWorker,
             instant aNow,
             assignment* aOut);
  void Release(uint32_t aWorker, uint32_t aLane, instant aStarted);
  // Slots that the lane's tasks may use, and their mean expected run time.
  void Capacity(uint32_t aLane, double* aSlots, duration* aRun) const;

  dispatcher_options mOptions;
  task_queue mQueue;
  run_time_estimator mEstimator;
  worker_health mHealth;
  std::vector<worker_row> mWorkers;
  std::vector<lane_row> mLanes;
  std::vector<team> mTeams;
  // The plan under way; void after any change or when time moves on.
  bool mPlanValid = false;
  instant mPlanTime{};
  slot_plan mPlan;
  std::vector<task_queue::group> mGroups;
  std::vector<double> mTeamTimes;
  uint32_t mPlanned = 0;
  uint32_t mFreeSlots = 0;
  uint32_t mUsableSlots = 0;
  uint64_t mFirstDispatches = 0;
  uint64_t mRetries = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_DISPATCHER_H_
