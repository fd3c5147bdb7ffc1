// Shares of the routes in the processors of a service, by priority.
//
// The load this addresses: for several seconds, demand on a service exceeds
// the capacity of its backend servers, most of it on one route. Without limits
// that route would take the capacity of all others.
//
// AllocateShares gives each route its demand up to the guarantee, and the rest
// in the order of priority. Routes of one priority are treated alike: none gets
// more than another that gets less than its demand (max-min fairness). Each
// entry enforces its own part of a limit, which smoothed_limit approaches in
// steps, so that errors in the measured demand do not make it oscillate.
//
//   auto limits = AllocateShares(64000, { { "urgent", 0, 9000 },
//                                         { "long", 2, 90000 } }, 0.1);
//   smoothed_limit limit; // of "long"
//   limit.Update({ limits["long"], 0.25, 22500, 16000, 2400 });
//
// Invariants:
// - A route without a limit gets its whole demand.
// - Limits, and demands of routes without a limit, add up to at most the
//   capacity.

#ifndef CACTUSMAST_ROUTE_SHARES_H_
#define CACTUSMAST_ROUTE_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

// How often limits are recomputed.
constexpr duration kShareInterval = std::chrono::milliseconds(100);
// No route is limited while total demand is below this share of the capacity.
constexpr double kMinLimitedDemand = 0.9;
// Part of the difference by which a limit moves in each interval.
constexpr double kLimitStep = 0.25;

struct route_claim
{
  std::string mRoute;
  uint32_t mPriority = 0; // 0 is the highest
  double mDemandMillis = 0;
};

// Processors that each limited route may use, in thousandths of a core. Routes
// that are not in the result have no limit. aGuarantee: share of the capacity,
// 0 to 1.
std::map<std::string, double>
AllocateShares(double aCapacityMillis,
               const std::vector<route_claim>& aClaims,
               double aGuarantee);

// One entry's part of the limit of one route.
class smoothed_limit
{
public:
  struct input
  {
    std::optional<double> mLimitMillis; // of all entries; empty: no limit
    double mOwnPart = 0;                // of the demand on the route, 0 to 1
    double mOwnDemandMillis = 0;
    double mUsedMillis = 0; // by the entry's tasks of the route
    double mTaskMillis = 0; // processors of its largest task
  };

  // To be called every kShareInterval. A new limit starts from what is in use,
  // and is lifted once it exceeds the entry's demand.
  void Update(const input& aInput);
  bool IsLimited() const { return mMillis.has_value(); }
  // Valid if IsLimited(); at least one task.
  double Millis() const { return *mMillis; }

private:
  std::optional<double> mMillis;
};

// What an entry knows of one of its routes.
struct route_share
{
  std::string mService;
  uint32_t mPriority = 0;
  smoothed_limit mLimit;
  int64_t mUsedMillis = 0;       // by reserved and dispatched tasks
  int64_t mQueuedCoreMicros = 0; // work of waiting tasks, in core-microseconds
  int64_t mTaskMillis = 0;       // processors of the largest task so far
  // Tasks that the last placement of all waiting tasks left out because of the
  // limit.
  uint32_t mHeldTasks = 0;

  bool IsUsedUp() const
  {
    return mLimit.IsLimited() && double(mUsedMillis) >= mLimit.Millis();
  }
};

// When a caller may retry whose job was refused because of the route's limit.
// aWaitMs: the wait for its turn. aUniform: random, 0 to 1; it spreads the
// retries of callers that are refused together.
duration
OverShareRetryAfter(double aWaitMs, double aUniform);

} // namespace cactusmast

#endif // CACTUSMAST_ROUTE_SHARES_H_
