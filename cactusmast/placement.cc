#include "cactusmast/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cactusmast/normal_tail.h"

namespace cactusmast {
namespace {

// A task that would wait longer than this stays at the entry, so that any
// backend server that becomes free can get it. A short wait at the backend
// server avoids the idle time between the end of a task and the next dispatch,
// about 2 ms plus the interval of reports.
constexpr double kMaxServerWaitMs = 30;
// The cost is increased by a random part of up to this share, because entries
// that get the same reports would otherwise all choose the same backend server.
constexpr double kRandomCostShare = 0.1;
// Additional round-trip time to another data centre.
constexpr double kOtherDataCenterCostMs = 1;
// Dispatch, start, poll and report together take about this long in addition
// to the run time.
constexpr double kDispatchOverheadMs = 12;
// Standard deviation of the error of forecast waits.
constexpr double kWaitSigmaMs = 20;
// Cost of any wait in addition to its length: it depends on ends of tasks that
// are only forecast, other entries dispatch to the same backend server in the
// meantime, and a task that does not start in time comes back when it is too
// late to start it elsewhere.
constexpr double kWaitCostMs = 300;
// Costs of a certain miss of the deadline and of the objective. An answer after
// the deadline is worth nothing, one after the objective a fifth of one in
// time.
constexpr double kMissCostMs = 4000;
constexpr double kLateCostMs = 0.8 * kMissCostMs;
// A task waits for a busy backend server only if that lowers the cost by at
// least this much. Smaller differences are within the error of forecasts.
constexpr double kMinWaitSavingMs = 150;
// A backend server counts as fast if its slowness is at most this share of the
// median. Its last free capacity costs up to kMaxScarcityCostMs in addition, so
// that only tasks that save at least as much get it.
constexpr double kFastSlownessShare = 0.8;
constexpr double kMaxScarcityCostMs = 400;
// A task that is more likely than this to be late yields to those that can meet
// their objective.
constexpr double kMaxLateRisk = 0.6;
// A task that misses its deadline with a higher risk than this everywhere is
// not started.
constexpr double kInfeasibleRisk = 0.98;
// The wait is at least this long where there is no free capacity.
constexpr double kMinWaitMs = 3;
// Mean run time that is assumed until a backend server has ended a task.
constexpr double kDefaultMeanRunMs = 200;

bool
HasLabel(const server_view& aView, const std::string& aLabel)
{
  return std::find(aView.mLabels.begin(), aView.mLabels.end(), aLabel) !=
         aView.mLabels.end();
}

bool
IsUsable(const server_view& aView)
{
  return aView.mPlaceable && aView.mState == server_state::Ready;
}

bool
IsCandidate(const server_view& aView, const placement_request& aRequest)
{
  const job_step& step = *aRequest.mStep;
  return IsUsable(aView) && aView.mService == aRequest.mService &&
         aView.mPeer != aRequest.mAvoid && step.mSize.FitsIn(aView.mCapacity) &&
         (step.mRequiredLabel.empty() || HasLabel(aView, step.mRequiredLabel));
}

// The additional cost of the last free capacity of a fast backend server. It
// rises steeply once half of the capacity is in use; 0 for other backend
// servers.
double
ScarcityCostMs(const server_view& aView, double aMedianSlowness)
{
  if (aView.mSlowness > kFastSlownessShare * aMedianSlowness) {
    return 0;
  }
  double usedShare =
    1 - double(aView.mFree.mCpuMillis) /
          double(std::max<int64_t>(1, aView.mCapacity.mCpuMillis));
  usedShare = std::clamp(usedShare, 0.0, 1.0);
  double square = usedShare * usedShare;
  return kMaxScarcityCostMs * square * square;
}

// The risk of ending after the objective. The objective is proportional to the
// estimate and has the same error, so only the wait is uncertain.
double
LateRisk(const placement_request& aRequest, double aRunMs, double aWaitMs)
{
  double estimateMs = std::max<double>(1, aRequest.mEstimateMs);
  double slackMs = aRequest.mObjectiveBaseMs +
                   aRequest.mObjectiveStretch * estimateMs - aRunMs - aWaitMs -
                   kDispatchOverheadMs;
  return NormalTail(slackMs / kWaitSigmaMs);
}

} // namespace

slowness_summary
SlownessOf(const std::vector<server_view>& aViews)
{
  std::vector<double> slownesses;
  for (const server_view& view : aViews) {
    if (IsUsable(view)) {
      slownesses.push_back(view.mSlowness);
    }
  }
  if (slownesses.empty()) {
    return {};
  }
  auto median = slownesses.begin() + long(slownesses.size() / 2);
  std::nth_element(slownesses.begin(), median, slownesses.end());
  return { *std::min_element(slownesses.begin(), median + 1), *median };
}

bool
CanMeetObjective(const placement_request& aRequest, double aSlowness)
{
  double runMs = aRequest.mEstimateMs * aSlowness;
  return LateRisk(aRequest, runMs, 0) <= kMaxLateRisk;
}

double
ExpectedWaitMs(const server_view& aView, const resources& aSize)
{
  if (aSize.FitsIn(aView.mFree) && aView.mQueuedCpuMillis == 0) {
    return 0;
  }
  // The executor's own forecast, plus the time for the tasks that this entry
  // has dispatched since. Capacity becomes free at the rate at which running
  // tasks end.
  double meanRunMs =
    aView.mMeanRunMs > 0 ? aView.mMeanRunMs : kDefaultMeanRunMs;
  double unreportedShare =
    double(aView.mUnreportedCpuMillis) /
    double(std::max<int64_t>(aView.mCapacity.mCpuMillis, 1));
  return std::max(kMinWaitMs, aView.mStartDelayMs - aView.mAgeMs) +
         unreportedShare * meanRunMs;
}

placement_forecast
Forecast(const server_view& aView, const placement_request& aRequest)
{
  placement_forecast forecast;
  double estimateMs = std::max<double>(1, aRequest.mEstimateMs);
  forecast.mRunMs = estimateMs * aView.mSlowness;
  const std::string& rack = aRequest.mStep->mDataRack;
  if (!rack.empty() && !HasLabel(aView, rack)) {
    forecast.mRunMs *= aRequest.mRemoteDataFactor;
  }
  forecast.mWaitMs = ExpectedWaitMs(aView, aRequest.mStep->mSize);
  double leftMs = aRequest.mDeadlineMs - forecast.mWaitMs - kDispatchOverheadMs;
  forecast.mMissRisk = leftMs <= 0
                         ? 1
                         : NormalTail(std::log(leftMs / forecast.mRunMs) /
                                      aRequest.mEstimateSigma);
  forecast.mLateRisk = LateRisk(aRequest, forecast.mRunMs, forecast.mWaitMs);
  forecast.mCost = forecast.mWaitMs + forecast.mRunMs +
                   kMissCostMs * forecast.mMissRisk +
                   kLateCostMs * forecast.mLateRisk * (1 - forecast.mMissRisk);
  if (forecast.mWaitMs > 0) {
    forecast.mCost += kWaitCostMs;
  }
  return forecast;
}

placement_decision
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom)
{
  placement_decision immediate;
  placement_decision deferred;
  double immediateCost = std::numeric_limits<double>::infinity();
  double deferredCost = immediateCost;
  double minMissRisk = 1;
  for (size_t i = 0; i < aViews.size(); i++) {
    const server_view& view = aViews[i];
    if (!IsCandidate(view, aRequest)) {
      continue;
    }
    placement_forecast forecast = Forecast(view, aRequest);
    minMissRisk = std::min(minMissRisk, forecast.mMissRisk);
    if (aRequest.mUseScarcityCost) {
      forecast.mCost += ScarcityCostMs(view, aRequest.mMedianSlowness);
    }
    if (view.mDataCenter != aRequest.mDataCenter) {
      forecast.mCost += kOtherDataCenterCostMs;
    }
    bool startsSoon = forecast.mWaitMs <= kMaxServerWaitMs;
    double& bestCost = startsSoon ? immediateCost : deferredCost;
    if (forecast.mCost >= bestCost) {
      continue; // the random part only increases the cost
    }
    double cost =
      forecast.mCost * (1 + kRandomCostShare * aRandom.NextUniform());
    if (cost < bestCost) {
      bestCost = cost;
      (startsSoon ? immediate : deferred).mChoice = { i, forecast };
    }
  }
  if (minMissRisk > kInfeasibleRisk &&
      (immediateCost < std::numeric_limits<double>::infinity() ||
       deferredCost < std::numeric_limits<double>::infinity())) {
    immediate.mVerdict = placement_verdict::Infeasible;
    return immediate;
  }
  if (deferredCost + kMinWaitSavingMs < immediateCost) {
    deferred.mVerdict = placement_verdict::Wait;
    return deferred;
  }
  if (immediateCost == std::numeric_limits<double>::infinity()) {
    return immediate;
  }
  bool late = immediate.mChoice.mForecast.mLateRisk > kMaxLateRisk;
  immediate.mVerdict = late && aRequest.mAim == placement_aim::InObjective
                         ? placement_verdict::Wait
                         : placement_verdict::Place;
  return immediate;
}

service_capacity
CapacityOf(const std::vector<server_view>& aViews, const std::string& aService)
{
  service_capacity capacity;
  for (const server_view& view : aViews) {
    if (IsUsable(view) && view.mService == aService) {
      capacity.mFreeMillis += std::max<int64_t>(0, view.mFree.mCpuMillis);
      capacity.mTotalMillis += view.mCapacity.mCpuMillis;
    }
  }
  return capacity;
}

bool
IsUnsatisfiable(const std::vector<server_view>& aViews,
                const std::string& aService,
                const job_step& aStep)
{
  bool anyKnown = false;
  for (const server_view& view : aViews) {
    bool unknown = view.mService.empty() || view.mCapacity.mCpuMillis == 0;
    if (unknown) {
      return false;
    }
    if (view.mService != aService) {
      continue;
    }
    anyKnown = true;
    bool fits =
      aStep.mSize.FitsIn(view.mCapacity) &&
      (aStep.mRequiredLabel.empty() || HasLabel(view, aStep.mRequiredLabel));
    if (fits) {
      return false;
    }
  }
  return anyKnown;
}

} // namespace cactusmast
