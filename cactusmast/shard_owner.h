// The entry's side of a shard that it owns: leases on the workers' slots, the
// jobs, and the recovery of what an earlier owner started.
//
// Ownership is not stored anywhere. An entry owns a shard as far as the
// shard's guards lease their slots to it, and a guard leases to one owner at a
// time (guard_node.h). Together with each lease, the guard reports to the new
// owner everything that started on its worker within the retention time. Once
// every worker that may hold records has reported, the shard is complete: a
// job without a record was certainly never started, and is accepted. Before
// that, submissions of unknown jobs are held for a while and then refused as
// in doubt; known jobs are answered from the records.
//
// A dispatch without a reply is never sent to another worker. When a worker's
// link breaks, its tasks stay assigned to it; when the link is back, the guard
// is asked about each of them, and only those that it then revokes are
// dispatched again. When the worker is lost (it has a new incarnation, or had
// no working link for mWorkerTimeout), its tasks finish as failed with an
// unknown run state.
//
// The lease is counted from the moment when its renewal was sent, so it always
// ends here before it ends at the guard, regardless of the delay between them
// and of pauses of this process.

#ifndef CACTUSMAST_SHARD_OWNER_H_
#define CACTUSMAST_SHARD_OWNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/dispatcher.h"
#include "cactusmast/job_table.h"
#include "cactusmast/ports.h"

namespace cactusmast {

// The value of failure::Step() in an Unavailable reply by which an owner asks
// the sending entry to look up the shard's owner again; callers never see it.
constexpr char kRouteStep[] = "route";

struct owner_options
{
  uint32_t mShard = 0;
  std::string mDataCenter;
  dispatcher_options mDispatcher;
  job_table_options mJobs;
  // Must not be longer than that of the guards.
  duration mLeaseDuration = std::chrono::milliseconds(2500);
  // The lease ends this long before it would end by mLeaseDuration.
  duration mLeaseMargin = std::chrono::milliseconds(200);
  // A lease that was not confirmed for this long is renewed by a message of
  // its own.
  duration mRenewInterval = std::chrono::milliseconds(900);
  // A worker without a working link for this long is lost.
  duration mWorkerTimeout = std::chrono::seconds(10);
  // From the claim; submissions of unknown jobs are held this long for missing
  // records.
  duration mMaxHoldTime = std::chrono::seconds(5);
  size_t mMaxHeldSubmissions = 10000;
  // From the claim; time for workers to connect before a job may be found
  // unsatisfiable.
  duration mDiscoveryTime = std::chrono::seconds(3);
  // After a job's deadline, time for the last results of the guards to arrive.
  duration mDeadlineGrace = std::chrono::seconds(1);
  // Acknowledgements are sent with dispatches, and alone after this long.
  duration mAckLinger = std::chrono::milliseconds(500);
  // Dispatches of profiles that prefer few messages wait this long for others
  // to the same worker.
  duration mDispatchLinger = std::chrono::milliseconds(4);
  // Round-trip time assumed for workers in other data centres.
  duration mRemoteLatency = std::chrono::milliseconds(1);
};

// Safeguards that tests switch off, to show that a scenario fails without
// each.
struct owner_safeguards
{
  bool mWaitForRecords = true;     // of all workers that may hold some
  bool mUseRecords = true;         // of tasks that earlier owners started
  bool mResolveBeforeRetry = true; // ask the guard about dispatches in doubt
  // Count a lease from the sending of the confirmed message, not from its
  // confirmation, and subtract owner_options::mLeaseMargin.
  bool mUseLeaseMargin = true;
  bool mDeduplicateJobs = true;        // recognise resubmitted jobs
  bool mStepDownWhenSuperseded = true; // when another owner leased a guard
  bool mRecordAbandoned = true;        // at guards; see mAbandoned
};

// A worker incarnation that may hold records of this shard.
struct known_worker
{
  std::string mName;
  uint64_t mIncarnation = 0;
  // When the worker was last known to be alive. Its records are needed for
  // the retention time from then.
  instant mLastAlive{};
};

// Name of a known_worker that stands for the workers in the stored roster
// while the table is unavailable.
constexpr char kUnknownWorker[] = "(unlisted)";

// The traits that a guard announced; the latency is 0.
worker_traits
TraitsOf(const wire::worker_state_msg& aState);

// Receives the owner's answers to callers; aToken is that of the waiter.
class answer_sink
{
public:
  virtual ~answer_sink() = default;
  virtual void Answer(uint64_t aToken, wire::job_reply_msg aReply) = 0;
};

// Numbers of messages, tasks and jobs since the claim. Users derive the share
// of wasted messages from them.
struct owner_counters
{
  uint64_t mDispatchMessages = 0;
  uint64_t mDispatchedTasks = 0;
  uint64_t mRequeuedTasks = 0; // queued again as certainly not started
  uint64_t mResultMessages = 0;
  uint64_t mResultTasks = 0;
  uint64_t mDuplicateResults = 0;
  uint64_t mRefusedTasks = 0;
  uint64_t mAckMessages = 0; // with acknowledgements only
  uint64_t mResolveMessages = 0;
  uint64_t mCancelMessages = 0;
  uint64_t mFetchMessages = 0;
  uint64_t mAbandonMessages = 0;
  uint64_t mLeaseMessages = 0;
  uint64_t mJobsAccepted = 0;
  uint64_t mJobsRefused = 0;
  uint64_t mJobsComplete = 0;
  uint64_t mJobsFailed = 0;
};

// Adds every counter of aFrom to that of aInto.
void
AddCounters(const owner_counters& aFrom, owner_counters* aInto);

class shard_owner
{
public:
  shard_owner(owner_options aOptions,
              uint64_t aEpoch,
              const std::vector<known_worker>& aKnown,
              const deployment_config& aConfig,
              peer_network& aNetwork,
              answer_sink& aAnswers,
              event_sink& aEvents,
              random_source& aRandom,
              instant aNow,
              owner_safeguards aSafeguards = {});

