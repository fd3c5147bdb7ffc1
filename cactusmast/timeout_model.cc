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
constexpr double kFade = 0.995;
// No regression is fitted to a smaller weight of observations.
constexpr double kLeastWeight = 20;
// Minimum share of the variance of run times that the regression explains. A
// regression over unrelated timeouts and run times can still be better than
// poor declarations, but its slope does not tell the elapsed time of a job.
constexpr double kLeastExplainedShare = 0.4;
// No regression is fitted if the standard deviation of the timeouts is smaller;
// in ms.
constexpr double kLeastWaitDeviation = 5;
// Forecasts are not taken to be more precise than this.
constexpr double kLeastSigma = 0.08;
// Shorter run times count as this, which keeps logarithms finite.
constexpr double kMinRunMs = 1;
// Declared run times are off by more than this many standard deviations in one
// job of two hundred. A job whose forecast is shorter by more looks
// resubmitted.
constexpr double kReturnedSigmas = 2.6;
// A forecast exceeds the declared run time by at most this many standard
// deviations: a timeout of days does not mean a task of days.
constexpr double kLongestSigmas = 2 * kReturnedSigmas;
// If a larger share of the latest jobs looks resubmitted, callers have changed
// their timeouts, and the regression starts anew.
constexpr double kChangedShare = 0.9;
// Weight that the share of resubmitted jobs keeps at each job.
constexpr double kReturnedFade = 0.98;
constexpr size_t kSums = 9;

double
SquaredLog(double aRunMs, double aPredictedMs)
{
  double off =
    std::log(std::max(kMinRunMs, aRunMs) / std::max(kMinRunMs, aPredictedMs));
  return off * off;
}

} // namespace

bool
timeout_regression::IsFitted() const
{
  if (mWeight < kLeastWeight) {
    return false;
  }
  double waitSpread = mWaitSquares - mWaits * mWaits / mWeight;
  double runSpread = mRunSquares - mRuns * mRuns / mWeight;
  bool varied =
    waitSpread > kLeastWaitDeviation * kLeastWaitDeviation * mWeight;
  if (!varied || runSpread <= 0) {
    return false;
  }
  double slope = Slope();
  return slope > 0 &&
         slope * slope * waitSpread / runSpread > kLeastExplainedShare;
}

bool
timeout_regression::IsBetter() const
{
  return IsFitted() && mJudged >= kLeastWeight / 2 &&
         mLineErrors < mDeclaredErrors;
}

double
timeout_regression::Slope() const
{
  double spread = mWaitSquares - mWaits * mWaits / mWeight;
  return (mProducts - mWaits * mRuns / mWeight) / spread;
}

double
timeout_regression::RunAt(double aWaitMs) const
{
  return mRuns / mWeight + Slope() * (aWaitMs - mWaits / mWeight);
}

void
timeout_regression::Fade()
{
  for (double* sum : { &mWeight,
                       &mWaits,
                       &mRuns,
                       &mWaitSquares,
                       &mProducts,
                       &mRunSquares,
                       &mJudged,
                       &mLineErrors,
                       &mDeclaredErrors }) {
    *sum *= kFade;
  }
}

void
timeout_regression::Observe(double aDeclaredMs, double aWaitMs, double aRunMs)
{
  bool returned = Forecast(aDeclaredMs, aWaitMs).mElapsedMs > 0;
  mReturnedShare =
    kReturnedFade * mReturnedShare + (1 - kReturnedFade) * (returned ? 1 : 0);
  if (mReturnedShare > kChangedShare) {
    *this = timeout_regression();
  } else if (returned) {
    return;
  }
  Fade();
  if (IsFitted()) {
    mJudged += 1;
    mLineErrors += SquaredLog(aRunMs, RunAt(aWaitMs));
    mDeclaredErrors += SquaredLog(aRunMs, aDeclaredMs);
  }
  mWeight += 1;
  mWaits += aWaitMs;
  mRuns += aRunMs;
  mWaitSquares += aWaitMs * aWaitMs;
  mProducts += aWaitMs * aRunMs;
  mRunSquares += aRunMs * aRunMs;
}

