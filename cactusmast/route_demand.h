// What callers ask of the entries, by route.
//
// Each entry measures the demand of the jobs that its callers submit and sends
// it to the other entries with its heartbeats. Each of them can thus compute
// the demand on the whole system. Nothing is stored, and no entry is special.
//
// Demand is in thousandths of a core: a demand of 1000 keeps one core busy.
//
//   demand_meter meter;
//   meter.OnSubmitted("quotes", 1200, now); // 1200 core-milliseconds
//   demand_board board;
//   board.SetOwn({ { "quotes", { meter.OfferedMillis("quotes", now) } } });
//   board.OnEntry("entry-2", load, now, incarnation);
//   double all = board.Total("quotes", now).mOfferedMillis;
//
// Invariants:
// - Values of an entry are replaced by newer ones of it only, and all at once
//   after its restart.
// - Values that were not replaced for kDemandFresh lose weight until they
//   count for nothing at kDemandExpired, so that a lost entry is forgotten.

#ifndef CACTUSMAST_ROUTE_DEMAND_H_
#define CACTUSMAST_ROUTE_DEMAND_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

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

// Measures what callers offer this entry, as a mean over about a second.
class demand_meter
{
public:
  // aCoreMs: work of the job, in core-milliseconds.
  void OnSubmitted(const std::string& aRoute, double aCoreMs, instant aNow);
  // mOfferedMillis of the route; 0 for a route without recent jobs.
  double OfferedMillis(const std::string& aRoute, instant aNow) const;
  // The routes with recent jobs. Forgets all others.
  std::vector<std::string> Routes(instant aNow);

private:
  struct mean
  {
    double mMillis = 0; // as of mAt
    instant mAt{};
  };

  static double DecayedMillis(const mean& aMean, instant aNow);

  std::map<std::string, mean> mMeans;
};

// The demand at all entries, as far as this one knows it.
class demand_board
{
public:
  void SetOwn(demand_by_route aDemand) { mOwn = std::move(aDemand); }
  // The load of another entry. Loads of an older incarnation or with an older
  // sequence number than the known one are ignored.
  void OnEntry(const std::string& aEntry,
               const wire::entry_load_msg& aLoad,
               instant aNow,
               uint64_t aIncarnation = 0);

  const demand_by_route& Own() const { return mOwn; }
  // The demand at the other entries.
  route_demand Others(const std::string& aRoute, instant aNow) const;
  // The demand at all entries, this one included.
  route_demand Total(const std::string& aRoute, instant aNow) const;
  // All routes that have demand at any entry.
  std::set<std::string> Routes(instant aNow) const;
  // The age of the oldest values in use; zero if there are none.
  duration OldestAge(instant aNow) const;
  // Forgets entries whose values have expired.
  void RemoveExpired(instant aNow);

private:
  struct remote_load
  {
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    instant mReceivedAt{};
    demand_by_route mDemand;
  };

  // From 1 for fresh values to 0 for expired ones.
  static double WeightOf(const remote_load& aLoad, instant aNow);

  demand_by_route mOwn;
  std::map<std::string, remote_load> mEntries;
};

// The routes that have demand, the greatest first, at most aMaxRoutes of them.
std::vector<std::unique_ptr<wire::route_demand_msg>>
EncodeDemand(const demand_by_route& aDemand, size_t aMaxRoutes);

} // namespace cactusmast

#endif // CACTUSMAST_ROUTE_DEMAND_H_