  void SetConfig(const deployment_config& aConfig);
  // Traits of workers that are not connected, and when they last were.
  void SetDisconnectedWorkers(
    std::map<std::string, std::pair<worker_traits, instant>> aAbsent)
  {
    mAbsent = std::move(aAbsent);
  }

  // A guard of this shard connected, for the first time or again.
  void Attach(peer_id aPeer, const peer_identity& aIdentity, instant aNow);
  // The connection of a guard was closed.
  void Detach(peer_id aPeer, instant aNow);
  void OnWorkerState(peer_id aPeer, const wire::worker_state_msg& aState);
  void OnLeaseReply(peer_id aPeer,
                    const wire::lease_reply_msg& aReply,
                    instant aNow);
  void OnRecords(peer_id aPeer,
                 const wire::records_msg& aRecords,
                 instant aNow);
  void OnResults(peer_id aPeer,
                 const wire::results_msg& aResults,
                 instant aNow);
  void OnSettleReply(peer_id aPeer,
                     const wire::settle_reply_msg& aReply,
                     instant aNow);
  // One part of the state of the previous owner, which stepped down.
  void OnHandover(const wire::handover_msg& aPart, instant aNow);

  // Each of the three answers aWaiter once: when the job is decided (every task
  // has its final result), with its current state when the waiter's time ends,
  // or with an error; unless StepDown returns the waiter before.
  void Submit(submission aSubmission, const waiter& aWaiter, instant aNow);
  void Await(const std::string& aTeam,
             const job_id& aId,
             const waiter& aWaiter,
             instant aNow);
  void Cancel(const std::string& aTeam,
              const job_id& aId,
              const waiter& aWaiter,
              instant aNow);

  void Tick(instant aNow);

