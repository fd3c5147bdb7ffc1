// Polls of the backend server, and what follows from their replies.

#include "cactusmast/task_executor.h"

#include <algorithm>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

bool
task_executor::IsPollDue(instant aNow) const
{
  bool outstanding =
    !mPendingPolls.empty() && mPendingPolls.rbegin()->first == mLastPollNumber;
  return outstanding ? aNow >= mPollTimeoutAt : aNow >= mNextPoll;
}

// The reply to a poll comes with the next end in any case. A shorter wait only
// serves to detect a lost reply sooner, which matters most right after an end.
milliseconds
task_executor::PollWait(instant aNow) const
{
  bool unansweredPoll = !mPendingPolls.empty();
  if (unansweredPoll) {
    return kMinPollWait;
  }
  if (Running() == 0) {
    return kIdlePollWait;
  }
  instant next = aNow + kMaxBusyPollWait;
  for (const auto& [key, tracked] : mTasks) {
    if (tracked.mState != task_state::Queued) {
      next = std::min(next, ExpectedEnd(tracked, aNow) + kMinRemainingRun);
    }
  }
  auto wait = std::chrono::duration_cast<milliseconds>(next - aNow);
  return std::max(wait, kMinPollWait);
}

void
task_executor::SendPoll(instant aNow)
{
  poll_request request;
  request.mNumber = ++mLastPollNumber;
  request.mFencingToken = mFencingToken;
  request.mServerStartTimeMs = mServerStartTimeMs;
  // Another incarnation would drop ends of its own up to this number.
  request.mLastEndSeen = IsRestartSuspected() ? 0 : mLastEndSeen;
  // The lease of a backend server that has timed out is not extended, so that
  // its tasks end even if they run on unobserved. Before its clock is known,
  // the end of a lease cannot be given.
  bool responsive = mClockKnown && !IsRestartSuspected() &&
                    aNow - mLastPollReplyAt < kServerTimeout;
  request.mLeaseUntilMs =
    responsive && !NeedsLeaseExpiry() ? ExtendLease(aNow) : 0;
  request.mWaitMs =
    responsive && !mHasStrays ? uint32_t(PollWait(aNow).count()) : 0;
  mPendingPolls[request.mNumber] = aNow;
  mPollTimeoutAt = aNow + milliseconds(request.mWaitMs) + kPollGrace;
  mRunner.Poll(request);
}

void
task_executor::CheckServerTimeout(instant aNow)
{
  if (!mReachable || aNow - mLastPollReplyAt < kServerTimeout) {
    return;
  }
  mReachable = false;
  mEvents.Emit(
    event_code::BackendExpired,
    { { "server", mServer.mId },
      { "silent_ms", std::to_string(ToMs(aNow - mLastPollReplyAt)) } });
  ReturnQueued(attempt_outcome::Unusable, aNow);
  MarkChanged();
}

void
task_executor::OnPollReply(uint64_t aNumber,
                           poll_result aResult,
                           const server_snapshot& aSnapshot,
                           instant aNow)
{
  auto pending = mPendingPolls.find(aNumber);
  if (pending == mPendingPolls.end()) {
    return;
  }
  instant sentAt = pending->second;
  mPendingPolls.erase(pending);
  if (aResult == poll_result::FencedOff) {
    mFencingToken += kFencingTokenStep;
  }
  if (aResult == poll_result::Disconnected) {
    OnDisconnected(aNow);
    return;
  }
  if (aResult != poll_result::Ok) {
    mNextPoll = aNow + kPollRetryInterval;
    return;
  }
  // Replies may overtake each other; an older one is ignored.
  if (aNumber < mNewestPollReply) {
    return;
  }
  mNewestPollReply = aNumber;
  mLastPollReplyAt = aNow;
  mNextPoll = mHasStrays ? aNow + kStrayPollInterval : aNow;
  mClockOffsetMs = aSnapshot.mClockMs - ToMs(aNow);
  CheckIncarnation(aSnapshot.mStartTimeMs, aNow);
  mClockKnown = true;
  if (sentAt >= mRestartSuspectedAt) {
    mRestartSuspectedAt = instant(0);
  }
  if (!mReachable) {
    mReachable = true;
    MarkChanged();
  }
  ApplyEnds(aSnapshot, aNow);
  ApplyRunning(aSnapshot, sentAt, aNow);
  StopStalledTasks(aNow);
}

