#include "cactusmast/job_coordinator.h"

#include <algorithm>

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

void
EraseTasksOf(const std::set<uint64_t>& aJobs, std::vector<task_key>* aTasks)
{
  auto isOne = [&](const task_key& aKey) { return aJobs.count(aKey.mJob) > 0; };
  aTasks->erase(std::remove_if(aTasks->begin(), aTasks->end(), isOne),
                aTasks->end());
}

} // namespace

job_coordinator::waiting_key
job_coordinator::WaitingKey(const job& aJob, const task_key& aKey) const
{
  const job_step& step = aJob.mSubmission.mSteps[aKey.mStep];
  instant latest =
    aJob.mObjectiveAt - milliseconds(int64_t(ExpectedRunMs(aJob, step)));
  return { latest, aJob.mRoute->mPriority, aKey };
}

void
job_coordinator::Enqueue(const job& aJob, const task_key& aKey)
{
  mWaiting.insert(WaitingKey(aJob, aKey));
  CountQueued(aJob, aKey.mStep, 1);
  mCapacityChanged = true;
}

job_coordinator::task&
job_coordinator::TaskOf(job& aJob, const task_key& aKey)
{
  return aJob.mTasks[aKey.mStep][aKey.mIndex];
}

void
job_coordinator::PlaceWaiting(instant aNow)
{
  mCapacityChanged = false;
  mLastPlacementAt = aNow;
  std::vector<task_key> order;
  if (HasLimits()) {
    order = OrderByPriority(aNow);
  } else {
    for (const waiting_key& key : mWaiting) {
      order.push_back(std::get<2>(key));
    }
  }
  RunPlacement(order, true, aNow);
}

void
job_coordinator::PlaceNew(const job& aJob, instant aNow)
{
  std::vector<task_key> order;
  for (size_t s = 0; s < aJob.mTasks.size(); s++) {
    for (size_t i = 0; i < aJob.mTasks[s].size(); i++) {
      order.push_back({ aJob.mId, uint32_t(s), uint32_t(i) });
    }
  }
  RunPlacement(order, false, aNow);
}

void
job_coordinator::RunPlacement(const std::vector<task_key>& aOrder,
                              bool aAllTried,
                              instant aNow)
{
  mOverShareTasks.clear();
  mPlacementCapacity.clear();
  mDeferrals.clear();
  if (aAllTried) {
    for (auto& [service, spare] : mSpare) {
      spare.mDeferredCoreMs = 0;
    }
  }
  for (server_view& view : mViews) {
    view.mAgeMs = MsBetween(view.mReportedAt, aNow);
  }
  mSlowness = SlownessOf(mViews);
  // Tasks that can meet their objective are placed first, the others on the
  // capacity that is left. Otherwise every answer would be late once a backlog
  // has built up.
  bool timelyFirst = mMechanisms.Has(mechanism::TimelyFirst);
  std::vector<task_key> late =
    timelyFirst ? TryPlace(aOrder, placement_aim::InObjective, aNow) : aOrder;
  late = UnplacePartialJobs(late);
  std::vector<task_key> unplaced =
    TryPlace(ShedLate(late, aNow), placement_aim::BeforeDeadline, aNow);
  RefuseOverShare(aAllTried, aNow);
  SendDispatches(aNow);
  ResizeSubsets(unplaced, aNow);
  std::set<uint64_t> infeasible = std::move(mInfeasibleJobs);
  mInfeasibleJobs.clear();
  for (uint64_t id : infeasible) {
    auto found = mJobs.find(id); // it may have been refused by ShedLate
    if (found != mJobs.end()) {
      Finish(id,
             ExpiryOf(found->second,
                      "no backend server can end it before its deadline"),
             aNow);
    }
  }
}

