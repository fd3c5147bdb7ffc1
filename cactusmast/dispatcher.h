// Decides which queued task starts next, and on which worker.
//
// One dispatcher serves one shard: a set of workers whose slots one entry
// holds under leases. Because nobody else starts tasks there, the dispatcher
// knows exactly which slots are occupied, and needs neither probes nor queues
// at the workers: a task stays here until a slot is reserved for it, and no
// worker refuses it for lack of a slot.
//
// Whenever a slot may be free, the dispatcher makes a plan from the run times
// that it has observed. It takes the queued groups in order and assigns each
// task to the slot on which it is expected to finish first, where a busy slot
// becomes free after the expected remaining time of its task. A task whose
// slot is free starts. One that finishes earlier by waiting for a faster slot
// is only entered into the plan, and the next task may use the free slot. So
// a slow server is used only as far as the length of the queue justifies it.
// Waiting is allowed only while enough slots are free; when nearly all are
// busy, an idle slot delays the tasks behind by more than it gains. A task
// that has waited longer than the slow slot would have taken stops waiting,
// because stragglers may occupy the fast slots.
//
// The order: teams that are behind in virtual time first; among teams that
// are level within a small slack, the group with the highest score, which is
// two to the power of the priority times (waited + expected run) divided by
// the square of the expected run. Short tasks pass long ones at little cost
// to the latter, and waiting raises the score. A group that has waited for
// half of its deadline goes first, so that nothing starves.
// docs/MEASUREMENTS.md compares other exponents.
//
// Admission refuses early a submission that would overflow the queue of its
// profile or team, or whose expected wait exceeds the profile's bound or
// leaves too little time before its deadline. A refused submission has not
// been run. The owner of the shard refuses what no known worker can ever run
// (IsSatisfiable).
//
// Invariants:
//   - a worker never holds more tasks than its slots, its limit after a start
//     or quarantine (health.h) and each profile's mWorkerConcurrency allow;
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
  // Round-trip time of the network.
  duration mLatency{};
};

struct dispatcher_options
{
  health_options mHealth;
  // Retry budget: dispatches of refused tasks per first dispatch.
  double mRetryShare = 0.1;
  // Retries allowed in addition, so that small loads can retry at all.
  uint32_t mMinRetryBudget = 10;
  // Lets tasks wait for a faster slot. Only a benchmark switches it off, to
  // show the gain.
  bool mWaitForFaster = true;
  // A team counts as level with the one that is furthest behind while it is
  // ahead by at most this many seconds times the number of usable slots. A
  // slack of 0.05 s changes a team's share over ten seconds by at most 0.005.
  double mTeamSlack = 0.05;
  // Number of queued tasks that one plan covers.
  uint32_t mMaxPlannedTasks = 64;
};

// One task of mJob that starts on mWorker.
struct assignment
{
  job_handle mJob;
  uint32_t mLane;
  uint32_t mTeam;
  uint32_t mWorker;
  duration mExpected; // run time
};

// The end of a task that was started by an assignment.
struct completion
{
  uint32_t mWorker;
  uint32_t mLane;
  uint32_t mTeam;
  duration mExpected; // of the assignment
  duration mRunTime;
  bool mFailed; // probably by a fault of the worker
};

class dispatcher
{
public:
  explicit dispatcher(const dispatcher_options& aOptions);

  // Adds or updates a profile, and returns the index of its lane.
  uint32_t SetLane(const profile& aProfile);
  // Adds or updates a team, and returns its index.
  uint32_t SetTeam(const team& aTeam);

  // Returns the worker's index, which may be that of a removed worker. Nothing
  // starts on it before SetAccepting.
  uint32_t AddWorker(const worker_traits& aTraits);
  void UpdateWorker(uint32_t aWorker, const worker_traits& aTraits);
  // If aAccepting is false, the worker stays and no task starts on it.
  void SetAccepting(uint32_t aWorker, bool aAccepting);
  // The caller must have finished the worker's running tasks before.
  void RemoveWorker(uint32_t aWorker);

  // Decides about a submission of aCount tasks; throws failure(Overloaded)
  // when it is refused. aRandom (0 to 1) spreads the times after which refused
  // callers are advised to retry.
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

  // Takes the next task to start from the queue and occupies a slot for it.
  // False when no task can or should start now.
  bool Next(instant aNow, assignment* aOut);

