#include "cactusmast/timeout_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <string_view>
#include <vector>

#include "cactusmast/message.h"
#include "cactusmast/placement.h"

namespace cactusmast {
namespace {

// Each new observation multiplies the weight of the earlier ones by this, so
// that about the latest two hundred count.
constexpr double kDecay = 0.995;
// No regression is fitted to a smaller weight of observations.
constexpr double kMinWeight = 20;
// Minimum share of the variance of run times that the regression explains. A
// regression over unrelated timeouts and run times can still be better than
// poor declarations, but its slope does not tell the elapsed time of a job.
constexpr double kMinExplainedShare = 0.4;
// No regression is fitted if the standard deviation of the timeouts is smaller;
// in ms.
constexpr double kMinTimeoutDeviationMs = 5;
// Forecasts are not taken to be more precise than this.
constexpr double kMinSigma = 0.08;
// Shorter run times count as this, which keeps logarithms finite.
constexpr double kMinRunMs = 1;
// Declared run times are off by more than this many standard deviations in one
// job of two hundred. A job whose forecast is shorter by more looks
// resubmitted.
constexpr double kResubmittedSigmas = 2.6;
// A forecast exceeds the declared run time by at most this many standard
// deviations: a timeout of days does not mean a task of days.
constexpr double kMaxRunSigmas = 2 * kResubmittedSigmas;
// If a larger share of the latest jobs looks resubmitted, callers have changed
// their timeouts, and the regression starts anew.
constexpr double kMaxResubmittedShare = 0.9;
// Weight that the share of resubmitted jobs keeps at each job.
constexpr double kResubmittedDecay = 0.98;
constexpr size_t kSumCount = 9;
// A run time this many times the prediction, or this part of it, is far from
// it; the same limit as for declared run times (slowness_estimate.cc).
constexpr double kOutlierFactor = 3;

double
SquaredLogError(double aRunMs, double aPredictedMs)
{
  double logError =
    std::log(std::max(kMinRunMs, aRunMs) / std::max(kMinRunMs, aPredictedMs));
  return logError * logError;
}

} // namespace

bool
timeout_regression::IsFitted() const
{
  if (mWeight < kMinWeight) {
    return false;
  }
  double timeoutSpread = mTimeoutSquares - mTimeoutSum * mTimeoutSum / mWeight;
  double runSpread = mRunSquares - mRunSum * mRunSum / mWeight;
  bool varied =
    timeoutSpread > kMinTimeoutDeviationMs * kMinTimeoutDeviationMs * mWeight;
  if (!varied || runSpread <= 0) {
    return false;
  }
  double slope = Slope();
  return slope > 0 &&
         slope * slope * timeoutSpread / runSpread > kMinExplainedShare;
}

bool
timeout_regression::BeatsDeclared() const
{
  return IsFitted() && mErrorWeight >= kMinWeight / 2 &&
         mRegressionErrors < mDeclaredErrors;
}

double
timeout_regression::Slope() const
{
  double spread = mTimeoutSquares - mTimeoutSum * mTimeoutSum / mWeight;
  return (mProducts - mTimeoutSum * mRunSum / mWeight) / spread;
}

double
timeout_regression::PredictRunMs(double aTimeoutMs) const
{
  return mRunSum / mWeight + Slope() * (aTimeoutMs - mTimeoutSum / mWeight);
}

void
timeout_regression::Decay()
{
  for (double* sum : { &mWeight,
                       &mTimeoutSum,
                       &mRunSum,
                       &mTimeoutSquares,
                       &mProducts,
                       &mRunSquares,
                       &mErrorWeight,
                       &mRegressionErrors,
                       &mDeclaredErrors }) {
    *sum *= kDecay;
  }
}

bool
timeout_regression::IsOutlier(double aDeclaredMs,
                              double aTimeoutMs,
                              double aRunMs)
{
  bool farFromDeclared =
    mDeclaredRatio.Observe(aRunMs, aDeclaredMs, instant(0)) ==
    slowness_evidence::Ignored;
  if (!farFromDeclared || !IsFitted()) {
    return farFromDeclared;
  }
  double limit = std::log(kOutlierFactor);
  return SquaredLogError(aRunMs, PredictRunMs(aTimeoutMs)) > limit * limit;
}

void
timeout_regression::Observe(double aDeclaredMs,
                            double aTimeoutMs,
                            double aRunMs,
                            bool aFitsOutliers)
{
  bool resubmitted = Forecast(aDeclaredMs, aTimeoutMs).mElapsedMs > 0;
  mResubmittedShare = kResubmittedDecay * mResubmittedShare +
                      (1 - kResubmittedDecay) * (resubmitted ? 1 : 0);
  if (mResubmittedShare > kMaxResubmittedShare) {
    *this = timeout_regression();
  } else if (resubmitted) {
    return;
  }
  if (!aFitsOutliers && IsOutlier(aDeclaredMs, aTimeoutMs, aRunMs)) {
    return;
  }
  Decay();
  if (IsFitted()) {
    mErrorWeight += 1;
    mRegressionErrors += SquaredLogError(aRunMs, PredictRunMs(aTimeoutMs));
    mDeclaredErrors += SquaredLogError(aRunMs, aDeclaredMs);
  }
  mWeight += 1;
  mTimeoutSum += aTimeoutMs;
  mRunSum += aRunMs;
  mTimeoutSquares += aTimeoutMs * aTimeoutMs;
  mProducts += aTimeoutMs * aRunMs;
  mRunSquares += aRunMs * aRunMs;
}

run_forecast
timeout_regression::Forecast(double aDeclaredMs, double aTimeoutMs) const
{
  run_forecast declared{ aDeclaredMs, kDeclaredSigma, 0 };
  if (aTimeoutMs <= 0 || !BeatsDeclared()) {
    return declared;
  }
  double declaredSigma = std::sqrt(mDeclaredErrors / mErrorWeight);
  double minRunMs = aDeclaredMs * std::exp(-kResubmittedSigmas * declaredSigma);
  double runMs = PredictRunMs(aTimeoutMs);
  if (runMs < minRunMs) {
    declared.mElapsedMs = (aDeclaredMs - runMs) / Slope();
    return declared;
  }
  double sigma =
    std::max(kMinSigma, std::sqrt(mRegressionErrors / mErrorWeight));
  double maxRunMs = aDeclaredMs * std::exp(kMaxRunSigmas * declaredSigma);
  return { std::clamp(runMs, kMinRunMs, std::max(kMinRunMs, maxRunMs)),
           sigma,
           0 };
}

std::vector<double>
timeout_regression::Sums() const
{
  return { mWeight,         mTimeoutSum,       mRunSum,
           mTimeoutSquares, mProducts,         mRunSquares,
           mErrorWeight,    mRegressionErrors, mDeclaredErrors };
}

result<timeout_regression>
timeout_regression::FromSums(const std::vector<double>& aSums)
{
  bool valid = aSums.size() == kSumCount &&
               std::all_of(aSums.begin(), aSums.end(), [](double aSum) {
                 return std::isfinite(aSum) && aSum >= 0;
               });
  if (!valid) {
    return failure(
      error_code::BadRequest,
      "decode",
      "store",
      "stored regression needs 9 finite sums that are not negative");
  }
  timeout_regression regression;
  regression.mWeight = aSums[0];
  regression.mTimeoutSum = aSums[1];
  regression.mRunSum = aSums[2];
  regression.mTimeoutSquares = aSums[3];
  regression.mProducts = aSums[4];
  regression.mRunSquares = aSums[5];
  regression.mErrorWeight = aSums[6];
  regression.mRegressionErrors = aSums[7];
  regression.mDeclaredErrors = aSums[8];
  return regression;
}

void
timeout_model::Observe(const std::string& aRoute,
                       double aDeclaredMs,
                       double aTimeoutMs,
                       double aRunMs)
{
  mObservations++;
  mRegressions[aRoute].Observe(aDeclaredMs, aTimeoutMs, aRunMs, mFitsOutliers);
}

run_forecast
timeout_model::Forecast(const std::string& aRoute,
                        double aDeclaredMs,
                        double aTimeoutMs) const
{
  auto found = mRegressions.find(aRoute);
  return found == mRegressions.end()
           ? run_forecast{ aDeclaredMs, kDeclaredSigma, 0 }
           : found->second.Forecast(aDeclaredMs, aTimeoutMs);
}

void
timeout_model::RemoveOtherRoutes(const std::set<std::string>& aRoutes)
{
  for (auto at = mRegressions.begin(); at != mRegressions.end();) {
    at = aRoutes.count(at->first) > 0 ? std::next(at) : mRegressions.erase(at);
  }
}

std::string
timeout_model::Encode() const
{
  std::vector<std::pair<double, std::string_view>> byWeight;
  for (const auto& [name, regression] : mRegressions) {
    byWeight.emplace_back(-regression.Weight(), name);
  }
  std::sort(byWeight.begin(), byWeight.end());
  byWeight.resize(std::min(byWeight.size(), kMaxStoredRegressions));
  wire::wait_lines_msg record;
  for (const auto& [weight, name] : byWeight) {
    auto stored = std::make_unique<wire::wait_line_msg>();
    stored->route = name;
    stored->sums = mRegressions.at(stored->route).Sums();
    record.lines.push_back(std::move(stored));
  }
  std::string bytes;
  EncodeFrame(MakeMessage(std::move(record)), &bytes);
  return bytes;
}

result<bool>
timeout_model::Merge(const std::string& aBytes)
{
  return ResultOf<bool>([&] {
    message decoded = std::move(DecodeFrame(aBytes, "store").Value());
    const wire::wait_lines_msg* record = decoded.Aswait_lines();
    if (record == nullptr) {
      throw failure(error_code::Protocol,
                    "decode",
                    "store",
                    "message does not hold a timeout model");
    }
    std::map<std::string, timeout_regression> decodedRegressions;
    for (const auto& stored : record->lines) {
      decodedRegressions[stored->route] =
        timeout_regression::FromSums(stored->sums).Value();
    }
    for (const auto& [name, regression] : decodedRegressions) {
      timeout_regression& own = mRegressions[name];
      if (own.Weight() < regression.Weight()) {
        own = regression;
      }
    }
    return !decodedRegressions.empty();
  });
}

} // namespace cactusmast
