#include "cactusmast/guard_node.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// After a pause of this process, tasks and the announcement do not time out for
// this long, so that what the backend server sent meanwhile is read first.
constexpr milliseconds kPauseGrace{ 1000 };
constexpr milliseconds kConnectInterval{ 700 };
constexpr uint32_t kMaxEntries = 64;

std::string
PeerName(const peer_identity& aIdentity)
{
  return aIdentity.mName + "/" + std::to_string(aIdentity.mIncarnation);
}

} // namespace

guard_node::guard_node(guard_options aOptions,
                       peer_network& aNetwork,
                       table_store& aTable,
                       backend_port& aBackend,
                       event_sink& aEvents,
                       guard_safeguards aSafeguards)
  : mOptions(std::move(aOptions))
  , mNetwork(aNetwork)
  , mTable(aTable)
  , mBackendPort(aBackend)
  , mEvents(aEvents)
  , mSafeguards(aSafeguards)
  , mEntryAddresses(mOptions.mSeedEntries)
{
}

bool
guard_node::Leased(instant aNow) const
{
  return mLeaseHeld && aNow < mLeaseEnd;
}

void
guard_node::OnPeerUp(peer_id aPeer,
                     const peer_identity& aIdentity,
                     instant aNow)
{
  CheckPause(aNow);
  CloseOlderLinks(aIdentity);
  mPeers[aPeer] = peer_row{ aIdentity, aNow };
  mEvents.Emit(event_code::PeerUp, { { "peer", PeerName(aIdentity) } });
  SendState(aPeer);
}

// An entry that connects again has closed its old link, even if this end does
// not know that yet.
void
guard_node::CloseOlderLinks(const peer_identity& aIdentity)
{
  for (auto link = mPeers.begin(); link != mPeers.end();) {
    if (link->second.mIdentity.mName != aIdentity.mName) {
      ++link;
      continue;
    }
    mNetwork.Close(link->first);
    if (IsHolder(link->first)) {
      mHolder = 0;
    }
    link = mPeers.erase(link);
  }
}

void
guard_node::OnPeerDown(peer_id aPeer, instant aNow)
{
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  mEvents.Emit(event_code::PeerDown,
               { { "peer", PeerName(found->second.mIdentity) } });
  mPeers.erase(found);
  if (IsHolder(aPeer)) {
    // Most likely the owner's process has died. Its successor need not wait
    // until the lease expires: once it holds the lease, anything that the old
    // owner still sends carries an old epoch and is refused.
    mHolder = 0;
    mLeaseEnd = std::min(mLeaseEnd, aNow);
  }
}

// A process that was paused, for example for a minute, finds messages of that
// minute in its sockets when it resumes. A renewal among them would extend the
// lease, and dispatches behind it would start long after their sender has given
// them up. After a pause longer than the lease, nothing that arrived before or
// during it can be trusted, so all links are replaced. The peers send their
// present state over the new ones.
void
guard_node::CheckPause(instant aNow)
{
  duration idle = aNow - mLastActive;
  bool first = mLastActive.count() == 0;
  mLastActive = aNow;
  if (first || idle < mOptions.mLeaseDuration ||
      !mSafeguards.mCloseLinksAfterPause) {
    return;
  }
  mGraceUntil = aNow + kPauseGrace;
  for (const auto& [peer, row] : mPeers) {
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", PeerName(row.mIdentity) },
                   { "step", "resume after pause" } });
    mNetwork.Close(peer);
  }
  mPeers.clear();
  mHolder = 0;
}