  // Gives the shard up: sends the state that the next owner needs to
  // aSuccessor (0: to nobody) and releases the guards. Returns the undecided
  // jobs with their waiters, to be submitted again to the successor.
  struct moved_job
  {
    submission mSubmission;
    std::vector<waiter> mWaiters;
  };
  std::vector<moved_job> StepDown(peer_id aSuccessor, instant aNow);

  // Fails all undecided jobs: queued tasks as not run, dispatched ones with an
  // unknown run state.
  void FailAll(instant aNow);

  // Whether all workers that may hold records have reported.
  bool IsComplete() const { return mMissing.empty(); }
  uint64_t Epoch() const { return mEpoch; }
  // Whether another owner has leased a guard since this one first did. That
  // owner may have started tasks that are queued here, so this one must step
  // down and, to own the shard again, start from the records.
  bool IsSuperseded() const { return mSuperseded; }
  // Number of workers whose lease this owner holds.
  uint32_t LeasedWorkers(instant aNow) const;
  const owner_counters& Counters() const { return mCounters; }
  dispatcher& Dispatcher() { return mDispatcher; }
  job_table& Jobs() { return mJobs; }

  // Workers that may hold records, for the shard's roster row. The version
  // grows whenever a worker is added or removed.
  std::vector<known_worker> Roster() const;
  uint64_t RosterVersion() const { return mRosterVersion; }
  // The roster of aVersion is stored, or cannot be stored at present: the
  // workers in it may get tasks.
  void OnRosterStored(uint64_t aVersion);
  // The stored roster was read after the claim. It replaces kUnknownWorker.
  void OnRosterRead(const std::vector<known_worker>& aListed, instant aNow);

  struct worker_status
  {
    std::string mName;
    uint64_t mIncarnation = 0;
    bool mConnected = false;
    bool mLeased = false;
    bool mQuarantined = false;
    uint32_t mSlots = 0;
    uint32_t mRunning = 0;
    double mSlowness = 0; // for tasks of lane 0; about 1 on average
  };
  std::vector<worker_status> Workers(instant aNow) const;

private:
  struct in_flight_task
  {
    job_handle mJob = 0;
    uint32_t mLane = 0;
    uint32_t mTeam = 0;
    duration mExpected{};
  };

  // A message whose confirmation by the guard renews the lease.
  struct sent_sequence
  {
    uint64_t mSequence;
    instant mSentAt;
  };

  struct worker_row
  {
    peer_identity mIdentity;
    peer_id mPeer = 0;     // 0: no link at present
    uint32_t mHandle = 0;  // of the dispatcher
    worker_traits mTraits; // only valid if mStateKnown
    bool mStateKnown = false;
    bool mLeased = false; // by the last reply; mLeaseEnd may have passed
    bool mRecordsReceived = false; // all its records have been received
    bool mDraining = false;
    uint64_t mRosterVersion = 0; // the first that lists it
    // While its drain waits for copies of its records (mReplicating): the
    // guards that were sent them, and the sequence number whose confirmation
    // shows that they have them.
    std::map<std::string, uint64_t> mPendingReplicas;
    bool mReplicating = false;
    instant mLeaseEnd{}; // 0: no lease
    instant mLastLeaseRequest{};
    instant mLastHeard{};     // last message or connection
    instant mLinkDownSince{}; // only valid if there is no link
    instant mBackoffUntil{};  // gets no tasks until then
    uint64_t mSequence = 0;   // of the last message that renews the lease
    // Messages that renew the lease and were not confirmed yet.
    std::deque<sent_sequence> mUnconfirmed;
    std::unordered_map<task_ref, in_flight_task, task_ref_hash, task_ref_equal>
      mInFlight;
    // Tasks that an earlier owner started and that still run; they occupy
    // slots. Used as a set: the value is always true.
    std::unordered_map<task_ref, bool, task_ref_hash, task_ref_equal> mAdopted;
    // Tasks that an earlier owner started, of jobs that were submitted again
    // here; their results are awaited.
    std::unordered_map<task_ref, job_handle, task_ref_hash, task_ref_equal>
      mRestored;
    std::vector<wire::dispatch_item_msg> mBatch; // dispatches to send
    instant mBatchSince{};
    bool mBatchUrgent = false;   // does not wait for mDispatchLinger
    std::vector<task_ref> mAcks; // acknowledgements to send
    instant mAcksSince{};
  };