// While free capacity is scarce, a job of which only some tasks can start now
// would occupy capacity and still be late. Its reservations are undone, so that
// later tasks can use the capacity.
std::vector<task_key>
job_coordinator::UnplacePartialJobs(const std::vector<task_key>& aUnplaced)
{
  std::vector<task_key> unplaced = aUnplaced;
  std::set<uint64_t> seenJobs;
  std::map<std::string_view, service_capacity> capacities;
  for (const task_key& key : aUnplaced) {
    job& owner = mJobs.at(key.mJob);
    bool alreadySeen = !seenJobs.insert(key.mJob).second;
    bool partial =
      !alreadySeen && !IsDispatched(owner) && IsReservedOrDispatched(owner);
    if (partial && MayWaitForAll(owner, CapacityFor(owner, &capacities))) {
      Unplace(owner, &unplaced);
    }
  }
  return unplaced;
}

// On average, half of the capacity that a job needs for its other tasks is idle
// until all of them fit.
bool
job_coordinator::MayWaitForAll(const job& aJob,
                               const service_capacity& aCapacity)
{
  double idleMillis = 0;
  for (const job_step& step : aJob.mSubmission.mSteps) {
    double otherTasks = std::max<double>(0, double(step.mCount) - 1);
    idleMillis += otherTasks / 2 * double(step.mSize.mCpuMillis);
  }
  return aCapacity.FreeShare() < kScarceFreeShare &&
         idleMillis < kMaxIdleShare * double(aCapacity.mTotalMillis);
}

void
job_coordinator::Unplace(job& aJob, std::vector<task_key>* aUnplaced)
{
  for (auto at = mPendingDispatches.begin(); at != mPendingDispatches.end();) {
    auto [peer, id, stepNumber, estimateMs] = at->first;
    if (id != aJob.mId) {
      ++at;
      continue;
    }
    const resources& size = aJob.mSubmission.mSteps[stepNumber].mSize;
    server_view& view = mViews[mExecutors.at(peer).mViewIndex];
    for (uint32_t index : at->second) {
      view.mFree += size;
      view.mUnreportedCpuMillis -= size.mCpuMillis;
      task_key key{ id, stepNumber, index };
      ReturnReserved(aJob, key);
      aUnplaced->push_back(key);
    }
    at = mPendingDispatches.erase(at);
  }
}

void
job_coordinator::ReturnReserved(job& aJob, const task_key& aKey)
{
  task& one = TaskOf(aJob, aKey);
  one.mState = task_state::Waiting;
  one.mExecutor = 0;
  one.mAttempt--;
  mCounters.mAttempts--;
  CountUsed(aJob, aKey.mStep, -1);
  CountQueued(aJob, aKey.mStep, 1);
  mWaiting.insert(WaitingKey(aJob, aKey));
}

const service_capacity&
job_coordinator::CapacityFor(
  const job& aJob,
  std::map<std::string_view, service_capacity>* aCapacities) const
{
  const std::string& service = aJob.mRoute->mService;
  auto found = aCapacities->find(service);
  if (found == aCapacities->end()) {
    found = aCapacities->emplace(service, CapacityOf(mViews, service)).first;
  }
  return found->second;
}

std::vector<task_key>
job_coordinator::ShedLate(const std::vector<task_key>& aLate, instant aNow)
{
  if (!mMechanisms.Has(mechanism::LateRefused)) {
    return aLate;
  }
  std::vector<task_key> remaining;
  std::vector<task_key> last;     // of deferred jobs, may be placed
  std::vector<task_key> deferred; // wait for spare capacity
  std::set<uint64_t> shed;
  std::map<std::string_view, service_capacity> capacities;
  for (const task_key& key : aLate) {
    job& owner = mJobs.at(key.mJob);
    const service_capacity& capacity = CapacityFor(owner, &capacities);
    if (IsReservedOrDispatched(owner) ||
        capacity.FreeShare() >= kScarceFreeShare) {
      (owner.mDeferred ? last : remaining).push_back(key);
      continue;
    }
    // The job may be late only because the backend servers that can meet its
    // objective have no free capacity at present. It waits for them until it
    // would be late on a backend server with a slowness of 1: on other backend
    // servers it would take the capacity of a job that can meet its objective
    // there.
    bool late = owner.mDeferred || std::get<0>(WaitingKey(owner, key)) <= aNow;
    if (late && MayDefer(owner, aNow)) {
      deferred.push_back(key);
    } else if (late) {
      shed.insert(key.mJob);
    } else if (!MayWaitForAll(owner, capacity)) {
      remaining.push_back(key);
    }
  }
  remaining.insert(remaining.end(), last.begin(), last.end());
  // One late step ends the job, though tasks of its other steps may not be
  // late.
  EraseTasksOf(shed, &remaining);
  for (uint64_t id : shed) {
    Finish(id,
           { job_ending::Refused,
             "no room within its objective",
             kCapacityRetryAfter },
           aNow);
  }
  if (!deferred.empty()) {
    last = PlaceableDeferred(deferred, aNow);
    remaining.insert(remaining.end(), last.begin(), last.end());
  }
  return remaining;
}

