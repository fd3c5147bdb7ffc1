// Accepts, places and answers the jobs of one entry whose callers wait for the
// answer.
//
// Each entry places the tasks of its own jobs on a subset of the executors of
// their service (executor_subset); only the executors know the exact free
// capacity. Nothing is stored: if this entry is lost, its executors stop the
// tasks and the caller resubmits the job.
//
// An entry and an executor exchange messages all the time only while tasks of
// the entry are open there. Otherwise the connection is idle, and the loss of
// the other machine is detected by the transport or at the first dispatch.
//
// Invariants:
// - A task has at most one attempt that may be running. After the connection
//   to an executor is lost, its tasks are placed again only once the executor
//   and the backend server have certainly ended them (kMaxOrphanLifetime).
// - A job is answered once: completed with all tasks done, failed, refused, or
//   expired. It is refused only if no attempt can have started.
// - When the last caller of a job disconnects, its tasks are stopped.
// - No task is placed in a data centre that is being evacuated, and each
//   dispatch carries what this entry knows of evacuations.

#ifndef CACTUSMAST_JOB_COORDINATOR_H_
#define CACTUSMAST_JOB_COORDINATOR_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/evacuation.h"
#include "cactusmast/executor_subset.h"
#include "cactusmast/late_deferral.h"
#include "cactusmast/latency_histogram.h"
#include "cactusmast/mechanisms.h"
#include "cactusmast/overload_settings.h"
#include "cactusmast/placement.h"
#include "cactusmast/ports.h"
#include "cactusmast/route_config.h"
#include "cactusmast/route_demand.h"
#include "cactusmast/route_shares.h"
#include "cactusmast/task_executor.h"
#include "cactusmast/timeout_model.h"

namespace cactusmast {

// How long tasks may run on after the connection they were dispatched over is
// lost: until the executor detects the loss and has stopped them; or, if they
// cannot be stopped or the executor was lost, until the lease at the backend
// server expires.
constexpr duration kMaxOrphanLifetime =
  std::max<duration>(kEntryTimeout + kMaxStopTime + kMaxLoopDelay,
                     kOrphanStopTime + kLeaseTime + kLeaseMargin);
// An executor with tasks of this entry reports every 150 ms, and a new
// subscription is answered by a report at once. An executor whose report is due
// for longer than this is taken to be lost.
constexpr duration kExecutorTimeout = milliseconds(550);

enum class job_ending : uint8_t
{
  Completed, // every task succeeded
  Failed,    // a task failed as often as the route allows or can never run, or
             // the job was cancelled
  Refused,   // no task was started, and none will be
  Expired,   // it did not complete in time; tasks may have been started
  Count
};

// The name used in logs; "invalid" for a value out of range.
std::string_view
Name(job_ending aEnding);

struct job_outcome
{
  job_ending mEnding = job_ending::Failed;
  std::string mReason;    // empty if completed
  duration mRetryAfter{}; // when the caller may resubmit; zero: not said
};

// Sends the answers of jobs to their callers.
class job_answers
{
public:
  virtual ~job_answers() = default;
  virtual void Answer(caller_id aCaller, const job_outcome& aOutcome) = 0;
};

// Sends messages to executors. Sending may close the connection;
// job_coordinator::OnExecutorDown is then called before the call returns.
class coordinator_links
{
public:
  virtual ~coordinator_links() = default;
  virtual void SendDispatch(peer_id aExecutor,
                            wire::start_tasks_msg aDispatch) = 0;
  virtual void SendStop(peer_id aExecutor, wire::stop_tasks_msg aStop) = 0;
  // Begins or ends the subscription to the executor's reports.
  virtual void Subscribe(peer_id aExecutor, bool aWanted) = 0;
  // Sends the current evacuations, which have changed.
  virtual void SendEvacuations(peer_id aExecutor) = 0;
  // Closes the connection without a call of OnExecutorDown.
  virtual void Close(peer_id aExecutor) = 0;
};

struct job_request
{
  caller_id mCaller = 0;
  uint64_t mJob = 0; // identity of the job, the same when it is resubmitted
  job_submission mSubmission;
  std::shared_ptr<const route_table> mTable; // owns *mRoute
  const route* mRoute = nullptr;
  // How long the caller waits; 0: not given, the route's timeout applies.
  uint32_t mCallerTimeoutMs = 0;
};

struct coordinator_counters
{
  uint64_t mAccepted = 0;
  uint64_t mCompleted = 0;
  uint64_t mFailed = 0;
  uint64_t mRefused = 0;
  uint64_t mExpired = 0;
  // Completed jobs by whether they met their objective.
  uint64_t mInObjective = 0;
  uint64_t mLate = 0;
  uint64_t mGivenUp = 0;    // jobs all of whose callers disconnected
  uint64_t mDispatches = 0; // messages to executors
  uint64_t mAttempts = 0;   // tasks in them
  uint64_t mNotStarted = 0; // attempts that an executor did not start
  uint64_t mLost = 0;       // attempts orphaned by the loss of an executor
  uint64_t mOverShare = 0;  // jobs refused because of their route's limit
  uint64_t mDeferred = 0;   // jobs that waited for spare capacity
  uint64_t mDeferredCompleted = 0;   // jobs among them that were completed
  latency_histogram mCompletedIn;    // from acceptance to the answer
  latency_histogram mOtherEndingsIn; // the same for all other endings
};

class job_coordinator
{
public:
  // aName: the entry's name from its settings.
  job_coordinator(std::string aName,
                  std::string aDataCenter,
                  coordinator_links& aLinks,
                  job_answers& aAnswers,
                  random_source& aRandom,
                  event_sink& aEvents,
                  const mechanism_set& aMechanisms = {},
                  const overload_settings& aOverload = {});

