// Dispatches, results and the answers to callers in shard_owner.

#include <algorithm>

#include "cactusmast/shard_owner.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRefusalBackoff{ 200 };
// A task is infeasible, and not dispatched, if half of its expected run time on
// the worker is more than the time left until its deadline.
constexpr int kInfeasibleDivisor = 2;

wire::task_result_msg
MakeResult(const task_ref& aRef, run_state aRun, task_reason aReason)
{
  wire::task_result_msg result;
  result.ref = aRef;
  result.outcome = uint8_t(task_outcome::Failed);
  result.run = uint8_t(aRun);
  result.reason = uint8_t(aReason);
  return result;
}

bool
IsWorkerFault(const wire::task_result_msg& aResult)
{
  auto reason = task_reason(aResult.reason);
  return aResult.outcome == uint8_t(task_outcome::Failed) &&
         (reason == task_reason::BackendError ||
          reason == task_reason::BackendLost ||
          reason == task_reason::TimedOut);
}

} // namespace

void
shard_owner::Refuse(const waiter& aWaiter, const failure& aError)
{
  mCounters.mJobsRefused++;
  mAnswers.Answer(aWaiter.mToken, ErrorReply(aError));
}

void
shard_owner::AnswerFrom(const job_row& aRow, const waiter& aWaiter)
{
  wire::job_reply_msg reply;
  reply.state = uint8_t(aRow.mState);
  if (aRow.mOutputsDropped) {
    reply.error = uint8_t(error_code::NotFound);
    reply.text = "the job's outputs are no longer held";
    reply.step = "fetch answer";
    reply.run = uint8_t(run_state::Run);
  } else if (aRow.mState != job_state::Running) {
    reply.tasks = aRow.mResults;
  }
  mAnswers.Answer(aWaiter.mToken, std::move(reply));
}

void
shard_owner::AddWaiter(job_handle aJob, const waiter& aWaiter)
{
  mJobs.At(aJob).mWaiters.push_back(aWaiter);
  mWaiterTimeouts.emplace(aWaiter.mReplyDue,
                          std::make_pair(aJob, aWaiter.mToken));
}

void
shard_owner::FinishWithResult(job_handle aJob,
                              wire::task_result_msg aResult,
                              instant aNow)
{
  bool decided = false;
  if (!mJobs.FinishTask(aJob, std::move(aResult), aNow, &decided)) {
    mCounters.mDuplicateResults++;
    return;
  }
  if (!decided) {
    return;
  }
  job_row& row = mJobs.At(aJob);
  bool complete = row.mState == job_state::Complete;
  (complete ? mCounters.mJobsComplete : mCounters.mJobsFailed)++;
  AddAbandoned(row);
  mEvents.Emit(event_code::JobDecided,
               { { "job", row.mSubmission.mId.Text() },
                 { "state", std::string(Name(row.mState)) } });
  std::vector<waiter> waiters = std::move(row.mWaiters);
  row.mWaiters.clear();
  for (const waiter& waiting : waiters) {
    AnswerFrom(row, waiting);
  }
}

void
shard_owner::FinishTask(job_handle aJob,
                        uint32_t aIndex,
                        run_state aRun,
                        task_reason aReason,
                        instant aNow)
{
  if (!mJobs.Has(aJob)) {
    return;
  }
  task_ref ref = RefOf(mJobs.At(aJob).mSubmission.mId, aIndex);
  FinishWithResult(aJob, MakeResult(ref, aRun, aReason), aNow);
}

void
shard_owner::FinishQueued(job_handle aJob, task_reason aReason, instant aNow)
{
  mDispatcher.Remove(aJob);
  job_row& row = mJobs.At(aJob);
  for (uint32_t i = 0; i < row.mTasks.size(); i++) {
    if (row.mTasks[i].mState == task_state::Queued) {
      FinishTask(aJob, i, run_state::NotRun, aReason, aNow);
    }
  }
}

void
shard_owner::OnResults(peer_id aPeer,
                       const wire::results_msg& aResults,
                       instant aNow)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr) {
    return;
  }
  row->mLastHeard = aNow;
  mCounters.mResultMessages++;
  if (aResults.epoch == mEpoch) {
    ConfirmLease(*row, aResults.sequence, aNow);
  }
  for (const wire::task_result_msg& item : aResults.items) {
    if (item.outcome == uint8_t(task_outcome::Refused)) {
      OnRefused(*row, item, aNow);
    } else {
      OnResult(*row, item, aNow);
    }
  }
  UpdateAccepting(*row, aNow);
}