void
guard_node::OnMessage(peer_id aPeer, const message& aMessage, instant aNow)
{
  CheckPause(aNow);
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  found->second.mLastHeard = aNow;
  switch (aMessage.type) {
    case message_kind::lease_request:
      OnLeaseRequest(aPeer, *aMessage.Aslease_request(), aNow);
      break;
    case message_kind::lease_release:
      OnLeaseRelease(aPeer, *aMessage.Aslease_release());
      break;
    case message_kind::dispatch:
      OnDispatch(aPeer, *aMessage.Asdispatch(), aNow);
      break;
    case message_kind::result_ack:
      Acknowledge(aMessage.Asresult_ack()->refs);
      break;
    case message_kind::settle:
      OnSettle(aPeer, *aMessage.Assettle(), aNow);
      break;
    case message_kind::cancel_tasks:
      if (IsHolder(aPeer)) {
        OnCancel(*aMessage.Ascancel_tasks(), aNow);
      }
      break;
    case message_kind::abandon:
      if (IsHolder(aPeer)) {
        OnAbandon(*aMessage.Asabandon(), aNow);
      }
      break;
    case message_kind::fetch:
      OnFetch(aPeer, *aMessage.Asfetch());
      break;
    case message_kind::records:
      if (IsHolder(aPeer)) {
        AddRecordCopies(*aMessage.Asrecords(), aNow);
      }
      break;
    case message_kind::config_push:
      OnConfig(*aMessage.Asconfig_push());
      break;
    case message_kind::peer_status:
      OnPeerStatus(*aMessage.Aspeer_status());
      break;
    default:
      break; // from a newer peer, or not meant for a guard
  }
}

void
guard_node::OnLeaseRequest(peer_id aPeer,
                           const wire::lease_request_msg& aRequest,
                           instant aNow)
{
  const peer_identity& requester = mPeers[aPeer].mIdentity;
  bool sameOwner = mHolderIncarnation == requester.mIncarnation &&
                   mHolderName == requester.mName;
  bool free = !Leased(aNow);
  bool granted = false;
  if (sameOwner && mHolderIncarnation != 0 && aRequest.epoch >= mEpoch) {
    bool newLink = !IsHolder(aPeer);
    mEpoch = aRequest.epoch;
    mHolder = aPeer;
    mLeaseHeld = true;
    mLeaseEnd = aNow + mOptions.mLeaseDuration;
    mSequence = aRequest.sequence;
    granted = true;
    if (newLink) {
      ResendUnackedResults();
      mHandoverSent = false;
    }
  } else if (free && aRequest.epoch > mEpoch) {
    GrantLease(aPeer, aRequest, aNow);
    granted = true;
  } else {
    mEvents.Emit(event_code::LeaseRefused,
                 { { "peer", PeerName(requester) },
                   { "epoch", std::to_string(aRequest.epoch) },
                   { "held_epoch", std::to_string(mEpoch) } });
  }
  wire::lease_reply_msg reply;
  reply.shard = aRequest.shard;
  reply.epoch = mEpoch;
  reply.sequence = aRequest.sequence;
  reply.granted = granted;
  reply.config_version = mConfig.mVersion;
  mNetwork.Send(aPeer, MakeMessage(std::move(reply)));
}

void
guard_node::GrantLease(peer_id aPeer,
                       const wire::lease_request_msg& aRequest,
                       instant aNow)
{
  const peer_identity& requester = mPeers[aPeer].mIdentity;
  mEpoch = aRequest.epoch;
  mHolder = aPeer;
  mHolderName = requester.mName;
  mHolderIncarnation = requester.mIncarnation;
  mLeaseHeld = true;
  mLeaseEnd = aNow + mOptions.mLeaseDuration;
  mSequence = aRequest.sequence;
  mHandoverSent = false;
  mEvents.Emit(
    event_code::LeaseGranted,
    { { "peer", PeerName(requester) }, { "epoch", std::to_string(mEpoch) } });
  SendRecords(aPeer, false);
  ResendUnackedResults();
}

void
guard_node::OnLeaseRelease(peer_id aPeer,
                           const wire::lease_release_msg& aRelease)
{
  if (!IsHolder(aPeer) || aRelease.epoch != mEpoch) {
    return;
  }
  if (mHandoverSent) {
    // The owner has taken over the records, so this guard may stop.
    mRecordsHandedOver = true;
    mRecordsReplicated = aRelease.records_kept;
    BroadcastState();
    return;
  }
  mLeaseHeld = false;
  mHolder = 0;
  mHolderName.clear();
  mHolderIncarnation = 0;
}