  // A task that an earlier owner started, by its record.
  struct recovered_task
  {
    uint32_t mIndex;
    record_state mState;
    bool mHasResult;
    std::string mWorker; // empty: lost, or removed after its drain
  };

  // A submission of an unknown job that waits for missing records.
  struct held_submission
  {
    submission mSubmission;
    waiter mWaiter;
    instant mUntil;
  };

  worker_row* FindByPeer(peer_id aPeer);
  void RequestLease(worker_row& aRow, instant aNow);
  void NextSequence(worker_row& aRow, instant aNow);
  void ConfirmLease(worker_row& aRow, uint64_t aSequence, instant aNow);
  void OnLeased(worker_row& aRow);
  void UpdateAccepting(worker_row& aRow, instant aNow);
  void QueryInFlight(worker_row& aRow);
  void LoseWorker(worker_row& aRow, instant aNow);
  void RemoveWorker(const std::string& aName);
  void AwaitReplicas(worker_row& aRow, instant aNow);
  void FinishDrain(const std::string& aName, bool aReplicated, instant aNow);
  // The guard named aReplica confirmed aSequence, or (0) its link is down.
  void OnReplicaConfirmed(const std::string& aReplica,
                          uint64_t aSequence,
                          instant aNow);
  std::vector<std::string> ReplicaTargets(const worker_row& aFrom) const;
  void ForgetRecordsAt(const std::string& aWorker);
  void CheckComplete(instant aNow);

  void OnResult(worker_row& aRow,
                const wire::task_result_msg& aResult,
                instant aNow);
  void OnRefused(worker_row& aRow,
                 const wire::task_result_msg& aResult,
                 instant aNow);
  void Requeue(const in_flight_task& aTask,
               uint32_t aIndex,
               bool aCounted,
               instant aNow);
  void FinishTask(job_handle aJob,
                  uint32_t aIndex,
                  run_state aRun,
                  task_reason aReason,
                  instant aNow);
  void FinishWithResult(job_handle aJob,
                        wire::task_result_msg aResult,
                        instant aNow);
  void FinishQueued(job_handle aJob, task_reason aReason, instant aNow);

  void Accept(submission aSubmission, const waiter& aWaiter, instant aNow);
  const profile& ProfileFor(const submission& aSubmission, bool aKnownJob);
  uint32_t TeamFor(const std::string& aName);
  void CheckSatisfiable(uint32_t aLane, instant aNow);
  bool RestoreTasks(job_handle aJob, instant aNow);
  void RestoreTask(job_handle aJob, const recovered_task& aTask, instant aNow);
  // The job's tasks in aRow.mRestored.
  static std::vector<task_ref> RestoredOf(const worker_row& aRow,
                                          job_handle aJob);
  void FetchRestored(job_handle aJob);
  bool MergeRecord(const wire::record_summary& aRecord,
                   const worker_row& aFrom,
                   instant aNow);
  void ShedJobs(uint32_t aLane, uint32_t aTeam, uint32_t aCount, instant aNow);
  void AnswerFrom(const job_row& aRow, const waiter& aWaiter);
  void Refuse(const waiter& aWaiter, const failure& aError);
  // Finds a job of aTeam. A team cannot find jobs of other teams, even if it
  // knows their job_id.
  bool FindJobOfTeam(const std::string& aTeam,
                     const job_id& aId,
                     job_handle* aOut) const;
  void AddWaiter(job_handle aJob, const waiter& aWaiter);

