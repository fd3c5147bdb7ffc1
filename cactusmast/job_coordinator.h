// The decisions of an entry for jobs whose caller waits for the answer.
//
// Each entry places the tasks of its own jobs on a subset of the executors of
// their service (executor_subset); the executors alone know what room there is.
// Nothing is stored: if this entry goes, its executors stop the tasks, and the
// caller sends the job again.
//
// Between an entry and an executor something is heard all the time only while
// tasks are open there. Otherwise the connection is quiet, and whether the
// other machine lives is left to the transport and to the first order.
//
// Invariants:
// - A task has at most one attempt that may be running. After the connection
//   to an executor is lost, its tasks are placed again only once the executor
//   and the backend server have certainly ended them (kMaxOrphanLifetime).
// - A job is answered once: completed with all tasks done, failed, refused, or
//   expired. Refused is said only if no attempt can have started.
// - When the last caller of a job goes away its tasks are stopped.
// - Nothing is placed in a data centre that is being evacuated, and each order
//   says what this entry knows of evacuations.

#ifndef CACTUSMAST_JOB_COORDINATOR_H_
#define CACTUSMAST_JOB_COORDINATOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/evacuation.h"
#include "cactusmast/executor_subset.h"
#include "cactusmast/latency_histogram.h"
#include "cactusmast/mechanisms.h"
#include "cactusmast/placement.h"
#include "cactusmast/ports.h"
#include "cactusmast/route_config.h"
#include "cactusmast/task_executor.h"
#include "cactusmast/timeout_model.h"

namespace cactusmast {

// After a connection was lost, what was ordered over it runs at most until the
// executor notices (kEntryTimeout) or, if that is what died, until the lease
// at the backend server ends; then comes the stop, which takes up to 50 ms.
constexpr duration kMaxOrphanLifetime = kEntryTimeout + milliseconds(100);
// An executor with tasks of this entry reports every 150 ms, and one that is
// asked for a report sends it at once. One that has not been heard for this
// long although it should have been is taken to be gone.
constexpr duration kExecutorTimeout = milliseconds(550);

enum class job_ending : uint8_t
{
  Completed, // every task ended well
  Failed,    // a task failed as often as the route allows, or never can run
  Refused,   // no task was started, and none will be
  Expired,   // its time ran out after tasks may have been started
  Count
};

std::string_view
Name(job_ending aEnding);

struct job_outcome
{
  job_ending mEnding = job_ending::Failed;
  std::string mReason;
  duration mRetryAfter{}; // zero: no advice
};

class job_answers
{
public:
  virtual ~job_answers() = default;
  virtual void Answer(caller_id aCaller, const job_outcome& aOutcome) = 0;
};

class coordinator_links
{
public:
  virtual ~coordinator_links() = default;
  virtual void Start(peer_id aExecutor, wire::start_tasks_msg aOrder) = 0;
  virtual void Stop(peer_id aExecutor, wire::stop_tasks_msg aOrder) = 0;
  virtual void Subscribe(peer_id aExecutor, bool aWanted) = 0;
  // Other data centres are being evacuated than the executor was told.
  virtual void SendEvacuations(peer_id aExecutor) = 0;
  virtual void Close(peer_id aExecutor) = 0;
};

struct job_request
{
  caller_id mCaller = 0;
  uint64_t mJob = 0;
  job_submission mSubmission;
  std::shared_ptr<const route_table> mTable; // keeps mRoute alive
  const route* mRoute = nullptr;
  // How long the caller waits; 0: it does not say, so the route's timeout.
  uint32_t mCallerTimeoutMs = 0;
};

struct coordinator_counters
{
  uint64_t mAccepted = 0;
  uint64_t mCompleted = 0;
  uint64_t mFailed = 0;
  uint64_t mRefused = 0;
  uint64_t mExpired = 0;
  uint64_t mGivenUp = 0;    // by their callers
  uint64_t mDispatches = 0; // messages to executors
  uint64_t mAttempts = 0;
  uint64_t mBounced = 0; // attempts that an executor did not start
  uint64_t mLost = 0;
  latency_histogram mCompletedIn; // from acceptance to the answer
  latency_histogram mOtherwiseIn; // the same, for all other endings
};

class job_coordinator
{
public:
  // aName: of the entry, as in its settings.
  job_coordinator(std::string aName,
                  std::string aDataCenter,
                  coordinator_links& aLinks,
                  job_answers& aAnswers,
                  random_source& aRandom,
                  event_sink& aEvents,
                  const mechanism_set& aMechanisms = {});

