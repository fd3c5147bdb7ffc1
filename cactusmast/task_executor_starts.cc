// Start requests to the backend server, and their replies.

#include "cactusmast/task_executor.h"

#include <algorithm>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

uint32_t
task_executor::NextRunNumber(const task_key& aKey)
{
  auto found = mLastRunNumbers.find(aKey);
  return found == mLastRunNumbers.end() ? 1 : found->second + 1;
}

int64_t
task_executor::ExtendLease(instant aNow)
{
  mLeaseEnd = std::max(mLeaseEnd, aNow + kLeaseTime + kLeaseMargin);
  return ToMs(aNow) + mClockOffsetMs + kLeaseTime.count();
}

int64_t
task_executor::LeaseLeftMs(instant aNow) const
{
  return std::max<int64_t>(0, ToMs(mLeaseEnd - aNow));
}

void
task_executor::BeginStart(task& aTask, instant aNow)
{
  aTask.mState = task_state::Starting;
  aTask.mStartSentAt = aNow;
  SendStart(aTask, aNow);
}

void
task_executor::SendStart(task& aTask, instant aNow)
{
  start_request request;
  request.mTask = aTask.mKey;
  request.mRunNumber = aTask.mRunNumber;
  request.mSpec = *aTask.mSpec;
  request.mLeaseUntilMs = ExtendLease(aNow);
  // If this process is paused before the request leaves it, the backend server
  // refuses the start once the entry may have placed the task elsewhere.
  auto entry = mEntries.find(aTask.mEntry);
  if (entry != mEntries.end()) {
    instant until = entry->second.mLastHeard + kEntryTimeout;
    request.mLeaseUntilMs =
      std::min(request.mLeaseUntilMs, ToMs(until) + mClockOffsetMs);
  }
  request.mFencingToken = mFencingToken;
  aTask.mServerStartTimeMs = mServerStartTimeMs;
  request.mServerStartTimeMs = mServerStartTimeMs;
  mRunner.Start(request);
}

void
task_executor::RetryStart(task& aTask, instant aNow)
{
  if (IsEvacuated()) {
    GiveUpStart(aTask, attempt_outcome::Draining, aNow);
    return;
  }
  if (aTask.mStopping || ++aTask.mRetries > kMaxStartRetries) {
    GiveUpStart(aTask, attempt_outcome::Unusable, aNow);
    return;
  }
  aTask.mState = task_state::Starting;
  aTask.mAwaitsResend = true;
  ResendStart(aTask, aNow);
}

// The reply to the last start request says nothing about an earlier one without
// a reply, which may have been carried out or may be carried out seconds later.
// Then the attempt counts as started and is only resolved by the reply to a
// stop request, a restart of the backend server or the expiry of all leases.
void
task_executor::GiveUpStart(task& aTask, attempt_outcome aWhy, instant aNow)
{
  if (aTask.mResends == 0) {
    End(aTask.mKey, aWhy, aNow);
    return;
  }
  aTask.mState = task_state::InDoubt;
  BeginStop(aTask, stop_cause::StartInDoubt, attempt_outcome::Lost, aNow);
}

void
task_executor::OnStartReply(const task_key& aTask,
                            uint32_t aRunNumber,
                            start_result aResult,
                            int64_t aClockMs,
                            instant aNow)
{
  auto found = mTasks.find(aTask);
  // A reply of a former incarnation carries that one's clock.
  bool sameIncarnation =
    found != mTasks.end() && found->second.mStartSentAt >= mIncarnationSince;
  if (aClockMs > 0 && sameIncarnation) {
    mClockOffsetMs = aClockMs - ToMs(aNow);
    mClockKnown = true;
  }
  bool current = found != mTasks.end() &&
                 found->second.mRunNumber == aRunNumber &&
                 (found->second.mState == task_state::Starting ||
                  found->second.mState == task_state::InDoubt);
  if (!current) {
    return;
  }
  task& tracked = found->second;
  if (aResult != start_result::Started) {
    mEvents.Emit(
      event_code::StartNotMade,
      { { "task", FormatTask(aTask) },
        { "run", std::to_string(aRunNumber) },
        { "result", std::string(Name(aResult)) },
        { "unanswered_before", std::to_string(tracked.mResends) },
        { "server_start_ms", std::to_string(tracked.mServerStartTimeMs) },
        { "age_ms", std::to_string(ToMs(aNow - tracked.mStartSentAt)) } });
  }
  switch (aResult) {
    case start_result::Started:
      tracked.mState = task_state::Running;
      tracked.mConfirmedAt = aNow;
      return;
    case start_result::LeaseExpired:
      RetryStart(tracked, aNow);
      return;
    case start_result::OldRun:
      if (tracked.mResends > 0) {
        // The request without a reply was carried out, and the task has ended;
        // the reply to the next poll says how.
        tracked.mState = task_state::Running;
        tracked.mConfirmedAt = aNow;
        return;
      }
      tracked.mRunNumber = tracked.mRunNumber * 2 + 1;
      RetryStart(tracked, aNow);
      return;
    case start_result::FencedOff:
      mFencingToken += kFencingTokenStep;
      RetryStart(tracked, aNow);
      return;
    case start_result::NotSent:
      GiveUpStart(tracked, attempt_outcome::Unusable, aNow);
      return;
    case start_result::NoRoom:
      GiveUpStart(tracked, attempt_outcome::NoRoom, aNow);
      return;
    case start_result::Unhealthy:
    case start_result::OtherIncarnation:
    case start_result::Unreachable:
      RecordFailure(aNow);
      GiveUpStart(tracked, attempt_outcome::Unusable, aNow);
      return;
    case start_result::Malformed:
      GiveUpStart(tracked, attempt_outcome::Failed, aNow);
      return;
    case start_result::NoAnswer:
    case start_result::Count:
      break;
  }
  if (tracked.mSeenRunning) {
    tracked.mState = task_state::Running;
    tracked.mConfirmedAt = aNow;
    return;
  }
  tracked.mResends++;
  tracked.mAwaitsResend = true;
  ResendStart(tracked, aNow);
}

void
task_executor::ResendStart(task& aTask, instant aNow)
{
  // A new incarnation may have another capacity, service or labels.
  bool restarted = aTask.mStartSentAt < mIncarnationSince;
  bool pointless = aTask.mStopping || !mReachable || IsEvacuated() ||
                   restarted || aTask.mResends > kMaxStartResends;
  if (pointless) {
    aTask.mAwaitsResend = false;
    GiveUpStart(aTask, attempt_outcome::Unusable, aNow);
  } else if (!IsRestartSuspected() && !NeedsLeaseExpiry()) {
    aTask.mAwaitsResend = false;
    if (aTask.mResends == 0) {
      aTask.mStartSentAt = aNow; // all requests before were refused
    }
    SendStart(aTask, aNow);
  }
}

} // namespace cactusmast
