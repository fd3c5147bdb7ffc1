// The forecast of spare capacity for late jobs, without an entry.

#include <doctest/doctest.h>

#include "cactusmast/late_deferral.h"

namespace cactusmast::testing {

using std::chrono::milliseconds;

TEST_CASE("a late job waits only if its part of the spare capacity suffices")
{
  // Guards against jobs that wait although they will not be served.
  spare_forecast forecast{ 10000, 8000, 0, 0.5 };
  // Half of two cores for one second.
  CHECK(SpareCoreMs(forecast, 1000) == doctest::Approx(1000));
  CHECK(WaitsForSpare(forecast, 1000, 0, 1000));
  CHECK_FALSE(WaitsForSpare(forecast, 1000, 1, 1000));
  forecast.mDemandMillis = 12000;
  CHECK_FALSE(WaitsForSpare(forecast, 1000, 0, 1));
}

TEST_CASE("the forecast follows the trend of demand")
{
  // Guards against refusals at the end of a wave, and waits at its start.
  spare_forecast falling{ 10000, 12000, -2000, 1 };
  // Demand meets the capacity after one second, and is two cores below it
  // after the two seconds for which the trend lasts.
  CHECK(SpareCoreMs(falling, 1000) == doctest::Approx(0));
  CHECK(SpareCoreMs(falling, 2000) == doctest::Approx(1000));
  CHECK(SpareCoreMs(falling, 3000) == doctest::Approx(3000));
  spare_forecast rising{ 10000, 8000, 2000, 1 };
  CHECK(SpareCoreMs(rising, 2000) == doctest::Approx(1000));
  CHECK(SpareCoreMs(rising, 9000) == doctest::Approx(1000));
  // Demand does not fall below zero.
  spare_forecast ending{ 10000, 1000, -10000, 1 };
  CHECK(SpareCoreMs(ending, 1100) == doctest::Approx(10950));
}

TEST_CASE("nothing waits without capacity, time or a part of the demand")
{
  // Guards against jobs that are held until their deadline.
  CHECK_FALSE(WaitsForSpare({ 0, 0, 0, 1 }, 1000, 0, 0));
  CHECK_FALSE(WaitsForSpare({ 1000, 0, 0, 1 }, 0, 0, 0));
  CHECK_FALSE(WaitsForSpare({ 1000, 0, 0, 0 }, 1000, 0, 0));
}

TEST_CASE("the trend is that of the last two seconds")
{
  // Guards against a trend from single jobs or from long ago.
  demand_trend trend;
  instant now{};
  trend.Add(9000, now);
  CHECK(trend.MillisPerSecond() == 0);
  for (int i = 0; i < 40; i++) {
    now += milliseconds(100);
    trend.Add(5000 - 100 * i, now);
  }
  CHECK(trend.MillisPerSecond() == doctest::Approx(-1000));
}

} // namespace cactusmast::testing
