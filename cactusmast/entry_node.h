// The decisions of an entry: callers' requests, ownership of shards,
// membership and configuration.
//
// Every job belongs to one shard by its identity, and every shard has one
// owner among the entries. An entry that gets a request for another's shard
// passes it on, keeps the submission until the answer is back, and passes it
// to the next owner if the first one goes away: resubmission is safe, so the
// caller notices nothing.
//
// Ownership is sticky. A live owner keeps its shard until it stops as planned
// or is no longer heard; a new entry takes over only shards that nobody owns,
// and among several candidates the one with the greatest rendezvous weight.
// Two entries that cannot hear each other may both claim a shard, but the
// guards lease to one of them at a time (guard_node.h), so the other gets no
// slots; when they hear each other again, the one with fewer leases steps
// down.
//
// Entries find each other through leased rows in the platform's table and
// through what connected peers tell; guards connect to every entry. Neither
// the table nor any single entry is needed for what already runs.

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

// Requests whose shard has no known owner are routed again this often.
constexpr duration kRouteInterval = std::chrono::milliseconds(50);

} // namespace detail

struct entry_options
{
  std::string mName;
  uint64_t mIncarnation = 0;
  std::string mAddress;
  std::string mDataCenter;
  std::string mRegion;
  // Entries to try before the table has told which there are.
  std::vector<std::string> mSeedEntries;
  owner_options mOwner;
  config_options mConfig;
  // Secret of the deployment; seeds job identities, so that callers cannot
  // make two keys collide.
  uint64_t mIdentitySeed = 0;
  duration mStatusInterval = std::chrono::seconds(1);
  // Other entries not heard for this long are taken as dead.
  duration mPeerTimeout = std::chrono::seconds(3);
  // After a start, time to hear of the owners there are.
  duration mElectionDelay = std::chrono::milliseconds(1500);
  // A request waits this long for its shard to have an owner.
  duration mRouteTimeout = std::chrono::seconds(6);
  duration mRowInterval = std::chrono::seconds(10);
  int64_t mRowLifeSeconds = 60;
  duration mGuardStatusInterval = std::chrono::seconds(20);
  size_t mMaxRequests = 20000;
  uint64_t mMaxRequestBytes = 24u << 20;
};

struct entry_safeguards
{
  owner_safeguards mOwner;
  config_safeguards mConfig;
};

// The API layer, which knows the callers' connections.
class caller_port
{
public:
  virtual ~caller_port() = default;
  virtual void Reply(caller_id aCaller, const wire::job_reply_msg& aReply) = 0;
  virtual void ChangeDone(const change_outcome& aOutcome) = 0;
};

// Configuration version and role of one process, for status.
struct process_status
{
  process_role mRole = process_role::Entry;
  std::string mName;
  uint64_t mIncarnation = 0;
  std::string mDataCenter;
  uint64_t mConfigVersion = 0;
  bool mDraining = false;
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

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity, instant aNow);
  void OnPeerDown(peer_id aPeer, instant aNow);
  void OnMessage(peer_id aPeer, const message& aMessage, instant aNow);
  void OnTableReply(const table_reply& aReply, instant aNow);
  // aWallSeconds: time of day, for rows that other processes read.
  void Tick(instant aNow, int64_t aWallSeconds);

  // The job identity that a submission by aTeam under aKey gets.
  job_id IdentityOf(const std::string& aTeam, const std::string& aKey) const;

  // Each is answered exactly once through caller_port, at the latest when
  // aWait is over: then with the state "running".
  void Submit(caller_id aCaller,
              submission aSubmission,
              duration aWait,
              instant aNow);
  void Watch(caller_id aCaller,
             const std::string& aTeam,
             const job_id& aId,
             duration aWait,
             instant aNow);
  void Cancel(caller_id aCaller,
              const std::string& aTeam,
              const job_id& aId,
              duration aWait,
              instant aNow);
  // The caller's connection closed: nobody waits for its answer.
  void OnCallerDisconnected(caller_id aCaller);
  // Throws failure when it cannot be queued.
  void Change(const config_change& aChange, instant aNow);

  // A planned stop: nothing new is admitted, shards go to a successor, and
  // every waiting caller still gets its answer.
  void BeginDrain(instant aNow);
  bool IsDraining() const { return mDraining; }
  bool IsDrained() const;
  // Ends a planned stop that took too long: every waiting caller is told what
  // is known.
  void AbortDrain(instant aNow);

  const config_agent& Config() const { return mConfig; }
  std::vector<process_status> Processes(instant aNow) const;
  std::vector<shard_owner::worker_status> Workers(instant aNow) const;
  // Sums over the shards owned now and before.
  owner_counters Counters() const;
  struct shard_status
  {
    uint32_t mShard = 0;
    std::string mOwner; // empty: none known
    uint64_t mEpoch = 0;
    bool mLocal = false;
    bool mComplete = false;
    uint32_t mQueued = 0;
    uint32_t mUndecided = 0;
    uint32_t mWorkers = 0;
  };
  std::vector<shard_status> Shards(instant aNow) const;
  size_t OpenRequests() const { return mRequests.size(); }
  uint64_t RequestBytes() const { return mRequestBytes; }
  uint64_t ForwardedRequests() const { return mForwarded; }
  bool IsReady() const { return mConfig.Loaded() && !mDraining; }

  // answer_sink and config_listener, for the parts of this node.
  void Answer(uint64_t aToken, wire::job_reply_msg aReply) override;
  void OnConfigInForce(const deployment_config& aConfig) override;
  void OnChangeDone(const change_outcome& aOutcome) override;

