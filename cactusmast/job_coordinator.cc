#include "cactusmast/job_coordinator.h"

#include <algorithm>
#include <array>

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

constexpr std::array<std::string_view, size_t(job_ending::Count)>
  kEndings = { "completed", "failed", "refused", "expired" };

constexpr char kUnsatisfiable[] = "no backend server can hold it";

instant
AddMs(instant aNow, double aMs)
{
  return aNow + duration(int64_t(aMs * 1000));
}

} // namespace

std::string_view
Name(job_ending aEnding)
{
  return size_t(aEnding) < kEndings.size() ? kEndings[size_t(aEnding)]
                                           : "invalid";
}

job_coordinator::job_coordinator(std::string aName,
                                 std::string aDataCenter,
                                 coordinator_links& aLinks,
                                 job_answers& aAnswers,
                                 random_source& aRandom,
                                 event_sink& aEvents,
                                 const mechanism_set& aMechanisms,
                                 const overload_settings& aOverload)
  : mName(std::move(aName))
  , mDataCenter(std::move(aDataCenter))
  , mLinks(aLinks)
  , mAnswers(aAnswers)
  , mRandom(aRandom)
  , mEvents(aEvents)
  , mMechanisms(aMechanisms)
  , mOverload(aOverload)
  , mTimeoutModel(!aMechanisms.Has(mechanism::OutlierSpeeds))
{
}

void
job_coordinator::Submit(job_request aRequest, instant aNow)
{
  auto open = mJobs.find(aRequest.mJob);
  if (open != mJobs.end()) {
    // A job that is submitted again while it is open is one job with two
    // callers.
    open->second.mCallers.push_back(aRequest.mCaller);
    mCallerJobs[aRequest.mCaller] = aRequest.mJob;
    return;
  }
  if (RefuseUnsatisfiable(aRequest) || RefuseEvacuated(aRequest)) {
    return;
  }
  // Capacity that became free since all waiting tasks were last tried goes to
  // the most urgent of them, not to the next new job.
  bool othersFirst = mCapacityChanged && !mWaiting.empty();
  const job& admitted = Admit(aRequest, aNow);
  if (!othersFirst) {
    PlaceNew(admitted, aNow);
  } else if (IsPlacementDue(aNow)) {
    PlaceWaiting(aNow);
  }
}

const job_step*
job_coordinator::UnsatisfiableStep(const route& aRoute,
                                   const job_submission& aSubmission) const
{
  for (const job_step& step : aSubmission.mSteps) {
    if (!mDiscovering && IsUnsatisfiable(mViews, aRoute.mService, step)) {
      return &step;
    }
  }
  return nullptr;
}

bool
job_coordinator::RefuseUnsatisfiable(const job_request& aRequest)
{
  const job_step* step =
    UnsatisfiableStep(*aRequest.mRoute, aRequest.mSubmission);
  if (step == nullptr) {
    return false;
  }
  job_outcome outcome{ job_ending::Failed, kUnsatisfiable };
  mCounters.mFailed++;
  mEvents.Emit(event_code::JobRefused,
               { { "job", FormatJobId(aRequest.mJob) },
                 { "reason", outcome.mReason },
                 { "cpu_millis", std::to_string(step->mSize.mCpuMillis) },
                 { "servers", std::to_string(mViews.size()) } });
  mAnswers.Answer(aRequest.mCaller, outcome);
  return true;
}

void
job_coordinator::EndDiscovery(instant aNow)
{
  mDiscovering = false;
  std::vector<uint64_t> unsatisfiable;
  for (const auto& [id, open] : mJobs) {
    if (UnsatisfiableStep(*open.mRoute, open.mSubmission) != nullptr) {
      unsatisfiable.push_back(id);
    }
  }
  for (uint64_t id : unsatisfiable) {
    Finish(id, { job_ending::Failed, kUnsatisfiable, {} }, aNow);
  }
}

