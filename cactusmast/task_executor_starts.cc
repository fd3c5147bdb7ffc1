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

void
task_executor::BeginStart(task& aTask, instant aNow)
{
  aTask.mState = task_state::Starting;
  aTask.mStartSentAt = aNow;
  SendStart(aTask, aNow);
}

void
task_executor::SendStart(const task& aTask, instant aNow)
{
  start_request order;
  order.mTask = aTask.mKey;
  order.mRunNumber = aTask.mRunNumber;
  order.mSpec = *aTask.mSpec;
  order.mLeaseUntilMs = ExtendLease(aNow);
  order.mFencingToken = mFencingToken;
  mRunner.Start(order);
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
  BeginStart(aTask, aNow);
}

// What the last order got says nothing of an earlier one that got no answer:
// that one may have been carried out, or be carried out seconds later. Then
// only a stop that is answered, a new life or the end of all leases settles
// the attempt, and it counts as started.
void
task_executor::GiveUpStart(task& aTask, attempt_outcome aWhy, instant aNow)
{
  if (aTask.mResends == 0) {
    End(aTask.mKey, aWhy, aNow);
    return;
  }
  aTask.mState = task_state::InDoubt;
  BeginStop(aTask, attempt_outcome::Lost, aNow);
}

void
task_executor::OnStartReply(const task_key& aTask,
                            uint32_t aRun,
                            start_result aResult,
                            int64_t aClockMs,
                            instant aNow)
{
  if (aClockMs > 0) {
    mClockOffsetMs = aClockMs - ToMs(aNow);
    mClockKnown = true;
  }
  auto found = mTasks.find(aTask);
  bool current = found != mTasks.end() && found->second.mRunNumber == aRun &&
                 (found->second.mState == task_state::Starting ||
                  found->second.mState == task_state::InDoubt);
  if (!current) {
    return;
  }
  task& one = found->second;
  if (aResult != start_result::Started) {
    mEvents.Emit(
      event_code::StartNotMade,
      { { "task",
          FormatJobId(aTask.mJob) + "." + std::to_string(aTask.mIndex) },
        { "run", std::to_string(aRun) },
        { "result", std::string(Name(aResult)) },
        { "unanswered_before", std::to_string(one.mResends) } });
  }
  switch (aResult) {
    case start_result::Started:
      one.mState = task_state::Running;
      one.mConfirmedAt = aNow;
      return;
    case start_result::LeaseOver:
      RetryStart(one, aNow);
      return;
    case start_result::OldRun:
      if (one.mResends > 0) {
        // The unanswered order was carried out and has ended; the next look
        // says how.
        one.mState = task_state::Running;
        one.mConfirmedAt = aNow;
        return;
      }
      one.mRunNumber = one.mRunNumber * 2 + 1;
      RetryStart(one, aNow);
      return;
    case start_result::FencedOff:
      mFencingToken += kFencingTokenStep;
      RetryStart(one, aNow);
      return;
    case start_result::NoRoom:
      GiveUpStart(one, attempt_outcome::NoRoom, aNow);
      return;
    case start_result::Unhealthy:
    case start_result::OtherIncarnation:
    case start_result::Unreachable:
      RecordFailure(aNow);
      GiveUpStart(one, attempt_outcome::Unusable, aNow);
      return;
    case start_result::Malformed:
      GiveUpStart(one, attempt_outcome::Failed, aNow);
      return;
    case start_result::NoAnswer:
    case start_result::Count:
      break;
  }
  if (one.mSeenRunning) {
    one.mState = task_state::Running;
    one.mConfirmedAt = aNow;
    return;
  }
  bool repeats = !one.mStopping && mReachable && !IsEvacuated();
  if (repeats && ++one.mResends <= kMaxStartResends) {
    SendStart(one, aNow);
    return;
  }
  one.mResends++;
  GiveUpStart(one, attempt_outcome::Lost, aNow);
}

void
task_executor::BeginStop(task& aTask, attempt_outcome aOutcome, instant aNow)
{
  if (aTask.mStopping) {
    return;
  }
  aTask.mStopping = true;
  aTask.mStopOutcome = aOutcome;
  aTask.mNextStop = aNow + kStopRetry;
  SendStop(aTask.mKey, aTask.mRunNumber);
}

void
task_executor::SendStop(const task_key& aTask, uint32_t aRun)
{
  stop_request order;
  order.mTask = aTask;
  order.mRunNumber = aRun;
  order.mFencingToken = mFencingToken;
  mRunner.Stop(order);
}

void
task_executor::OnStopReply(const task_key& aTask,
                           uint32_t aRun,
                           bool aAnswered,
                           instant aNow)
{
  auto found = mTasks.find(aTask);
  if (!aAnswered || found == mTasks.end() || found->second.mRunNumber != aRun) {
    return;
  }
  found->second.mStopAnswered = true;
  found->second.mConfirmedAt = aNow;
  mNextPoll = aNow;
}

} // namespace cactusmast
