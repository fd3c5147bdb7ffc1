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
  executor& added = mExecutors[aPeer];
  added.mView = mViews.size();
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
  std::set<task_key> unsure = std::move(found->second.mTasks);
  size_t index = found->second.mView;
  executor_subset* subset = found->second.mSubset;
  mExecutors.erase(found);
  mBusy.erase(aPeer);
  mViews.erase(mViews.begin() + long(index));
  for (auto& [peer, other] : mExecutors) {
    if (other.mView > index) {
      other.mView--;
    }
  }
  if (subset != nullptr) {
    subset->Remove(aPeer);
    ApplyChange(subset->Update(), aNow);
  }
  for (const task_key& key : unsure) {
    MarkOrphaned(key, aNow + kMaxOrphanLifetime);
  }
  if (!unsure.empty()) {
    mEvents.Emit(event_code::WorkerLost,
                 { { "peer", std::to_string(aPeer) },
                   { "tasks_unsettled", std::to_string(unsure.size()) } });
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
  one.mState = task_state::Orphaned;
  one.mExecutor = 0;
  one.mOrphanedUntil = aUntil;
  mCounters.mLost++;
  mOrphans.insert({ aUntil, aKey });
}

void
job_coordinator::RefreshFree(executor& aAt)
{
  resources free = aAt.mReportedFree;
  resources unreported;
  for (const auto& [offer, size] : aAt.mUnreported) {
    unreported += size;
  }
  free -= unreported;
  mViews[aAt.mView].mFree = free;
  mViews[aAt.mView].mUnreportedCpuMillis = unreported.mCpuMillis;
}

void
job_coordinator::OnReport(peer_id aPeer,
                          const wire::server_report_msg& aSaid,
                          instant aNow)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  executor& at = found->second;
  at.mLastHeard = aNow;
  server_view& view = mViews[at.mView];
  auto state = server_state(
    std::min<uint8_t>(aSaid.state, uint8_t(server_state::Count) - 1));
  if (view.mState != state) {
    mEvents.Emit(event_code::ServerStateChanged,
                 { { "server", view.mName },
                   { "before", std::string(Name(view.mState)) },
                   { "now", std::string(Name(state)) } });
  }
  view.mState = state;
  if (at.mSubset == nullptr || view.mService != aSaid.service) {
    view.mService = aSaid.service;
    AssignSubset(at, aSaid.service);
  }
  view.mCapacity = { aSaid.cpu_millis, aSaid.memory_mb, aSaid.gpus };
  view.mQueuedCpuMillis = aSaid.queued_cpu_millis;
  view.mSlowness = aSaid.slowness_permille / 1000.0;
  view.mMeanRunMs = aSaid.mean_run_ms;
  view.mStartDelayMs = aSaid.room_in_ms;
  view.mLabels = aSaid.labels;
  view.mReportedAt = aNow;
  at.mReportedFree = { aSaid.free_cpu_millis,
                       aSaid.free_memory_mb,
                       aSaid.free_gpus };
  at.mUnreported.erase(at.mUnreported.begin(),
                       at.mUnreported.upper_bound(aSaid.last_offer));
  RefreshFree(at);
  mCapacityChanged = true;
  for (const wire::task_end& end : aSaid.ends) {
    OnEnd(aPeer, end, aNow);
  }
  for (const wire::task_forecast& forecast : aSaid.too_slow) {
    OnTooSlow(aPeer, forecast, aNow);
  }
  NoteHeard(aPeer, aNow);
}

void
job_coordinator::NoteHeard(peer_id aPeer, instant aNow)
{
  // Jobs that ended with the report may have closed the connection, because a
  // stop for their other tasks can overflow its send queue.
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  executor& at = found->second;
  if (at.mTasks.empty()) {
    at.mReportDueSince = instant(0);
  }
  server_view& view = mViews[at.mView];
  at.mSubset->SetUsable(aPeer, IsUsable(view));
  executor_subset::change change = at.mSubset->Update();
  view.mPlaceable = at.mSubset->Has(aPeer);
  ApplyChange(change, aNow);
}

// Null unless the task is placed at aPeer with this attempt. Reports may refer
// to jobs that have ended and to earlier attempts.
job_coordinator::task*
job_coordinator::CurrentAttempt(peer_id aPeer,
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
  task* current = CurrentAttempt(aPeer, key, aForecast.attempt());
  auto at = mExecutors.find(aPeer);
  if (current == nullptr || at == mExecutors.end()) {
    return;
  }
  job& owner = mJobs.at(key.mJob);
  task& one = *current;
  one.mProgressEstimateMs =
    uint32_t(aForecast.total_ms() / mViews[at->second.mView].mSlowness);
  placement_request request = RequestFor(owner, key, aNow);
  request.mAvoid = aPeer;
  placement_decision decision = ChooseServer(mViews, request, mRandom);
  bool better = mMechanisms.Has(mechanism::SlowTaskMoves) &&
                decision.mVerdict == placement_verdict::Place &&
                decision.mChoice.mForecast.mMissRisk < kMaxMoveRisk;
  mEvents.Emit(
    event_code::TaskTooSlow,
    { { "job", FormatJobId(key.mJob) },
      { "index", std::to_string(key.mIndex) },
      { "server", mViews[at->second.mView].mName },
      { "total_ms", std::to_string(aForecast.total_ms()) },
      { "left_ms", std::to_string(int(MsBetween(aNow, owner.mDeadline))) },
      { "declared_ms", std::to_string(request.mStep->mDeclaredMs) },
      { "moves", better ? "yes" : "no" } });
  bool hopeless = decision.mVerdict == placement_verdict::Infeasible &&
                  aForecast.total_ms() >
                    kCertainMissFactor * MsBetween(aNow, owner.mDeadline);
  if (hopeless) {
    Finish(key.mJob,
           { job_ending::Expired, "cannot end before its deadline", {} },
           aNow);
    return;
  }
  if (!better) {
    return;
  }
  wire::stop_tasks_msg order;
  order.job = key.mJob;
  order.step = key.mStep;
  order.indexes.push_back(key.mIndex);
  mLinks.Stop(aPeer, std::move(order));
}

