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
constexpr double kSpread = 0.1;
// Additional round-trip time to another data centre.
constexpr double kOtherDataCenterMs = 1;
// Dispatch, start, poll and report together take about this long in addition
// to the run time.
constexpr double kOverheadMs = 12;
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
constexpr double kWorthWaitingMs = 150;
// A backend server counts as fast if its slowness is at most this share of the
// median. Its last free capacity costs up to kScarceMs in addition, so that
// only tasks that save at least as much get it.
constexpr double kFastShare = 0.8;
constexpr double kScarceMs = 400;
// A task that is more likely than this to be late yields to those that can meet
// their objective.
constexpr double kTooLateRisk = 0.6;
// A task that misses its deadline with a higher risk than this everywhere is
// not started.
constexpr double kInfeasibleRisk = 0.98;
// The wait is at least this long where there is no free capacity.
constexpr double kLeastWaitMs = 3;
// Mean run time that is assumed until a backend server has ended a task.
constexpr double kUnknownMeanRunMs = 200;

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
Suits(const server_view& aView, const placement_request& aRequest)
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
ScarcityMs(const server_view& aView, double aMedianSlowness)
{
  if (aView.mSlowness > kFastShare * aMedianSlowness) {
    return 0;
  }
  double used = 1 - double(aView.mFree.mCpuMillis) /
                      double(std::max<int64_t>(1, aView.mCapacity.mCpuMillis));
  used = std::clamp(used, 0.0, 1.0);
  double square = used * used;
  return kScarceMs * square * square;
}

// The risk of ending after the objective. The objective is proportional to the
// estimate and has the same error, so only the wait is uncertain.
double
LateRisk(const placement_request& aRequest, double aRunMs, double aWaitMs)
{
  double estimateMs = std::max<double>(1, aRequest.mEstimateMs);
  double slackMs = aRequest.mObjectiveBaseMs +
                   aRequest.mObjectiveStretch * estimateMs - aRunMs - aWaitMs -
                   kOverheadMs;
  return NormalTail(slackMs / kWaitSigmaMs);
}

} // namespace

slowness_range
SlownessOf(const std::vector<server_view>& aViews)
{
  std::vector<double> all;
  for (const server_view& view : aViews) {
    if (IsUsable(view)) {
      all.push_back(view.mSlowness);
    }
  }
  if (all.empty()) {
    return {};
  }
  auto middle = all.begin() + long(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  return { *std::min_element(all.begin(), middle + 1), *middle };
}

bool
CanMeetObjective(const placement_request& aRequest, double aSlowness)
{
  double runMs = aRequest.mEstimateMs * aSlowness;
  return LateRisk(aRequest, runMs, 0) <= kTooLateRisk;
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
    aView.mMeanRunMs > 0 ? aView.mMeanRunMs : kUnknownMeanRunMs;
  double ahead = double(aView.mUnreportedCpuMillis) /
                 double(std::max<int64_t>(aView.mCapacity.mCpuMillis, 1));
  return std::max(kLeastWaitMs, aView.mStartDelayMs - aView.mAgeMs) +
         ahead * meanRunMs;
}

placement_forecast
Forecast(const server_view& aView, const placement_request& aRequest)
{
  placement_forecast made;
  double estimateMs = std::max<double>(1, aRequest.mEstimateMs);
  made.mRunMs = estimateMs * aView.mSlowness;
  const std::string& rack = aRequest.mStep->mDataRack;
  if (!rack.empty() && !HasLabel(aView, rack)) {
    made.mRunMs *= aRequest.mRemoteDataFactor;
  }
  made.mWaitMs = ExpectedWaitMs(aView, aRequest.mStep->mSize);
  double leftMs = aRequest.mDeadlineMs - made.mWaitMs - kOverheadMs;
  made.mMissRisk =
    leftMs <= 0
      ? 1
      : NormalTail(std::log(leftMs / made.mRunMs) / aRequest.mEstimateSigma);
  made.mLateRisk = LateRisk(aRequest, made.mRunMs, made.mWaitMs);
  made.mCost = made.mWaitMs + made.mRunMs + kMissCostMs * made.mMissRisk +
               kLateCostMs * made.mLateRisk * (1 - made.mMissRisk);
  if (made.mWaitMs > 0) {
    made.mCost += kWaitCostMs;
  }
  return made;
}

placement_decision
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom)
{
  placement_decision now;
  placement_decision later;
  double nowCost = std::numeric_limits<double>::infinity();
  double laterCost = nowCost;
  double leastRisk = 1;
  for (size_t i = 0; i < aViews.size(); i++) {
    const server_view& view = aViews[i];
    if (!Suits(view, aRequest)) {
      continue;
    }
    placement_forecast made = Forecast(view, aRequest);
    leastRisk = std::min(leastRisk, made.mMissRisk);
    if (aRequest.mUseScarcityCost) {
      made.mCost += ScarcityMs(view, aRequest.mMedianSlowness);
    }
    if (view.mDataCenter != aRequest.mDataCenter) {
      made.mCost += kOtherDataCenterMs;
    }
    bool soon = made.mWaitMs <= kMaxServerWaitMs;
    double& best = soon ? nowCost : laterCost;
    if (made.mCost >= best) {
      continue; // the random part only increases the cost
    }
    double cost = made.mCost * (1 + kSpread * aRandom.NextUniform());
    if (cost < best) {
      best = cost;
      (soon ? now : later).mChoice = { i, made };
    }
  }
  if (leastRisk > kInfeasibleRisk &&
      (nowCost < std::numeric_limits<double>::infinity() ||
       laterCost < std::numeric_limits<double>::infinity())) {
    now.mVerdict = placement_verdict::Infeasible;
    return now;
  }
  if (laterCost + kWorthWaitingMs < nowCost) {
    later.mVerdict = placement_verdict::Wait;
    return later;
  }
  if (nowCost == std::numeric_limits<double>::infinity()) {
    return now;
  }
  bool late = now.mChoice.mForecast.mLateRisk > kTooLateRisk;
  now.mVerdict = late && aRequest.mAim == placement_aim::InObjective
                   ? placement_verdict::Wait
                   : placement_verdict::Place;
  return now;
}

service_capacity
CapacityOf(const std::vector<server_view>& aViews, const std::string& aService)
{
  service_capacity room;
  for (const server_view& view : aViews) {
    if (IsUsable(view) && view.mService == aService) {
      room.mFreeMillis += std::max<int64_t>(0, view.mFree.mCpuMillis);
      room.mAllMillis += view.mCapacity.mCpuMillis;
    }
  }
  return room;
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
    bool holds =
      aStep.mSize.FitsIn(view.mCapacity) &&
      (aStep.mRequiredLabel.empty() || HasLabel(view, aStep.mRequiredLabel));
    if (holds) {
      return false;
    }
  }
  return anyKnown;
}

} // namespace cactusmast
