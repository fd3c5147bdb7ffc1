#include "cactusmast/shard_owner.h"

#include <algorithm>

// Workers and leases. Records are in shard_owner_records.cc, requests of
// callers in shard_owner_accept.cc, dispatches and results in
// shard_owner_jobs.cc.

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{ 100 };
constexpr milliseconds kLeaseRetryInterval{ 200 };
constexpr uint32_t kMaxExpiredPerTick = 2000;

} // namespace

void
AddCounters(const owner_counters& aFrom, owner_counters* aInto)
{
  using member = uint64_t owner_counters::*;
  static constexpr member kMembers[] = {
    &owner_counters::mDispatchMessages, &owner_counters::mDispatchedTasks,
    &owner_counters::mRequeuedTasks,    &owner_counters::mResultMessages,
    &owner_counters::mResultTasks,      &owner_counters::mDuplicateResults,
    &owner_counters::mRefusedTasks,     &owner_counters::mAckMessages,
    &owner_counters::mResolveMessages,  &owner_counters::mCancelMessages,
    &owner_counters::mFetchMessages,    &owner_counters::mAbandonMessages,
    &owner_counters::mLeaseMessages,    &owner_counters::mJobsAccepted,
    &owner_counters::mJobsRefused,      &owner_counters::mJobsComplete,
    &owner_counters::mJobsFailed,
  };
  for (member counter : kMembers) {
    aInto->*counter += aFrom.*counter;
  }
}

worker_traits
TraitsOf(const wire::worker_state_msg& aState)
{
  worker_traits traits;
  traits.mServices = aState.services;
  traits.mSlots = aState.slots;
  traits.mCpus = aState.cpus;
  traits.mMemoryMb = aState.memory_mb;
  traits.mAccelerators = aState.accelerators;
  return traits;
}

shard_owner::shard_owner(owner_options aOptions,
                         uint64_t aEpoch,
                         const std::vector<known_worker>& aKnown,
                         const deployment_config& aConfig,
                         peer_network& aNetwork,
                         answer_sink& aAnswers,
                         event_sink& aEvents,
                         random_source& aRandom,
                         instant aNow,
                         owner_safeguards aSafeguards)
  : mOptions(std::move(aOptions))
  , mEpoch(aEpoch)
  , mSafeguards(aSafeguards)
  , mNetwork(aNetwork)
  , mAnswers(aAnswers)
  , mEvents(aEvents)
  , mRandom(aRandom)
  , mClaimedAt(aNow)
  , mDispatcher(mOptions.mDispatcher)
  , mJobs(mOptions.mJobs)
  , mKnownAtClaim(aKnown)
  , mMissing(aKnown)
{
  if (!mSafeguards.mWaitForRecords) {
    mMissing.clear();
  }
  SetConfig(aConfig);
  mEvents.Emit(event_code::ShardClaimed,
               { { "shard", std::to_string(mOptions.mShard) },
                 { "epoch", std::to_string(mEpoch) },
                 { "missing", std::to_string(mMissing.size()) } });
}

void
shard_owner::SetConfig(const deployment_config& aConfig)
{
  mConfig = aConfig;
  for (const auto& [name, settings] : mConfig.mProfiles) {
    mDispatcher.SetLane(settings);
  }
  for (const auto& [name, settings] : mConfig.mTeams) {
    mDispatcher.SetTeam(settings);
  }
}

shard_owner::worker_row*
shard_owner::FindByPeer(peer_id aPeer)
{
  auto found = mWorkerByPeer.find(aPeer);
  return found == mWorkerByPeer.end() ? nullptr : &mWorkers[found->second];
}

void
shard_owner::Attach(peer_id aPeer, const peer_identity& aIdentity, instant aNow)
{
  auto known = mWorkers.find(aIdentity.mName);
  if (known != mWorkers.end() &&
      known->second.mIdentity.mIncarnation != aIdentity.mIncarnation) {
    // The guard restarted and has lost its records.
    LoseWorker(known->second, aNow);
    RemoveWorker(aIdentity.mName);
    known = mWorkers.end();
  }
  bool added = known == mWorkers.end();
  worker_row& row = mWorkers[aIdentity.mName];
  if (added) {
    row.mHandle = mDispatcher.AddWorker(worker_traits());
    mWorkerByHandle[row.mHandle] = aIdentity.mName;
    row.mRosterVersion = ++mRosterVersion;
  } else if (row.mPeer != 0 && row.mPeer != aPeer) {
    // The guard replaced a link that it found broken before this side did.
    mWorkerByPeer.erase(row.mPeer);
    mNetwork.Close(row.mPeer);
  }
  row.mIdentity = aIdentity;
  row.mPeer = aPeer;
  row.mLeased = false;
  row.mLastHeard = aNow;
  row.mUnconfirmed.clear();
  row.mLeaseEnd = {};
  mWorkerByPeer[aPeer] = aIdentity.mName;
  RequestLease(row, aNow);
}