void
task_executor::ApplyEnds(const server_snapshot& aSnapshot, instant aNow)
{
  for (const ended_task& end : aSnapshot.mEnded) {
    mLastEndSeen = std::max(mLastEndSeen, end.mNumber);
    auto found = mTasks.find(end.mTask);
    bool ours = found != mTasks.end() &&
                found->second.mRunNumber == end.mRunNumber &&
                found->second.mState != task_state::Queued;
    if (!ours) {
      continue;
    }
    attempt_outcome outcome = attempt_outcome::Lost;
    switch (end.mKind) {
      case end_kind::Done:
        outcome = attempt_outcome::Done;
        break;
      case end_kind::Failed:
        outcome = attempt_outcome::Failed;
        break;
      case end_kind::Stopped:
        outcome = found->second.mStopOutcome;
        break;
      case end_kind::LeaseExpired:
        mLapsedTasks++;
        break;
      default:
        break;
    }
    UpdateEstimates(found->second, outcome, aNow);
    End(end.mTask, outcome, aNow);
  }
}

void
task_executor::ApplyRunning(const server_snapshot& aSnapshot,
                            instant aSentAt,
                            instant aNow)
{
  bool strays = aSnapshot.mStrayRunning > 0;
  std::set<task_key> listed;
  for (const running_task& run : aSnapshot.mRunning) {
    auto found = mTasks.find(run.mTask);
    bool ours = found != mTasks.end() &&
                found->second.mRunNumber == run.mRunNumber &&
                found->second.mState != task_state::Queued;
    if (ours) {
      found->second.mSeenRunning = true;
      if (found->second.mConfirmedAt.count() == 0) {
        found->second.mConfirmedAt = aNow;
      }
      OnProgress(found->second, run.mPercent, aNow);
      listed.insert(run.mTask);
      continue;
    }
    // Left by an earlier executor process, or started by a request that was
    // carried out late.
    strays = true;
    instant& next = mStrayStops[run.mTask];
    if (next <= aNow) {
      next = aNow + kStopRetryInterval;
      SendStop(run.mTask, run.mRunNumber);
      mEvents.Emit(event_code::StrayStopped,
                   { { "task", FormatTask(run.mTask) },
                     { "run", std::to_string(run.mRunNumber) },
                     { "lease_left_ms", std::to_string(LeaseLeftMs(aNow)) } });
    }
  }
  CheckProgress(listed, aNow);
  if (!strays) {
    mStrayStops.clear();
  }
  if (mHasStrays != strays) {
    mHasStrays = strays;
    MarkChanged(); // no capacity is free while there are strays
  }
  std::vector<task_key> ended;
  for (const auto& [key, tracked] : mTasks) {
    bool confirmed = tracked.mState != task_state::Queued &&
                     tracked.mConfirmedAt.count() != 0 &&
                     tracked.mConfirmedAt < aSentAt;
    if (confirmed && listed.count(key) == 0) {
      ended.push_back(key);
    }
  }
  for (const task_key& key : ended) {
    task& tracked = mTasks.at(key);
    End(key,
        tracked.mStopping ? tracked.mStopOutcome : attempt_outcome::Lost,
        aNow);
  }
}

