#include "cactusmast/late_deferral.h"

#include <algorithm>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

// A shorter span shows single jobs rather than a trend.
constexpr duration kMinTrendSpan = std::chrono::milliseconds(500);

// The integral of max(0, x) over aSpan, for an x that changes evenly.
double
PositiveIntegral(double aStart, double aEnd, double aSpan)
{
  if (aStart >= 0 && aEnd >= 0) {
    return (aStart + aEnd) / 2 * aSpan;
  }
  double positive = std::max({ 0.0, aStart, aEnd });
  if (positive == 0) {
    return 0;
  }
  double change = std::max(aStart, aEnd) - std::min(aStart, aEnd);
  return positive / 2 * aSpan * positive / change;
}

} // namespace

void
demand_trend::Add(double aMillis, instant aNow)
{
  mSamples.emplace_back(aNow, aMillis);
  while (aNow - mSamples.front().first > kTrendSpan) {
    mSamples.pop_front();
  }
}

double
demand_trend::MillisPerSecond() const
{
  if (mSamples.empty() ||
      mSamples.back().first - mSamples.front().first < kMinTrendSpan) {
    return 0;
  }
  double spanMs = MsBetween(mSamples.front().first, mSamples.back().first);
  return (mSamples.back().second - mSamples.front().second) * 1000 / spanMs;
}

double
SpareCoreMs(const spare_forecast& aForecast, double aHorizonMs)
{
  if (aHorizonMs <= 0 || aForecast.mCapacityMillis <= 0) {
    return 0;
  }
  double trendMs =
    std::min(aHorizonMs, double(MsBetween(instant{}, kTrendSpan)));
  double perMs = aForecast.mTrendMillisPerSecond / 1000;
  double finalDemand = aForecast.mDemandMillis + perMs * trendMs;
  if (finalDemand < 0) { // demand ends at zero
    trendMs = aForecast.mDemandMillis / -perMs;
    finalDemand = 0;
  }
  double spareNow = aForecast.mCapacityMillis - aForecast.mDemandMillis;
  double spareThen = aForecast.mCapacityMillis - finalDemand;
  double spare = PositiveIntegral(spareNow, spareThen, trendMs) +
                 std::max<double>(0, spareThen) * (aHorizonMs - trendMs);
  return aForecast.mOwnPart * spare / 1000;
}

bool
WaitsForSpare(const spare_forecast& aForecast,
              double aHorizonMs,
              double aDeferredCoreMs,
              double aJobCoreMs)
{
  double spare = SpareCoreMs(aForecast, aHorizonMs);
  return spare > 0 && aDeferredCoreMs + aJobCoreMs <= spare;
}

} // namespace cactusmast
