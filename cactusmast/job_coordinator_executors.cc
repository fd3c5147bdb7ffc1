#include "cactusmast/job_coordinator.h"

#include <algorithm>

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

// The task that aRow of a report refers to.
template<typename Row>
task_key
KeyOf(const Row& aRow)
{
  return { uint64_t(aRow.job_high()) << 32 | aRow.job_low(),
           aRow.step(),
           aRow.index() };
}

} // namespace

void
job_coordinator::OnExecutorUp(peer_id aPeer,
                              const peer_identity& aWho,
                              instant aNow)
{
  // An executor that connects again has closed its former connection, even if
  // this side has not detected that yet.
  for (const server_view& view : mViews) {
    if (view.mName == aWho.mName) {
      peer_id former = view.mPeer;
      mLinks.Close(former);
      OnExecutorDown(former, aNow);
      break;
    }
  }
  if (mDiscoveryEnd.count() == 0) {
    mDiscoveryEnd = aNow + kDiscoveryTime;
  }
  executor& added = mExecutors[aPeer];
  added.mViewIndex = mViews.size();
  added.mLastHeard = aNow;
  server_view view;
  view.mPeer = aPeer;
  view.mName = aWho.mName;
  view.mDataCenter = aWho.mDataCenter;
  view.mPlaceable = false; // until it has reported
  mViews.push_back(view);
}

void
job_coordinator::OnExecutorDown(peer_id aPeer, instant aNow)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  std::set<task_key> openTasks = std::move(found->second.mTasks);
  size_t index = found->second.mViewIndex;
  executor_subset* subset = found->second.mSubset;
  mExecutors.erase(found);
  mBusyExecutors.erase(aPeer);
  mViews.erase(mViews.begin() + long(index));
  for (auto& [peer, other] : mExecutors) {
    if (other.mViewIndex > index) {
      other.mViewIndex--;
    }
  }
  if (subset != nullptr) {
    subset->Remove(aPeer);
    ApplySubsetChange(subset->Update(), aNow);
  }
  for (const task_key& key : openTasks) {
    MarkOrphaned(key, aNow + kMaxOrphanLifetime);
  }
  if (!openTasks.empty()) {
    mEvents.Emit(event_code::WorkerLost,
                 { { "peer", std::to_string(aPeer) },
                   { "tasks_unsettled", std::to_string(openTasks.size()) } });
  }
}

void
job_coordinator::MarkOrphaned(const task_key& aKey, instant aUntil)
{
  auto found = mJobs.find(aKey.mJob);
  if (found == mJobs.end()) {
    return;
  }
  // It is no longer possible to know whether it was started.
  found->second.mAnyStarted = true;
  task& one = TaskOf(found->second, aKey);
  CountUsed(found->second, aKey.mStep, -1);
  one.mState = task_state::Orphaned;
  one.mExecutor = 0;
  one.mOrphanedUntil = aUntil;
  mCounters.mLost++;
  mOrphans.insert({ aUntil, aKey });
}

void
job_coordinator::RefreshFree(executor& aExecutor)
{
  resources free = aExecutor.mReportedFree;
  resources unreported;
  for (const auto& [number, size] : aExecutor.mUnreported) {
    unreported += size;
  }
  free -= unreported;
  mViews[aExecutor.mViewIndex].mFree = free;
  mViews[aExecutor.mViewIndex].mUnreportedCpuMillis = unreported.mCpuMillis;
}

void
job_coordinator::OnReport(peer_id aPeer,
                          const wire::server_report_msg& aReport,
                          instant aNow)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  executor& peerState = found->second;
  peerState.mLastHeard = aNow;
  peerState.mClockMs = aReport.clock_ms;
  peerState.mServerStartTimeMs = aReport.server_start_ms;
  server_view& view = mViews[peerState.mViewIndex];
  auto state = server_state(
    std::min<uint8_t>(aReport.state, uint8_t(server_state::Count) - 1));
  if (view.mState != state) {
    mEvents.Emit(event_code::ServerStateChanged,
                 { { "server", view.mName },
                   { "before", std::string(Name(view.mState)) },
                   { "now", std::string(Name(state)) } });
  }
  view.mState = state;
  if (peerState.mSubset == nullptr || view.mService != aReport.service) {
    view.mService = aReport.service;
    AssignSubset(peerState, aReport.service);
  }
  view.mCapacity = { aReport.cpu_millis, aReport.memory_mb, aReport.gpus };
  view.mQueuedCpuMillis = aReport.queued_cpu_millis;
  view.mSlowness = aReport.slowness_permille / 1000.0;
  view.mMeanRunMs = aReport.mean_run_ms;
  view.mStartDelayMs = aReport.room_in_ms;
  view.mLabels = aReport.labels;
  view.mReportedAt = aNow;
  peerState.mReportedFree = { aReport.free_cpu_millis,
                              aReport.free_memory_mb,
                              aReport.free_gpus };
  peerState.mUnreported.erase(
    peerState.mUnreported.begin(),
    peerState.mUnreported.upper_bound(aReport.last_offer));
  RefreshFree(peerState);
  mCapacityChanged = true;
  for (const wire::task_end& end : aReport.ends) {
    OnEnd(aPeer, end, aNow);
  }
  for (const wire::task_forecast& forecast : aReport.too_slow) {
    OnTooSlow(aPeer, forecast, aNow);
  }
  UpdateAfterReport(aPeer, aNow);
}

