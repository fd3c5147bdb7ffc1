#include "cactusmast/entry_node.h"

#include <algorithm>

// Peers, configuration and drain. Callers' requests and their routing are in
// entry_requests.cc; ownership, membership and rows in the table are in
// entry_membership.cc.

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Interval at which overdue requests are checked while none is pending.
constexpr milliseconds kIdleRouteInterval{ 1000 };

std::string
PeerName(const peer_identity& aIdentity)
{
  return aIdentity.mName + "/" + std::to_string(aIdentity.mIncarnation);
}

} // namespace

entry_node::entry_node(entry_options aOptions,
                       peer_network& aNetwork,
                       table_store& aTable,
                       caller_port& aCallers,
                       event_sink& aEvents,
                       random_source& aRandom,
                       instant aNow,
                       entry_safeguards aSafeguards)
  : mOptions(std::move(aOptions))
  , mNetwork(aNetwork)
  , mTable(aTable)
  , mCallers(aCallers)
  , mEvents(aEvents)
  , mRandom(aRandom)
  , mSafeguards(aSafeguards)
  , mConfig(mOptions.mConfig, aTable, aEvents, *this, aSafeguards.mConfig)
  , mStarted(aNow)
  , mNow(aNow)
{
  mOptions.mOwner.mDataCenter = mOptions.mDataCenter;
}

job_id
entry_node::IdentityOf(const std::string& aTeam, const std::string& aKey) const
{
  return job_id::FromKey(aTeam, aKey, mOptions.mIdentitySeed);
}

void
entry_node::OnPeerUp(peer_id aPeer,
                     const peer_identity& aIdentity,
                     instant aNow)
{
  mNow = aNow;
  std::vector<peer_id> replaced;
  for (const auto& [peer, row] : mPeers) {
    if (row.mIdentity.mName == aIdentity.mName &&
        row.mIdentity.mRole == aIdentity.mRole) {
      replaced.push_back(peer);
    }
  }
  for (peer_id old : replaced) {
    OnPeerDown(old, aNow);
    mNetwork.Close(old);
  }
  peer_row& row = mPeers[aPeer];
  row.mIdentity = aIdentity;
  row.mLastHeard = aNow;
  mEvents.Emit(event_code::PeerUp, { { "peer", PeerName(aIdentity) } });
  if (aIdentity.mRole == process_role::Entry) {
    mEntryAddresses[aIdentity.mName] = aIdentity.mAddress;
    mNextStatus = aNow; // report the shards owned here immediately
    return;
  }
  AddSeenWorker(aIdentity, aNow);
  wire::peer_status_msg status;
  status.entries = EntryAddresses();
  mNetwork.Send(aPeer, MakeMessage(std::move(status)));
  shard_owner* owner = LocalOwnerFor(aPeer);
  if (owner != nullptr) {
    owner->Attach(aPeer, aIdentity, aNow);
    PushConfig(aPeer);
  }
}

void
entry_node::OnPeerDown(peer_id aPeer, instant aNow)
{
  mNow = aNow;
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  peer_row row = found->second;
  mEvents.Emit(event_code::PeerDown, { { "peer", PeerName(row.mIdentity) } });
  if (row.mIdentity.mRole == process_role::Guard) {
    shard_owner* owner = LocalOwnerFor(aPeer);
    if (owner != nullptr) {
      owner->Detach(aPeer, aNow);
    }
    AddSeenWorker(row.mIdentity, aNow);
    if (row.mWorkerKnown && row.mWorker.records_kept) {
      // Other guards copied its records before it stopped, so that no records
      // are missing.
      std::vector<known_worker>& seen =
        Shard(row.mIdentity.mShard).mSeenWorkers;
      const peer_identity& stopped = row.mIdentity;
      seen.erase(std::remove_if(seen.begin(),
                                seen.end(),
                                [&stopped](const known_worker& aWorker) {
                                  return aWorker.mName == stopped.mName &&
                                         aWorker.mIncarnation ==
                                           stopped.mIncarnation;
                                }),
                 seen.end());
    }
  }
  mPeers.erase(aPeer);
  ReleasePeerRequests(aPeer, aNow);
}

