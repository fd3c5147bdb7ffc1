// The decisions of a guard: the small process beside one backend server.
//
// A guard is the authority over its backend server's slots. It leases them to
// one entry at a time, the owner of its shard, and starts a task only when
//   - the dispatch comes from the lease's holder, carries the lease's epoch,
//     and the lease has not expired by the guard's own clock;
//   - it holds no record of the task, neither started nor revoked;
//   - a slot is free and the backend server is announced.
// Anything else is refused, and a refused task is one that never started and
// never will under that dispatch.
//
// The guard keeps a record of every task it started, with its result, for the
// retention time. These records ensure that a task starts at most once even
// when an entry is lost: a new owner is granted the lease together with the
// records, and asks the guard before it starts a task again. Epochs only grow,
// so once the new owner holds the lease, no dispatch of the old one starts
// anything. A task that the owner asks about and the guard has never seen is
// recorded as revoked (a tombstone), so that a dispatch that is still in
// transit cannot start it later.
//
// Slots, records and result bytes are bounded. When the records are full, the
// guard refuses new tasks rather than delete a record early.

#ifndef CACTUSMAST_GUARD_NODE_H_
#define CACTUSMAST_GUARD_NODE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/ports.h"
#include "cactusmast/profile.h"

namespace cactusmast {

struct guard_options
{
  std::string mName;
  uint32_t mShard = 0;
  // Addresses of entries to connect to until the table's list was read.
  std::vector<std::string> mSeedEntries;
  // A lease expires this long after it was last granted or renewed.
  duration mLeaseDuration = std::chrono::milliseconds(2500);
  // How long records are kept after their task has ended.
  duration mRetention = std::chrono::minutes(5);
  uint32_t mMaxRecords = 100000;
  uint64_t mMaxResultBytes = 24u << 20;
  // An announcement expires this long after it was last renewed.
  duration mAnnouncementTimeout = std::chrono::seconds(2);
  // Links over which nothing arrived for this long are replaced.
  duration mLinkTimeout = std::chrono::seconds(45);
  // The same while no entry holds the lease.
  duration mUnleasedLinkTimeout = std::chrono::seconds(4);
  // Between reads of the table's list of entries.
  duration mTableInterval = std::chrono::seconds(30);
};

// Safeguards that tests switch off one by one, to show that a scenario fails
// without each of them. Always on in daemons.
struct guard_safeguards
{
  bool mCheckEpoch = true;      // refuse dispatches not from the holder
  bool mCheckExpiry = true;     // refuse dispatches after the lease's end
  bool mTombstones = true;      // record revoked tasks
  bool mDeduplicate = true;     // ignore dispatches of recorded tasks
  bool mMonotonicConfig = true; // ignore older configurations
  bool mRefuseWithdrawn = true; // refuse while nothing is announced
  // Close all links after this process was paused for longer than a lease.
  bool mCloseLinksAfterPause = true;
};

struct backend_announcement
{
  std::string mUrl;
  std::vector<std::string> mServices;
  uint32_t mSlots = 0; // tasks that may run at a time
  uint32_t mCpus = 0;
  uint32_t mMemoryMb = 0;
  uint32_t mAccelerators = 0;
};

struct task_start
{
  task_ref mRef;
  std::string mProfile;
  std::string mService;
  std::string mPayload;
};

// The guard's connection to its backend server.
class backend_port
{
public:
  virtual ~backend_port() = default;
  // Calls guard_node::OnTaskEnded when the task has ended.
  virtual void Start(const task_start& aTask) = 0;
  // Best effort. OnTaskEnded may or may not follow.
  virtual void Cancel(const task_ref& aRef) = 0;
};

struct task_completion
{
  task_ref mRef;
  task_outcome mOutcome = task_outcome::Failed;
  run_state mRunState = run_state::Unknown;
  task_reason mReason = task_reason::None;
  std::string mOutput;
};

// Counts of tasks since the guard started.
struct guard_counters
{
  uint64_t mStarted = 0;
  uint64_t mRefused = 0;
  uint64_t mSucceeded = 0;
  uint64_t mFailed = 0;
  uint64_t mTombstones = 0;
};

class guard_node
{
public:
  guard_node(guard_options aOptions,
             peer_network& aNetwork,
             table_store& aTable,
             backend_port& aBackend,
             event_sink& aEvents,
             guard_safeguards aSafeguards = {});

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity, instant aNow);
  void OnPeerDown(peer_id aPeer, instant aNow);
  void OnMessage(peer_id aPeer, const message& aMessage, instant aNow);
  void OnTableReply(const table_reply& aReply, instant aNow);

  // Announces the backend server or renews its announcement. Throws
  // failure(Draining) while the guard drains.
  void Announce(const backend_announcement& aBackend, instant aNow);
  void Withdraw(instant aNow);
  // Ignored for tasks that are not running.
  void OnTaskEnded(const task_completion& aEnd, instant aNow);

  void Tick(instant aNow);

  // From now on nothing new starts. Running tasks finish, their results are
  // acknowledged and the records are handed over to the owner.
  void BeginDrain(instant aNow);
  // True once nothing runs and the owner has confirmed the handover; without
  // records there is nothing to hand over.
  bool IsDrained() const;

  uint64_t ConfigVersion() const { return mConfig.mVersion; }
  const guard_counters& Counters() const { return mCounters; }
  uint32_t Running() const { return mRunning; }
  size_t Records() const { return mRecords.size(); }
  uint64_t ResultBytes() const { return mResultBytes; }
  uint64_t Epoch() const { return mEpoch; }
  bool Leased(instant aNow) const;
  const backend_announcement& Backend() const { return mBackend; }
  bool IsAnnounced() const { return mAnnounced; }
  bool IsDraining() const { return mDraining; }

private:
  // State of one link to an entry.
  struct peer_row
  {
    peer_identity mIdentity;
    instant mLastHeard{};
  };