const job_coordinator::job&
job_coordinator::Admit(job_request& aRequest, instant aNow)
{
  const route& jobRoute = *aRequest.mRoute;
  mCounters.mAccepted++;
  job& admitted = mJobs[aRequest.mJob];
  admitted.mId = aRequest.mJob;
  admitted.mCallers.push_back(aRequest.mCaller);
  mCallerJobs[aRequest.mCaller] = aRequest.mJob;
  admitted.mSubmission = std::move(aRequest.mSubmission);
  admitted.mTable = std::move(aRequest.mTable);
  admitted.mRoute = aRequest.mRoute;
  AttachShare(admitted);
  admitted.mAcceptedAt = aNow;
  // A timeout given by the caller holds even if it exceeds the route's timeout.
  // Otherwise tasks that run longer than the route's timeout would be stopped
  // while their callers still wait and their objective has not passed.
  uint32_t timeoutMs = aRequest.mCallerTimeoutMs > 0 ? aRequest.mCallerTimeoutMs
                                                     : jobRoute.mTimeoutMs;
  admitted.mDeadline = aNow + milliseconds(timeoutMs) - kAnswerMargin;
  uint32_t maxDeclaredMs = 0;
  for (const job_step& step : admitted.mSubmission.mSteps) {
    maxDeclaredMs = std::max(maxDeclaredMs, step.mDeclaredMs);
    admitted.mTasks.emplace_back(step.mCount);
    admitted.mUnfinishedTasks += step.mCount;
  }
  admitted.mCallerTimeoutMs = aRequest.mCallerTimeoutMs;
  ApplyForecast(admitted, maxDeclaredMs, aNow);
  MeasureDemand(admitted, aNow);
  mDeadlines.insert({ admitted.mDeadline, admitted.mId });
  for (size_t s = 0; s < admitted.mTasks.size(); s++) {
    for (size_t i = 0; i < admitted.mTasks[s].size(); i++) {
      Enqueue(admitted, { admitted.mId, uint32_t(s), uint32_t(i) });
    }
  }
  mEvents.Emit(
    event_code::JobAccepted,
    { { "job", FormatJobId(admitted.mId) },
      { "route", jobRoute.mName },
      { "config_version", std::to_string(admitted.mTable->Config().mVersion) },
      { "tasks", std::to_string(admitted.mUnfinishedTasks) },
      { "estimate_ms", std::to_string(maxDeclaredMs) },
      { "forecast_ms",
        std::to_string(int(admitted.mRunTimeFactor * maxDeclaredMs)) },
      { "elapsed_ms", std::to_string(ToMs(aNow - admitted.mFirstSentAt)) },
      { "wait_ms", std::to_string(timeoutMs) } });
  return admitted;
}

void
job_coordinator::ApplyForecast(job& aJob, uint32_t aDeclaredMs, instant aNow)
{
  const route& jobRoute = *aJob.mRoute;
  double declaredMs = std::max<double>(1, aDeclaredMs);
  bool useForecast = mMechanisms.Has(mechanism::WaitForecasts);
  run_forecast forecast = mTimeoutModel.Forecast(
    jobRoute.mName, declaredMs, useForecast ? aJob.mCallerTimeoutMs : 0);
  aJob.mRunTimeFactor = forecast.mRunMs / declaredMs;
  aJob.mRunSigma = forecast.mSigma;
  aJob.mFirstSentAt = AddMs(aNow, -forecast.mElapsedMs);
  aJob.mObjectiveAt = AddMs(aJob.mFirstSentAt,
                            jobRoute.mObjectiveStretch * forecast.mRunMs +
                              jobRoute.mObjectiveBaseMs);
  aJob.mUsefulUntil =
    aJob.mFirstSentAt +
    kMaxUsefulObjectives * (aJob.mObjectiveAt - aJob.mFirstSentAt);
  if (forecast.mElapsedMs > 0) {
    // The caller of a resubmitted job still waits, so the job may use capacity
    // that is left.
    aJob.mUsefulUntil = aJob.mDeadline;
  }
}

