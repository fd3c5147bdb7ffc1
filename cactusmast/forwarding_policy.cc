#include "cactusmast/forwarding_policy.h"

#include <algorithm>
#include <cmath>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

constexpr duration kStepInterval = std::chrono::milliseconds(200);
constexpr double kStepUp = 0.1;
constexpr double kStepDown = 0.025;
// The cost of a job is a mean over this many steps.
constexpr double kCostSteps = 20;
// A rate of forwarded jobs is measured over this time at least.
constexpr double kMinRateMs = 500;

} // namespace

forwarding_policy::forwarding_policy(uint32_t aOwnMillis,
                                     random_source& aRandom)
  : mOwnMillis(aOwnMillis)
  , mRandom(aRandom)
{
}

void
forwarding_policy::OnLoad(peer_id aPeer,
                          const entry_capacity& aLoad,
                          instant aNow)
{
  target& known = mTargets[aPeer];
  double sinceMs = MsBetween(known.mLoadAt, aNow);
  known.mRateBefore = known.mSinceLoad / std::max(kMinRateMs, sinceMs);
  known.mSinceLoad = 0;
  known.mLoad = aLoad;
  known.mLoadAt = aNow;
}

duration
forwarding_policy::LoadAge(peer_id aPeer, instant aNow) const
{
  auto found = mTargets.find(aPeer);
  return found == mTargets.end() ? duration{} : aNow - found->second.mLoadAt;
}

double
forwarding_policy::SpareMillis(const target& aTarget, instant aNow) const
{
  const entry_capacity& load = aTarget.mLoad;
  bool eligible = load.mTakesJobs && mOwnMillis > 0 &&
                  load.mProcessorMillis >= mOwnMillis &&
                  aTarget.mInFlight < kMaxForwardedToEntry &&
                  aNow - aTarget.mLoadAt <= kMaxTargetLoadAge;
  if (!eligible) {
    return 0;
  }
  // The load includes what was forwarded until then, so only an increase since
  // then is added to it.
  double sinceMs = std::max(kMinRateMs, MsBetween(aTarget.mLoadAt, aNow));
  double moreJobsPerMs =
    std::max(0.0, aTarget.mSinceLoad / sinceMs - aTarget.mRateBefore);
  double jobCoreMs = mJobs > 0 ? mCoreMs / mJobs : 0;
  double addedMillis = moreJobsPerMs * jobCoreMs * 1000;
  double size = load.mProcessorMillis;
  double busy = load.mBusy + addedMillis / size;
  return busy > kMaxTargetBusy ? 0 : size * (1 - busy);
}

bool
forwarding_policy::HasTarget(instant aNow) const
{
  return std::any_of(
    mTargets.begin(), mTargets.end(), [this, aNow](const auto& aOne) {
      return SpareMillis(aOne.second, aNow) > 0;
    });
}

void
forwarding_policy::MeasureJobCost(double aBusy)
{
  constexpr double kKept = 1 - 1 / kCostSteps;
  mCoreMs = mCoreMs * kKept + aBusy * mOwnMillis / 1000 * ToMs(kStepInterval);
  mJobs = mJobs * kKept + mNewJobs;
  mNewJobs = 0;
}

bool
forwarding_policy::Update(double aBusy, instant aNow)
{
  if (aNow < mNextStep) {
    return false;
  }
  mNextStep = aNow + kStepInterval;
  MeasureJobCost(aBusy);
  // The mean lags behind. Its latest part shows whether the last step already
  // suffices.
  static const double kKept =
    std::exp(-double(kStepInterval.count()) / double(kBusyMeanTime.count()));
  double latest = (aBusy - kKept * mLastBusy) / (1 - kKept);
  mLastBusy = aBusy;
  double before = mFraction;
  if (!HasTarget(aNow)) {
    mFraction = std::max(0.0, mFraction - kStepUp);
  } else if (std::min(aBusy, latest) > kForwardAboveBusy) {
    mFraction = std::min(1.0, mFraction + kStepUp);
  } else if (std::max(aBusy, latest) < kForwardBelowBusy) {
    mFraction = std::max(0.0, mFraction - kStepDown);
  }
  return mFraction != before;
}

std::optional<peer_id>
forwarding_policy::ChooseTarget(instant aNow)
{
  mNewJobs++;
  mDue = std::min(1.0, mDue) + mFraction;
  if (mFraction == 0 || mDue < 1) {
    return std::nullopt;
  }
  double total = 0;
  for (const auto& [peer, one] : mTargets) {
    total += SpareMillis(one, aNow);
  }
  double chosen = mRandom.NextUniform() * total;
  for (const auto& [peer, one] : mTargets) {
    double spare = SpareMillis(one, aNow);
    if (spare > chosen) {
      mDue -= 1;
      return peer;
    }
    chosen -= spare;
  }
  return std::nullopt;
}

void
forwarding_policy::OnForwarded(peer_id aPeer)
{
  auto found = mTargets.find(aPeer);
  if (found != mTargets.end()) {
    found->second.mInFlight++;
    found->second.mSinceLoad++;
  }
}

void
forwarding_policy::OnEnded(peer_id aPeer)
{
  auto found = mTargets.find(aPeer);
  if (found != mTargets.end() && found->second.mInFlight > 0) {
    found->second.mInFlight--;
  }
}

void
forwarding_policy::OnDeclined(peer_id aPeer)
{
  auto found = mTargets.find(aPeer);
  if (found != mTargets.end()) {
    found->second.mLoad.mTakesJobs = false;
  }
}

} // namespace cactusmast
