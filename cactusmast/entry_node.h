// The logic of an entry process: callers' requests, ownership of shards,
// membership and configuration.
//
// The identity of a job determines its shard, and every shard has one owner
// among the entries. An entry that gets a request for a shard of another owner
// forwards it, keeps the submission until the answer arrives, and forwards it
// to the next owner if the first one is lost. This is transparent to the
// caller, because resubmission is safe.
//
// Ownership is sticky. A live owner keeps its shard until it drains or times
// out. An entry claims only shards without an owner; among several candidates,
// the one with the greatest rendezvous weight claims the shard. Two entries
// that receive no messages from each other may both claim a shard, but the
// guards grant their leases to one of them at a time (guard_node.h), so the
// other gets no slots. Once messages arrive again, the one with fewer leases
// steps down.
//
// Entries find each other through expiring rows in the platform's table and
// through connected peers; guards connect to every entry. Running tasks depend
// neither on the table nor on any single entry.

#ifndef CACTUSMAST_ENTRY_NODE_H_
#define CACTUSMAST_ENTRY_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/config_agent.h"
#include "cactusmast/ports.h"
#include "cactusmast/shard_owner.h"

namespace cactusmast {

namespace detail {

// Interval at which requests are routed again while their shard has no known
// owner.
constexpr duration kRouteInterval = std::chrono::milliseconds(50);

} // namespace detail

struct entry_options
{
  std::string mName;
  uint64_t mIncarnation = 0; // distinguishes restarts of the process
  std::string mAddress;      // IP:PORT, on which peers connect
  std::string mDataCenter;
  std::string mRegion;
  // Addresses of entries to connect to, also before the table has been read.
  std::vector<std::string> mSeedEntries;
  owner_options mOwner;
  config_options mConfig;
  // Derived from the secret of the deployment. It seeds the hash that makes job
  // identities, so that callers cannot make two keys collide.
  uint64_t mIdentitySeed = 0;
  // Interval of the status messages to other entries.
  duration mStatusInterval = std::chrono::seconds(1);
  // An entry that has sent no message for this long has timed out.
  duration mPeerTimeout = std::chrono::seconds(3);
  // Time after a start before shards are claimed, in which other entries report
  // what they own.
  duration mClaimDelay = std::chrono::milliseconds(1500);
  // A request fails if its shard has no known owner for this long.
  duration mRouteTimeout = std::chrono::seconds(6);
  // Interval at which the entry renews its row in the table, and the age at
  // which rows of other entries expire.
  duration mRowInterval = std::chrono::seconds(10);
  int64_t mRowLifetimeSeconds = 60;
  // Interval at which guards get the addresses of all entries.
  duration mGuardStatusInterval = std::chrono::seconds(20);
  size_t mMaxRequests = 20000; // open requests
  // Maximum total size of the payloads of open requests.
  uint64_t mMaxRequestBytes = 24u << 20;
};

// Safeguards that tests switch off to show that each is needed.
struct entry_safeguards
{
  owner_safeguards mShardOwner;
  config_safeguards mConfig;
};

// The API layer, which holds the callers' connections.
class caller_port
{
public:
  virtual ~caller_port() = default;
  virtual void Reply(caller_id aCaller, const wire::job_reply_msg& aReply) = 0;
  // Reports the outcome of a change that was passed to entry_node::Change.
  virtual void OnChangeDone(const change_outcome& aOutcome) = 0;
};

// Status of one process, for operators.
struct process_status
{
  process_role mRole = process_role::Entry;
  std::string mName;
  uint64_t mIncarnation = 0;
  std::string mDataCenter;
  uint64_t mConfigVersion = 0; // in force there; 0: none or not known
  bool mDraining = false;
  // Of guards only.
  uint32_t mShard = 0;
  uint32_t mSlots = 0;
  uint32_t mRunning = 0;
  std::vector<std::string> mServices;
};

class entry_node
  : public answer_sink
  , public config_listener
{
public:
  entry_node(entry_options aOptions,
             peer_network& aNetwork,
             table_store& aTable,
             caller_port& aCallers,
             event_sink& aEvents,
             random_source& aRandom,
             instant aNow,
             entry_safeguards aSafeguards = {});

  // A peer has connected and authenticated. An earlier connection of a process
  // with the same name and role is closed.
  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity, instant aNow);
  void OnPeerDown(peer_id aPeer, instant aNow);
  void OnMessage(peer_id aPeer, const message& aMessage, instant aNow);
  void OnTableReply(const table_reply& aReply, instant aNow);
  // aWallSeconds: time of day in seconds since the epoch, for rows that other
  // processes read.
  void Tick(instant aNow, int64_t aWallSeconds);