void
job_coordinator::OnEnd(peer_id aPeer, const wire::task_end& aEnd, instant aNow)
{
  task_key key = KeyOf(aEnd);
  RemoveOpenTask(aPeer, key);
  auto at = mExecutors.find(aPeer);
  task* current = CurrentAttempt(aPeer, key, aEnd.attempt());
  if (current == nullptr) {
    return;
  }
  job& owner = mJobs.at(key.mJob);
  task& one = *current;
  auto outcome = attempt_outcome(aEnd.outcome());
  if (outcome == attempt_outcome::Done) {
    one.mState = task_state::Done;
    if (at != mExecutors.end()) {
      double slowness = mViews[at->second.mView].mSlowness;
      ObserveRunTime(owner, key, aEnd.run_ms(), slowness);
    }
    if (--owner.mLeft == 0) {
      Finish(key.mJob, { job_ending::Completed, "", {} }, aNow);
    }
    return;
  }
  std::string server =
    at == mExecutors.end() ? "" : mViews[at->second.mView].mName;
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
    mCounters.mBounced++;
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
job_coordinator::ObserveRunTime(const job& aJob,
                                const task_key& aKey,
                                uint32_t aRunMs,
                                double aSlowness)
{
  uint32_t declaredMs = aJob.mSubmission.mSteps[aKey.mStep].mDeclaredMs;
  if (aJob.mCallerTimeoutMs <= 0 || declaredMs == 0 || aSlowness <= 0) {
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
  executor& at = mExecutors.at(aPeer);
  at.mTasks.insert(aKey);
  mBusy.insert(aPeer);
  ExpectReport(at, aNow);
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
    mBusy.erase(aPeer);
  }
}

void
job_coordinator::ExpectReport(executor& aAt, instant aNow)
{
  if (aAt.mReportDueSince.count() == 0) {
    aAt.mReportDueSince = aNow;
  }
}

void
job_coordinator::AssignSubset(executor& aAt, const std::string& aService)
{
  const server_view& view = mViews[aAt.mView];
  if (aAt.mSubset != nullptr) {
    aAt.mSubset->Remove(view.mPeer);
  }
  bool limited = mMechanisms.Has(mechanism::ExecutorSubset);
  auto [found, added] = mSubsets.try_emplace(
    aService, mName, mDataCenter, limited ? kMinSubsetSize : kUnlimitedSubset);
  aAt.mSubset = &found->second;
  aAt.mSubset->Add(view.mPeer, view.mName, view.mDataCenter);
}

void
job_coordinator::ApplyChange(const executor_subset::change& aChange,
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
      mViews[found->second.mView].mPlaceable = false;
      mLinks.Subscribe(peer, false);
    }
  }
}

void
job_coordinator::ResizeSubsets(const std::vector<task_key>& aUnplaced,
                               instant aNow)
{
  std::set<std::string_view> shortOf;
  for (const task_key& key : aUnplaced) {
    auto found = mJobs.find(key.mJob);
    if (found != mJobs.end()) {
      shortOf.insert(found->second.mRoute->mService);
    }
  }
  for (auto& [service, subset] : mSubsets) {
    double freeShare = CapacityOf(mViews, service).FreeShare();
    bool isShort = shortOf.count(service) > 0;
    if (!subset.AdjustSize(freeShare, isShort, aNow)) {
      continue;
    }
    mEvents.Emit(event_code::SubsetResized,
                 { { "service", service },
                   { "size", std::to_string(subset.Size()) },
                   { "free_share", std::to_string(freeShare) },
                   { "unplaced", isShort ? "yes" : "no" } });
    ApplyChange(subset.Update(), aNow);
  }
}

void
job_coordinator::DropSilentExecutors(instant aNow)
{
  if (aNow < mNextSilenceCheck) {
    return;
  }
  mNextSilenceCheck = aNow + kSilenceCheckInterval;
  std::vector<peer_id> silent;
  for (const auto& [peer, at] : mExecutors) {
    bool awaited = at.mReportDueSince.count() != 0;
    instant since = std::max(at.mLastHeard, at.mReportDueSince);
    if (awaited && aNow - since > kExecutorTimeout) {
      silent.push_back(peer);
    }
  }
  for (peer_id peer : silent) {
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", mViews[mExecutors[peer].mView].mName } });
    mLinks.Close(peer);
    OnExecutorDown(peer, aNow);
  }
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
