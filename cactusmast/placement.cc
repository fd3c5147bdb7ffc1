#include "cactusmast/placement.h"

#include <algorithm>

namespace cactusmast {
namespace {

// Longer waits are spent at the entry, where any backend server that gets
// free may take the task. Short ones at the backend server save the message
// and the idle time between an end and the next order, about 2 ms plus the
// interval of reports.
constexpr double kMaxServerWaitMs = 30;
// Entries that hear the same reports would all choose the same backend
// server. This share of the expected time is drawn at random.
constexpr double kSpread = 0.1;
// Another data centre is about this much farther there and back.
constexpr double kOtherDataCenterMs = 1;

bool
HasLabel(const server_view& aView, const std::string& aLabel)
{
  return std::find(aView.mLabels.begin(), aView.mLabels.end(), aLabel) !=
         aView.mLabels.end();
}

bool
Suits(const server_view& aView, const placement_request& aRequest)
{
  const job_step& step = *aRequest.mStep;
  return aView.mState == server_state::Ready &&
         aView.mService == aRequest.mService &&
         aView.mPeer != aRequest.mAvoid &&
         step.mSize.FitsIn(aView.mCapacity) &&
         (step.mRequiredLabel.empty() ||
          HasLabel(aView, step.mRequiredLabel));
}

} // namespace

double
ExpectedWaitMs(const server_view& aView, const task_size& aSize, double aRunMs)
{
  if (aSize.FitsIn(aView.mFree) && aView.mQueuedCpuMillis == 0) {
    return 0;
  }
  // Room is freed at the rate at which the running tasks end.
  int64_t lacking =
    aSize.mCpuMillis + aView.mQueuedCpuMillis - aView.mFree.mCpuMillis;
  double share = double(std::max<int64_t>(lacking, aSize.mCpuMillis)) /
                 double(std::max<int64_t>(aView.mCapacity.mCpuMillis, 1));
  return share * aRunMs;
}

std::optional<placement_choice>
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom)
{
  std::optional<placement_choice> best;
  double bestScore = 0;
  for (size_t i = 0; i < aViews.size(); i++) {
    const server_view& view = aViews[i];
    if (!Suits(view, aRequest)) {
      continue;
    }
    double runMs = aRequest.mStep->mEstimateMs * view.mSlowness;
    const std::string& rack = aRequest.mStep->mDataRack;
    if (!rack.empty() && !HasLabel(view, rack)) {
      runMs *= aRequest.mFarFactor;
    }
    double waitMs = ExpectedWaitMs(view, aRequest.mStep->mSize, runMs);
    if (waitMs > kMaxServerWaitMs) {
      continue;
    }
    double endMs = waitMs + runMs;
    if (view.mDataCenter != aRequest.mDataCenter) {
      endMs += kOtherDataCenterMs;
    }
    double score = endMs * (1 + kSpread * aRandom.NextUniform());
    if (!best || score < bestScore) {
      best = placement_choice{ i, waitMs, endMs };
      bestScore = score;
    }
  }
  return best;
}

bool
CouldEverRun(const std::vector<server_view>& aViews,
             const std::string& aService,
             const job_step& aStep)
{
  return std::any_of(
    aViews.begin(), aViews.end(), [&](const server_view& aView) {
      return aView.mService == aService &&
             aStep.mSize.FitsIn(aView.mCapacity) &&
             (aStep.mRequiredLabel.empty() ||
              HasLabel(aView, aStep.mRequiredLabel));
    });
}

} // namespace cactusmast