std::vector<task_key>
job_coordinator::TryPlace(const std::vector<task_key>& aOrder,
                          placement_aim aAim,
                          instant aNow)
{
  // The tasks of one step are alike: if one cannot be placed, the others cannot
  // either.
  std::pair<uint64_t, uint32_t> unplacedStep{ 0, UINT32_MAX };
  std::vector<task_key> unplaced;
  uint32_t unplacedSteps = 0;
  uint32_t maxUnplacedSteps =
    mMechanisms.Has(mechanism::StuckLimit) ? kMaxUnplacedSteps : UINT32_MAX;
  bool sharesRoutes = SharesRoutes();
  for (const task_key& key : aOrder) {
    if (sharesRoutes && IsOverShare(mJobs.at(key.mJob))) {
      mOverShareTasks.push_back(key);
      continue;
    }
    bool sameStep = std::make_pair(key.mJob, key.mStep) == unplacedStep;
    if (sameStep || unplacedSteps >= maxUnplacedSteps) {
      unplaced.push_back(key);
      continue;
    }
    job& owner = mJobs.at(key.mJob);
    placement_request request = RequestFor(owner, key, aNow);
    request.mAim = aAim;
    // Tasks that are late already are first in the order. They do not count as
    // unplaced steps; otherwise later tasks that can still meet their objective
    // would not be tried.
    // Deferred jobs get only what the others leave.
    bool late = aAim == placement_aim::InObjective &&
                (owner.mDeferred || !CanMeetObjective(request, mSlowness.mMin));
    if (late) {
      unplaced.push_back(key);
      continue;
    }
    placement_verdict verdict = PlaceOne(owner, key, request);
    if (verdict == placement_verdict::Place) {
      continue;
    }
    unplaced.push_back(key);
    unplacedStep = { key.mJob, key.mStep };
    unplacedSteps++;
    if (verdict == placement_verdict::Infeasible) {
      mInfeasibleJobs.insert(key.mJob);
    }
  }
  return unplaced;
}

placement_request
job_coordinator::RequestFor(const job& aJob, const task_key& aKey, instant aNow)
{
  const task& one = aJob.mTasks[aKey.mStep][aKey.mIndex];
  placement_request request;
  request.mStep = &aJob.mSubmission.mSteps[aKey.mStep];
  bool hasProgress = one.mProgressEstimateMs > 0;
  request.mEstimateMs =
    hasProgress ? one.mProgressEstimateMs : ExpectedRunMs(aJob, *request.mStep);
  request.mEstimateSigma = hasProgress ? kProgressSigma : aJob.mRunSigma;
  request.mService = aJob.mRoute->mService;
  request.mDataCenter = mDataCenter;
  request.mAvoid = one.mAvoid;
  instant until =
    hasProgress ? aJob.mDeadline : std::min(aJob.mDeadline, aJob.mUsefulUntil);
  request.mDeadlineMs = MsBetween(aNow, until);
  request.mObjectiveBaseMs =
    aJob.mRoute->mObjectiveBaseMs - MsBetween(aJob.mFirstSentAt, aNow);
  request.mObjectiveStretch = aJob.mRoute->mObjectiveStretch;
  request.mMedianSlowness = mSlowness.mMedian;
  request.mUseScarcityCost = mMechanisms.Has(mechanism::ScarcityPrice);
  return request;
}