void
job_coordinator::SettleObjective(job& aJob)
{
  if (aJob.mLongestRunMs > 0) {
    aJob.mObjectiveAt =
      AddMs(aJob.mFirstSentAt,
            aJob.mRoute->mObjectiveStretch * aJob.mLongestRunMs +
              aJob.mRoute->mObjectiveBaseMs);
  }
}

double
job_coordinator::ExpectedRunMs(const job& aJob, const job_step& aStep)
{
  return std::clamp(
    aJob.mRunTimeFactor * aStep.mDeclaredMs, kMinRunMs, kMaxRunMs);
}

void
job_coordinator::OnCallerDisconnected(caller_id aCaller, instant aNow)
{
  auto found = mCallerJobs.find(aCaller);
  if (found == mCallerJobs.end()) {
    return;
  }
  uint64_t id = found->second;
  mCallerJobs.erase(found);
  job& open = mJobs.at(id);
  auto& callers = open.mCallers;
  callers.erase(std::remove(callers.begin(), callers.end(), aCaller),
                callers.end());
  if (!callers.empty()) {
    return;
  }
  mCounters.mGivenUp++;
  mEvents.Emit(event_code::JobCancelled,
               { { "job", FormatJobId(id) },
                 { "reason", "its caller disconnected" },
                 { "left", std::to_string(open.mUnfinishedTasks) } });
  StopTasks(open, aNow);
  mDeadlines.erase({ open.mDeadline, id });
  mJobs.erase(id);
}

bool
job_coordinator::Cancel(uint64_t aJob, instant aNow)
{
  if (mJobs.count(aJob) == 0) {
    return false;
  }
  Finish(aJob, { job_ending::Failed, "cancelled", {} }, aNow);
  return true;
}

// Stops the placed tasks of a job and removes all its tasks from the queues.
void
job_coordinator::StopTasks(job& aJob, instant aNow)
{
  std::map<std::pair<peer_id, uint32_t>, std::vector<uint32_t>> stops;
  for (size_t s = 0; s < aJob.mTasks.size(); s++) {
    for (size_t i = 0; i < aJob.mTasks[s].size(); i++) {
      task& one = aJob.mTasks[s][i];
      task_key key{ aJob.mId, uint32_t(s), uint32_t(i) };
      if (one.mState == task_state::Waiting) {
        mWaiting.erase(WaitingKey(aJob, key));
        CountQueued(aJob, key.mStep, -1);
      } else if (one.mState == task_state::Placed) {
        CountUsed(aJob, key.mStep, -1);
        stops[{ one.mExecutor, uint32_t(s) }].push_back(uint32_t(i));
        RemoveOpenTask(one.mExecutor, key);
      } else if (one.mState == task_state::Orphaned) {
        mOrphans.erase({ one.mOrphanedUntil, key });
      }
    }
  }
  for (auto& [target, indexes] : stops) {
    wire::stop_tasks_msg stop;
    stop.job = aJob.mId;
    stop.step = target.second;
    stop.indexes = std::move(indexes);
    stop.receiver_clock_ms = ExecutorClockMs(target.first, aNow);
    mLinks.SendStop(target.first, std::move(stop));
  }
}

void
job_coordinator::LogOutcome(const job& aJob,
                            const job_outcome& aOutcome,
                            instant aNow)
{
  uint32_t waiting = 0;
  uint32_t orphaned = 0;
  uint32_t attempts = 0;
  for (const auto& step : aJob.mTasks) {
    for (const task& one : step) {
      waiting += one.mState == task_state::Waiting ? 1 : 0;
      orphaned += one.mState == task_state::Orphaned ? 1 : 0;
      attempts += one.mAttempt;
    }
  }
  mEvents.Emit(event_code::JobDecided,
               { { "job", FormatJobId(aJob.mId) },
                 { "route", aJob.mRoute->mName },
                 { "ending", std::string(Name(aOutcome.mEnding)) },
                 { "reason", aOutcome.mReason },
                 { "took_ms", std::to_string(ToMs(aNow - aJob.mAcceptedAt)) },
                 { "in_objective", aNow <= aJob.mObjectiveAt ? "yes" : "no" },
                 { "left", std::to_string(aJob.mUnfinishedTasks) },
                 { "waiting", std::to_string(waiting) },
                 { "settling", std::to_string(orphaned) },
                 { "attempts", std::to_string(attempts) } });
}