// Reports to the task's entry, once, if the progress shows that the task cannot
// end in time here. On a faster backend server it still may.
void
task_executor::OnProgress(task& aTask, uint32_t aPercent, instant aNow)
{
  duration ran = aNow - aTask.mStartSentAt;
  // After a gap between two replies it is not known whether the backend server
  // was paused together with this process.
  bool gap = aNow - aTask.mPercentAt > kMaxReplyGap;
  if (aPercent != aTask.mPercent || gap) {
    aTask.mProgressAt = aNow;
  }
  aTask.mPercent = aPercent;
  aTask.mPercentAt = aNow;
  bool early = ran < kMinProgressTime || aPercent < kMinProgressPercent;
  if (early || aTask.mSlowReported || aTask.mStopping) {
    return;
  }
  duration total = ran * 100 / aPercent;
  if (aTask.mStartSentAt + total <= aTask.mStopBy) {
    return;
  }
  aTask.mSlowReported = true;
  auto entry = mEntries.find(aTask.mEntry);
  if (entry == mEntries.end()) {
    return;
  }
  const task_key& key = aTask.mKey;
  entry->second.mTooSlow.emplace_back(uint32_t(key.mJob >> 32),
                                      uint32_t(key.mJob),
                                      key.mStep,
                                      key.mIndex,
                                      aTask.mAttempt,
                                      uint32_t(ToMs(total)));
}

void
task_executor::CheckIncarnation(int64_t aStartTimeMs, instant aNow)
{
  if (aStartTimeMs == 0 || aStartTimeMs == mServerStartTimeMs) {
    return;
  }
  bool first = mServerStartTimeMs == 0;
  mServerStartTimeMs = aStartTimeMs;
  mLastEndSeen = 0;
  size_t queued = Queued();
  // They were placed by the capacity and labels of the former incarnation.
  ReturnQueued(attempt_outcome::Unusable, aNow);
  if (first) {
    return;
  }
  mIncarnationSince = aNow;
  mClockKnown = false;
  mEvents.Emit(event_code::BackendReborn,
               { { "server", mServer.mId },
                 { "unsettled", std::to_string(Running()) },
                 { "queued", std::to_string(queued) } });
  // The next poll shows which of the tasks run on the new incarnation. One that
  // is under way may have ended with the former one.
  mNextPoll = aNow;
  mPollTimeoutAt = aNow;
  mFailuresInRow = 0;
  mQuarantinedUntil = instant(0);
  mSlowness = robust_slowness(IgnoresOutliers());
}

void
task_executor::OnDisconnected(instant aNow)
{
  // One poll at once, because the connection may have been lost for another
  // reason; the next ones wait, because a restart takes longer.
  mNextPoll = IsRestartSuspected() ? aNow + kPollRetryInterval : aNow;
  mRestartSuspectedAt = aNow;
}

void
task_executor::EndAllStarted(attempt_outcome aOutcome, instant aNow)
{
  std::vector<task_key> started;
  for (const auto& [key, tracked] : mTasks) {
    if (tracked.mState != task_state::Queued) {
      started.push_back(key);
    }
  }
  for (const task_key& key : started) {
    End(key, aOutcome, aNow);
  }
}

bool
task_executor::RecordFailure(instant aNow)
{
  mFailuresInRow++;
  if (mFailuresInRow < kQuarantineAfterFailures ||
      !mMechanisms.Has(mechanism::IllnessNoticed)) {
    return false;
  }
  mQuarantinedUntil = aNow + kQuarantineTime;
  mEvents.Emit(event_code::WorkerSetAside,
               { { "server", mServer.mId },
                 { "failures_in_row", std::to_string(mFailuresInRow) } });
  return true;
}

void
task_executor::UpdateEstimates(const task& aTask,
                               attempt_outcome aOutcome,
                               instant aNow)
{
  if (aOutcome == attempt_outcome::Failed) {
    if (RecordFailure(aNow)) {
      ReturnQueued(attempt_outcome::Unusable, aNow);
    }
    return;
  }
  if (aOutcome != attempt_outcome::Done) {
    return;
  }
  mFailuresInRow = 0;
  ObserveRun(aTask, double(ToMs(aNow - aTask.mStartSentAt)));
}

