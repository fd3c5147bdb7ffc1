#include "cactusmast/guard_node.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// After a pause, what the backend server sent meanwhile is read first, before
// its tasks or its announcement are taken to have run out of time.
constexpr milliseconds kPauseGrace{ 1000 };
constexpr milliseconds kConnectInterval{ 700 };
// Records are sent in messages of at most this many, far below any frame
// limit.
constexpr size_t kRecordsPerMessage = 20000;
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
  , mEntries(mOptions.mSeedEntries)
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
  NoticePause(aNow);
  DropOlderLinks(aIdentity);
  mPeers[aPeer] = peer_row{ aIdentity, aNow };
  mEvents.Emit(event_code::PeerUp, { { "peer", PeerName(aIdentity) } });
  SendState(aPeer);
}

// An entry that connects anew has given its old link up, even if this end has
// not been told yet.
void
guard_node::DropOlderLinks(const peer_identity& aIdentity)
{
  for (auto entry = mPeers.begin(); entry != mPeers.end();) {
    if (entry->second.mIdentity.mName != aIdentity.mName) {
      ++entry;
      continue;
    }
    mNetwork.Close(entry->first);
    if (IsHolder(entry->first)) {
      mHolder = 0;
    }
    entry = mPeers.erase(entry);
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
    // Most likely the owner's process died. Its successor need not wait for
    // the lease to end: whatever the old owner still sends carries an old
    // epoch then, and is refused.
    mHolder = 0;
    mLeaseEnd = std::min(mLeaseEnd, aNow);
  }
}