  // The job identity of a submission of aTeam with idempotency key aKey.
  job_id IdentityOf(const std::string& aTeam, const std::string& aKey) const;

  // Each of these requests gets exactly one reply through caller_port. If the
  // job has not ended after aWait, the reply has the state "running".
  void Submit(caller_id aCaller,
              submission aSubmission,
              duration aWait,
              instant aNow);
  void Await(caller_id aCaller,
             const std::string& aTeam,
             const job_id& aId,
             duration aWait,
             instant aNow);
  void Cancel(caller_id aCaller,
              const std::string& aTeam,
              const job_id& aId,
              duration aWait,
              instant aNow);
  // The caller's connection is closed, so its reply is discarded.
  void OnCallerDisconnected(caller_id aCaller);
  // Queues a change of the configuration; caller_port::OnChangeDone reports its
  // outcome. Throws failure if it cannot be queued.
  void Change(const config_change& aChange, instant aNow);

  // Starts a drain: new requests are refused, shards are handed over to a
  // successor, and open requests are still answered.
  void BeginDrain(instant aNow);
  bool IsDraining() const { return mDraining; }
  bool IsDrained() const;
  // Ends a drain that took too long: every open request is answered with what
  // is known of its job, every queued change with what is known of it.
  void AbortDrain(instant aNow);

  const config_agent& Config() const { return mConfig; }
  std::vector<process_status> Processes(instant aNow) const;
  std::vector<shard_owner::worker_status> Workers(instant aNow) const;
  // Sums over the shards that this process owns or has owned.
  owner_counters Counters() const;
  struct shard_status
  {
    uint32_t mShard = 0;
    std::string mOwner;      // name of the entry; empty: none is known
    uint64_t mEpoch = 0;     // of the owner
    bool mLocal = false;     // owned by this process
    bool mComplete = false;  // the records of all workers are known; if local
    uint32_t mQueued = 0;    // tasks; if local
    uint32_t mUndecided = 0; // jobs that have not ended; if local
    uint32_t mWorkers = 0;   // workers with a lease
  };
  std::vector<shard_status> Shards(instant aNow) const;
  size_t OpenRequests() const { return mRequests.size(); }
  // Total size of the payloads of open requests.
  uint64_t RequestBytes() const { return mRequestBytes; }
  // How often a request was forwarded to another entry since the start.
  uint64_t ForwardedRequests() const { return mForwardCount; }
  // Whether the entry has a configuration and does not drain.
  bool IsReady() const { return mConfig.IsLoaded() && !mDraining; }

  // Implementations of answer_sink and config_listener.
  void Answer(uint64_t aToken, wire::job_reply_msg aReply) override;
  void OnConfigInForce(const deployment_config& aConfig) override;
  void OnChangeDone(const change_outcome& aOutcome) override;

private:
  // A connected peer.
  struct peer_row
  {
    peer_identity mIdentity;
    instant mLastHeard{}; // time of its last message
    // The last status of an entry; valid if mStatusKnown.
    wire::peer_status_msg mStatus;
    bool mStatusKnown = false;
    // The last state of a guard; valid if mWorkerKnown.
    wire::worker_state_msg mWorker;
    bool mWorkerKnown = false;
    uint64_t mPushedVersion = 0; // of the last document sent to it; 0: none
    instant mPushedAt{};         // when it was sent
  };