void
shard_owner::OnResult(worker_row& aRow,
                      const wire::task_result_msg& aResult,
                      instant aNow)
{
  mCounters.mResultTasks++;
  AddAck(aRow, aResult.ref, aNow);
  if (aRow.mAdopted.erase(aResult.ref) > 0) {
    mDispatcher.ReleaseAdopted(aRow.mHandle);
  }
  auto restored = aRow.mRestored.find(aResult.ref);
  if (restored != aRow.mRestored.end()) {
    job_handle job = restored->second;
    aRow.mRestored.erase(restored);
    FinishWithResult(job, aResult, aNow);
    return;
  }
  auto found = aRow.mInFlight.find(aResult.ref);
  if (found == aRow.mInFlight.end()) {
    mCounters.mDuplicateResults++;
    return;
  }
  in_flight_task task = found->second;
  aRow.mInFlight.erase(found);
  bool wasQuarantined = mDispatcher.IsQuarantined(aRow.mHandle, aNow);
  mDispatcher.OnFinished({ aRow.mHandle,
                           task.mLane,
                           task.mTeam,
                           task.mExpected,
                           duration(int64_t(aResult.run_us)),
                           IsWorkerFault(aResult) },
                         aNow);
  if (!wasQuarantined && mDispatcher.IsQuarantined(aRow.mHandle, aNow)) {
    mEvents.Emit(event_code::WorkerSetAside,
                 { { "worker", aRow.mIdentity.mName } });
  }
  FinishWithResult(task.mJob, aResult, aNow);
}

void
shard_owner::OnRefused(worker_row& aRow,
                       const wire::task_result_msg& aResult,
                       instant aNow)
{
  mCounters.mRefusedTasks++;
  AddAck(aRow, aResult.ref, aNow);
  auto found = aRow.mInFlight.find(aResult.ref);
  if (found == aRow.mInFlight.end()) {
    return;
  }
  in_flight_task task = found->second;
  aRow.mInFlight.erase(found);
  mDispatcher.OnNotStarted(
    aRow.mHandle, task.mLane, task.mTeam, task.mExpected);
  auto reason = task_reason(aResult.reason);
  if (reason == task_reason::StaleLease) {
    aRow.mLeased = false;
    aRow.mLeaseEnd = {};
  } else if (reason != task_reason::Tombstone) {
    // The guard stays short of slots or of its budgets for longer than a round
    // trip.
    aRow.mBackoffUntil = aNow + kRefusalBackoff;
  }
  Requeue(task, aResult.ref.index(), reason != task_reason::Tombstone, aNow);
}

// Queues a task again that certainly did not start. With aCounted this uses
// one of its retries.
void
shard_owner::Requeue(const in_flight_task& aTask,
                     uint32_t aIndex,
                     bool aCounted,
                     instant aNow)
{
  if (!mJobs.Has(aTask.mJob)) {
    return;
  }
  job_row& row = mJobs.At(aTask.mJob);
  if (row.mState != job_state::Running ||
      row.mTasks[aIndex].mState != task_state::Dispatched) {
    return;
  }
  task_progress& task = row.mTasks[aIndex];
  if (row.mCancelled) {
    FinishTask(
      aTask.mJob, aIndex, run_state::NotRun, task_reason::Cancelled, aNow);
    return;
  }
  if (aCounted) {
    task.mRetries++;
    uint32_t limit = mDispatcher.LaneProfile(row.mLane).mRetryLimit;
    if (task.mRetries > limit || !mDispatcher.TakeRetry()) {
      FinishTask(aTask.mJob,
                 aIndex,
                 run_state::NotRun,
                 task_reason::RetriesExhausted,
                 aNow);
      return;
    }
  }
  task.mState = task_state::Queued;
  row.mRequeued.push_back(aIndex);
  mCounters.mRequeuedTasks++;
  mDispatcher.PutBack(aTask.mJob, row.mLane, row.mTeam, aNow);
}

void
shard_owner::Schedule(instant aNow)
{
  assignment start;
  while (mDispatcher.Next(aNow, &start)) {
    job_row& row = mJobs.At(start.mJob);
    worker_row& worker = mWorkers[mWorkerByHandle[start.mWorker]];
    uint32_t index = 0;
    bool taken = job_table::TakeQueued(row, &index);
    bool infeasible =
      row.mDeadline - aNow < start.mExpected / kInfeasibleDivisor;
    if (!taken || infeasible) {
      mDispatcher.OnNotStarted(
        start.mWorker, start.mLane, start.mTeam, start.mExpected);
      if (taken) {
        FinishTask(
          start.mJob, index, run_state::NotRun, task_reason::TimedOut, aNow);
      }
      continue;
    }
    row.mTasks[index].mState = task_state::Dispatched;
    task_ref ref = RefOf(row.mSubmission.mId, index);
    worker.mInFlight[ref] = {
      start.mJob, start.mLane, start.mTeam, start.mExpected
    };
    AddToBatch(worker, start, index, aNow);
  }
}