void
job_coordinator::UpdateAfterReport(peer_id aPeer, instant aNow)
{
  // Jobs that ended with the report may have closed the connection, because a
  // stop for their other tasks can overflow its send queue.
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  executor& peerState = found->second;
  if (peerState.mTasks.empty()) {
    peerState.mReportDueSince = instant(0);
  }
  server_view& view = mViews[peerState.mViewIndex];
  peerState.mSubset->SetUsable(aPeer, IsUsable(view));
  executor_subset::change change = peerState.mSubset->Update();
  view.mPlaceable = peerState.mSubset->Has(aPeer);
  ApplySubsetChange(change, aNow);
}

// Null unless the task is placed at aPeer with this attempt. Reports may refer
// to jobs that have ended and to earlier attempts.
job_coordinator::task*
job_coordinator::FindCurrentAttempt(peer_id aPeer,
                                    const task_key& aKey,
                                    uint32_t aAttempt)
{
  auto found = mJobs.find(aKey.mJob);
  bool known = found != mJobs.end() &&
               aKey.mStep < found->second.mTasks.size() &&
               aKey.mIndex < found->second.mTasks[aKey.mStep].size();
  if (!known) {
    return nullptr;
  }
  task& one = TaskOf(found->second, aKey);
  bool current = one.mState == task_state::Placed && one.mExecutor == aPeer &&
                 one.mAttempt == aAttempt;
  return current ? &one : nullptr;
}

// A progress estimate is far better than the declared run time. If a faster
// backend server can end the task in time even though it starts again, the task
// is stopped here; it is placed again once its end is reported.
void
job_coordinator::OnTooSlow(peer_id aPeer,
                           const wire::task_forecast& aForecast,
                           instant aNow)
{
  task_key key = KeyOf(aForecast);
  task* current = FindCurrentAttempt(aPeer, key, aForecast.attempt());
  auto peerState = mExecutors.find(aPeer);
  if (current == nullptr || peerState == mExecutors.end()) {
    return;
  }
  job& owner = mJobs.at(key.mJob);
  task& one = *current;
  one.mProgressEstimateMs = uint32_t(
    aForecast.total_ms() / mViews[peerState->second.mViewIndex].mSlowness);
  placement_request request = RequestFor(owner, key, aNow);
  request.mAvoid = aPeer;
  placement_decision decision = ChooseServer(mViews, request, mRandom);
  bool moves = mMechanisms.Has(mechanism::SlowTaskMoves) &&
               decision.mVerdict == placement_verdict::Place &&
               decision.mChoice.mForecast.mMissRisk < kMaxMoveRisk;
  mEvents.Emit(
    event_code::TaskTooSlow,
    { { "job", FormatJobId(key.mJob) },
      { "index", std::to_string(key.mIndex) },
      { "server", mViews[peerState->second.mViewIndex].mName },
      { "total_ms", std::to_string(aForecast.total_ms()) },
      { "left_ms", std::to_string(int(MsBetween(aNow, owner.mDeadline))) },
      { "declared_ms", std::to_string(request.mStep->mDeclaredMs) },
      { "moves", moves ? "yes" : "no" } });
  bool infeasible = decision.mVerdict == placement_verdict::Infeasible &&
                    aForecast.total_ms() >
                      kCertainMissFactor * MsBetween(aNow, owner.mDeadline);
  if (infeasible) {
    Finish(key.mJob,
           { job_ending::Expired, "cannot end before its deadline", {} },
           aNow);
    return;
  }
  if (!moves) {
    return;
  }
  wire::stop_tasks_msg stop;
  stop.job = key.mJob;
  stop.step = key.mStep;
  stop.indexes.push_back(key.mIndex);
  stop.receiver_clock_ms = ExecutorClockMs(aPeer, aNow);
  stop.job_open = true;
  mLinks.SendStop(aPeer, std::move(stop));
}

