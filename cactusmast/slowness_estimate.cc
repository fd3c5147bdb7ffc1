#include "cactusmast/slowness_estimate.h"

#include <algorithm>

namespace cactusmast {
namespace {

// Weight that earlier tasks keep at each end: about the last ten count.
constexpr double kDecay = 0.9;
// The prior weighs as much as one task of this length.
constexpr double kPriorMs = 150;
// Three standard deviations of the error of declared run times.
constexpr double kOutlierFactor = 3;
// The backend server has changed if this many of the last ends are outliers.
constexpr size_t kChangeEnds = 3;
constexpr size_t kLastEnds = 5;
// Fewer running tasks show nothing by their progress.
constexpr size_t kMinRunning = 3;
// Shorter sums of run times count as this, so that the slowness stays above 0.
constexpr double kMinRunMs = 1;

} // namespace

void
slowness_estimate::Observe(double aRunMs, double aDeclaredMs)
{
  mRunMs = mRunMs * kDecay + aRunMs;
  mDeclaredMs = mDeclaredMs * kDecay + aDeclaredMs;
}

double
slowness_estimate::Slowness() const
{
  return (mRunMs + mPrior * kPriorMs) / (mDeclaredMs + kPriorMs);
}

robust_slowness
robust_slowness::FromGuess(bool aIgnoresOutliers, double aPrior)
{
  robust_slowness estimate(aIgnoresOutliers, aPrior);
  estimate.mIsGuess = true;
  return estimate;
}

robust_slowness::side
robust_slowness::SideOf(double aRunMs, double aDeclaredMs) const
{
  bool comparable = mIgnoresOutliers && !mIsGuess && aDeclaredMs > 0;
  if (!comparable) {
    return side::Usual;
  }
  double expectedMs = Slowness() * aDeclaredMs;
  if (aRunMs > kOutlierFactor * expectedMs) {
    return side::Long;
  }
  return aRunMs * kOutlierFactor < expectedMs ? side::Short : side::Usual;
}

void
robust_slowness::Recompute(double aRunMs, double aDeclaredMs)
{
  double runMs = std::max(kMinRunMs, aRunMs);
  mEstimate = slowness_estimate(runMs / aDeclaredMs);
  mEstimate.Observe(runMs, aDeclaredMs);
  mLastEnds.clear();
}

slowness_evidence
robust_slowness::Observe(double aRunMs, double aDeclaredMs, instant aStartedAt)
{
  side where = SideOf(aRunMs, aDeclaredMs);
  mIsGuess = false;
  if (where != side::Long) {
    mLastUsualStart = std::max(mLastUsualStart, aStartedAt);
  }
  mLastEnds.push_back({ where, aRunMs, aDeclaredMs });
  if (mLastEnds.size() > kLastEnds) {
    mLastEnds.pop_front();
  }
  if (where == side::Usual) {
    mEstimate.Observe(aRunMs, aDeclaredMs);
    return slowness_evidence::Counted;
  }
  size_t outliers = 0;
  double runMs = 0;
  double declaredMs = 0;
  for (const ended& end : mLastEnds) {
    if (end.mSide == where) {
      outliers++;
      runMs += end.mRunMs;
      declaredMs += end.mDeclaredMs;
    }
  }
  if (outliers < kChangeEnds) {
    return slowness_evidence::Ignored;
  }
  Recompute(runMs, declaredMs);
  return slowness_evidence::Changed;
}

bool
robust_slowness::ObserveRunning(const std::vector<running_progress>& aRunning)
{
  if (aRunning.size() < kMinRunning) {
    return false;
  }
  size_t outliers = 0;
  double runMs = 0;
  double declaredMs = 0;
  for (const running_progress& running : aRunning) {
    bool isLong = running.mStartedAt > mLastUsualStart &&
                  SideOf(running.mRunMs, running.mDeclaredMs) == side::Long;
    if (isLong) {
      outliers++;
      runMs += running.mRunMs;
      declaredMs += running.mDeclaredMs;
    }
  }
  if (2 * outliers <= aRunning.size()) {
    return false;
  }
  Recompute(runMs, declaredMs);
  return true;
}

} // namespace cactusmast