private:
  struct peer_row
  {
    peer_identity mIdentity;
    instant mLastHeard{};
    // Entries.
    wire::peer_status_msg mStatus;
    bool mStatusKnown = false;
    // Guards.
    wire::worker_state_msg mWorker;
    bool mWorkerKnown = false;
    uint64_t mPushedVersion = 0;
  };

  struct shard_row
  {
    std::unique_ptr<shard_owner> mOwner;
    std::vector<known_worker> mSeen; // by this process
    // What the workers that it saw could do, and when they last said so.
    std::map<std::string, std::pair<worker_traits, instant>> mTraits;
    std::vector<known_worker> mRoster; // read from the table
    uint64_t mStoreRequest = 0;
    uint64_t mStoringVersion = 0;
    uint64_t mStoredVersion = 0;
    instant mNextStore{};
    uint64_t mEpochSeen = 0;
    owner_counters mPast; // of owners that stepped down
  };

  enum class request_state : uint8_t
  {
    Pending,  // no owner is known
    Local,    // with a shard owned here
    Forwarded // with another entry
  };

  struct request_row
  {
    caller_id mCaller = 0; // 0: nobody waits here
    request_kind mKind = request_kind::Submit;
    request_state mState = request_state::Pending;
    std::string mTeam;
    job_id mId;
    submission mSubmission;
    uint64_t mBytes = 0;
    instant mCreated{};
    instant mUntil{};
    instant mPendingSince{};
    peer_id mOwner = 0;
    bool mEverSent = false;
  };

  // A request that another entry passed on to this one.
  struct served_row
  {
    peer_id mPeer = 0;
    uint64_t mRequest = 0;
  };

  uint32_t ShardCount() const { return mConfig.InForce().mShardCount; }
  shard_row& Shard(uint32_t aShard);
  bool IsLiveEntry(const peer_row& aRow, instant aNow) const;
  // The live entry that says it owns aShard; 0 when there is none.
  peer_id OwnerPeer(uint32_t aShard, instant aNow) const;

  void Follow(request_kind aKind,
              caller_id aCaller,
              const std::string& aTeam,
              const job_id& aId,
              duration aWait,
              instant aNow);
  void AddRequest(request_row aRow, instant aNow);
  void Route(uint64_t aToken, instant aNow);
  void RouteLocally(uint64_t aToken, request_row& aRow, instant aNow);
  void Forward(uint64_t aToken,
               request_row& aRow,
               peer_id aOwner,
               instant aNow);
  void RoutePending(instant aNow);
  void FinishRequest(uint64_t aToken, const wire::job_reply_msg& aReply);
  void FailRequest(uint64_t aToken, const std::string& aText);
  void ForgetOwner(peer_id aPeer, instant aNow);

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
  shard_owner* OwnerFor(peer_id aPeer);

  void RunElections(instant aNow);
  bool IsCandidate(uint32_t aShard, instant aNow) const;
  void Claim(uint32_t aShard, uint64_t aEpoch, instant aNow);
  void ResolveConflict(uint32_t aShard, instant aNow);
  void StepDown(uint32_t aShard, peer_id aSuccessor, instant aNow);
  peer_id Successor(uint32_t aShard, instant aNow) const;
  std::vector<known_worker> Known(uint32_t aShard, instant aNow) const;
  void NoteSeen(const peer_identity& aIdentity, instant aNow);

  void SendStatus(instant aNow);
  void PushConfig(peer_id aPeer);
  void CheckEntryLinks(instant aNow);
  void RenewRow(instant aNow);
  void StoreRosters(instant aNow);
  void OnEntryRows(const table_reply& aReply, instant aNow);
  void OnRosters(const table_reply& aReply, instant aNow);
  std::vector<std::string> EntryAddresses() const;

  entry_options mOptions;
  peer_network& mNetwork;
  table_store& mTable;
  caller_port& mCallers;
  event_sink& mEvents;
  random_source& mRandom;
  entry_safeguards mSafeguards;
  config_agent mConfig;
  instant mStarted;
  instant mNow; // of the latest call
  int64_t mWallSeconds = 0;

  std::map<peer_id, peer_row> mPeers;
  std::map<std::string, std::string> mEntryAddresses; // by name
  std::map<uint32_t, shard_row> mShards;
  std::unordered_map<uint64_t, request_row> mRequests;
  std::unordered_map<uint64_t, served_row> mServed;
  std::unordered_map<caller_id, uint64_t> mTokenByCaller;
  uint64_t mNextToken = 1;
  uint64_t mRequestBytes = 0;
  uint64_t mForwarded = 0;

  instant mNextStatus{};
  instant mNextGuardStatus{};
  instant mNextElection{};
  instant mNextRow{};
  instant mNextDial{};
  instant mNextEntriesRead{};
  instant mNextRoute{};
  // Some request has no owner: look for one soon, else only now and then.
  bool mSomePending = false;
  uint64_t mRowRequest = 0;
  uint64_t mEntriesRequest = 0;
  uint64_t mRostersRequest = 0;
  bool mRostersTried = false;
  bool mRostersRead = false;
  bool mTableDown = false;
  bool mDraining = false;
};

} // namespace cactusmast

#endif // CACTUSMAST_ENTRY_NODE_H_