  // Answers at once or later, once.
  void Submit(job_request aRequest, instant aNow);
  void OnCallerDisconnected(caller_id aCaller);
  // False when no such job is open here.
  bool Cancel(uint64_t aJob, instant aNow);
  // Answers all open jobs, refused or expired as each is, and withdraws their
  // tasks. For a process that ends while jobs are open: a connection that just
  // closes leaves the caller to guess whether its job runs.
  void EndAll(const std::string& aReason, instant aNow);

  void OnExecutorUp(peer_id aPeer, const peer_identity& aWho, instant aNow);
  void OnExecutorDown(peer_id aPeer, instant aNow);
  void OnReport(peer_id aPeer,
                const wire::server_report_msg& aSaid,
                instant aNow);
  // What the store or another entry says.
  void OnEvacuations(const std::optional<evacuation_update>& aSaid,
                     instant aNow);
  void Tick(instant aNow);

  const evacuation_tracker& Evacuations() const { return mEvacuations; }
  size_t OpenJobs() const { return mJobs.size(); }
  size_t WaitingTasks() const { return mWaiting.size(); }
  // Jobs of aRoute of which no task was started.
  uint32_t UnstartedJobs(const std::string& aRoute) const;
  // Executors that can be reached and whose backend server is ready.
  size_t ReadyServers() const;
  // Executors that tasks are placed on.
  size_t PlaceableServers() const;
  // Those with open tasks, which must hear from this entry all the time.
  const std::set<peer_id>& BusyExecutors() const { return mBusy; }
  const coordinator_counters& Counters() const { return mCounters; }
  timeout_model& TimeoutModel() { return mTimeoutModel; }

private:
  enum class task_state : uint8_t
  {
    Waiting,
    Reserved, // a place is found; the order goes out in this same turn
    Placed,
    Orphaned, // may still run until a time that is known
    Done
  };

  struct task
  {
    task_state mState = task_state::Waiting;
    peer_id mExecutor = 0;
    uint32_t mAttempt = 0;
    uint32_t mFailures = 0;
    // Estimate by its own progress; 0: none yet.
    uint32_t mProgressEstimateMs = 0;
    peer_id mAvoid = 0;
    instant mOrphanedUntil{};
  };

  struct job
  {
    uint64_t mId = 0;
    std::vector<caller_id> mCallers;
    job_submission mSubmission;
    std::shared_ptr<const route_table> mTable;
    const route* mRoute = nullptr;
    instant mAcceptedAt{};
    instant mFirstSentAt{};      // first, as far as can be known
    double mCallerTimeoutMs = 0; // of the caller; 0: it does not say
    double mRunTimeFactor = 1;   // forecast run time over the declared one
    double mRunSigma = kDeclaredSigma;
    instant mObjectiveAt{};
    instant mDeadline{};
    instant mUsefulUntil{};                // estimated
    std::vector<std::vector<task>> mTasks; // by step and index
    uint32_t mLeft = 0;
    bool mAnyStarted = false; // an attempt ended that was started
  };

  struct executor
  {
    size_t mView = 0;                   // index in mViews
    executor_subset* mSubset = nullptr; // of its service, once that is known
    instant mLastHeard{};
    instant mReportDueSince{}; // zero: nothing need be heard
    uint64_t mLastDispatchNumber = 0;
    // What was ordered and not yet accounted for by a report.
    std::map<uint64_t, resources> mUnreported;
    std::set<task_key> mTasks;
    resources mReportedFree;
  };

  // Most urgent first: the latest start that still meets the objective, then
  // the priority.
  using waiting_key = std::tuple<instant, uint32_t, task_key>;