void
shard_owner::Detach(peer_id aPeer, instant aNow)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr) {
    return;
  }
  mWorkerByPeer.erase(aPeer);
  row->mPeer = 0;
  row->mLeased = false;
  row->mLeaseEnd = {};
  row->mLinkDownSince = aNow;
  row->mReplicating = false;
  UpdateAccepting(*row, aNow);
  OnReplicaConfirmed(std::string(row->mIdentity.mName), 0, aNow);
}

void
shard_owner::OnWorkerState(peer_id aPeer, const wire::worker_state_msg& aState)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr) {
    return;
  }
  worker_traits traits = TraitsOf(aState);
  if (row->mIdentity.mDataCenter != mOptions.mDataCenter) {
    traits.mLatency = mOptions.mRemoteLatency;
  }
  row->mTraits = traits;
  row->mStateKnown = true;
  row->mDraining = aState.draining;
  row->mBackoffUntil = {};
  mDispatcher.UpdateWorker(row->mHandle, traits);
  UpdateAccepting(*row, row->mLastHeard);
}

void
shard_owner::NextSequence(worker_row& aRow, instant aNow)
{
  aRow.mSequence++;
  aRow.mUnconfirmed.push_back({ aRow.mSequence, aNow });
  constexpr size_t kMaxOutstanding = 64;
  if (aRow.mUnconfirmed.size() > kMaxOutstanding) {
    // Keeps every other one. A confirmation of one that is dropped extends the
    // lease from the time of the one before it, which is only slightly earlier.
    std::deque<sent_sequence> kept;
    for (size_t i = 0; i < aRow.mUnconfirmed.size(); i += 2) {
      kept.push_back(aRow.mUnconfirmed[i]);
    }
    aRow.mUnconfirmed = std::move(kept);
  }
}

void
shard_owner::RequestLease(worker_row& aRow, instant aNow)
{
  if (aRow.mPeer == 0) {
    return;
  }
  NextSequence(aRow, aNow);
  aRow.mLastLeaseRequest = aNow;
  wire::lease_request_msg request;
  request.shard = mOptions.mShard;
  request.epoch = mEpoch;
  request.sequence = aRow.mSequence;
  request.config_version = mConfig.mVersion;
  mCounters.mLeaseMessages++;
  mNetwork.Send(aRow.mPeer, MakeMessage(std::move(request)));
}

// The guard has received the message with aSequence, so its lease runs at
// least from the time when that message was sent.
void
shard_owner::ConfirmLease(worker_row& aRow, uint64_t aSequence, instant aNow)
{
  instant sent{};
  while (!aRow.mUnconfirmed.empty() &&
         aRow.mUnconfirmed.front().mSequence <= aSequence) {
    sent = aRow.mUnconfirmed.front().mSentAt;
    aRow.mUnconfirmed.pop_front();
  }
  if (sent.count() == 0) {
    return;
  }
  instant from = mSafeguards.mUseLeaseMargin ? sent : aNow;
  duration margin =
    mSafeguards.mUseLeaseMargin ? mOptions.mLeaseMargin : duration(0);
  aRow.mLeaseEnd =
    std::max(aRow.mLeaseEnd, from + mOptions.mLeaseDuration - margin);
}

