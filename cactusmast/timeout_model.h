// Forecasts run times from caller timeouts.
//
// Declared run times are often off by half. Callers know their own work: one
// that submits longer tasks usually also waits longer. For each route, a
// linear regression is therefore fitted to caller timeouts and run times of
// tasks that have ended:
//
//   run time = intercept + slope * timeout
//
// Its errors are compared with those of the declared run times, and it is used
// only while they are smaller. Where timeouts say nothing about run times, the
// declared ones are used.
//
// A caller that has lost its connection resubmits its job with the rest of its
// timeout and does not say so. This timeout is shorter than the declared run
// time can explain, and the difference is about the time that has elapsed. Such
// a job must be taken neither for one with a very short run time nor for a new
// one, because its objective began earlier.
//
// Observations decay, so that the regression follows routes that change. The
// model can be stored (Encode) and restored after a restart (Merge), when
// nothing has been observed yet and many jobs arrive at once.
//
// Run times are those on a backend server with a slowness of 1. A single one
// that is far longer or shorter than both the declared run time and the
// regression explain is an outlier (slowness_estimate.h) and not fitted:
// squares of errors would make a few of them outweigh all other observations.

#ifndef CACTUSMAST_TIMEOUT_MODEL_H_
#define CACTUSMAST_TIMEOUT_MODEL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusmast/slowness_estimate.h"
#include "util/result.h"

namespace cactusmast {

struct run_forecast
{
  double mRunMs = 0;
  // Standard deviation of the logarithm of actual over forecast run time.
  double mSigma = 0;
  // Time since the caller first sent the job; 0 for a new job.
  double mElapsedMs = 0;
};

// The linear regression of one route.
class timeout_regression
{
public:
  // A task that ended. Jobs that look resubmitted are not fitted, nor are
  // outliers unless aFitsOutliers.
  void Observe(double aDeclaredMs,
               double aTimeoutMs,
               double aRunMs,
               bool aFitsOutliers = false);
  // aTimeoutMs: 0 if the caller has not given a timeout.
  run_forecast Forecast(double aDeclaredMs, double aTimeoutMs) const;
  // Sum of the weights of all observations; bounded because they decay.
  double Weight() const { return mWeight; }

  // The decayed sums, in a fixed order, for storage.
  std::vector<double> Sums() const;
  // Errors: BadRequest for sums that no observations can have.
  static result<timeout_regression> FromSums(const std::vector<double>& aSums);

private:
  // Whether there are enough observations, and timeouts explain run times.
  bool IsFitted() const;
  // Whether it predicts better than declared run times do.
  bool BeatsDeclared() const;
  double Slope() const;
  double PredictRunMs(double aTimeoutMs) const;
  // Decays all sums before an observation is added.
  void Decay();
  bool IsOutlier(double aDeclaredMs, double aTimeoutMs, double aRunMs);

  // Decayed sums over the fitted observations; times in ms.
  double mWeight = 0;
  double mTimeoutSum = 0;
  double mRunSum = 0;
  double mTimeoutSquares = 0;
  double mProducts = 0;
  double mRunSquares = 0;
  // Decayed weight of the observations that were compared with both
  // predictions, and sums of the squared logarithms of run time over either
  // prediction.
  double mErrorWeight = 0;
  double mRegressionErrors = 0;
  double mDeclaredErrors = 0;
  // Decayed share of the jobs that look resubmitted.
  double mResubmittedShare = 0;
  // Run times over declared ones. Not stored: a restored regression starts with
  // a ratio of 1.
  robust_slowness mDeclaredRatio;
};

// A row of the store holds 64 KB, a regression takes about 100 bytes.
constexpr size_t kMaxStoredRegressions = 300;

// The regressions of all routes.
class timeout_model
{
public:
  explicit timeout_model(bool aFitsOutliers = false)
    : mFitsOutliers(aFitsOutliers)
  {
  }

  // Updates the regression of aRoute only.
  void Observe(const std::string& aRoute,
               double aDeclaredMs,
               double aTimeoutMs,
               double aRunMs);
  run_forecast Forecast(const std::string& aRoute,
                        double aDeclaredMs,
                        double aTimeoutMs) const;

  // Removes the regressions of all other routes. Otherwise they would
  // accumulate, because routes come and go for years.
  void RemoveOtherRoutes(const std::set<std::string>& aRoutes);
  // The value of a row of the store: the regressions of greatest weight, at
  // most kMaxStoredRegressions of them.
  std::string Encode() const;
  // Takes over each regression of greater weight than the own one of its route.
  // False if aBytes has none. On an error nothing is taken over. Errors:
  // BadRequest for invalid sums, Protocol for other undecodable bytes.
  result<bool> Merge(const std::string& aBytes);
  // The number of calls of Observe.
  uint64_t Observations() const { return mObservations; }

private:
  bool mFitsOutliers;
  std::map<std::string, timeout_regression> mRegressions;
  uint64_t mObservations = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_TIMEOUT_MODEL_H_