run_forecast
timeout_regression::Forecast(double aDeclaredMs, double aWaitMs) const
{
  run_forecast declared{ aDeclaredMs, kDeclaredSigma, 0 };
  if (aWaitMs <= 0 || !IsBetter()) {
    return declared;
  }
  double declaredSigma = std::sqrt(mDeclaredErrors / mJudged);
  double shortest = aDeclaredMs * std::exp(-kReturnedSigmas * declaredSigma);
  double runMs = RunAt(aWaitMs);
  if (runMs < shortest) {
    declared.mElapsedMs = (aDeclaredMs - runMs) / Slope();
    return declared;
  }
  double sigma = std::max(kLeastSigma, std::sqrt(mLineErrors / mJudged));
  double longest = aDeclaredMs * std::exp(kLongestSigmas * declaredSigma);
  return { std::clamp(runMs, kMinRunMs, std::max(kMinRunMs, longest)),
           sigma,
           0 };
}

std::vector<double>
timeout_regression::Sums() const
{
  return { mWeight,     mWaits,  mRuns,       mWaitSquares,   mProducts,
           mRunSquares, mJudged, mLineErrors, mDeclaredErrors };
}

result<timeout_regression>
timeout_regression::FromSums(const std::vector<double>& aSums)
{
  bool sound = aSums.size() == kSums &&
               std::all_of(aSums.begin(), aSums.end(), [](double aSum) {
                 return std::isfinite(aSum) && aSum >= 0;
               });
  if (!sound) {
    return failure(error_code::BadRequest,
                   "decode",
                   "store",
                   "invalid sums of a regression");
  }
  timeout_regression made;
  made.mWeight = aSums[0];
  made.mWaits = aSums[1];
  made.mRuns = aSums[2];
  made.mWaitSquares = aSums[3];
  made.mProducts = aSums[4];
  made.mRunSquares = aSums[5];
  made.mJudged = aSums[6];
  made.mLineErrors = aSums[7];
  made.mDeclaredErrors = aSums[8];
  return made;
}

void
timeout_model::Observe(const std::string& aRoute,
                       double aDeclaredMs,
                       double aWaitMs,
                       double aRunMs)
{
  mLearned++;
  mLines[aRoute].Observe(aDeclaredMs, aWaitMs, aRunMs);
}

run_forecast
timeout_model::Forecast(const std::string& aRoute,
                        double aDeclaredMs,
                        double aWaitMs) const
{
  auto found = mLines.find(aRoute);
  return found == mLines.end() ? run_forecast{ aDeclaredMs, kDeclaredSigma, 0 }
                               : found->second.Forecast(aDeclaredMs, aWaitMs);
}

void
timeout_model::KeepOnly(const std::set<std::string>& aRoutes)
{
  for (auto at = mLines.begin(); at != mLines.end();) {
    at = aRoutes.count(at->first) > 0 ? std::next(at) : mLines.erase(at);
  }
}

std::string
timeout_model::Encode() const
{
  std::vector<std::pair<double, std::string_view>> names;
  for (const auto& [name, line] : mLines) {
    names.emplace_back(-line.Weight(), name);
  }
  std::sort(names.begin(), names.end());
  names.resize(std::min(names.size(), kMaxStoredRegressions));
  wire::wait_lines_msg record;
  for (const auto& [weight, name] : names) {
    auto one = std::make_unique<wire::wait_line_msg>();
    one->route = name;
    one->sums = mLines.at(one->route).Sums();
    record.lines.push_back(std::move(one));
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
    std::map<std::string, timeout_regression> read;
    for (const auto& one : record->lines) {
      read[one->route] = timeout_regression::FromSums(one->sums).Value();
    }
    for (const auto& [name, line] : read) {
      timeout_regression& own = mLines[name];
      if (own.Weight() < line.Weight()) {
        own = line;
      }
    }
    return !read.empty();
  });
}

} // namespace cactusmast