  // Answers the caller once, during the call or later.
  void Submit(job_request aRequest, instant aNow);
  void OnCallerDisconnected(caller_id aCaller, instant aNow);
  // Answers the job as failed. False if no such job is open here.
  bool Cancel(uint64_t aJob, instant aNow);
  // Answers all open jobs as refused or expired and stops their tasks. For a
  // process that exits while jobs are open: if the connection just closed, the
  // caller would not know whether its job still runs.
  void EndAll(const std::string& aReason, instant aNow);

  void OnExecutorUp(peer_id aPeer, const peer_identity& aWho, instant aNow);
  void OnExecutorDown(peer_id aPeer, instant aNow);
  void OnReport(peer_id aPeer,
                const wire::server_report_msg& aReport,
                instant aNow);
  // aUpdate: from the store or another process; empty: nothing is known.
  void OnEvacuations(const std::optional<evacuation_update>& aUpdate,
                     instant aNow);
  // The load of another entry. aIncarnation: of the entry; a greater one begins
  // a new sequence of loads.
  void OnEntryLoad(const std::string& aEntry,
                   const wire::entry_load_msg& aLoad,
                   instant aNow,
                   uint64_t aIncarnation = 0);
  // The demand at this entry, for the other entries.
  std::vector<std::unique_ptr<wire::route_demand_msg>> EncodeOwnDemand(
    size_t aMaxRoutes,
    instant aNow);
  // Brings the own demand in Demand() up to date.
  void UpdateOwnDemand(instant aNow);
  // To be called in each turn of the loop.
  void Tick(instant aNow);