placement_verdict
job_coordinator::PlaceOne(job& aJob,
                          const task_key& aKey,
                          placement_request aRequest)
{
  task& one = TaskOf(aJob, aKey);
  const job_step& step = *aRequest.mStep;
  placement_decision decision = ChooseServer(mViews, aRequest, mRandom);
  if (decision.mVerdict == placement_verdict::NoCandidate && one.mAvoid != 0) {
    aRequest.mAvoid = 0;
    decision = ChooseServer(mViews, aRequest, mRandom);
  }
  if (decision.mVerdict != placement_verdict::Place) {
    return decision.mVerdict;
  }
  server_view& view = mViews[decision.mChoice.mViewIndex];
  view.mFree -= step.mSize;
  view.mUnreportedCpuMillis += step.mSize.mCpuMillis;
  mWaiting.erase(WaitingKey(aJob, aKey));
  CountQueued(aJob, aKey.mStep, -1);
  CountUsed(aJob, aKey.mStep, 1);
  one.mState = task_state::Reserved;
  one.mExecutor = view.mPeer;
  one.mAttempt++;
  auto estimateMs = uint32_t(aRequest.mEstimateMs);
  mPendingDispatches[{ view.mPeer, aKey.mJob, aKey.mStep, estimateMs }]
    .push_back(aKey.mIndex);
  mCounters.mAttempts++;
  return placement_verdict::Place;
}

void
job_coordinator::SendDispatches(instant aNow)
{
  for (const auto& [destination, indexes] : mPendingDispatches) {
    auto [peer, id, stepNumber, estimateMs] = destination;
    job& owner = mJobs.at(id);
    auto found = mExecutors.find(peer);
    if (found == mExecutors.end()) {
      // Sending an earlier dispatch has closed the connection.
      for (uint32_t index : indexes) {
        ReturnReserved(owner, { id, stepNumber, index });
      }
      mCapacityChanged = true; // so that they are placed again
      continue;
    }
    executor& peerState = found->second;
    const job_step& step = owner.mSubmission.mSteps[stepNumber];
    wire::start_tasks_msg dispatch;
    dispatch.offer = ++peerState.mLastDispatchNumber;
    dispatch.job = id;
    dispatch.step = stepNumber;
    dispatch.spec = owner.mSubmission.mSpec;
    dispatch.cpu_millis = uint32_t(step.mSize.mCpuMillis);
    dispatch.memory_mb = uint32_t(step.mSize.mMemoryMb);
    dispatch.gpus = uint32_t(step.mSize.mAccelerators);
    dispatch.estimate_ms = estimateMs;
    dispatch.declared_ms = step.mDeclaredMs;
    dispatch.urgent_in_ms = int32_t(
      ToMs(std::get<0>(WaitingKey(owner, { id, stepNumber, 0 })) - aNow));
    dispatch.start_within_ms = kStartWithinMs;
    dispatch.evacuating = EncodeEvacuations(mEvacuations, aNow);
    dispatch.receiver_clock_ms = ExecutorClockMs(peer, aNow);
    dispatch.server_start_ms = peerState.mServerStartTimeMs;
    dispatch.stop_after_ms =
      uint32_t(std::max<int64_t>(0, ToMs(owner.mDeadline - aNow)));
    resources size;
    for (uint32_t index : indexes) {
      owner.mTasks[stepNumber][index].mState = task_state::Placed;
      AddOpenTask(peer, { id, stepNumber, index }, aNow);
      dispatch.tasks.emplace_back(index,
                                  owner.mTasks[stepNumber][index].mAttempt);
      size += step.mSize;
    }
    peerState.mUnreported[dispatch.offer] = size;
    mCounters.mDispatches++;
    mEvents.Emit(
      event_code::TasksPlaced,
      { { "job", FormatJobId(id) },
        { "server", mViews[peerState.mViewIndex].mName },
        { "tasks", std::to_string(indexes.size()) },
        { "free_cpu_millis",
          std::to_string(mViews[peerState.mViewIndex].mFree.mCpuMillis) },
        { "age_ms",
          std::to_string(
            ToMs(aNow - mViews[peerState.mViewIndex].mReportedAt)) } });
    mLinks.SendDispatch(peer, std::move(dispatch));
  }
  mPendingDispatches.clear();
}

} // namespace cactusmast