void
shard_owner::OnLeaseReply(peer_id aPeer,
                          const wire::lease_reply_msg& aReply,
                          instant aNow)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr) {
    return;
  }
  row->mLastHeard = aNow;
  if (!aReply.granted) {
    row->mLeased = false;
    row->mLeaseEnd = {};
    bool otherOwner = aReply.epoch >= mEpoch;
    if (otherOwner && mEverLeased && mSafeguards.mStepDownWhenSuperseded) {
      mSuperseded = true;
      UpdateAccepting(*row, aNow);
      return;
    }
    // No guard has granted this owner a lease yet. Its epoch must be greater
    // than that of the latest owner, and it retries until the guard's present
    // lease has ended.
    if (otherOwner && mSafeguards.mWaitForRecords) {
      // Another owner came after the one that may have handed over, so the
      // records of all workers are needed again.
      mMissing = mKnownAtClaim;
    }
    mEpoch = std::max(mEpoch, aReply.epoch + 1);
    UpdateAccepting(*row, aNow);
    return;
  }
  if (aReply.epoch != mEpoch) {
    RequestLease(*row, aNow);
    return;
  }
  ConfirmLease(*row, aReply.sequence, aNow);
  if (!row->mLeased) {
    row->mLeased = true;
    mEverLeased = true;
    OnLeased(*row);
  }
  UpdateAccepting(*row, aNow);
  OnReplicaConfirmed(std::string(row->mIdentity.mName), aReply.sequence, aNow);
}

void
shard_owner::OnLeased(worker_row& aRow)
{
  mEvents.Emit(event_code::WorkerAttached,
               { { "worker", aRow.mIdentity.mName },
                 { "incarnation", std::to_string(aRow.mIdentity.mIncarnation) },
                 { "epoch", std::to_string(mEpoch) } });
  QueryInFlight(aRow);
}

// After a broken link it is in doubt which dispatches arrived. The guard
// replies which tasks it has not started and revokes them, so that a task that
// is dispatched again has not started and cannot start later from a delayed
// message.
void
shard_owner::QueryInFlight(worker_row& aRow)
{
  if (!aRow.mRestored.empty()) {
    wire::fetch_msg fetch;
    for (const auto& [ref, job] : aRow.mRestored) {
      fetch.refs.push_back(ref);
    }
    mCounters.mFetchMessages++;
    mNetwork.Send(aRow.mPeer, MakeMessage(std::move(fetch)));
  }
  if (aRow.mInFlight.empty() || !mSafeguards.mResolveBeforeRetry) {
    return;
  }
  wire::settle_msg query;
  query.epoch = mEpoch;
  for (const auto& [ref, task] : aRow.mInFlight) {
    query.refs.push_back(ref);
  }
  mCounters.mResolveMessages++;
  mNetwork.Send(aRow.mPeer, MakeMessage(std::move(query)));
}

void
shard_owner::OnSettleReply(peer_id aPeer,
                           const wire::settle_reply_msg& aReply,
                           instant aNow)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr) {
    return;
  }
  row->mLastHeard = aNow;
  for (const task_ref& ref : aReply.not_started) {
    auto found = row->mInFlight.find(ref);
    if (found == row->mInFlight.end()) {
      continue;
    }
    in_flight_task task = found->second;
    row->mInFlight.erase(found);
    mDispatcher.OnNotStarted(
      row->mHandle, task.mLane, task.mTeam, task.mExpected);
    Requeue(task, ref.index(), false, aNow);
  }
}

void
shard_owner::LoseWorker(worker_row& aRow, instant aNow)
{
  mEvents.Emit(event_code::WorkerLost,
               { { "worker", aRow.mIdentity.mName },
                 { "incarnation", std::to_string(aRow.mIdentity.mIncarnation) },
                 { "tasks", std::to_string(aRow.mInFlight.size()) } });
  auto inFlight = std::move(aRow.mInFlight);
  aRow.mInFlight.clear();
  for (const auto& [ref, lost] : inFlight) {
    FinishTask(lost.mJob,
               ref.index(),
               run_state::Unknown,
               task_reason::WorkerLost,
               aNow);
  }
  auto restored = std::move(aRow.mRestored);
  aRow.mRestored.clear();
  for (const auto& [ref, job] : restored) {
    FinishTask(
      job, ref.index(), run_state::Unknown, task_reason::WorkerLost, aNow);
  }
  ForgetRecordsAt(aRow.mIdentity.mName);
  mLostWorkers.push_back(
    { aRow.mIdentity.mName, aRow.mIdentity.mIncarnation, aNow });
  mAbsent[aRow.mIdentity.mName] = { aRow.mTraits, aNow };
}