void
task_executor::ObserveRun(const task& aTask, double aRanMs)
{
  // The run time is compared with the declared one. Entries make forecasts from
  // this slowness; if it were computed from forecasts, errors of both would
  // reinforce each other.
  bool startedCold = aTask.mStartSentAt < mColdUntil;
  double before = Slowness();
  slowness_evidence evidence =
    (startedCold ? mColdSlowness : mSlowness)
      .Observe(aRanMs, double(aTask.mDeclaredMs), aTask.mStartSentAt);
  if (evidence == slowness_evidence::Ignored) {
    mSlowOutliers++;
    return; // nor does it tell when other tasks will end
  }
  mMeanRunMs = mMeanRunMs == 0
                 ? aRanMs
                 : kMeanRunDecay * mMeanRunMs + (1 - kMeanRunDecay) * aRanMs;
  if (evidence == slowness_evidence::Changed && startedCold == mCold) {
    OnSpeedChanged(before, "ends");
  }
}

bool
task_executor::IgnoresOutliers() const
{
  return mMechanisms.Has(mechanism::LearnedSpeed) &&
         mMechanisms.Has(mechanism::OutlierSpeeds);
}

void
task_executor::CheckProgress(const std::set<task_key>& aRunning, instant aNow)
{
  if (!IgnoresOutliers()) {
    return;
  }
  std::vector<running_progress> running;
  for (const task_key& key : aRunning) {
    const task& listed = mTasks.at(key);
    running_progress progress;
    progress.mStartedAt = listed.mStartSentAt;
    progress.mDeclaredMs = listed.mDeclaredMs;
    duration ran = aNow - listed.mStartSentAt;
    bool startedCold = listed.mStartSentAt < mColdUntil;
    bool usable = ran >= kMinProgressTime &&
                  listed.mPercent >= kMinProgressPercent &&
                  startedCold == mCold;
    if (usable) {
      progress.mRunMs = double(ToMs(ran)) * 100 / listed.mPercent;
    }
    running.push_back(progress);
  }
  double before = Slowness();
  if ((mCold ? mColdSlowness : mSlowness).ObserveRunning(running)) {
    OnSpeedChanged(before, "progress");
  }
}

void
task_executor::OnSpeedChanged(double aBefore, const std::string& aShownBy)
{
  // Run times change with the slowness.
  mMeanRunMs *= Slowness() / aBefore;
  mEvents.Emit(event_code::ServerSpeedChanged,
               { { "server", mServer.mId },
                 { "before", std::to_string(aBefore) },
                 { "now", std::to_string(Slowness()) },
                 { "shown_by", aShownBy } });
  MarkChanged();
}

double
task_executor::Slowness() const
{
  if (!mMechanisms.Has(mechanism::LearnedSpeed)) {
    return 1;
  }
  return mCold ? mColdSlowness.Slowness() : mSlowness.Slowness();
}

// A cold backend server is slow for a while; by how much is only known from its
// tasks. The estimate from before applies again afterwards.
void
task_executor::CheckCold(instant aNow)
{
  bool cold = aNow < mColdUntil;
  if (cold == mCold) {
    return;
  }
  mCold = cold;
  if (cold) {
    mColdSlowness =
      robust_slowness::FromGuess(IgnoresOutliers(), mSlowness.Slowness());
  }
  mEvents.Emit(event_code::BackendCold,
               { { "server", mServer.mId },
                 { "cold_ms", std::to_string(ToMs(mColdUntil - aNow)) },
                 { "slowness", std::to_string(Slowness()) } });
  MarkChanged();
}

// Once every lease that was requested has expired and the backend server has
// not replied since, its tasks have ended by its own clock.
void
task_executor::CheckLeaseExpiry(instant aNow)
{
  if (!mReachable && aNow > mLeaseEnd && Running() > 0) {
    EndAllStarted(attempt_outcome::Lost, aNow);
  }
}

} // namespace cactusmast