  // True when it was answered: no backend server can ever hold it.
  bool RefuseUnsatisfiable(const job_request& aRequest);
  // True when it was answered: all backend servers are being evacuated.
  bool RefuseEvacuated(const job_request& aRequest);
  const job& Admit(job_request& aRequest, instant aNow);
  // What the caller's wait says of its job.
  void ApplyForecast(job& aJob, uint32_t aDeclaredMs, instant aNow);
  static double ExpectedMs(const job& aJob, const job_step& aStep);
  void ObserveRunTime(const job& aJob,
                      const task_key& aKey,
                      uint32_t aRunMs,
                      double aSlowness);
  void Enqueue(const job& aJob, const task_key& aKey);
  waiting_key WaitingKey(const job& aJob, const task_key& aKey) const;
  task& TaskOf(job& aJob, const task_key& aKey);
  bool IsPlacingDue(instant aNow) const;
  // Places what can be placed, gathering the tasks of one job for one
  // executor into one order.
  void PlaceWaiting(instant aNow);
  // The same for a job that has just come. What waits already found no place
  // when it was last tried, so it is not tried again for each new job.
  void PlaceNew(const job& aJob, instant aNow);
  void PlaceKeys(const std::vector<task_key>& aOrder, instant aNow);
  // Returns what has no place now.
  std::vector<task_key> UnplacePartialJobs(
    const std::vector<task_key>& aUnplaced);
  // Gives the places back that were chosen for aJob in this turn.
  void Unplace(job& aJob, std::vector<task_key>* aUnplaced);
  // Whether the room that it leaves empty meanwhile is small.
  static bool MayWaitForAll(const job& aJob, const service_capacity& aRoom);
  // aRooms: by service, filled in as asked.
  const service_capacity& CapacityFor(
    const job& aJob,
    std::map<std::string_view, service_capacity>* aRooms) const;
  // While room is short, refuses jobs that would be late and leaves those that
  // can still be in time waiting; returns the others.
  std::vector<task_key> ShedLate(const std::vector<task_key>& aLate,
                                 instant aNow);
  // Returns what found no place, in the same order.
  std::vector<task_key> PlaceAll(const std::vector<task_key>& aOrder,
                                 placement_aim aAim,
                                 instant aNow);
  placement_verdict PlaceOne(job& aJob,
                             const task_key& aKey,
                             placement_request aRequest);
  void SendDispatches(instant aNow);
  void RefreshFree(executor& aAt);
  // After a report: whether more is awaited, and who is in the subset now.
  void NoteHeard(peer_id aPeer, instant aNow);
  // After a change of mEvacuations.
  void ApplyEvacuations(instant aNow);
  // Jobs that nothing was started of and that nothing can run for now.
  void RefuseEvacuatedJobs(instant aNow);
  // Its backend server may be given tasks.
  bool IsUsable(const server_view& aView) const;
  // Subscribes to new members of a subset, and no longer to former ones.
  void ApplyChange(const executor_subset::change& aChange, instant aNow);
  // By the service that aAt's backend server belongs to.
  void AssignSubset(executor& aAt, const std::string& aService);
  // After a placing that left aUnplaced without a place.
  void ResizeSubsets(const std::vector<task_key>& aUnplaced, instant aNow);
  void AddOpenTask(peer_id aPeer, const task_key& aKey, instant aNow);
  void RemoveOpenTask(peer_id aPeer, const task_key& aKey);
  void ExpectReport(executor& aAt, instant aNow);
  task* CurrentAttempt(peer_id aPeer, const task_key& aKey, uint32_t aAttempt);
  void OnTooSlow(peer_id aPeer,
                 const wire::task_forecast& aForecast,
                 instant aNow);
  placement_request RequestFor(const job& aJob,
                               const task_key& aKey,
                               instant aNow);
  void OnEnd(peer_id aPeer, const wire::task_end& aEnd, instant aNow);
  void Finish(uint64_t aJob, const job_outcome& aOutcome, instant aNow);
  void StopTasks(job& aJob);
  void MarkOrphaned(const task_key& aKey, instant aUntil);
  void RequeueOrphan(const task_key& aKey);
  // Whether a task of the job was ordered, ever.
  static bool IsDispatched(const job& aJob);
  bool MayHaveRun(const job& aJob) const;
  job_outcome ExpiryOf(const job& aJob, const std::string& aReason) const;
  void ExpireJobs(instant aNow);
  void ExpireOrphans(instant aNow);
  void DropSilentExecutors(instant aNow);
  void LogOutcome(const job& aJob, const job_outcome& aOutcome, instant aNow);

  std::string mName;
  std::string mDataCenter;
  coordinator_links& mLinks;
  job_answers& mAnswers;
  random_source& mRandom;
  event_sink& mEvents;
  mechanism_set mMechanisms;

  std::unordered_map<uint64_t, job> mJobs;
  std::unordered_map<caller_id, uint64_t> mCallerJobs;
  std::set<waiting_key> mWaiting;
  std::set<std::pair<instant, task_key>> mOrphans;
  std::set<std::pair<instant, uint64_t>> mDeadlines;
  std::map<peer_id, executor> mExecutors;
  std::set<peer_id> mBusy; // executors whose mTasks is not empty
  std::vector<server_view> mViews;
  std::map<std::string, executor_subset> mSubsets; // by service
  evacuation_tracker mEvacuations;
  slowness_range mSlowness; // of mViews, as of the last placing
  instant mNextSilenceCheck{};
  bool mCapacityChanged = false;
  instant mPlacedAt{};            // when all that waits was last tried
  std::set<uint64_t> mInfeasible; // jobs to end after this turn's placement
  // Orders of this turn by executor, job, step and estimate.
  std::map<std::tuple<peer_id, uint64_t, uint32_t, uint32_t>,
           std::vector<uint32_t>>
    mPendingDispatches;
  coordinator_counters mCounters;
  timeout_model mTimeoutModel;
};

} // namespace cactusmast

#endif // CACTUSMAST_JOB_COORDINATOR_H_
