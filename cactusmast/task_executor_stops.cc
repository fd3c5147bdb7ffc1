// Stops of tasks, and what follows while the backend server has not confirmed
// them.

#include "cactusmast/task_executor.h"

#include <algorithm>
#include <array>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

constexpr std::array<std::string_view, size_t(stop_cause::Count)>
  kStopCauses = { "entry_order",
                  "deadline",
                  "stalled",
                  "start_in_doubt",
                  "entry_lost" };

} // namespace

std::string_view
Name(stop_cause aCause)
{
  return kStopCauses[size_t(aCause)];
}

void
task_executor::OnStopTasks(peer_id aEntry,
                           const wire::stop_tasks_msg& aRequest,
                           instant aNow)
{
  instant sentAt = TimeOfSending(aRequest.receiver_clock_ms, aNow);
  for (uint32_t index : aRequest.indexes) {
    task_key key{ aRequest.job, aRequest.step, index };
    auto found = mTasks.find(key);
    if (found == mTasks.end() || found->second.mEntry != aEntry) {
      continue;
    }
    task& tracked = found->second;
    if (tracked.mState == task_state::Queued) {
      End(key, attempt_outcome::NoRoom, aNow);
      continue;
    }
    BeginStop(tracked, stop_cause::EntryOrder, attempt_outcome::Stopped, aNow);
    if (!aRequest.job_open) {
      OnJobEnded(tracked, sentAt, aNow);
    }
  }
  MarkChanged();
}

void
task_executor::BeginStop(task& aTask,
                         stop_cause aCause,
                         attempt_outcome aOutcome,
                         instant aNow)
{
  if (aTask.mStopping) {
    return;
  }
  aTask.mStopping = true;
  aTask.mStopCause = aCause;
  aTask.mStopBegunAt = aNow;
  aTask.mNextStopLog = aNow + kOrphanStopTime;
  aTask.mStopOutcome = aOutcome;
  aTask.mNextStop = aNow + kStopRetryInterval;
  SendStop(aTask.mKey, aTask.mRunNumber);
}

void
task_executor::SendStop(const task_key& aTask, uint32_t aRunNumber)
{
  stop_request request;
  request.mTask = aTask;
  request.mRunNumber = aRunNumber;
  request.mFencingToken = mFencingToken;
  mRunner.Stop(request);
}

void
task_executor::OnStopReply(const task_key& aTask,
                           uint32_t aRunNumber,
                           bool aAcknowledged,
                           instant aNow)
{
  auto found = mTasks.find(aTask);
  if (!aAcknowledged || found == mTasks.end() ||
      found->second.mRunNumber != aRunNumber) {
    return;
  }
  found->second.mStopAcknowledged = true;
  found->second.mConfirmedAt = aNow;
  mNextPoll = aNow;
}

void
task_executor::ConfirmStopBy(task& aTask, instant aBy)
{
  bool bounded = aTask.mConfirmStopBy.count() != 0;
  aTask.mConfirmStopBy = bounded ? std::min(aTask.mConfirmStopBy, aBy) : aBy;
}

// Even if its end is learned of late, one stop request may get no reply.
void
task_executor::OnJobEnded(task& aTask, instant aEndedAt, instant aNow)
{
  ConfirmStopBy(
    aTask, std::max(aEndedAt + kEndedJobStopTime, aNow + kStopRetryInterval));
}

bool
task_executor::IsStopOverdue(const task& aTask, instant aNow)
{
  return aTask.mConfirmStopBy.count() != 0 &&
         aTask.mState != task_state::Queued && !aTask.mStopAcknowledged &&
         aNow >= aTask.mConfirmStopBy;
}

void
task_executor::CheckStops(instant aNow)
{
  size_t overdue = 0;
  for (auto& [key, tracked] : mTasks) {
    LogUnconfirmedStop(tracked, aNow);
    overdue += IsStopOverdue(tracked, aNow) ? 1 : 0;
  }
  bool neededExpiry = NeedsLeaseExpiry();
  mOverdueStops = overdue;
  if (NeedsLeaseExpiry() != neededExpiry) {
    MarkChanged(); // no capacity is free while a stop is overdue
  }
}

void
task_executor::LogUnconfirmedStop(task& aTask, instant aNow)
{
  bool unconfirmed = aTask.mStopping && !aTask.mStopAcknowledged;
  if (!unconfirmed || aNow < aTask.mNextStopLog) {
    return;
  }
  aTask.mNextStopLog = aNow + kLeaseTime;
  mEvents.Emit(
    event_code::StopUnconfirmed,
    { { "task", FormatTask(aTask.mKey) },
      { "run", std::to_string(aTask.mRunNumber) },
      { "cause", std::string(Name(aTask.mStopCause)) },
      { "waited_ms", std::to_string(ToMs(aNow - aTask.mStopBegunAt)) },
      { "lease_left_ms", std::to_string(LeaseLeftMs(aNow)) },
      { "running", std::to_string(Running()) } });
}

} // namespace cactusmast
