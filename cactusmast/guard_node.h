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
// The guard remembers every task it started, with its result, for the
// retention time. These records are what makes "at most once" survive the
// loss of an entry: a new owner is granted the lease together with the
// records, and asks here before it starts anything again. Epochs only grow,
// so once the new owner holds the lease, nothing that the old one still sends
// can start. A task that the owner asks about and the guard has never seen is
// recorded as revoked (a tombstone), so that a dispatch that is still under
// way cannot start later.
//
// Everything is bounded: slots, records, result bytes. When the records are
// full the guard refuses to start rather than forget.

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
  // Entries to try before the table has told which there are.
  std::vector<std::string> mSeedEntries;
  // The holder must renew within this time.
  duration mLease = std::chrono::milliseconds(2500);
  // How long starts and results are remembered after their end.
  duration mRetention = std::chrono::minutes(5);
  uint32_t mMaxRecords = 100000;
  uint64_t mMaxResultBytes = 24u << 20;
  // Announcements not renewed for this long end.
  duration mAnnouncementLife = std::chrono::seconds(2);
  // Links over which nothing came for this long are replaced.
  duration mLinkTimeout = std::chrono::seconds(45);
  // The same while no entry holds the lease.
  duration mUnleasedLinkTimeout = std::chrono::seconds(4);
  duration mTableInterval = std::chrono::seconds(30);
};

// Safeguards that tests switch off one by one, to show that a scenario fails
// without each of them. Always on in daemons.
struct guard_safeguards
{
  bool mCheckEpoch = true;
  bool mCheckExpiry = true;
  bool mTombstones = true;
  bool mDeduplicate = true;
  bool mMonotonicConfig = true;
  bool mRefuseWithdrawn = true;
  bool mDropLinksAfterPause = true;
};

struct backend_announcement
{
  std::string mUrl;
  std::vector<std::string> mServices;
  uint32_t mSlots = 0;
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

// The backend server as the guard drives it.
class backend_port
{
public:
  virtual ~backend_port() = default;
  virtual void Start(const task_start& aTask) = 0;
  // Best effort; OnTaskEnded is still expected to follow or not at all.
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

  // Announces or renews. Throws failure(Draining) during a planned stop.
  void Announce(const backend_announcement& aBackend, instant aNow);
  void Withdraw(instant aNow);
  void OnTaskEnded(const task_completion& aEnd, instant aNow);

  void Tick(instant aNow);

  // A planned stop: nothing new starts; running tasks finish, their results
  // are acknowledged and the records handed to the owner.
  void BeginDrain(instant aNow);
  bool IsDrained() const;

  uint64_t ConfigVersion() const { return mConfig.mVersion; }
  const guard_counters& Counters() const { return mCounters; }
  uint32_t Running() const { return mRunning; }
  size_t Records() const { return mRecords.size(); }
  uint64_t ResultBytes() const { return mResultBytes; }
  uint64_t Epoch() const { return mEpoch; }
  bool Leased(instant aNow) const;
  const backend_announcement& Backend() const { return mBackend; }
  bool Announced() const { return mAnnounced; }
  bool IsDraining() const { return mDraining; }

private:
  struct peer_row
  {
    peer_identity mIdentity;
    instant mLastHeard{};
  };

  struct record
  {
    record_state mState = record_state::Running;
    bool mAcked = false;
    bool mHasResult = false;
    instant mStarted{};
    instant mTimeoutAt{};
    instant mEnded{};
    wire::task_result_msg mResult;
  };

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
  void OnSettle(peer_id aPeer, const wire::settle_msg& aSettle, instant aNow);
  void OnCancel(const wire::cancel_tasks_msg& aCancel, instant aNow);
  void OnAbandon(const wire::abandon_msg& aAbandon, instant aNow);
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
  void GrantTo(peer_id aPeer,
               const wire::lease_request_msg& aRequest,
               instant aNow);
  void SendRecords(peer_id aPeer, bool aCleanStop);
  void ResendUnacked();
  void SendState(peer_id aPeer);
  void BroadcastState();
  void EndBackend(event_code aCode);
  void TimeOutTasks(instant aNow);
  void ExpireRecords(instant aNow);
  void TrimResults();
  void FlushResults();
  void NoticePause(instant aNow);
  void DropOlderLinks(const peer_identity& aIdentity);
  void DropSilentLinks(instant aNow);
  void ConnectMissing();
  void FinishDrain();

  guard_options mOptions;
  peer_network& mNetwork;
  table_store& mTable;
  backend_port& mBackendPort;
  event_sink& mEvents;
  guard_safeguards mSafeguards;

  std::map<peer_id, peer_row> mPeers;
  std::vector<std::string> mEntries; // addresses

  // The lease. mEpoch never decreases.
  peer_id mHolder = 0;
  std::string mHolderName;
  uint64_t mHolderIncarnation = 0;
  uint64_t mEpoch = 0;
  instant mLeaseEnd{};
  bool mLeaseHeld = false;
  uint64_t mSequence = 0; // of the holder's latest message, echoed back

  record_map mRecords;
  std::deque<ended_row> mEndedOrder;
  std::deque<task_ref> mResultOrder; // for the byte budget
  uint64_t mResultBytes = 0;
  std::map<instant, std::vector<task_ref>> mTimeouts;
  uint32_t mRunning = 0;
  std::vector<wire::task_result_msg> mOutbox; // to the holder

  backend_announcement mBackend;
  bool mAnnounced = false;
  instant mAnnouncementEnd{};

  deployment_config mConfig;
  // A new guard knows no version, and would believe a peer that lags. It asks
  // the table once; until that is answered, the newest offer waits.
  uint64_t mVersionRequest = 0;
  bool mVersionTried = false;
  uint64_t mTableVersion = 0;
  wire::config_push_msg mOffered;
  guard_counters mCounters;
  uint64_t mTableRequest = 0;
  instant mNextTableRead{};
  instant mNextConnect{};
  instant mLastActive{};
  instant mGraceUntil{};
  bool mDraining = false;
  bool mRecordsHandedOver = false;
  bool mRecordsKept = false;
  bool mHandOverSent = false;
};

} // namespace cactusmast

#endif // CACTUSMAST_GUARD_NODE_H_