  const demand_board& Demand() const { return mDemand; }
  // The routes of open jobs and of own demand; empty unless route_shares or
  // late_deferral is on.
  const std::map<std::string, route_share>& Shares() const { return mShares; }
  const evacuation_tracker& Evacuations() const { return mEvacuations; }
  size_t OpenJobs() const { return mJobs.size(); }
  bool IsOpen(uint64_t aJob) const { return mJobs.count(aJob) > 0; }
  size_t WaitingTasks() const { return mWaiting.size(); }
  // The number of open jobs of aRoute of which no task was dispatched.
  uint32_t UndispatchedJobs(const std::string& aRoute) const;
  // The number of connected executors whose backend server is ready.
  size_t ReadyServers() const;
  // The number of ready backend servers in the subsets, on which tasks are
  // placed.
  size_t PlaceableServers() const;
  // Executors with open tasks, which have to get heartbeats.
  const std::set<peer_id>& BusyExecutors() const { return mBusyExecutors; }
  // The executor's steady clock in milliseconds, or an earlier time, for the
  // messages to it; 0 if it is not known.
  uint64_t ExecutorClockMs(peer_id aExecutor, instant aNow) const;
  const coordinator_counters& Counters() const { return mCounters; }
  timeout_model& TimeoutModel() { return mTimeoutModel; }

private:
  enum class task_state : uint8_t
  {
    Waiting,
    Reserved, // has capacity; dispatched in the same turn of the loop
    Placed,   // dispatched to its executor
    Orphaned, // its executor is lost; may run until mOrphanedUntil
    Done
  };

  struct task
  {
    task_state mState = task_state::Waiting;
    peer_id mExecutor = 0; // 0: neither reserved nor placed
    uint32_t mAttempt = 0; // number of the latest attempt; 0: none yet
    uint32_t mFailures = 0;
    // Run time on a backend server with a slowness of 1; 0: no estimate yet.
    uint32_t mProgressEstimateMs = 0;
    peer_id mAvoid = 0; // where an attempt ended without success; 0: none
    instant mOrphanedUntil{};
  };

  struct job
  {
    uint64_t mId = 0;
    std::vector<caller_id> mCallers;
    job_submission mSubmission;
    std::shared_ptr<const route_table> mTable;
    const route* mRoute = nullptr;
    route_share* mShare = nullptr; // in mShares; null if those are not kept
    instant mAcceptedAt{};
    // When its caller first sent it, as far as can be estimated; earlier than
    // mAcceptedAt if it was resubmitted.
    instant mFirstSentAt{};
    double mCallerTimeoutMs = 0; // 0: not given
    double mRunTimeFactor = 1;   // forecast run time over the declared one
    double mRunSigma = kDeclaredSigma; // run_forecast::mSigma
    // By the forecast; once all tasks have ended, by the longest run time.
    instant mObjectiveAt{};
    // The longest run time of the tasks that are done, on a backend server with
    // a slowness of 1; 0: none is known.
    double mLongestRunMs = 0;
    instant mDeadline{}; // when the caller stops waiting, less kAnswerMargin
    // An answer after this is estimated to be worth nothing to the caller.
    instant mUsefulUntil{};
    std::vector<std::vector<task>> mTasks; // by step and index
    uint32_t mUnfinishedTasks = 0;         // tasks that are not done
    // An attempt was started, or was lost so that this is unknown.
    bool mAnyStarted = false;
    // It can only be late and waits, or waited, for spare capacity.
    bool mDeferred = false;
  };

  // What late jobs of a service may count on.
  struct spare_capacity
  {
    demand_trend mTrend;
    spare_forecast mForecast;
    double mDeferredCoreMs = 0; // of the jobs deferred in the last placement
  };

  struct executor
  {
    size_t mViewIndex = 0;              // index in mViews
    executor_subset* mSubset = nullptr; // null until its service is known
    instant mLastHeard{};
    uint64_t mClockMs = 0; // its clock by the latest report; 0: not known
    // Names the incarnation of its backend server in the latest report; 0: not
    // known.
    int64_t mServerStartTimeMs = 0;
    instant mReportDueSince{}; // zero: no report is due
    uint64_t mLastDispatchNumber = 0;
    // Resources of the dispatches that no report accounts for yet, by number.
    std::map<uint64_t, resources> mUnreported;
    std::set<task_key> mTasks; // open tasks
    resources mReportedFree;   // free capacity by the latest report
  };