  struct shard_row
  {
    std::unique_ptr<shard_owner> mOwner; // null if another entry is the owner
    // Workers that were connected to this process.
    std::vector<known_worker> mSeenWorkers;
    // Traits of these workers by name, each with the time of their last report.
    std::map<std::string, std::pair<worker_traits, instant>> mTraits;
    std::vector<known_worker> mRoster; // as last read from the table
    // Writes of the roster by the owner: the open request to the table (0:
    // none), the roster version that it writes, and the one last written.
    uint64_t mStoreRequest = 0;
    uint64_t mStoringVersion = 0;
    uint64_t mStoredVersion = 0;
    instant mNextStore{};
    uint64_t mMaxEpoch = 0;       // greatest epoch known of any owner
    owner_counters mPastCounters; // sums of the owners here that stepped down
  };

  enum class request_state : uint8_t
  {
    Pending,  // no owner of the shard is known
    Local,    // held by a shard_owner of this process
    Forwarded // sent to another entry
  };

  struct request_row
  {
    caller_id mCaller = 0; // 0: no caller waits for the reply
    request_kind mKind = request_kind::Submit;
    request_state mState = request_state::Pending;
    std::string mTeam;
    job_id mId;
    // Of Submit only. A shard_owner of this process holds it while the request
    // is Local.
    submission mSubmission;
    uint64_t mBytes = 0; // size of the payloads
    instant mCreated{};
    instant mReplyDue{};      // latest time of the reply
    instant mPendingSince{};  // when mState last became Pending
    peer_id mOwner = 0;       // entry to which it was forwarded; 0: none
    bool mEverRouted = false; // some owner may have received it
  };

  // A request that another entry forwarded to this one.
  struct forwarded_request
  {
    peer_id mPeer = 0;     // the other entry
    uint64_t mRequest = 0; // its number for the request
  };

  uint32_t ShardCount() const { return mConfig.Config().mShardCount; }
  shard_row& Shard(uint32_t aShard);
  // Whether aRow is an entry that has sent a status and has not timed out.
  bool IsLiveEntry(const peer_row& aRow, instant aNow) const;
  // The live other entry that reports itself as the owner of aShard; 0 if there
  // is none.
  peer_id OwnerPeer(uint32_t aShard, instant aNow) const;

  // Adds a request about an existing job: Await or Cancel.
  void AddAwaitOrCancel(request_kind aKind,
                        caller_id aCaller,
                        const std::string& aTeam,
                        const job_id& aId,
                        duration aWait,
                        instant aNow);
  // Admits and routes a request, or refuses it.
  void AddRequest(request_row aRow, instant aNow);
  // Passes a request to the owner of its shard, if one is known.
  void Route(uint64_t aToken, instant aNow);
  void RouteLocally(uint64_t aToken, request_row& aRow, instant aNow);
  void Forward(uint64_t aToken,
               request_row& aRow,
               peer_id aOwner,
               instant aNow);
  // Routes all pending requests; those that have waited too long fail.
  void RoutePending(instant aNow);
  void FinishRequest(uint64_t aToken, const wire::job_reply_msg& aReply);
  void FailRequest(uint64_t aToken, const std::string& aText);
  // Returns requests that were forwarded to a lost peer to Pending, and drops
  // those that it had forwarded to this process.
  void ReleasePeerRequests(peer_id aPeer, instant aNow);

  void OnJobRequest(peer_id aPeer,
                    const wire::job_request_msg& aRequest,
                    instant aNow);
  void OnJobReply(const wire::job_reply_msg& aReply, instant aNow);
  void OnPeerStatus(peer_id aPeer,
                    const wire::peer_status_msg& aStatus,
                    instant aNow);
  void OnWorkerState(peer_id aPeer,
                     const wire::worker_state_msg& aState,
                     instant aNow);
  void OnHandover(const wire::handover_msg& aPart, instant aNow);
  // The local owner of the shard of guard aPeer; null if there is none.
  shard_owner* LocalOwnerFor(peer_id aPeer);

