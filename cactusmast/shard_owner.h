// The entry's side of a shard that it owns: leases on the workers' slots, the
// jobs, and the recovery of what an earlier owner started.
//
// Ownership is not written down anywhere. An entry owns a shard as far as the
// shard's guards lease their slots to it, and a guard leases to one owner at a
// time (guard_node.h). A new owner therefore learns, together with each
// lease, everything that ever started on that worker within the retention
// time. Once every worker that may hold records has reported, the shard is
// complete: a key without a record was certainly never started, and is
// accepted. Before that, unknown keys wait a moment and are then refused as
// in doubt; known ones are answered from the records.
//
// A dispatch without an answer is never sent elsewhere. When a worker's link
// breaks, its tasks stay its own; when the link is back, the guard is asked
// about each, and only those it then revokes are dispatched again. When the
// worker is gone for good (a new incarnation, or silence for the give-up
// time), its tasks are settled as failed with run state unknown.
//
// The lease is counted from the moment the renewal was sent, so this side
// always believes it to end before the guard does, whatever the delay between
// them and however long this process was paused.

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

// The step of an Unavailable reply that asks the sending entry to find the
// shard's owner again; callers never see it.
constexpr char kRouteStep[] = "route";

struct owner_options
{
  uint32_t mShard = 0;
  std::string mDataCenter;
  dispatcher_options mDispatcher;
  job_table_options mJobs;
  // Must not be longer than the guards'.
  duration mLease = std::chrono::milliseconds(2500);
  duration mLeaseMargin = std::chrono::milliseconds(200);
  duration mRenewInterval = std::chrono::milliseconds(900);
  // A worker without a working link for this long is given up.
  duration mWorkerTimeout = std::chrono::seconds(10);
  // Unknown keys wait this long for missing records.
  duration mHold = std::chrono::seconds(5);
  size_t mMaxHeld = 10000;
  // After a claim, time for workers to attach before a job may be found
  // unsatisfiable.
  duration mDiscovery = std::chrono::seconds(3);
  // After a job's deadline, time for the guards' last results to arrive.
  duration mDeadlineGrace = std::chrono::seconds(1);
  // Acknowledgements travel with dispatches; alone only after this long.
  duration mAckLinger = std::chrono::milliseconds(500);
  // Profiles that prefer few messages wait this long for company.
  duration mDispatchLinger = std::chrono::milliseconds(4);
  // Latency there and back, assumed for workers elsewhere.
  duration mRemoteLatency = std::chrono::milliseconds(1);
};

// Safeguards that tests switch off to show what each is for.
struct owner_safeguards
{
  bool mWaitForRecords = true;
  bool mUseRecords = true;
  bool mSettleBeforeRetry = true;
  bool mLeaseMargin = true;
  bool mDeduplicateJobs = true;
  bool mStepDownWhenSuperseded = true;
  bool mRecordAbandoned = true;
};

// A worker incarnation that may hold records of this shard.
struct known_worker
{
  std::string mName;
  uint64_t mIncarnation = 0;
  // When this process last knew it alive; its records matter for the
  // retention time from then.
  instant mLastAlive{};
};

// Stands for workers that a new process cannot know of while the table is
// away.
constexpr char kUnlistedWorker[] = "(unlisted)";

// What a guard announced, without the latency to it.
worker_traits
TraitsOf(const wire::worker_state_msg& aState);

// Receives the owner's answers to waiters.
class answer_sink
{
public:
  virtual ~answer_sink() = default;
  virtual void Answer(uint64_t aToken, wire::job_reply_msg aReply) = 0;
};

