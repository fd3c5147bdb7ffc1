// What an executor does about running tasks that make no progress.

#include "cactusmast/task_executor.h"

#include "cactusmast/stall_timeout.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

// The entry places a stopped task again only when its end is reported, so it
// never runs twice at a time. Each stalled task counts as a failure of the
// backend server: if several stall in a row and none ends, it is quarantined.
void
task_executor::StopStalledTasks(instant aNow)
{
  if (!mDetectsStalls || !mMechanisms.Has(mechanism::StallDetection)) {
    return;
  }
  bool quarantined = false;
  for (auto& [key, tracked] : mTasks) {
    bool running = tracked.mState == task_state::Running &&
                   !tracked.mStopping && tracked.mProgressAt.count() != 0;
    if (!running) {
      continue;
    }
    duration expectedRun(int64_t(tracked.mEstimateMs * Slowness() * 1000));
    // mPercentAt: the newest reply that listed the task.
    duration idle = tracked.mPercentAt - tracked.mProgressAt;
    if (idle < StallTimeout(expectedRun)) {
      continue;
    }
    mStalledTasks++;
    mEvents.Emit(event_code::TaskStalled,
                 { { "job", FormatJobId(key.mJob) },
                   { "index", std::to_string(key.mIndex) },
                   { "server", mServer.mId },
                   { "percent", std::to_string(tracked.mPercent) },
                   { "without_progress_ms", std::to_string(ToMs(idle)) },
                   { "expected_ms", std::to_string(ToMs(expectedRun)) } });
    BeginStop(tracked, stop_cause::Stalled, attempt_outcome::Stopped, aNow);
    quarantined = RecordFailure(aNow) || quarantined;
  }
  if (quarantined) {
    ReturnQueued(attempt_outcome::Unusable, aNow);
    MarkChanged();
  }
}

} // namespace cactusmast