  // A started task ended: frees its slot, corrects the team's virtual time and
  // observes the run time or the failure.
  void OnFinished(const completion& aCompletion, instant aNow);
  // The worker did not start the task: frees its slot and takes the charge of
  // the team back. Nothing is observed.
  void OnNotStarted(uint32_t aWorker,
                    uint32_t aLane,
                    uint32_t aTeam,
                    duration aExpected);
  // Occupies and frees the slot of a task that an earlier owner of the shard
  // started on aWorker.
  void AdoptRunning(uint32_t aWorker) { mWorkers[aWorker].mRunning++; }
  void ReleaseAdopted(uint32_t aWorker) { mWorkers[aWorker].mRunning--; }
  // Takes one retry of a refused task from the retry budget; false when the
  // budget is exhausted.
  bool TakeRetry();
  // Queues a task again that was assigned and did not start.
  void PutBack(job_handle aJob, uint32_t aLane, uint32_t aTeam, instant aNow);

  // Whether some known worker can run the lane's tasks, busy or not.
  bool IsSatisfiable(uint32_t aLane) const;
  // Whether a worker has the service and the resources that a profile needs.
  static bool Fits(const worker_traits& aTraits, const profile& aProfile);
  // The team's queued jobs of lower priority that have to be shed to make
  // place for aCount tasks of aLane. Empty if the lane's shedding order does
  // not allow it or if shedding all of them would not suffice.
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
  // Number of retries taken from the budget.
  uint64_t Retries() const { return mRetries; }

private:
  struct running_task
  {
    uint32_t mLane;
    instant mStarted;
  };

  struct worker_row
  {
    bool mPresent = false; // false: the index is unused
    bool mAccepting = false;
    worker_traits mTraits;
    uint32_t mRunning = 0; // with tasks that an earlier owner started
    std::vector<uint32_t> mRunningByLane; // without those
    std::vector<running_task> mTasks;     // without those
  };

  struct lane_row
  {
    profile mProfile;
    uint32_t mRunning = 0;
    std::vector<bool> mEligible; // by worker
  };

  void UpdateEligible(lane_row& aLane, uint32_t aWorker);
  // Starts a new plan; false when no slot is free, so that there is nothing to
  // plan.
  bool MakePlan(instant aNow);
  // Enters the worker's usable slots into the plan: free ones for now, busy
  // ones for the expected end of their tasks.
  void AddWorkerToPlan(uint32_t aWorker, instant aNow);
  // Finds the group that is next in the plan; false when none is left.
  bool NextGroup(instant aNow, size_t* aIndex);
  double Score(const task_queue::group& aGroup, instant aNow) const;
  // Whether the lane runs as many tasks as its profile allows.
  bool IsAtConcurrencyLimit(uint32_t aLane) const;
  // Finds the worker on which a task of aLane is expected to finish first, and
  // when (aEnd, in seconds from now); false when no worker can take it.
  // aFreeOnly considers only workers with a free slot.
  bool EarliestFinish(uint32_t aLane,
                      bool aFreeOnly,
                      uint32_t* aWorker,
                      double* aEnd) const;
  void Start(const task_queue::group& aGroup,
             uint32_t aWorker,
             instant aNow,
             assignment* aOut);
  void ReleaseSlot(uint32_t aWorker, uint32_t aLane, instant aStarted);
  // Slots that the lane's tasks may use, and their mean expected run time
  // there.
  void LaneCapacity(uint32_t aLane, double* aSlots, duration* aRun) const;

  dispatcher_options mOptions;
  task_queue mQueue;
  run_time_estimator mEstimator;
  worker_health mHealth;
  std::vector<worker_row> mWorkers;
  std::vector<lane_row> mLanes;
  std::vector<team> mTeams;
  // The current plan. It becomes invalid with any change and when time has
  // advanced.
  bool mPlanValid = false;
  instant mPlanTime{};
  slot_plan mPlan;
  std::vector<task_queue::group> mGroups; // mQueued excludes planned tasks
  std::vector<double> mPlannedTeamTimes;  // virtual times with planned tasks
  uint32_t mPlannedTasks = 0;             // tasks in the plan
  uint32_t mFreeSlots = 0;
  uint32_t mUsableSlots = 0; // free and busy ones
  uint64_t mFirstDispatches = 0;
  uint64_t mRetries = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_DISPATCHER_H_