void
job_coordinator::OnEnd(peer_id aPeer, const wire::task_end& aEnd, instant aNow)
{
  task_key key = KeyOf(aEnd);
  RemoveOpenTask(aPeer, key);
  auto peerState = mExecutors.find(aPeer);
  task* current = FindCurrentAttempt(aPeer, key, aEnd.attempt());
  if (current == nullptr) {
    return;
  }
  job& owner = mJobs.at(key.mJob);
  task& one = *current;
  auto outcome = attempt_outcome(aEnd.outcome());
  CountUsed(owner, key.mStep, -1);
  if (outcome == attempt_outcome::Done) {
    one.mState = task_state::Done;
    if (peerState != mExecutors.end()) {
      double slowness = mViews[peerState->second.mViewIndex].mSlowness;
      ObserveRunTime(owner, key, aEnd.run_ms(), slowness);
    }
    if (--owner.mUnfinishedTasks == 0) {
      SettleObjective(owner);
      Finish(key.mJob, { job_ending::Completed, "", {} }, aNow);
    }
    return;
  }
  std::string server = peerState == mExecutors.end()
                         ? ""
                         : mViews[peerState->second.mViewIndex].mName;
  mEvents.Emit(event_code::AttemptEnded,
               { { "job", FormatJobId(key.mJob) },
                 { "server", server },
                 { "index", std::to_string(key.mIndex) },
                 { "attempt", std::to_string(one.mAttempt) },
                 { "outcome", std::string(Name(outcome)) },
                 { "run_ms", std::to_string(aEnd.run_ms()) } });
  one.mState = task_state::Waiting;
  one.mExecutor = 0;
  if (NeverStarted(outcome)) {
    mCounters.mNotStarted++;
  } else {
    one.mAvoid = aPeer;
    owner.mAnyStarted = true;
  }
  if (outcome == attempt_outcome::Failed &&
      ++one.mFailures >= std::max<uint32_t>(1, owner.mRoute->mMaxAttempts)) {
    Finish(key.mJob,
           { job_ending::Failed, "a task failed in every attempt", {} },
           aNow);
    return;
  }
  Enqueue(owner, key);
}

void
job_coordinator::ObserveRunTime(job& aJob,
                                const task_key& aKey,
                                uint32_t aRunMs,
                                double aSlowness)
{
  if (aSlowness <= 0) {
    return;
  }
  aJob.mLongestRunMs = std::max(aJob.mLongestRunMs, aRunMs / aSlowness);
  uint32_t declaredMs = aJob.mSubmission.mSteps[aKey.mStep].mDeclaredMs;
  if (aJob.mCallerTimeoutMs <= 0 || declaredMs == 0) {
    return;
  }
  mTimeoutModel.Observe(
    aJob.mRoute->mName, declaredMs, aJob.mCallerTimeoutMs, aRunMs / aSlowness);
}

void
job_coordinator::RequeueOrphan(const task_key& aKey)
{
  auto found = mJobs.find(aKey.mJob);
  if (found == mJobs.end()) {
    return;
  }
  task& one = TaskOf(found->second, aKey);
  if (one.mState == task_state::Orphaned) {
    one.mState = task_state::Waiting;
    Enqueue(found->second, aKey);
  }
}

void
job_coordinator::ExpireOrphans(instant aNow)
{
  while (!mOrphans.empty() && mOrphans.begin()->first <= aNow) {
    task_key key = mOrphans.begin()->second;
    mOrphans.erase(mOrphans.begin());
    RequeueOrphan(key);
  }
}

void
job_coordinator::AddOpenTask(peer_id aPeer, const task_key& aKey, instant aNow)
{
  executor& peerState = mExecutors.at(aPeer);
  peerState.mTasks.insert(aKey);
  mBusyExecutors.insert(aPeer);
  ExpectReport(peerState, aNow);
}

void
job_coordinator::RemoveOpenTask(peer_id aPeer, const task_key& aKey)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  found->second.mTasks.erase(aKey);
  if (found->second.mTasks.empty()) {
    mBusyExecutors.erase(aPeer);
  }
}