  // Orders tasks by urgency: the latest start that meets the objective, then
  // the priority of the route.
  using waiting_key = std::tuple<instant, uint32_t, task_key>;

  // A step whose tasks no backend server can ever run; null if there is none,
  // and while executors are still connecting: theirs may be able to.
  const job_step* UnsatisfiableStep(const route& aRoute,
                                    const job_submission& aSubmission) const;
  // True if it answered the request because there is such a step.
  bool RefuseUnsatisfiable(const job_request& aRequest);
  // Once all executors had time to connect: fails the jobs accepted until then
  // that no backend server can run.
  void EndDiscovery(instant aNow);
  // True if it answered the request because all backend servers of its service
  // are being evacuated.
  bool RefuseEvacuated(const job_request& aRequest);
  const job& Admit(job_request& aRequest, instant aNow);
  // Sets the members of aJob that depend on the forecast by its caller timeout.
  void ApplyForecast(job& aJob, uint32_t aDeclaredMs, instant aNow);
  // The forecast work of the job, in core-milliseconds.
  double WorkOf(const job& aJob) const;
  void MeasureDemand(const job& aJob, instant aNow);
  using service_claims = std::map<std::string, std::vector<route_claim>>;

  // Whether scarce capacity is shared between routes.
  bool SharesRoutes() const;
  // Sets mShare of a new job.
  void AttachShare(job& aJob);
  // Keeps the newest table, from which priorities are taken.
  void LearnRoutes(const std::shared_ptr<const route_table>& aTable);
  // Recomputes limits and forecasts when that is due.
  void UpdateOverload(instant aNow);
  // aLimits: of all entries, by route.
  void UpdateLimits(const std::map<std::string, double>& aLimits, instant aNow);
  // The claims of all routes known here, by service.
  service_claims ClaimsByService(instant aNow) const;
  // Processors of the ready backend servers by service, also of those outside
  // the subsets.
  std::map<std::string, double> CapacityByService() const;
  void LogShares(instant aNow);
  // Accounts for one task that is reserved (aSign 1) or no longer in use (-1).
  void CountUsed(const job& aJob, uint32_t aStep, int aSign);
  // Accounts for one task that begins (aSign 1) or ceases (-1) to wait.
  void CountQueued(const job& aJob, uint32_t aStep, int aSign);
  // Forecast work of one task, in core-microseconds.
  static int64_t WorkMicros(const job& aJob, uint32_t aStep);
  // Whether any route has a limit.
  bool HasLimits() const;
  // All waiting tasks: those that can only be late, then the others in the
  // order of priority, and of urgency within a priority.
  std::vector<task_key> OrderByPriority(instant aNow) const;
  // Whether a further task of the job must not be placed now because its route
  // has used up its limit and free capacity is scarce.
  bool IsOverShare(const job& aJob);
  // Queued work of its route before that of aJob, which is new.
  int64_t WorkBeforeNew(const job& aJob) const;
  // Refuses those jobs of mOverShareTasks whose turn would come too late.
  // aAllTried: all waiting tasks were tried, not only those of one new job.
  void RefuseOverShare(bool aAllTried, instant aNow);
  // Whether jobs that can only be late may wait for spare capacity.
  bool DefersLate() const;
  void UpdateSpare(const service_claims& aClaims,
                   const std::map<std::string, double>& aCapacity,
                   instant aNow);
  // Whether a job that can only be late waits for spare capacity. Decided once
  // in each placement.
  bool MayDefer(job& aJob, instant aNow);
  bool DecideDeferral(job& aJob, instant aNow);
  // Those of aDeferred that may be placed: no task of their service waits that
  // can meet its objective.
  std::vector<task_key> PlaceableDeferred(
    const std::vector<task_key>& aDeferred,
    instant aNow) const;
  // The forecast run time of a task on a backend server with a slowness of 1.
  static double ExpectedRunMs(const job& aJob, const job_step& aStep);
  void ObserveRunTime(job& aJob,
                      const task_key& aKey,
                      uint32_t aRunMs,
                      double aSlowness);
  // Derives the objective of a job all of whose tasks are done from the longest
  // run time.
  static void SettleObjective(job& aJob);
  void Enqueue(const job& aJob, const task_key& aKey);
  waiting_key WaitingKey(const job& aJob, const task_key& aKey) const;
  task& TaskOf(job& aJob, const task_key& aKey);
  bool IsPlacementDue(instant aNow) const;
  // Places all waiting tasks that can be placed. The tasks of one step for one
  // executor are sent in one dispatch.
  void PlaceWaiting(instant aNow);
  // The same for the tasks of a new job only. The tasks that wait were not
  // placed when they were last tried, so they are not tried again for each new
  // job.
  void PlaceNew(const job& aJob, instant aNow);
  // Places the tasks of aOrder, sends the dispatches and ends the jobs that are
  // refused or infeasible. aAllTried: aOrder has all waiting tasks.
  void RunPlacement(const std::vector<task_key>& aOrder,
                    bool aAllTried,
                    instant aNow);
  // Returns all tasks that are unplaced after it.
  std::vector<task_key> UnplacePartialJobs(
    const std::vector<task_key>& aUnplaced);
  // Undoes the reservations of aJob and adds its tasks to aUnplaced.
  void Unplace(job& aJob, std::vector<task_key>* aUnplaced);
  // Makes a reserved task wait again, as if it had not been placed.
  void ReturnReserved(job& aJob, const task_key& aKey);
  // Whether free capacity is scarce and aJob, waiting until all its tasks fit,
  // keeps little of it idle.
  static bool MayWaitForAll(const job& aJob, const service_capacity& aCapacity);
  // aCapacities: capacities computed so far, by service.
  const service_capacity& CapacityFor(
    const job& aJob,
    std::map<std::string_view, service_capacity>* aCapacities) const;
  // While free capacity is scarce, refuses or defers jobs that would be late
  // and leaves those waiting that can still meet their objective, if that keeps
  // little capacity idle (MayWaitForAll). Returns the tasks of all other jobs,
  // deferred ones last.
  std::vector<task_key> ShedLate(const std::vector<task_key>& aLate,
                                 instant aNow);
  // Returns the tasks that were not placed, in the same order, without those
  // that it adds to mOverShareTasks.
  std::vector<task_key> TryPlace(const std::vector<task_key>& aOrder,
                                 placement_aim aAim,
                                 instant aNow);
  placement_verdict PlaceOne(job& aJob,
                             const task_key& aKey,
                             placement_request aRequest);
  void SendDispatches(instant aNow);
  void RefreshFree(executor& aExecutor);
  // After a report: updates whether another one is due, and the subset.
  void UpdateAfterReport(peer_id aPeer, instant aNow);
  // Called after a change of mEvacuations.
  void ApplyEvacuations(instant aNow);
  // Refuses the undispatched jobs all of whose backend servers are being
  // evacuated.
  void RefuseEvacuatedJobs(instant aNow);
  // Whether the backend server is ready and its data centre is not being
  // evacuated.
  bool IsUsable(const server_view& aView) const;
  // Subscribes to the reports of new members of a subset and ends the
  // subscriptions to former ones.
  void ApplySubsetChange(const executor_subset::change& aChange, instant aNow);
  // Moves the executor into the subset of aService.
  void AssignSubset(executor& aExecutor, const std::string& aService);
  // Called after placement. aUnplaced: the tasks that were not placed.
  void ResizeSubsets(const std::vector<task_key>& aUnplaced, instant aNow);
  void AddOpenTask(peer_id aPeer, const task_key& aKey, instant aNow);
  void RemoveOpenTask(peer_id aPeer, const task_key& aKey);
  void ExpectReport(executor& aExecutor, instant aNow);
  // Null unless aAttempt is the task's current attempt and was sent to aPeer.
  task* FindCurrentAttempt(peer_id aPeer,
                           const task_key& aKey,
                           uint32_t aAttempt);
  void OnTooSlow(peer_id aPeer,
                 const wire::task_forecast& aForecast,
                 instant aNow);
  placement_request RequestFor(const job& aJob,
                               const task_key& aKey,
                               instant aNow);
  void OnEnd(peer_id aPeer, const wire::task_end& aEnd, instant aNow);
  void Finish(uint64_t aJob, const job_outcome& aOutcome, instant aNow);
  void StopTasks(job& aJob, instant aNow);
  void MarkOrphaned(const task_key& aKey, instant aUntil);
  void RequeueOrphan(const task_key& aKey);
  // Whether any task of the job was ever dispatched.
  static bool IsDispatched(const job& aJob);
  // The same, but counts reserved tasks as well.
  bool IsReservedOrDispatched(const job& aJob) const;
  // Refused if the job cannot have started, otherwise expired.
  job_outcome ExpiryOf(const job& aJob, const std::string& aReason) const;
  void ExpireJobs(instant aNow);
  void ExpireOrphans(instant aNow);
  void CheckExecutorTimeouts(instant aNow);
  void LogOutcome(const job& aJob, const job_outcome& aOutcome, instant aNow);

