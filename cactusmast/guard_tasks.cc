// The guard's tasks and its records of them: starts, ends, results and
// retention. Links, lease and drain are in guard_node.cc.

#include <algorithm>
#include <string>

#include "cactusmast/guard_node.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// At most this many records go into one message, which stays far below any
// frame limit.
constexpr size_t kRecordsPerMessage = 20000;

} // namespace

void
guard_node::SendRecords(peer_id aPeer, bool aIsHandover)
{
  wire::records_msg batch;
  auto flush = [&](bool aLast) {
    batch.shard = mOptions.mShard;
    batch.epoch = mEpoch;
    batch.last = aLast;
    batch.clean_stop = aIsHandover;
    mNetwork.Send(aPeer, MakeMessage(std::move(batch)));
    batch = wire::records_msg();
  };
  for (const auto& [ref, row] : mRecords) {
    batch.items.emplace_back(ref, uint8_t(row.mState), row.mHasResult);
    if (batch.items.size() == kRecordsPerMessage) {
      flush(false);
    }
  }
  flush(true);
}

void
guard_node::ResendUnackedResults()
{
  mOutbox.clear();
  for (const auto& [ref, row] : mRecords) {
    if (row.mState == record_state::Finished && !row.mAcked) {
      mOutbox.push_back(row.mResult);
    }
  }
}

task_reason
guard_node::RefusalReason(peer_id aPeer,
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
  bool started = false;
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
    task_reason reason = RefusalReason(aPeer, aDispatch, item, aNow);
    if (reason != task_reason::None) {
      Refuse(aPeer, item.ref, reason);
      continue;
    }
    StartTask(item, aNow);
    started = true;
  }
  if (started) {
    mLeaseEnd = aNow + mOptions.mLeaseDuration;
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
guard_node::OnTaskEnded(const task_completion& aEnd, instant aNow)
{
  auto found = mRecords.find(aEnd.mRef);
  if (found == mRecords.end() ||
      found->second.mState != record_state::Running) {
    return; // timed out or cancelled before, and reported then
  }
  record& row = found->second;
  wire::task_result_msg& taskResult = row.mResult;
  taskResult.ref = aEnd.mRef;
  taskResult.outcome = uint8_t(aEnd.mOutcome);
  taskResult.run = uint8_t(aEnd.mRunState);
  taskResult.reason = uint8_t(aEnd.mReason);
  taskResult.output = aEnd.mOutput;
  taskResult.run_us = uint64_t((aNow - row.mStarted).count());
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
  // A task that the backend server did not start becomes a tombstone, so that
  // it never starts here and the owner may start it elsewhere.
  aRecord.mState = started ? record_state::Finished : record_state::Tombstone;
  aRecord.mHasResult = started;
  mResultBytes += started ? aRecord.mResult.output.size() : 0;
  mEndedRecords.push_back({ aNow, aRef });
  mResultsByAge.push_back(aRef);
  mOutbox.push_back(aRecord.mResult);
  DeleteOldOutputs();
}

// Deletes the oldest outputs while their bytes exceed the limit. Stops at a
// result that was not acknowledged, because no other process has it.
void
guard_node::DeleteOldOutputs()
{
  while (mResultBytes > mOptions.mMaxResultBytes && !mResultsByAge.empty()) {
    auto oldest = mRecords.find(mResultsByAge.front());
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
    mResultsByAge.pop_front();
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
  mEndedRecords.push_back({ aNow, aRef });
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
  DeleteOldOutputs();
}

void
guard_node::OnSettle(peer_id aPeer,
                     const wire::settle_msg& aSettle,
                     instant aNow)
{
  if (!IsHolder(aPeer) || aSettle.epoch != mEpoch) {
    return; // only the holder may revoke; others ask again once they hold it
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

// The owner answered a job with tasks that had not started. If it fails, the
// next owner learns from this record that the job has been answered.
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
    mEndedRecords.push_back({ aNow, ref });
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
    wire::task_result_msg missing;
    missing.ref = ref;
    missing.outcome = uint8_t(task_outcome::Failed);
    missing.run = uint8_t(run_state::Run);
    missing.reason = uint8_t(task_reason::ResultDropped);
    mOutbox.push_back(std::move(missing));
  }
}

// Copies the start records of a guard that was drained. They hold no results,
// but show a later owner that the tasks were started.
void
guard_node::AddRecordCopies(const wire::records_msg& aRecords, instant aNow)
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
    mEndedRecords.push_back({ aNow, item.ref() });
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
  while (!mEndedRecords.empty() &&
         mEndedRecords.front().mEnded + mOptions.mRetention <= aNow) {
    auto found = mRecords.find(mEndedRecords.front().mRef);
    bool isCurrent = found != mRecords.end() &&
                     found->second.mState != record_state::Running &&
                     found->second.mEnded == mEndedRecords.front().mEnded;
    if (isCurrent) {
      if (found->second.mHasResult) {
        mResultBytes -= found->second.mResult.output.size();
      }
      mRecords.erase(found);
    }
    mEndedRecords.pop_front();
  }
  while (!mResultsByAge.empty() &&
         mRecords.find(mResultsByAge.front()) == mRecords.end()) {
    mResultsByAge.pop_front();
  }
}

void
guard_node::FlushResults()
{
  if (mOutbox.empty() || mHolder == 0) {
    return; // the records stay unacknowledged; the next holder gets them
  }
  wire::results_msg batch;
  batch.epoch = mEpoch;
  batch.sequence = mSequence;
  batch.items = std::move(mOutbox);
  mOutbox.clear();
  mNetwork.Send(mHolder, MakeMessage(std::move(batch)));
}

} // namespace cactusmast