void
job_coordinator::ExpectReport(executor& aExecutor, instant aNow)
{
  if (aExecutor.mReportDueSince.count() == 0) {
    aExecutor.mReportDueSince = aNow;
  }
}

void
job_coordinator::AssignSubset(executor& aExecutor, const std::string& aService)
{
  const server_view& view = mViews[aExecutor.mViewIndex];
  if (aExecutor.mSubset != nullptr) {
    aExecutor.mSubset->Remove(view.mPeer);
  }
  bool limited = mMechanisms.Has(mechanism::ExecutorSubset);
  auto [found, added] = mSubsets.try_emplace(
    aService, mName, mDataCenter, limited ? kMinSubsetSize : kUnlimitedSubset);
  aExecutor.mSubset = &found->second;
  aExecutor.mSubset->Add(view.mPeer, view.mName, view.mDataCenter);
}

void
job_coordinator::ApplySubsetChange(const executor_subset::change& aChange,
                                   instant aNow)
{
  for (peer_id peer : aChange.mJoined) {
    auto found = mExecutors.find(peer);
    if (found != mExecutors.end()) {
      ExpectReport(found->second, aNow);
      mLinks.Subscribe(peer, true);
    }
  }
  for (peer_id peer : aChange.mLeft) {
    auto found = mExecutors.find(peer);
    if (found != mExecutors.end()) {
      mViews[found->second.mViewIndex].mPlaceable = false;
      mLinks.Subscribe(peer, false);
    }
  }
}

void
job_coordinator::ResizeSubsets(const std::vector<task_key>& aUnplaced,
                               instant aNow)
{
  std::set<std::string_view> unplacedServices;
  for (const task_key& key : aUnplaced) {
    auto found = mJobs.find(key.mJob);
    if (found != mJobs.end()) {
      unplacedServices.insert(found->second.mRoute->mService);
    }
  }
  for (auto& [service, subset] : mSubsets) {
    double freeShare = CapacityOf(mViews, service).FreeShare();
    bool hasUnplaced = unplacedServices.count(service) > 0;
    if (!subset.AdjustSize(freeShare, hasUnplaced, aNow)) {
      continue;
    }
    mEvents.Emit(event_code::SubsetResized,
                 { { "service", service },
                   { "size", std::to_string(subset.Size()) },
                   { "free_share", std::to_string(freeShare) },
                   { "unplaced", hasUnplaced ? "yes" : "no" } });
    ApplySubsetChange(subset.Update(), aNow);
  }
}

void
job_coordinator::CheckExecutorTimeouts(instant aNow)
{
  if (aNow < mNextTimeoutCheck) {
    return;
  }
  mNextTimeoutCheck = aNow + kTimeoutCheckInterval;
  std::vector<peer_id> timedOut;
  for (const auto& [peer, peerState] : mExecutors) {
    bool reportDue = peerState.mReportDueSince.count() != 0;
    instant since = std::max(peerState.mLastHeard, peerState.mReportDueSince);
    if (reportDue && aNow - since > kExecutorTimeout) {
      timedOut.push_back(peer);
    }
  }
  for (peer_id peer : timedOut) {
    auto found = mExecutors.find(peer);
    if (found == mExecutors.end()) {
      continue; // a message sent because of another one's loss has closed it
    }
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", mViews[found->second.mViewIndex].mName } });
    mLinks.Close(peer);
    OnExecutorDown(peer, aNow);
  }
}

// The report was on its way for a while, so the clock is ahead of the result by
// that time and never behind it.
uint64_t
job_coordinator::ExecutorClockMs(peer_id aExecutor, instant aNow) const
{
  auto found = mExecutors.find(aExecutor);
  if (found == mExecutors.end() || found->second.mClockMs == 0) {
    return 0;
  }
  return found->second.mClockMs +
         uint64_t(ToMs(aNow - found->second.mLastHeard));
}

size_t
job_coordinator::PlaceableServers() const
{
  return size_t(
    std::count_if(mViews.begin(), mViews.end(), [](const server_view& aView) {
      return aView.mPlaceable && aView.mState == server_state::Ready;
    }));
}

size_t
job_coordinator::ReadyServers() const
{
  return size_t(
    std::count_if(mViews.begin(), mViews.end(), [](const server_view& aView) {
      return aView.mState == server_state::Ready;
    }));
}

} // namespace cactusmast
