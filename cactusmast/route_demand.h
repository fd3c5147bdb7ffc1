// What callers ask of the entries, by route.
//
// Each entry measures the demand of the jobs that its callers submit and sends
// it to the other entries with its heartbeats. Each of them can thus compute
// the demand on the whole system. Nothing is stored, and no entry is special.
//
// Demand is in thousandths of a core: a demand of 1000 keeps one core busy.
//
//   demand_meter meter;
//   meter.OnSubmitted("quotes", 1200, now);  // 1200 core-milliseconds
//   demand_board board;
//   board.SetOwn(meter.Demand(now));
//   board.OnEntry("entry-2", load, now);
//   double all = board.Total("quotes", now).mOfferedMillis;
//
// Invariants:
// - Figures of an entry are replaced by newer ones of it only.
// - Figures that were not replaced for kDemandFresh lose weight until they
//   count for nothing at kDemandExpired, so that a lost entry is forgotten.

#ifndef CACTUSMAST_ROUTE_DEMAND_H_
#define CACTUSMAST_ROUTE_DEMAND_H_

#include <map>
#include <string>

#include "cactusmast/ids.h"
#include "cactusmast/message.h"

namespace cactusmast {

// The longest interval between two loads of an entry.
constexpr duration kMaxLoadInterval = std::chrono::milliseconds(2400);
constexpr duration kDemandFresh = std::chrono::milliseconds(2500);
constexpr duration kDemandExpired = std::chrono::milliseconds(5000);

struct route_demand
{
  double mOfferedMillis = 0; // mean demand of the jobs that callers submitted
  double mRunningMillis = 0; // processors of the tasks that are dispatched now
  double mWaitingCoreMs = 0; // work of the tasks that wait

  route_demand& operator+=(const route_demand& aOther)
  {
    mOfferedMillis += aOther.mOfferedMillis;
    mRunningMillis += aOther.mRunningMillis;
    mWaitingCoreMs += aOther.mWaitingCoreMs;
    return *this;
  }
};

using demand_by_route = std::map<std::string, route_demand>;

} // namespace cactusmast

#endif // CACTUSMAST_ROUTE_DEMAND_H_