void
guard_node::OnConfig(const wire::config_push_msg& aPush)
{
  // A peer that was disconnected from the others may still push an old version.
  // Applying it would undo an accepted change.
  if (mSafeguards.mMonotonicConfig) {
    if (!mVersionReadDone) {
      if (aPush.version > mPushedConfig.version) {
        mPushedConfig = aPush;
      }
      return;
    }
    if (aPush.version <= mConfig.mVersion || aPush.version < mTableVersion) {
      return;
    }
  }
  result<deployment_config> parsed = deployment_config::Parse(aPush.document);
  if (!parsed.Ok()) {
    mEvents.Emit(event_code::ConfigUnreadable,
                 { { "text", parsed.Error().what() } });
    return;
  }
  mConfig = std::move(parsed.Value());
  mEvents.Emit(event_code::ConfigInForce,
               { { "version", std::to_string(mConfig.mVersion) } });
  BroadcastState();
}

void
guard_node::OnPeerStatus(const wire::peer_status_msg& aStatus)
{
  if (!aStatus.entries.empty()) {
    mEntryAddresses = aStatus.entries;
  }
}

void
guard_node::OnTableReply(const table_reply& aReply, instant aNow)
{
  if (aReply.mRequest == mVersionRequest) {
    mVersionRequest = 0;
    OnVersionRead(aReply);
    return;
  }
  if (aReply.mRequest != mTableRequest) {
    return;
  }
  mTableRequest = 0;
  if (aReply.mStatus != table_status::Ok) {
    mNextTableRead = aNow + mOptions.mTableInterval / 10;
    return;
  }
  std::vector<std::string> entries;
  for (const table_row& row : aReply.mRows) {
    std::optional<std::string> address =
      TextField(ParseBoundedJson(row.mValue), "address");
    if (address) {
      entries.push_back(*address);
    }
  }
  if (!entries.empty()) {
    mEntryAddresses = entries;
  }
}

void
guard_node::OnVersionRead(const table_reply& aReply)
{
  mVersionReadDone = true;
  for (const table_row& row : aReply.mRows) {
    mTableVersion = std::strtoull(row.mValue.c_str(), nullptr, 10);
  }
  if (mPushedConfig.version > 0) {
    wire::config_push_msg pushed = std::move(mPushedConfig);
    mPushedConfig = wire::config_push_msg();
    OnConfig(pushed);
  }
}

void
guard_node::Announce(const backend_announcement& aBackend, instant aNow)
{
  if (mDraining) {
    throw failure(error_code::Draining, "announce", mOptions.mName, "stopping");
  }
  bool changed = !mAnnounced || mBackend.mServices != aBackend.mServices ||
                 mBackend.mSlots != aBackend.mSlots ||
                 mBackend.mCpus != aBackend.mCpus ||
                 mBackend.mMemoryMb != aBackend.mMemoryMb ||
                 mBackend.mAccelerators != aBackend.mAccelerators;
  bool appeared = !mAnnounced || mBackend.mUrl != aBackend.mUrl;
  mBackend = aBackend;
  mAnnounced = true;
  mAnnouncementEnd = aNow + mOptions.mAnnouncementTimeout;
  if (appeared) {
    mEvents.Emit(event_code::BackendAnnounced,
                 { { "peer", aBackend.mUrl },
                   { "slots", std::to_string(aBackend.mSlots) } });
  }
  if (changed) {
    BroadcastState();
  }
}

void
guard_node::EndAnnouncement(event_code aCode)
{
  if (!mAnnounced) {
    return;
  }
  mAnnounced = false;
  mEvents.Emit(aCode, { { "peer", mBackend.mUrl } });
  BroadcastState();
}

void
guard_node::Withdraw(instant /*aNow*/)
{
  EndAnnouncement(event_code::BackendWithdrawn);
}