void
shard_owner::RemoveWorker(const std::string& aName)
{
  auto found = mWorkers.find(aName);
  worker_row& row = found->second;
  mDispatcher.RemoveWorker(row.mHandle);
  mWorkerByHandle.erase(row.mHandle);
  mWorkerByPeer.erase(row.mPeer);
  mWorkers.erase(found);
  mRosterVersion++;
}

void
shard_owner::UpdateAccepting(worker_row& aRow, instant aNow)
{
  bool inStoredRoster = mStoredRosterVersion >= aRow.mRosterVersion;
  bool accepting = aRow.mPeer != 0 && aRow.mLeased && aRow.mStateKnown &&
                   aRow.mRecordsReceived && inStoredRoster && !aRow.mDraining &&
                   aRow.mTraits.mSlots > 0 && aNow < aRow.mLeaseEnd &&
                   aNow >= aRow.mBackoffUntil;
  mDispatcher.SetAccepting(aRow.mHandle, accepting);
}

void
shard_owner::CheckWorkers(instant aNow)
{
  std::vector<std::string> lost;
  std::vector<peer_id> timedOut;
  for (auto& [name, row] : mWorkers) {
    if (row.mPeer == 0) {
      if (aNow - row.mLinkDownSince >= mOptions.mWorkerTimeout) {
        lost.push_back(name);
      }
      continue;
    }
    if (aNow - row.mLastHeard >= mOptions.mLeaseDuration) {
      timedOut.push_back(row.mPeer);
      continue;
    }
    // Dispatches and their results renew the lease too, so only an idle link
    // needs a request of its own.
    bool renewalDue =
      row.mLeaseEnd - aNow < mOptions.mLeaseDuration - mOptions.mRenewInterval;
    duration interval =
      row.mLeased ? mOptions.mRenewInterval / 2 : duration(kLeaseRetryInterval);
    bool requestedRecently = aNow - row.mLastLeaseRequest < interval;
    if (renewalDue && !requestedRecently) {
      RequestLease(row, aNow);
    }
    UpdateAccepting(row, aNow);
  }
  for (peer_id peer : timedOut) {
    mEvents.Emit(
      event_code::PeerSilent,
      { { "peer", mWorkerByPeer[peer] }, { "step", "renew lease" } });
    Detach(peer, aNow);
    mNetwork.Close(peer);
  }
  for (const std::string& name : lost) {
    LoseWorker(mWorkers[name], aNow);
    RemoveWorker(name);
  }
}

uint32_t
shard_owner::LeasedWorkers(instant aNow) const
{
  uint32_t count = 0;
  for (const auto& [name, row] : mWorkers) {
    count += row.mLeased && aNow < row.mLeaseEnd ? 1 : 0;
  }
  return count;
}

std::vector<shard_owner::worker_status>
shard_owner::Workers(instant aNow) const
{
  std::vector<worker_status> statuses;
  for (const auto& [name, row] : mWorkers) {
    worker_status status;
    status.mName = name;
    status.mIncarnation = row.mIdentity.mIncarnation;
    status.mConnected = row.mPeer != 0;
    status.mLeased = row.mLeased && aNow < row.mLeaseEnd;
    status.mQuarantined = mDispatcher.IsQuarantined(row.mHandle, aNow);
    status.mSlots = row.mTraits.mSlots;
    status.mRunning = mDispatcher.Running(row.mHandle);
    status.mSlowness = mDispatcher.Estimator().Slowness(0, row.mHandle);
    statuses.push_back(std::move(status));
  }
  return statuses;
}

void
shard_owner::Tick(instant aNow)
{
  if (aNow >= mNextCheck) {
    mNextCheck = aNow + kCheckInterval;
    CheckWorkers(aNow);
    CheckComplete(aNow);
    ExpireWaiters(aNow);
    FailUnsatisfiable(aNow);
    mJobs.Expire(aNow, kMaxExpiredPerTick);
    if (aNow - mClaimedAt > mOptions.mJobs.mRetention) {
      mRecovered.clear();
      mInherited.clear();
    }
  }
  if (mSuperseded) {
    return; // the entry takes the jobs back by StepDown
  }
  ReleaseHeld(aNow);
  ExpireDeadlines(aNow);
  Schedule(aNow);
  SendAbandoned();
  FlushUnsent(aNow);
}

} // namespace cactusmast