  struct record
  {
    record_state mState = record_state::Running;
    bool mAcked = false;     // the owner has the result, or none will be sent
    bool mHasResult = false; // mResult holds the output
    instant mStarted{};
    instant mTimeoutAt{};
    instant mEnded{}; // when it ended or was revoked; 0 while it runs
    wire::task_result_msg mResult;
  };

  // A record by the time when its task ended or was revoked.
  struct ended_row
  {
    instant mEnded;
    task_ref mRef;
  };

  using record_map =
    std::unordered_map<task_ref, record, task_ref_hash, task_ref_equal>;

  void OnLeaseRequest(peer_id aPeer,
                      const wire::lease_request_msg& aRequest,
                      instant aNow);
  void OnLeaseRelease(peer_id aPeer, const wire::lease_release_msg& aRelease);
  void OnDispatch(peer_id aPeer,
                  const wire::dispatch_msg& aDispatch,
                  instant aNow);
  // The owner asks about dispatches in doubt. Tasks without a record are
  // revoked: a dispatch of them that arrives later is refused.
  void OnSettle(peer_id aPeer, const wire::settle_msg& aSettle, instant aNow);
  void OnCancel(const wire::cancel_tasks_msg& aCancel, instant aNow);
  void OnAbandon(const wire::abandon_msg& aAbandon, instant aNow);
  // Sends the results of the given tasks again.
  void OnFetch(peer_id aPeer, const wire::fetch_msg& aFetch);
  void OnVersionRead(const table_reply& aReply);
  void OnConfig(const wire::config_push_msg& aPush);
  void AddRecordCopies(const wire::records_msg& aRecords, instant aNow);
  void OnPeerStatus(const wire::peer_status_msg& aStatus);
  void Acknowledge(const std::vector<task_ref>& aRefs);

  // Why aItem may not start here, or None.
  task_reason RefusalReason(peer_id aPeer,
                            const wire::dispatch_msg& aDispatch,
                            const wire::dispatch_item_msg& aItem,
                            instant aNow) const;
  void StartTask(const wire::dispatch_item_msg& aItem, instant aNow);
  void Refuse(peer_id aPeer, const task_ref& aRef, task_reason aReason);
  void Finish(const task_ref& aRef, record& aRecord, instant aNow);
  void AddTombstone(const task_ref& aRef, instant aNow);
  uint32_t TimeoutMs(const wire::dispatch_item_msg& aItem) const;

  bool IsHolder(peer_id aPeer) const { return aPeer == mHolder; }
  void GrantLease(peer_id aPeer,
                  const wire::lease_request_msg& aRequest,
                  instant aNow);
  void SendRecords(peer_id aPeer, bool aIsHandover);
  void ResendUnackedResults();
  void SendState(peer_id aPeer);
  void BroadcastState();
  void EndAnnouncement(event_code aCode);
  void TimeOutTasks(instant aNow);
  void ExpireRecords(instant aNow);
  void DeleteOldOutputs();
  void FlushResults();
  void CheckPause(instant aNow);
  void CloseOlderLinks(const peer_identity& aIdentity);
  void CloseTimedOutLinks(instant aNow);
  void ConnectMissing();
  void FinishDrain();

  guard_options mOptions;
  peer_network& mNetwork;
  table_store& mTable;
  backend_port& mBackendPort;
  event_sink& mEvents;
  guard_safeguards mSafeguards;

  std::map<peer_id, peer_row> mPeers;
  std::vector<std::string> mEntryAddresses;

  // The lease. mEpoch never decreases. The holder's name and incarnation
  // outlast its link, so that it can renew over a new one.
  peer_id mHolder = 0; // 0: the holder is not connected, or there is none
  std::string mHolderName;
  uint64_t mHolderIncarnation = 0;
  uint64_t mEpoch = 0;
  instant mLeaseEnd{};
  bool mLeaseHeld = false; // until it is released or Tick sees it expired
  uint64_t mSequence = 0;  // of the holder's latest message, echoed back

  record_map mRecords;
  std::deque<ended_row> mEndedRecords; // oldest first, for the retention time
  std::deque<task_ref> mResultsByAge;  // oldest first, for mMaxResultBytes
  uint64_t mResultBytes = 0;           // of the outputs held in mRecords
  std::map<instant, std::vector<task_ref>> mTimeouts;
  uint32_t mRunning = 0;
  std::vector<wire::task_result_msg> mOutbox; // to be sent to the holder

  backend_announcement mBackend;
  bool mAnnounced = false;
  instant mAnnouncementEnd{};

  deployment_config mConfig;
  // A new guard knows no version and would accept an old configuration from a
  // peer that lags behind. It reads the version from the table once and holds
  // the newest configuration that was pushed until any reply arrives.
  uint64_t mVersionRequest = 0; // 0: none is outstanding
  bool mVersionReadDone = false;
  uint64_t mTableVersion = 0; // 0: not known
  wire::config_push_msg mPushedConfig;
  guard_counters mCounters;
  uint64_t mTableRequest = 0; // for the list of entries; 0: none outstanding
  instant mNextTableRead{};
  instant mNextConnect{};
  instant mLastActive{}; // when a peer or Tick last called; 0: never yet
  instant mGraceUntil{}; // tasks and the announcement do not time out before
  bool mDraining = false;
  bool mRecordsHandedOver = false; // confirmed by the owner
  bool mRecordsReplicated = false; // other guards hold copies of them
  bool mHandoverSent = false;      // to the present holder, over this link
};

} // namespace cactusmast

#endif // CACTUSMAST_GUARD_NODE_H_