// Requests that were forwarded to a lost entry go to the next owner of the
// shard. The lost one may have started their tasks; the next one learns of
// these starts from the guards' records before it accepts the requests.
void
entry_node::ReleasePeerRequests(peer_id aPeer, instant aNow)
{
  for (auto& [token, row] : mRequests) {
    if (row.mState == request_state::Forwarded && row.mOwner == aPeer) {
      row.mState = request_state::Pending;
      row.mPendingSince = aNow;
      row.mOwner = 0;
      mNextRoute = {};
    }
  }
  for (auto served = mServedRequests.begin();
       served != mServedRequests.end();) {
    served = served->second.mPeer == aPeer ? mServedRequests.erase(served)
                                           : std::next(served);
  }
}

entry_node::shard_row&
entry_node::Shard(uint32_t aShard)
{
  return mShards[aShard];
}

shard_owner*
entry_node::LocalOwnerFor(peer_id aPeer)
{
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return nullptr;
  }
  auto shard = mShards.find(found->second.mIdentity.mShard);
  return shard == mShards.end() ? nullptr : shard->second.mOwner.get();
}

void
entry_node::OnMessage(peer_id aPeer, const message& aMessage, instant aNow)
{
  mNow = aNow;
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  found->second.mLastHeard = aNow;
  shard_owner* owner = LocalOwnerFor(aPeer);
  bool fromGuard = found->second.mIdentity.mRole == process_role::Guard;
  if (fromGuard) {
    switch (aMessage.type) {
      case message_kind::worker_state:
        OnWorkerState(aPeer, *aMessage.Asworker_state(), aNow);
        break;
      case message_kind::lease_reply:
        Shard(found->second.mIdentity.mShard).mMaxEpoch =
          std::max(Shard(found->second.mIdentity.mShard).mMaxEpoch,
                   aMessage.Aslease_reply()->epoch);
        if (owner != nullptr) {
          owner->OnLeaseReply(aPeer, *aMessage.Aslease_reply(), aNow);
        }
        break;
      case message_kind::records:
        if (owner != nullptr) {
          owner->OnRecords(aPeer, *aMessage.Asrecords(), aNow);
        }
        break;
      case message_kind::results:
        if (owner != nullptr) {
          owner->OnResults(aPeer, *aMessage.Asresults(), aNow);
        }
        break;
      case message_kind::settle_reply:
        if (owner != nullptr) {
          owner->OnSettleReply(aPeer, *aMessage.Assettle_reply(), aNow);
        }
        break;
      default:
        break;
    }
    return;
  }
  switch (aMessage.type) {
    case message_kind::peer_status:
      OnPeerStatus(aPeer, *aMessage.Aspeer_status(), aNow);
      break;
    case message_kind::config_push:
      mConfig.OnConfigPush(aMessage.Asconfig_push()->version,
                           aMessage.Asconfig_push()->document);
      break;
    case message_kind::job_request:
      OnJobRequest(aPeer, *aMessage.Asjob_request(), aNow);
      break;
    case message_kind::job_reply:
      OnJobReply(*aMessage.Asjob_reply(), aNow);
      break;
    case message_kind::handover:
      OnHandover(*aMessage.Ashandover(), aNow);
      break;
    default:
      break;
  }
}

void
entry_node::Change(const config_change& aChange, instant aNow)
{
  mNow = aNow;
  mConfig.Change(aChange, aNow);
}

void
entry_node::OnChangeDone(const change_outcome& aOutcome)
{
  mCallers.OnChangeDone(aOutcome);
}

void
entry_node::OnConfigInForce(const deployment_config& aConfig)
{
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr) {
      shard.mOwner->SetConfig(aConfig);
    }
  }
  for (const auto& [peer, row] : mPeers) {
    bool isEntry = row.mIdentity.mRole == process_role::Entry;
    if (isEntry || LocalOwnerFor(peer) != nullptr) {
      PushConfig(peer);
    }
  }
}

