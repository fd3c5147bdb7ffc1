// Estimates of how slow a backend server is: the run times of the tasks that
// ended there over the run times that their callers declared. Older tasks
// decay.
//
//   robust_slowness estimate;
//   estimate.Observe(90, 60, startedAt);
//   double slowness = estimate.Slowness(); // above 1: slower than declared
//
// Load addressed: a few tasks take far longer than declared while the backend
// server is as fast as before, or a backend server suddenly becomes slow, or
// fast again. Declared run times are off by 40% (standard deviation of the
// logarithm 0.35), so that a ratio of kOutlierFactor times the estimate, or one
// part in as many of it, is rare without a cause: an outlier.
//
// - An outlier is ignored, unless it is the third of the last five ends on the
//   same side: then the backend server has changed, and the estimate is
//   recomputed from these.
// - Progress of running tasks shows that a backend server has become slow
//   before any of them ends: if more than half of at least three are outliers
//   by progress. A task that is overtaken, because another one started after it
//   and ended as declared, is long itself and shows nothing.
// - Without outliers the result equals that of slowness_estimate exactly.

#ifndef CACTUSMAST_SLOWNESS_ESTIMATE_H_
#define CACTUSMAST_SLOWNESS_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

// The decayed mean over all tasks.
class slowness_estimate
{
public:
  // aPrior: the slowness before any observation.
  explicit slowness_estimate(double aPrior = 1)
    : mPrior(aPrior)
  {
  }

  void Observe(double aRunMs, double aDeclaredMs);
  double Slowness() const;

private:
  double mPrior;
  double mRunMs = 0;
  double mDeclaredMs = 0;
};

// What became of an observation.
enum class slowness_evidence : uint8_t
{
  Counted,
  Ignored, // an outlier
  Changed  // the estimate was recomputed from the latest outliers
};

struct running_progress
{
  instant mStartedAt{};
  // Run time projected from the progress; 0: there is too little progress yet.
  double mRunMs = 0;
  double mDeclaredMs = 0;
};

class robust_slowness
{
public:
  // aPrior: the slowness before any observation. aIgnoresOutliers: if false,
  // the result is that of slowness_estimate.
  explicit robust_slowness(bool aIgnoresOutliers = true, double aPrior = 1)
    : mIgnoresOutliers(aIgnoresOutliers)
    , mEstimate(aPrior)
  {
  }
  // For a backend server that is likely to differ from aPrior by an unknown
  // factor: its first end always counts.
  static robust_slowness FromGuess(bool aIgnoresOutliers, double aPrior);

  // A task that ended.
  slowness_evidence Observe(double aRunMs,
                            double aDeclaredMs,
                            instant aStartedAt);
  // All tasks that run at the time. True if the estimate was recomputed.
  bool ObserveRunning(const std::vector<running_progress>& aRunning);

  double Slowness() const { return mEstimate.Slowness(); }

private:
  enum class side : uint8_t
  {
    Usual,
    Long,
    Short
  };

  struct ended
  {
    side mSide = side::Usual;
    double mRunMs = 0;
    double mDeclaredMs = 0;
  };

  side SideOf(double aRunMs, double aDeclaredMs) const;
  void Recompute(double aRunMs, double aDeclaredMs);

  bool mIgnoresOutliers;
  bool mIsGuess = false; // nothing was observed since FromGuess
  slowness_estimate mEstimate;
  std::deque<ended> mLastEnds; // since the estimate was last recomputed
  // The latest start of a task that did not take longer than usual.
  instant mLastUsualStart{};
};

} // namespace cactusmast

#endif // CACTUSMAST_SLOWNESS_ESTIMATE_H_