void
job_coordinator::Finish(uint64_t aJob,
                        const job_outcome& aOutcome,
                        instant aNow)
{
  job& ended = mJobs.at(aJob);
  switch (aOutcome.mEnding) {
    case job_ending::Completed:
      mCounters.mCompleted++;
      (aNow <= ended.mObjectiveAt ? mCounters.mInObjective : mCounters.mLate)++;
      mCounters.mDeferredCompleted += ended.mDeferred ? 1 : 0;
      break;
    case job_ending::Refused:
      mCounters.mRefused++;
      break;
    case job_ending::Expired:
      mCounters.mExpired++;
      break;
    default:
      mCounters.mFailed++;
      break;
  }
  bool completed = aOutcome.mEnding == job_ending::Completed;
  (completed ? mCounters.mCompletedIn : mCounters.mOtherEndingsIn)
    .Observe(aNow - ended.mAcceptedAt);
  LogOutcome(ended, aOutcome, aNow);
  StopTasks(ended, aNow);
  mDeadlines.erase({ ended.mDeadline, aJob });
  std::vector<caller_id> callers = std::move(ended.mCallers);
  mJobs.erase(aJob);
  for (caller_id caller : callers) {
    mCallerJobs.erase(caller);
    mAnswers.Answer(caller, aOutcome);
  }
}

bool
job_coordinator::IsDispatched(const job& aJob)
{
  if (aJob.mAnyStarted) {
    return true;
  }
  for (const auto& step : aJob.mTasks) {
    for (const task& one : step) {
      bool dispatched =
        one.mState != task_state::Waiting && one.mState != task_state::Reserved;
      if (dispatched) {
        return true;
      }
    }
  }
  return false;
}

bool
job_coordinator::IsReservedOrDispatched(const job& aJob) const
{
  if (aJob.mAnyStarted) {
    return true;
  }
  for (const auto& step : aJob.mTasks) {
    for (const task& one : step) {
      if (one.mState != task_state::Waiting) {
        return true;
      }
    }
  }
  return false;
}

job_outcome
job_coordinator::ExpiryOf(const job& aJob, const std::string& aReason) const
{
  bool reservedOrDispatched = IsReservedOrDispatched(aJob);
  return { reservedOrDispatched ? job_ending::Expired : job_ending::Refused,
           aReason,
           reservedOrDispatched ? duration{} : kCapacityRetryAfter };
}

void
job_coordinator::EndAll(const std::string& aReason, instant aNow)
{
  while (!mJobs.empty()) {
    const auto& [id, open] = *mJobs.begin();
    Finish(id, ExpiryOf(open, aReason), aNow);
  }
}

void
job_coordinator::ExpireJobs(instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    uint64_t id = mDeadlines.begin()->second;
    Finish(id, ExpiryOf(mJobs.at(id), "its deadline has passed"), aNow);
  }
}

bool
job_coordinator::IsPlacementDue(instant aNow) const
{
  return mCapacityChanged && aNow - mLastPlacementAt >= kMinPlacementInterval;
}

void
job_coordinator::Tick(instant aNow)
{
  CheckExecutorTimeouts(aNow);
  if (mDiscovering && mDiscoveryEnd.count() != 0 && aNow >= mDiscoveryEnd) {
    EndDiscovery(aNow);
  }
  ExpireOrphans(aNow);
  ExpireJobs(aNow);
  UpdateOverload(aNow);
  if (IsPlacementDue(aNow) && !mWaiting.empty()) {
    PlaceWaiting(aNow);
  }
}

uint32_t
job_coordinator::UndispatchedJobs(const std::string& aRoute) const
{
  uint32_t count = 0;
  for (const auto& [id, one] : mJobs) {
    count +=
      one.mRoute->mName == aRoute && !IsReservedOrDispatched(one) ? 1 : 0;
  }
  return count;
}

} // namespace cactusmast