  // Claims shards without an owner, and gives up those that another entry owns.
  void UpdateOwnership(instant aNow);
  // Whether no other live entry that is ready has a greater rendezvous weight
  // for aShard.
  bool IsCandidate(uint32_t aShard, instant aNow) const;
  // Becomes the owner of aShard.
  void Claim(uint32_t aShard, uint64_t aEpoch, instant aNow);
  // If another entry also owns aShard, the one with fewer leased workers steps
  // down; with equal numbers, the one with the lower epoch, then weight.
  void ResolveConflict(uint32_t aShard, instant aNow);
  // Gives up ownership of aShard and routes its open requests again.
  // aSuccessor: the entry that the jobs are handed over to; 0: none.
  void StepDown(uint32_t aShard, peer_id aSuccessor, instant aNow);
  // The live and ready entry that is to own aShard after this one; 0 if there
  // is none.
  peer_id Successor(uint32_t aShard, instant aNow) const;
  // Workers of aShard that may still hold records.
  std::vector<known_worker> KnownWorkers(uint32_t aShard, instant aNow) const;
  // Records that a worker is connected at present.
  void AddSeenWorker(const peer_identity& aIdentity, instant aNow);

  // Sends the shards owned here to the other entries and, less often, the
  // addresses of entries to the guards.
  void SendStatus(instant aNow);
  // Sends the document in force unless the peer has it already.
  void PushConfig(peer_id aPeer);
  // Closes links to entries that have timed out, and connects to entries
  // without a link.
  void CheckEntryLinks(instant aNow);
  // Renews the row of this entry, or deletes it during a drain. Also reads the
  // rows of entries and rosters.
  void RenewRow(instant aNow);
  // Writes changed rosters of the shards owned here.
  void StoreRosters(instant aNow);
  void OnEntryRows(const table_reply& aReply, instant aNow);
  void OnRosters(const table_reply& aReply, instant aNow);
  // The addresses of all known entries, this one first.
  std::vector<std::string> EntryAddresses() const;

  entry_options mOptions;
  peer_network& mNetwork;
  table_store& mTable;
  caller_port& mCallers;
  event_sink& mEvents;
  random_source& mRandom;
  entry_safeguards mSafeguards;
  config_agent mConfig;
  instant mStarted;         // when the process started
  instant mNow;             // of the latest call
  int64_t mWallSeconds = 0; // of the latest Tick

  std::map<peer_id, peer_row> mPeers;
  std::map<std::string, std::string> mEntryAddresses; // by name
  std::map<uint32_t, shard_row> mShards;
  // By token.
  std::unordered_map<uint64_t, request_row> mRequests;
  std::unordered_map<uint64_t, forwarded_request> mServedRequests;
  std::unordered_map<caller_id, uint64_t> mTokenByCaller;
  uint64_t mNextToken = 1;
  uint64_t mRequestBytes = 0;
  uint64_t mForwardCount = 0;

  instant mNextStatus{};
  instant mNextGuardStatus{};
  instant mNextOwnershipUpdate{};
  instant mNextRowRenewal{};
  instant mNextConnect{};
  instant mNextEntriesRead{};
  instant mNextRoute{};
  // Some request is pending, so requests are routed at the shorter interval.
  bool mSomePending = false;
  // Open requests to the table; 0 if there is none.
  uint64_t mRowRequest = 0;
  uint64_t mEntriesRequest = 0;
  uint64_t mRostersRequest = 0;
  bool mRostersAnswered = false; // a read was answered, if only by an error
  bool mRostersRead = false;     // a read has succeeded
  bool mTableDown = false;       // the last reply was Unavailable
  bool mDraining = false;
};

} // namespace cactusmast

#endif // CACTUSMAST_ENTRY_NODE_H_
