// Whether a job that can only be late waits for spare capacity.
//
// The load this addresses: a wave of some seconds above the capacity, after
// which callers would rather have a late answer than none. A late job is kept
// while the forecast shows enough spare capacity before its answer becomes
// worthless, and is refused as soon as the forecast no longer does.
//
// Spare capacity is the capacity less the demand, which follows its trend. An
// entry counts on its own part of it, less the work of the jobs it deferred
// before.
//
//   demand_trend trend;
//   trend.Add(demandMillis, now); // every 100 ms
//   spare_forecast spare{ 64000, demandMillis, trend.MillisPerSecond(), 0.2 };
//   if (WaitsForSpare(spare, 1500, deferredCoreMs, jobCoreMs)) ...
//
// Invariants:
// - Without capacity or time nothing waits.
// - More deferred work never lets another job wait.

#ifndef CACTUSMAST_LATE_DEFERRAL_H_
#define CACTUSMAST_LATE_DEFERRAL_H_

#include <deque>
#include <utility>

#include "cactusmast/ids.h"

namespace cactusmast {

// The span over which the trend of demand is measured, and for which it is
// assumed to last.
constexpr duration kTrendSpan = std::chrono::milliseconds(2000);

class demand_trend
{
public:
  void Add(double aMillis, instant aNow);
  // Change of demand per second; 0 until it was measured for some time.
  double MillisPerSecond() const;

private:
  std::deque<std::pair<instant, double>> mSamples; // of the last kTrendSpan
};

// Processors are in thousandths of a core.
struct spare_forecast
{
  double mCapacityMillis = 0;
  double mDemandMillis = 0; // of all entries
  double mTrendMillisPerSecond = 0;
  double mOwnPart = 0; // this entry's part of the demand, 0 to 1
};

// The entry's part of the spare capacity in the next aHorizonMs, in
// core-milliseconds.
double
SpareCoreMs(const spare_forecast& aForecast, double aHorizonMs);

// aHorizonMs: until the job's tasks have to start. aDeferredCoreMs: work of the
// jobs deferred before. aJobCoreMs: work of the job.
bool
WaitsForSpare(const spare_forecast& aForecast,
              double aHorizonMs,
              double aDeferredCoreMs,
              double aJobCoreMs);

} // namespace cactusmast

#endif // CACTUSMAST_LATE_DEFERRAL_H_