void
shard_owner::AddToBatch(worker_row& aRow,
                        const assignment& aStart,
                        uint32_t aIndex,
                        instant aNow)
{
  const job_row& job = mJobs.At(aStart.mJob);
  const profile& jobProfile = mDispatcher.LaneProfile(aStart.mLane);
  auto left =
    std::chrono::duration_cast<milliseconds>(job.mDeadline - aNow).count();
  wire::dispatch_item_msg item;
  item.ref = RefOf(job.mSubmission.mId, aIndex);
  item.profile = jobProfile.mName;
  item.service = jobProfile.mService;
  item.payload = job.mSubmission.mPayloads[aIndex];
  item.timeout_ms = uint32_t(
    std::min<int64_t>(jobProfile.mTaskTimeoutMs, std::max<int64_t>(1, left)));
  if (aRow.mBatch.empty()) {
    aRow.mBatchSince = aNow;
    aRow.mBatchUrgent = false;
  }
  if (jobProfile.mPreference == cost_preference::ResponseTime) {
    aRow.mBatchUrgent = true;
  }
  aRow.mBatch.push_back(std::move(item));
  mUnsent.insert(aRow.mIdentity.mName);
  mCounters.mDispatchedTasks++;
}

void
shard_owner::AddAck(worker_row& aRow, const task_ref& aRef, instant aNow)
{
  if (aRow.mAcks.empty()) {
    aRow.mAcksSince = aNow;
  }
  aRow.mAcks.push_back(aRef);
  mUnsent.insert(aRow.mIdentity.mName);
}

void
shard_owner::FlushUnsent(instant aNow)
{
  for (auto name = mUnsent.begin(); name != mUnsent.end();) {
    auto found = mWorkers.find(*name);
    if (found != mWorkers.end()) {
      Flush(found->second, aNow);
    }
    bool done = found == mWorkers.end() ||
                (found->second.mBatch.empty() && found->second.mAcks.empty());
    name = done ? mUnsent.erase(name) : std::next(name);
  }
}

void
shard_owner::Flush(worker_row& aRow, instant aNow)
{
  if (aRow.mPeer == 0) {
    return;
  }
  bool due =
    aRow.mBatchUrgent || aNow - aRow.mBatchSince >= mOptions.mDispatchLinger;
  if (!aRow.mBatch.empty() && due) {
    NextSequence(aRow, aNow);
    wire::dispatch_msg dispatch;
    dispatch.epoch = mEpoch;
    dispatch.sequence = aRow.mSequence;
    dispatch.items = std::move(aRow.mBatch);
    dispatch.acks = std::move(aRow.mAcks);
    aRow.mBatch.clear();
    aRow.mAcks.clear();
    mCounters.mDispatchMessages++;
    mNetwork.Send(aRow.mPeer, MakeMessage(std::move(dispatch)));
    return;
  }
  if (!aRow.mAcks.empty() && aRow.mBatch.empty() &&
      aNow - aRow.mAcksSince >= mOptions.mAckLinger) {
    wire::result_ack_msg ack;
    ack.refs = std::move(aRow.mAcks);
    aRow.mAcks.clear();
    mCounters.mAckMessages++;
    mNetwork.Send(aRow.mPeer, MakeMessage(std::move(ack)));
  }
}

void
shard_owner::ExpireDeadlines(instant aNow)
{
  for (job_handle job : mJobs.TakeOverdue(aNow)) {
    job_row& row = mJobs.At(job);
    if (aNow < row.mDeadline + mOptions.mDeadlineGrace) {
      // The guards stop the running tasks at the same time. Their results,
      // which are about to arrive, tell for certain how each task ended.
      instant deadline = row.mDeadline;
      FinishQueued(job, task_reason::TimedOut, aNow);
      mJobs.WatchDeadline(job, deadline + mOptions.mDeadlineGrace);
      continue;
    }
    for (uint32_t i = 0; i < row.mTasks.size(); i++) {
      if (row.mTasks[i].mState == task_state::Dispatched) {
        FinishTask(job, i, run_state::Unknown, task_reason::TimedOut, aNow);
      }
    }
  }
}

void
shard_owner::ExpireWaiters(instant aNow)
{
  while (!mWaiterTimeouts.empty() && mWaiterTimeouts.begin()->first <= aNow) {
    auto [job, token] = mWaiterTimeouts.begin()->second;
    mWaiterTimeouts.erase(mWaiterTimeouts.begin());
    if (!mJobs.Has(job)) {
      continue;
    }
    job_row& row = mJobs.At(job);
    uint64_t wanted = token;
    auto found = std::find_if(
      row.mWaiters.begin(), row.mWaiters.end(), [wanted](const waiter& aOne) {
        return aOne.mToken == wanted;
      });
    if (found != row.mWaiters.end()) {
      waiter expired = *found;
      row.mWaiters.erase(found);
      AnswerFrom(row, expired);
    }
  }
}

void
shard_owner::FailAll(instant aNow)
{
  std::vector<job_handle> running;
  for (const auto& [handle, row] : mJobs.Rows()) {
    if (row.mState == job_state::Running) {
      running.push_back(handle);
    }
  }
  for (job_handle job : running) {
    FinishQueued(job, task_reason::WorkerLost, aNow);
    job_row& row = mJobs.At(job);
    for (uint32_t i = 0; i < row.mTasks.size(); i++) {
      if (row.mTasks[i].mState == task_state::Dispatched) {
        FinishTask(job, i, run_state::Unknown, task_reason::WorkerLost, aNow);
      }
    }
  }
}

} // namespace cactusmast
