// What the time that a caller waits says about its job.
//
// Declared run times are often off by half. Callers know their own work: one
// that asks for longer tasks usually waits longer. So a line is fitted for each
// route through pairs of wait and run time of tasks that have ended:
//
//   run time = intercept + slope * wait
//
// Whether it predicts better than the declared run time is observed too, and
// only then it is used: where waits say nothing, declared run times stand.
//
// A caller that lost its connection sends its job again and waits only for what
// is left of its time, which it does not say. Its wait is then shorter than any
// that its declared run time explains, and what it lacks is about the time that
// has passed. Such a job must not be taken for one of a very short run time,
// nor for a new one: its objective has begun earlier.
//
// Pairs fade, so that the line follows routes that change. It can be kept
// elsewhere (Encode) for the time after a restart, when nothing was observed
// yet and much is asked at once.
//
// Run times are on a backend server of ordinary speed.

#ifndef CACTUSMAST_TIMEOUT_MODEL_H_
#define CACTUSMAST_TIMEOUT_MODEL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "util/result.h"

namespace cactusmast {

struct run_forecast
{
  double mRunMs = 0;
  // Deviation of the logarithm of the factor by which it is off.
  double mSigma = 0;
  // Since its caller first sent the job; 0 for a new one.
  double mElapsedMs = 0;
};

// The line of one route.
class timeout_regression
{
public:
  void Observe(double aDeclaredMs, double aWaitMs, double aRunMs);
  run_forecast Forecast(double aDeclaredMs, double aWaitMs) const;
  // Sum of the weights of all pairs; bounded because they fade.
  double Weight() const { return mWeight; }

  // The decayed sums, in a fixed order, for storage.
  std::vector<double> Sums() const;
  // Errors: BadRequest for sums that no observations can have.
  static result<timeout_regression> FromSums(const std::vector<double>& aSums);

private:
  bool IsFitted() const;
  // Whether it predicts better than declared run times do.
  bool IsBetter() const;
  double Slope() const;
  double RunAt(double aWaitMs) const;
  void Fade();

  double mWeight = 0;
  double mWaits = 0;
  double mRuns = 0;
  double mWaitSquares = 0;
  double mProducts = 0;
  double mRunSquares = 0;
  // Squared logarithms of run time over prediction, of either kind.
  double mJudged = 0;
  double mLineErrors = 0;
  double mDeclaredErrors = 0;
  double mReturnedShare = 0; // of the latest jobs
};

// A row holds 64 KB, a line takes about 100 bytes.
constexpr size_t kMaxStoredRegressions = 300;

class timeout_model
{
public:
  // Only what was seen on this route.
  void Observe(const std::string& aRoute,
               double aDeclaredMs,
               double aWaitMs,
               double aRunMs);
  run_forecast Forecast(const std::string& aRoute,
                        double aDeclaredMs,
                        double aWaitMs) const;

  // Forgets the lines of all other routes: routes come and go for years.
  void KeepOnly(const std::set<std::string>& aRoutes);
  // As bytes of a row: the lines that rest on most, kMaxStoredRegressions of
  // them.
  std::string Encode() const;
  // Takes over the lines of routes of which less was seen here. Errors:
  // Protocol; nothing is taken over then.
  result<bool> Merge(const std::string& aBytes);
  // Pairs learned here so far.
  uint64_t Observations() const { return mLearned; }

private:
  std::map<std::string, timeout_regression> mLines;
  uint64_t mLearned = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_TIMEOUT_MODEL_H_