void
guard_node::SendState(peer_id aPeer)
{
  wire::worker_state_msg state;
  bool accepting = mAnnounced && !mDraining;
  state.slots = accepting ? mBackend.mSlots : 0;
  state.services = mBackend.mServices;
  state.cpus = mBackend.mCpus;
  state.memory_mb = mBackend.mMemoryMb;
  state.accelerators = mBackend.mAccelerators;
  state.draining = mDraining;
  state.config_version = mConfig.mVersion;
  state.running = mRunning;
  state.records_kept = mRecordsReplicated;
  mNetwork.Send(aPeer, MakeMessage(std::move(state)));
}

void
guard_node::BroadcastState()
{
  for (const auto& [peer, row] : mPeers) {
    SendState(peer);
  }
}

// Replaces links over which nothing arrived for the link timeout: a device
// between the two ends may have lost their state, and neither end is told.
// Entries send their status on every link well within this time. The timeout
// is shorter while no entry holds the lease, because an owner may be trying to
// reach the guard over a link that only seems to be open.
void
guard_node::CloseTimedOutLinks(instant aNow)
{
  for (auto link = mPeers.begin(); link != mPeers.end();) {
    duration limit =
      Leased(aNow) ? mOptions.mLinkTimeout : mOptions.mUnleasedLinkTimeout;
    bool timedOut = aNow - link->second.mLastHeard > limit;
    if (!timedOut) {
      ++link;
      continue;
    }
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", PeerName(link->second.mIdentity) } });
    mNetwork.Close(link->first);
    if (IsHolder(link->first)) {
      mHolder = 0;
    }
    link = mPeers.erase(link);
  }
}

void
guard_node::ConnectMissing()
{
  for (const std::string& address : mEntryAddresses) {
    bool connected = false;
    for (const auto& [peer, row] : mPeers) {
      connected = connected || row.mIdentity.mAddress == address;
    }
    if (!connected) {
      mNetwork.Connect(address);
    }
  }
}

void
guard_node::Tick(instant aNow)
{
  CheckPause(aNow);
  if (aNow >= mGraceUntil) {
    if (mAnnounced && aNow >= mAnnouncementEnd) {
      EndAnnouncement(event_code::BackendExpired);
    }
    TimeOutTasks(aNow);
  }
  ExpireRecords(aNow);
  if (mLeaseHeld && aNow >= mLeaseEnd) {
    // The holder has not renewed in time, perhaps because the link is dead.
    // The link is replaced, so that the holder or its successor can reach this
    // guard.
    mLeaseHeld = false;
    mEvents.Emit(event_code::LeaseExpired, { { "peer", mHolderName } });
    if (mHolder != 0) {
      mNetwork.Close(mHolder);
      mPeers.erase(mHolder);
      mHolder = 0;
    }
  }
  if (!mVersionReadDone && mVersionRequest == 0) {
    mVersionRequest = mTable.Read(kConfigVersionKey, 1, false);
  }
  if (aNow >= mNextTableRead && mTableRequest == 0) {
    mNextTableRead = aNow + mOptions.mTableInterval;
    mTableRequest = mTable.Read("entry/", kMaxEntries, false);
  }
  if (aNow >= mNextConnect) {
    mNextConnect = aNow + kConnectInterval;
    CloseTimedOutLinks(aNow);
    ConnectMissing();
  }
  FlushResults();
  if (mDraining) {
    FinishDrain();
  }
}

void
guard_node::BeginDrain(instant /*aNow*/)
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mEvents.Emit(event_code::ProcessDraining,
               { { "running", std::to_string(mRunning) } });
  BroadcastState();
}

void
guard_node::FinishDrain()
{
  if (mRunning > 0 || mHolder == 0 || mHandoverSent) {
    return;
  }
  for (const auto& [ref, row] : mRecords) {
    if (!row.mAcked) {
      return;
    }
  }
  mHandoverSent = true;
  SendRecords(mHolder, true);
}

bool
guard_node::IsDrained() const
{
  return mDraining && mRunning == 0 && (mRecordsHandedOver || mRecords.empty());
}

} // namespace cactusmast