  void ReleaseHeld(instant aNow);
  void AddInDoubt(const job_id& aId, instant aNow);
  // Whether aId was refused as in doubt and can no longer be resolved.
  bool IsInDoubt(const job_id& aId) const;
  void FailInDoubt(job_handle aJob, instant aNow);
  void AddAbandoned(const job_row& aRow);
  void SendAbandoned();
  void ExpireWaiters(instant aNow);
  void ExpireDeadlines(instant aNow);
  void FailUnsatisfiable(instant aNow);
  void CheckWorkers(instant aNow);
  void Schedule(instant aNow);
  void AddToBatch(worker_row& aRow,
                  const assignment& aStart,
                  uint32_t aIndex,
                  instant aNow);
  void Flush(worker_row& aRow, instant aNow);
  void FlushUnsent(instant aNow);
  void AddAck(worker_row& aRow, const task_ref& aRef, instant aNow);
  void HandOver(peer_id aSuccessor, instant aNow);
  void AddWorkerList(wire::handover_msg* aPart, instant aNow) const;
  void ReplicateRecords(const worker_row& aFrom,
                        const wire::records_msg& aRecords);

  owner_options mOptions;
  uint64_t mEpoch;
  owner_safeguards mSafeguards;
  peer_network& mNetwork;
  answer_sink& mAnswers;
  event_sink& mEvents;
  random_source& mRandom;
  instant mClaimedAt;
  deployment_config mConfig;
  dispatcher mDispatcher;
  job_table mJobs;
  std::map<std::string, worker_row> mWorkers;
  std::unordered_map<uint32_t, std::string> mWorkerByHandle;
  std::unordered_map<peer_id, std::string> mWorkerByPeer;
  // Names of workers with dispatches or acknowledgements to send, so that the
  // cost of a tick grows with the changes and not with the number of workers.
  std::set<std::string> mUnsent;
  // Traits of workers that are not connected, and when they last were. A job
  // that needs such a worker waits for it.
  std::map<std::string, std::pair<worker_traits, instant>> mAbsent;
  // Workers that may hold records, as known at the claim.
  std::vector<known_worker> mKnownAtClaim;
  // Those whose records are still awaited.
  std::vector<known_worker> mMissing;
  // Workers that were lost, or drained without copies of their records, within
  // the retention time.
  std::vector<known_worker> mLostWorkers;
  bool mEverLeased = false; // some guard has granted this owner a lease
  bool mSuperseded = false;
  bool mInDoubtReported = false; // by the event shard_in_doubt
  // Jobs that were refused as in doubt, and when last. They are removed when
  // all missing workers have reported. When a missing worker's retention ends
  // before it reports (mInDoubtExpired), nobody can tell any more whether
  // these jobs were started, and their queued tasks fail with an unknown run
  // state.
  std::unordered_map<job_id, instant, job_id_hash> mInDoubt;
  bool mInDoubtExpired = false;
  // Records of earlier owners' tasks whose jobs were not submitted here yet.
  std::unordered_map<job_id, std::vector<recovered_task>, job_id_hash>
    mRecovered;
  // Undecided jobs handed over by the previous owner, with the results of
  // their finished tasks.
  std::unordered_map<job_id, wire::decided_job_msg, job_id_hash> mInherited;
  std::deque<held_submission> mHeld;
  // Job and token of each waiter, by the time when it is answered at the
  // latest. An entry may remain after its waiter was answered.
  std::multimap<instant, std::pair<job_handle, uint64_t>> mWaiterTimeouts;
  // Jobs that were decided with tasks that did not run. With the next tick,
  // up to two leased guards (kRecordReplicas) record them.
  std::vector<task_ref> mAbandoned;
  // Jobs for which no known worker exists, to be failed if there is still none
  // after mDiscoveryTime.
  std::vector<job_handle> mUnsatisfiable;
  uint64_t mRosterVersion = 1;
  uint64_t mStoredRosterVersion = 0; // the newest stored version
  instant mNextCheck{}; // when Tick checks workers and retention next
  owner_counters mCounters;
};

} // namespace cactusmast

#endif // CACTUSMAST_SHARD_OWNER_H_