void
entry_node::PushConfig(peer_id aPeer)
{
  auto found = mPeers.find(aPeer);
  uint64_t version = mConfig.Config().mVersion;
  if (found == mPeers.end() || version == 0) {
    return;
  }
  peer_row& row = found->second;
  uint64_t peerVersion = row.mIdentity.mRole == process_role::Entry
                           ? row.mStatus.config_version
                           : row.mWorker.config_version;
  if (peerVersion >= version || row.mPushedVersion >= version) {
    return;
  }
  row.mPushedVersion = version;
  row.mPushedAt = mNow;
  wire::config_push_msg push;
  push.version = version;
  push.document = mConfig.Document();
  mNetwork.Send(aPeer, MakeMessage(std::move(push)));
}

void
entry_node::OnWorkerState(peer_id aPeer,
                          const wire::worker_state_msg& aState,
                          instant aNow)
{
  peer_row& row = mPeers[aPeer];
  row.mWorker = aState;
  row.mWorkerKnown = true;
  AddSeenWorker(row.mIdentity, aNow);
  if (!aState.services.empty()) {
    Shard(row.mIdentity.mShard).mTraits[row.mIdentity.mName] = {
      TraitsOf(aState), aNow
    };
  }
  shard_owner* owner = LocalOwnerFor(aPeer);
  if (owner != nullptr) {
    owner->OnWorkerState(aPeer, aState);
    PushConfig(aPeer);
  }
}

void
entry_node::Tick(instant aNow, int64_t aWallSeconds)
{
  mNow = aNow;
  mWallSeconds = aWallSeconds;
  mConfig.Tick(aNow, aWallSeconds);
  RenewRow(aNow);
  CheckEntryLinks(aNow);
  if (aNow >= mNextOwnershipUpdate) {
    mNextOwnershipUpdate = aNow + milliseconds(100);
    UpdateOwnership(aNow);
    StoreRosters(aNow);
  }
  if (aNow >= mNextRoute) {
    RoutePending(aNow);
    mNextRoute =
      aNow + (mSomePending ? detail::kRouteInterval : kIdleRouteInterval);
  }
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr) {
      shard.mOwner->Tick(aNow);
    }
  }
  if (aNow >= mNextStatus) {
    mNextStatus = aNow + mOptions.mStatusInterval;
    SendStatus(aNow);
  }
}

void
entry_node::BeginDrain(instant aNow)
{
  if (mDraining) {
    return;
  }
  mNow = aNow;
  mDraining = true;
  mEvents.Emit(event_code::ProcessDraining,
               { { "requests", std::to_string(mRequests.size()) } });
  SendStatus(aNow);
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner == nullptr) {
      continue;
    }
    peer_id successor = Successor(number, aNow);
    if (successor != 0) {
      StepDown(number, successor, aNow);
    }
  }
}

bool
entry_node::IsDrained() const
{
  if (!mDraining || !mRequests.empty()) {
    return false;
  }
  for (const auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr && shard.mOwner->Jobs().UndecidedJobs() > 0) {
      return false; // there is no successor: its jobs end here
    }
  }
  return true;
}

void
entry_node::AbortDrain(instant aNow)
{
  mNow = aNow;
  mEvents.Emit(event_code::DrainDeadline,
               { { "requests", std::to_string(mRequests.size()) } });
  for (auto& [number, shard] : mShards) {
    if (shard.mOwner != nullptr) {
      shard.mOwner->FailAll(aNow);
    }
  }
  std::vector<uint64_t> openRequests;
  for (const auto& [token, row] : mRequests) {
    openRequests.push_back(token);
  }
  for (uint64_t token : openRequests) {
    FailRequest(token, "this entry stopped before the job ended");
  }
  mConfig.GiveUpChanges("this entry stops", mWallSeconds);
}

} // namespace cactusmast