// A process that was stopped for a while finds, on waking, messages in its
// sockets that were sent to it a minute ago. A renewal among them would look
// fresh and let the dispatches behind it start, long after their sender has
// given them up. Nothing that came before or during a pause longer than the
// lease may be believed, so all links are replaced: the peers' present state
// arrives over the new ones.
void
guard_node::NoticePause(instant aNow)
{
  duration idle = aNow - mLastActive;
  bool first = mLastActive.count() == 0;
  mLastActive = aNow;
  if (first || idle < mOptions.mLease || !mSafeguards.mDropLinksAfterPause) {
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
  NoticePause(aNow);
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
        Adopt(*aMessage.Asrecords(), aNow);
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
  const peer_identity& who = mPeers[aPeer].mIdentity;
  bool sameOwner =
    mHolderIncarnation == who.mIncarnation && mHolderName == who.mName;
  bool free = !Leased(aNow);
  bool granted = false;
  if (sameOwner && mHolderIncarnation != 0 && aRequest.epoch >= mEpoch) {
    bool newLink = !IsHolder(aPeer);
    mEpoch = aRequest.epoch;
    mHolder = aPeer;
    mLeaseHeld = true;
    mLeaseEnd = aNow + mOptions.mLease;
    mSequence = aRequest.sequence;
    granted = true;
    if (newLink) {
      ResendUnacked();
      mHandOverSent = false;
    }
  } else if (free && aRequest.epoch > mEpoch) {
    GrantTo(aPeer, aRequest, aNow);
    granted = true;
  } else {
    mEvents.Emit(event_code::LeaseRefused,
                 { { "peer", PeerName(who) },
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
guard_node::GrantTo(peer_id aPeer,
                    const wire::lease_request_msg& aRequest,
                    instant aNow)
{
  const peer_identity& who = mPeers[aPeer].mIdentity;
  mEpoch = aRequest.epoch;
  mHolder = aPeer;
  mHolderName = who.mName;
  mHolderIncarnation = who.mIncarnation;
  mLeaseHeld = true;
  mLeaseEnd = aNow + mOptions.mLease;
  mSequence = aRequest.sequence;
  mHandOverSent = false;
  mEvents.Emit(
    event_code::LeaseGranted,
    { { "peer", PeerName(who) }, { "epoch", std::to_string(mEpoch) } });
  SendRecords(aPeer, false);
  ResendUnacked();
}

void
guard_node::SendRecords(peer_id aPeer, bool aCleanStop)
{
  wire::records_msg part;
  auto flush = [&](bool aLast) {
    part.shard = mOptions.mShard;
    part.epoch = mEpoch;
    part.last = aLast;
    part.clean_stop = aCleanStop;
    mNetwork.Send(aPeer, MakeMessage(std::move(part)));
    part = wire::records_msg();
  };
  for (const auto& [ref, row] : mRecords) {
    part.items.emplace_back(ref, uint8_t(row.mState), row.mHasResult);
    if (part.items.size() == kRecordsPerMessage) {
      flush(false);
    }
  }
  flush(true);
}

void
guard_node::ResendUnacked()
{
  mOutbox.clear();
  for (const auto& [ref, row] : mRecords) {
    if (row.mState == record_state::Finished && !row.mAcked) {
      mOutbox.push_back(row.mResult);
    }
  }
}

void
guard_node::OnLeaseRelease(peer_id aPeer,
                           const wire::lease_release_msg& aRelease)
{
  if (!IsHolder(aPeer) || aRelease.epoch != mEpoch) {
    return;
  }
  if (mHandOverSent) {
    // The owner has taken the records over: this guard may stop.
    mRecordsHandedOver = true;
    mRecordsKept = aRelease.records_kept;
    BroadcastState();
    return;
  }
  mLeaseHeld = false;
  mHolder = 0;
  mHolderName.clear();
  mHolderIncarnation = 0;
}

task_reason
guard_node::MayStart(peer_id aPeer,
                     const wire::dispatch_msg& aDispatch,
                     const wire::dispatch_item_msg& aItem,
                     instant aNow) const
{
  bool holder = IsHolder(aPeer) && aDispatch.epoch == mEpoch && mLeaseHeld;
  if (mSafeguards.mCheckEpoch && !holder) {
    return task_reason::StaleLease;
  }
  if (mSafeguards.mCheckExpiry && aNow >= mLeaseEnd) {
    return task_reason::StaleLease;
  }
  if (mSafeguards.mRefuseWithdrawn && (!mAnnounced || mDraining)) {
    return task_reason::Withdrawn;
  }
  const std::vector<std::string>& services = mBackend.mServices;
  if (std::find(services.begin(), services.end(), aItem.service) ==
      services.end()) {
    return task_reason::Withdrawn;
  }
  if (mRunning >= mBackend.mSlots) {
    return task_reason::NoSlot;
  }
  if (mRecords.size() >= mOptions.mMaxRecords ||
      mResultBytes >= mOptions.mMaxResultBytes) {
    return task_reason::Budget;
  }
  return task_reason::None;
}

void
guard_node::OnDispatch(peer_id aPeer,
                       const wire::dispatch_msg& aDispatch,
                       instant aNow)
{
  if (IsHolder(aPeer) && aDispatch.epoch == mEpoch) {
    Acknowledge(aDispatch.acks);
    mSequence = aDispatch.sequence;
  }
  bool renewed = false;
  for (const wire::dispatch_item_msg& item : aDispatch.items) {
    auto known = mRecords.find(item.ref);
    if (known != mRecords.end() && mSafeguards.mDeduplicate) {
      record& row = known->second;
      if (row.mState == record_state::Tombstone) {
        Refuse(aPeer, item.ref, task_reason::Tombstone);
      } else if (row.mState == record_state::Finished) {
        mOutbox.push_back(row.mResult);
      }
      continue;
    }
    task_reason reason = MayStart(aPeer, aDispatch, item, aNow);
    if (reason != task_reason::None) {
      Refuse(aPeer, item.ref, reason);
      continue;
    }
    StartTask(item, aNow);
    renewed = true;
  }
  if (renewed) {
    mLeaseEnd = aNow + mOptions.mLease;
  }
}

uint32_t
guard_node::TimeoutMs(const wire::dispatch_item_msg& aItem) const
{
  auto found = mConfig.mProfiles.find(aItem.profile);
  if (found == mConfig.mProfiles.end()) {
    return aItem.timeout_ms;
  }
  return std::min(aItem.timeout_ms, found->second.mTaskTimeoutMs);
}

void
guard_node::StartTask(const wire::dispatch_item_msg& aItem, instant aNow)
{
  record& row = mRecords[aItem.ref];
  row = record();
  row.mState = record_state::Running;
  row.mStarted = aNow;
  row.mTimeoutAt = aNow + milliseconds(TimeoutMs(aItem));
  mTimeouts[row.mTimeoutAt].push_back(aItem.ref);
  mRunning++;
  mCounters.mStarted++;
  mBackendPort.Start(
    { aItem.ref, aItem.profile, aItem.service, aItem.payload });
}

void
guard_node::Refuse(peer_id aPeer, const task_ref& aRef, task_reason aReason)
{
  mCounters.mRefused++;
  mEvents.Emit(event_code::DispatchRefused,
               { { "task", JobOf(aRef).Text() },
                 { "index", std::to_string(aRef.index()) },
                 { "reason", std::string(Name(aReason)) } });
  wire::results_msg reply;
  reply.epoch = mEpoch;
  reply.sequence = mSequence;
  wire::task_result_msg item;
  item.ref = aRef;
  item.outcome = uint8_t(task_outcome::Refused);
  item.run = uint8_t(run_state::NotRun);
  item.reason = uint8_t(aReason);
  reply.items.push_back(std::move(item));
  mNetwork.Send(aPeer, MakeMessage(std::move(reply)));
}

void
guard_node::OnTaskEnded(const task_end& aEnd, instant aNow)
{
  auto found = mRecords.find(aEnd.mRef);
  if (found == mRecords.end() ||
      found->second.mState != record_state::Running) {
    return; // timed out or cancelled before, and answered then
  }
  record& row = found->second;
  wire::task_result_msg& made = row.mResult;
  made.ref = aEnd.mRef;
  made.outcome = uint8_t(aEnd.mOutcome);
  made.run = uint8_t(aEnd.mRun);
  made.reason = uint8_t(aEnd.mReason);
  made.output = aEnd.mOutput;
  made.run_us = uint64_t((aNow - row.mStarted).count());
  Finish(aEnd.mRef, row, aNow);
}

void
guard_node::Finish(const task_ref& aRef, record& aRecord, instant aNow)
{
  mRunning--;
  aRecord.mEnded = aNow;
  bool started = aRecord.mResult.outcome != uint8_t(task_outcome::Refused);
  if (aRecord.mResult.outcome == uint8_t(task_outcome::Succeeded)) {
    mCounters.mSucceeded++;
  } else {
    mCounters.mFailed++;
  }
  // A task that the backend server never received stays out of its reach for
  // good, so that the owner may start it elsewhere.
  aRecord.mState = started ? record_state::Finished : record_state::Tombstone;
  aRecord.mHasResult = started;
  mResultBytes += started ? aRecord.mResult.output.size() : 0;
  mEndedOrder.push_back({ aNow, aRef });
  mResultOrder.push_back(aRef);
  mOutbox.push_back(aRecord.mResult);
  TrimResults();
}

// Drops the oldest acknowledged outputs when their bytes are over budget. A
// result that was never acknowledged is kept: nobody else has it.
void
guard_node::TrimResults()
{
  while (mResultBytes > mOptions.mMaxResultBytes && !mResultOrder.empty()) {
    auto oldest = mRecords.find(mResultOrder.front());
    if (oldest != mRecords.end()) {
      record& row = oldest->second;
      if (!row.mAcked && row.mHasResult) {
        return;
      }
      if (row.mHasResult) {
        mResultBytes -= row.mResult.output.size();
        std::string().swap(row.mResult.output);
        row.mHasResult = false;
      }
    }
    mResultOrder.pop_front();
  }
}

void
guard_node::AddTombstone(const task_ref& aRef, instant aNow)
{
  if (!mSafeguards.mTombstones) {
    return;
  }
  record& row = mRecords[aRef];
  row = record();
  row.mState = record_state::Tombstone;
  row.mAcked = true;
  row.mEnded = aNow;
  mEndedOrder.push_back({ aNow, aRef });
  mCounters.mTombstones++;
}

void
guard_node::Acknowledge(const std::vector<task_ref>& aRefs)
{
  for (const task_ref& ref : aRefs) {
    auto found = mRecords.find(ref);
    if (found != mRecords.end()) {
      found->second.mAcked = true;
    }
  }
  TrimResults();
}

void
guard_node::OnSettle(peer_id aPeer,
                     const wire::settle_msg& aSettle,
                     instant aNow)
{
  if (!IsHolder(aPeer) || aSettle.epoch != mEpoch) {
    return; // only the holder may revoke; it will ask again after its claim
  }
  wire::settle_reply_msg reply;
  for (const task_ref& ref : aSettle.refs) {
    auto found = mRecords.find(ref);
    if (found == mRecords.end()) {
      AddTombstone(ref, aNow);
      reply.not_started.push_back(ref);
    } else if (found->second.mState == record_state::Tombstone) {
      reply.not_started.push_back(ref);
    } else if (found->second.mState == record_state::Running) {
      reply.running.push_back(ref);
    } else {
      mOutbox.push_back(found->second.mResult);
    }
  }
  mNetwork.Send(aPeer, MakeMessage(std::move(reply)));
}

void
guard_node::OnCancel(const wire::cancel_tasks_msg& aCancel, instant aNow)
{
  for (const task_ref& ref : aCancel.refs) {
    auto found = mRecords.find(ref);
    if (found == mRecords.end()) {
      AddTombstone(ref, aNow);
      continue;
    }
    if (found->second.mState != record_state::Running) {
      continue;
    }
    mBackendPort.Cancel(ref);
    OnTaskEnded(
      { ref, task_outcome::Failed, run_state::Run, task_reason::Cancelled, "" },
      aNow);
  }
}

// The owner answered a job with tasks that had not started. Should it fail, the
// next owner learns from this record that the answer is out.
void
guard_node::OnAbandon(const wire::abandon_msg& aAbandon, instant aNow)
{
  for (const task_ref& ref : aAbandon.refs) {
    if (mRecords.count(ref) > 0 || mRecords.size() >= mOptions.mMaxRecords) {
      continue;
    }
    record& row = mRecords[ref];
    row.mState = record_state::Abandoned;
    row.mAcked = true;
    row.mEnded = aNow;
    mEndedOrder.push_back({ aNow, ref });
  }
}

void
guard_node::OnFetch(peer_id aPeer, const wire::fetch_msg& aFetch)
{
  if (!IsHolder(aPeer)) {
    return;
  }
  for (const task_ref& ref : aFetch.refs) {
    auto found = mRecords.find(ref);
    if (found != mRecords.end() && found->second.mHasResult) {
      mOutbox.push_back(found->second.mResult);
      continue;
    }
    if (found != mRecords.end() &&
        found->second.mState == record_state::Running) {
      continue; // its result follows
    }
    wire::task_result_msg gone;
    gone.ref = ref;
    gone.outcome = uint8_t(task_outcome::Failed);
    gone.run = uint8_t(run_state::Run);
    gone.reason = uint8_t(task_reason::ResultGone);
    mOutbox.push_back(std::move(gone));
  }
}

void
guard_node::OnConfig(const wire::config_push_msg& aPush)
{
  // A peer that was cut off may still push an old version; taking it would
  // undo an accepted change.
  if (mSafeguards.mMonotonicConfig) {
    if (!mVersionTried) {
      if (aPush.version > mOffered.version) {
        mOffered = aPush;
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

// Keeps the start records of a guard that stopped as planned. They hold no
// results, but show a later owner that the tasks were started.
void
guard_node::Adopt(const wire::records_msg& aRecords, instant aNow)
{
  for (const wire::record_summary& item : aRecords.items) {
    bool started = item.state() != uint8_t(record_state::Tombstone);
    if (!started || mRecords.count(item.ref()) > 0 ||
        mRecords.size() >= mOptions.mMaxRecords) {
      continue;
    }
    record& row = mRecords[item.ref()];
    bool abandoned = item.state() == uint8_t(record_state::Abandoned);
    row.mState = abandoned ? record_state::Abandoned : record_state::Finished;
    row.mAcked = true;
    row.mEnded = aNow;
    mEndedOrder.push_back({ aNow, item.ref() });
  }
}

void
guard_node::OnPeerStatus(const wire::peer_status_msg& aStatus)
{
  if (!aStatus.entries.empty()) {
    mEntries = aStatus.entries;
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
    auto object = nlohmann::json::parse(row.mValue, nullptr, false);
    if (object.is_object() && object.contains("address") &&
        object["address"].is_string()) {
      entries.push_back(object["address"].get<std::string>());
    }
  }
  if (!entries.empty()) {
    mEntries = entries;
  }
}

void
guard_node::OnVersionRead(const table_reply& aReply)
{
  mVersionTried = true;
  for (const table_row& row : aReply.mRows) {
    mTableVersion = std::strtoull(row.mValue.c_str(), nullptr, 10);
  }
  if (mOffered.version > 0) {
    wire::config_push_msg offered = std::move(mOffered);
    mOffered = wire::config_push_msg();
    OnConfig(offered);
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
  mAnnouncementEnd = aNow + mOptions.mAnnouncementLife;
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
guard_node::EndBackend(event_code aCode)
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
  EndBackend(event_code::BackendWithdrawn);
}

void
guard_node::SendState(peer_id aPeer)
{
  wire::worker_state_msg state;
  bool open = mAnnounced && !mDraining;
  state.slots = open ? mBackend.mSlots : 0;
  state.services = mBackend.mServices;
  state.cpus = mBackend.mCpus;
  state.memory_mb = mBackend.mMemoryMb;
  state.accelerators = mBackend.mAccelerators;
  state.draining = mDraining;
  state.config_version = mConfig.mVersion;
  state.running = mRunning;
  state.records_kept = mRecordsKept;
  mNetwork.Send(aPeer, MakeMessage(std::move(state)));
}

void
guard_node::BroadcastState()
{
  for (const auto& [peer, row] : mPeers) {
    SendState(peer);
  }
}

void
guard_node::TimeOutTasks(instant aNow)
{
  while (!mTimeouts.empty() && mTimeouts.begin()->first <= aNow) {
    auto due = std::move(mTimeouts.begin()->second);
    mTimeouts.erase(mTimeouts.begin());
    for (const task_ref& ref : due) {
      auto found = mRecords.find(ref);
      if (found == mRecords.end() ||
          found->second.mState != record_state::Running) {
        continue;
      }
      mBackendPort.Cancel(ref);
      OnTaskEnded({ ref,
                    task_outcome::Failed,
                    run_state::Run,
                    task_reason::TimedOut,
                    "" },
                  aNow);
    }
  }
}

void
guard_node::ExpireRecords(instant aNow)
{
  while (!mEndedOrder.empty() &&
         mEndedOrder.front().mEnded + mOptions.mRetention <= aNow) {
    auto found = mRecords.find(mEndedOrder.front().mRef);
    bool same = found != mRecords.end() &&
                found->second.mState != record_state::Running &&
                found->second.mEnded == mEndedOrder.front().mEnded;
    if (same) {
      if (found->second.mHasResult) {
        mResultBytes -= found->second.mResult.output.size();
      }
      mRecords.erase(found);
    }
    mEndedOrder.pop_front();
  }
  while (!mResultOrder.empty() &&
         mRecords.find(mResultOrder.front()) == mRecords.end()) {
    mResultOrder.pop_front();
  }
}

void
guard_node::FlushResults()
{
  if (mOutbox.empty() || mHolder == 0) {
    return; // kept as unacknowledged records until the next holder
  }
  wire::results_msg batch;
  batch.epoch = mEpoch;
  batch.sequence = mSequence;
  batch.items = std::move(mOutbox);
  mOutbox.clear();
  mNetwork.Send(mHolder, MakeMessage(std::move(batch)));
}

// Replaces links over which nothing came for long: something between the two
// ends may have lost track of them, which neither end is ever told. Entries
// send their status on every link well within this time. A guard without an
// owner does not wait that long: an owner may be trying to reach it over a
// link that only seems to be open.
void
guard_node::KeepLinks(instant aNow)
{
  for (auto entry = mPeers.begin(); entry != mPeers.end();) {
    duration limit =
      Leased(aNow) ? mOptions.mLinkSilence : mOptions.mOwnerlessSilence;
    bool silent = aNow - entry->second.mLastHeard > limit;
    if (!silent) {
      ++entry;
      continue;
    }
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", PeerName(entry->second.mIdentity) } });
    mNetwork.Close(entry->first);
    if (IsHolder(entry->first)) {
      mHolder = 0;
    }
    entry = mPeers.erase(entry);
  }
}

void
guard_node::ConnectMissing()
{
  for (const std::string& address : mEntries) {
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
  NoticePause(aNow);
  if (aNow >= mGraceUntil) {
    if (mAnnounced && aNow >= mAnnouncementEnd) {
      EndBackend(event_code::BackendExpired);
    }
    TimeOutTasks(aNow);
  }
  ExpireRecords(aNow);
  if (mLeaseHeld && aNow >= mLeaseEnd) {
    // The holder fell silent, perhaps over a dead link: replace the link, so
    // that either it or its successor can reach this guard.
    mLeaseHeld = false;
    mEvents.Emit(event_code::LeaseExpired, { { "peer", mHolderName } });
    if (mHolder != 0) {
      mNetwork.Close(mHolder);
      mPeers.erase(mHolder);
      mHolder = 0;
    }
  }
  if (!mVersionTried && mVersionRequest == 0) {
    mVersionRequest = mTable.Read(kConfigVersionKey, 1, false);
  }
  if (aNow >= mNextTableRead && mTableRequest == 0) {
    mNextTableRead = aNow + mOptions.mTableInterval;
    mTableRequest = mTable.Read("entry/", kMaxEntries, false);
  }
  if (aNow >= mNextConnect) {
    mNextConnect = aNow + kConnectInterval;
    KeepLinks(aNow);
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
  if (mRunning > 0 || mHolder == 0 || mHandOverSent) {
    return;
  }
  for (const auto& [ref, row] : mRecords) {
    if (!row.mAcked) {
      return;
    }
  }
  mHandOverSent = true;
  SendRecords(mHolder, true);
}

bool
guard_node::Drained() const
{
  return mDraining && mRunning == 0 && (mRecordsHandedOver || mRecords.empty());
}

} // namespace cactusmast