  std::string mName;
  std::string mDataCenter;
  coordinator_links& mLinks;
  job_answers& mAnswers;
  random_source& mRandom;
  event_sink& mEvents;
  mechanism_set mMechanisms;
  overload_settings mOverload;

  std::unordered_map<uint64_t, job> mJobs;
  std::unordered_map<caller_id, uint64_t> mCallerJobs;
  std::set<waiting_key> mWaiting;
  std::set<std::pair<instant, task_key>> mOrphans;   // by mOrphanedUntil
  std::set<std::pair<instant, uint64_t>> mDeadlines; // of all open jobs
  std::map<peer_id, executor> mExecutors;            // the connected ones
  std::set<peer_id> mBusyExecutors; // executors whose mTasks is not empty
  std::vector<server_view> mViews;
  instant mDiscoveryEnd{};  // zero: no executor has connected yet
  bool mDiscovering = true; // until mDiscoveryEnd
  std::map<std::string, executor_subset> mSubsets; // by service
  evacuation_tracker mEvacuations;
  demand_meter mDemandMeter;
  demand_board mDemand;
  std::map<std::string, route_share> mShares;             // by route
  std::shared_ptr<const route_table> mRoutes;             // the newest known
  std::unordered_map<std::string, const route*> mByRoute; // into mRoutes
  instant mNextOverloadAt{};
  std::map<std::string, double> mLoggedLimits; // in thousandths, by route
  instant mSharesLoggedAt{};
  // During placement: tasks that were skipped because of their route's limit,
  // and the capacity by service as far as it was needed.
  std::vector<task_key> mOverShareTasks;
  std::map<std::string, service_capacity> mPlacementCapacity;
  std::map<std::string, spare_capacity> mSpare; // by service
  // During placement: whether jobs that can only be late wait.
  std::map<uint64_t, bool> mDeferrals;
  slowness_summary mSlowness; // of mViews, as of the latest placement
  instant mNextTimeoutCheck{};
  // Reports or waiting tasks have come since all waiting tasks were last tried.
  bool mCapacityChanged = false;
  instant mLastPlacementAt{};         // when all waiting tasks were last tried
  std::set<uint64_t> mInfeasibleJobs; // jobs to end after the current placement
  // Indexes of reserved tasks by executor, job, step and estimate in ms.
  std::map<std::tuple<peer_id, uint64_t, uint32_t, uint32_t>,
           std::vector<uint32_t>>
    mPendingDispatches;
  coordinator_counters mCounters;
  timeout_model mTimeoutModel;
};

} // namespace cactusmast

#endif // CACTUSMAST_JOB_COORDINATOR_H_