// Messages by kind, for the users' measure of wasted ones.
struct owner_counters
{
  uint64_t mDispatchMessages = 0;
  uint64_t mDispatchedTasks = 0;
  uint64_t mRepeatedTasks = 0; // dispatched again after a refusal
  uint64_t mResultMessages = 0;
  uint64_t mResultTasks = 0;
  uint64_t mDuplicateResults = 0;
  uint64_t mRefusedTasks = 0;
  uint64_t mAckMessages = 0; // that carried nothing else
  uint64_t mSettleMessages = 0;
  uint64_t mCancelMessages = 0;
  uint64_t mFetchMessages = 0;
  uint64_t mAbandonMessages = 0;
  uint64_t mLeaseMessages = 0;
  uint64_t mJobsAccepted = 0;
  uint64_t mJobsRefused = 0;
  uint64_t mJobsComplete = 0;
  uint64_t mJobsFailed = 0;
};

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
  // What workers that this process saw before could do.
  void SetAbsent(
    std::map<std::string, std::pair<worker_traits, instant>> aAbsent)
  {
    mAbsent = std::move(aAbsent);
  }

  // A guard of this shard connected, perhaps again.
  void Attach(peer_id aPeer, const peer_identity& aIdentity, instant aNow);
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
  // Part of what the previous owner knew, at a planned change of owners.
  void OnHandover(const wire::handover_msg& aPart, instant aNow);

  void Submit(submission aSubmission, const waiter& aWaiter, instant aNow);
  void Watch(const std::string& aTeam,
             const job_id& aId,
             const waiter& aWaiter,
             instant aNow);
  void Cancel(const std::string& aTeam,
              const job_id& aId,
              const waiter& aWaiter,
              instant aNow);

  void Tick(instant aNow);

  // Gives the shard up: what the successor needs goes to aSuccessor (0: to
  // nobody) and the guards are released. Undecided jobs come back to be
  // submitted again to the successor, with their waiters.
  struct moved_job
  {
    submission mSubmission;
    std::vector<waiter> mWaiters;
  };
  std::vector<moved_job> StepDown(peer_id aSuccessor, instant aNow);

  // Everything that waits or runs is settled with what is known of it.
  void FailAll(instant aNow);

  bool Complete() const { return mMissing.empty(); }
  uint64_t Epoch() const { return mEpoch; }
  // A guard was leased to another owner after this one began. That owner may
  // have started tasks that stand as queued here, so this one must give up
  // and, if it is to own the shard again, begin anew from the records.
  bool Superseded() const { return mSuperseded; }
  uint32_t LeasedWorkers(instant aNow) const;
  const owner_counters& Counters() const { return mCounters; }
  dispatcher& Dispatcher() { return mDispatcher; }
  job_table& Jobs() { return mJobs; }

  // Workers that may hold records, for the shard's roster row; the version
  // grows with every change of the list.
  std::vector<known_worker> Roster() const;
  uint64_t RosterVersion() const { return mRosterVersion; }
  // The roster row of aVersion is stored, or cannot be stored at present:
  // workers in it may be given work.
  void OnRosterStored(uint64_t aVersion);
  // The stored roster could be read only after the claim: it replaces the
  // placeholder for workers that nobody could name.
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
    double mSlowness = 0;
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

  struct sent_sequence
  {
    uint64_t mSequence;
    instant mSent;
  };

  struct worker_row
  {
    peer_identity mIdentity;
    peer_id mPeer = 0; // 0: no link at present
    uint32_t mHandle = 0;
    worker_traits mTraits;
    bool mStateKnown = false;
    bool mLeased = false;
    bool mRecordsIn = false;
    bool mDraining = false;
    uint64_t mRosterVersion = 0; // the first that lists it
    // Of a clean stop under way: the guards that were sent copies of its
    // records, and the sequence whose confirmation shows that they have them.
    std::map<std::string, uint64_t> mAwaitedCopies;
    bool mStopping = false;
    instant mLeaseEnd{};
    instant mLastRequest{};
    instant mLastHeard{};
    instant mLinkDownSince{};
    instant mBackOffUntil{};
    uint64_t mSequence = 0;
    std::deque<sent_sequence> mSent;
    std::unordered_map<task_ref, in_flight_task, task_ref_hash, task_ref_equal>
      mInFlight;
    // Started by an earlier owner and still running.
    std::unordered_map<task_ref, bool, task_ref_hash, task_ref_equal> mAdopted;
    // Started by an earlier owner for jobs that were submitted again here.
    std::unordered_map<task_ref, job_handle, task_ref_hash, task_ref_equal>
      mRestored;
    std::vector<wire::dispatch_item_msg> mBatch;
    instant mBatchSince{};
    bool mBatchUrgent = false;
    std::vector<task_ref> mAcks;
    instant mAcksSince{};
  };

  struct recovered_task
  {
    uint32_t mIndex;
    record_state mState;
    bool mHasResult;
    std::string mWorker; // empty: gone
  };

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
  void OnCleanStop(worker_row& aRow, instant aNow);
  void FinishCleanStop(const std::string& aName, bool aKept, instant aNow);
  // The guard called aCopier confirmed aSequence, or (0) will not.
  void OnCopyConfirmed(const std::string& aCopier,
                       uint64_t aSequence,
                       instant aNow);
  std::vector<std::string> Copiers(const worker_row& aFrom) const;
  void ForgetRecordsAt(const std::string& aWorker);
  void CheckComplete(instant aNow);

  void OnResult(worker_row& aRow,
                const wire::task_result_msg& aResult,
                instant aNow);
  void OnRefused(worker_row& aRow,
                 const wire::task_result_msg& aResult,
                 instant aNow);
  void Requeue(const in_flight_task& aFlight,
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
  // The job's tasks that an earlier owner started on aRow's worker.
  static std::vector<task_ref> RestoredOf(const worker_row& aRow,
                                          job_handle aJob);
  void FetchRestored(job_handle aJob);
  bool MergeRecord(const wire::record_summary& aRecord,
                   const worker_row& aFrom,
                   instant aNow);
  void MakeRoom(uint32_t aLane, uint32_t aTeam, uint32_t aCount, instant aNow);
  void AnswerFrom(const job_row& aRow, const waiter& aWaiter);
  void Refuse(const waiter& aWaiter, const failure& aError);
  // A team finds its own jobs only, even with another's identity in hand.
  bool FindOf(const std::string& aTeam,
              const job_id& aId,
              job_handle* aOut) const;
  void AddWaiter(job_handle aJob, const waiter& aWaiter);

  void ReleaseHeld(instant aNow);
  void AddInDoubt(const job_id& aId, instant aNow);
  // Whether aId was refused as in doubt and that doubt was never resolved.
  bool IsInDoubt(const job_id& aId) const;
  void FailInDoubt(job_handle aJob, instant aNow);
  void NoteAbandoned(const job_row& aRow);
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
  void ListWorkers(wire::handover_msg* aPart, instant aNow) const;
  void PassRecordsOn(const worker_row& aFrom,
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
  // Names of workers with dispatches or acknowledgements to send: a tick
  // costs by what changed, not by how many workers there are.
  std::set<std::string> mUnsent;
  // What workers that are absent could do, so that a job for them waits.
  std::map<std::string, std::pair<worker_traits, instant>> mAbsent;
  // At the claim, and those of them that have not reported yet.
  std::vector<known_worker> mInitialKnown;
  std::vector<known_worker> mMissing;
  std::vector<known_worker> mLostWorkers; // lost under this owner
  bool mEverLeased = false;
  bool mSuperseded = false;
  bool mInDoubtReported = false;
  // Keys that were refused as in doubt, and when last. If the missing workers
  // report, they are forgotten; if the workers are given up, these keys can
  // never be told from started ones and are answered as unknown.
  std::unordered_map<job_id, instant, job_id_hash> mInDoubt;
  bool mInDoubtExpired = false;
  std::unordered_map<job_id, std::vector<recovered_task>, job_id_hash>
    mRecovered;
  std::unordered_map<job_id, wire::decided_job_msg, job_id_hash> mInherited;
  std::deque<held_submission> mHeld;
  std::multimap<instant, std::pair<job_handle, uint64_t>> mWaiterEnds;
  // Decided with tasks that never started; told to two guards with the next
  // tick.
  std::vector<task_ref> mAbandoned;
  std::vector<job_handle> mUnsatisfiable; // waiting to be told so
  uint64_t mRosterVersion = 1;
  uint64_t mStoredRoster = 0;
  instant mNextKeep{};
  owner_counters mCounters;
};

} // namespace cactusmast

#endif // CACTUSMAST_SHARD_OWNER_H_
