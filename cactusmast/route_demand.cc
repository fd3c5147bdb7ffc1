#include "cactusmast/route_demand.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

// Time constant of the mean. A surge shows within half of it, and single jobs
// of a second of work do not look like one.
constexpr double kMeanMs = 1000;
// A route whose mean has decayed to less than this has no recent jobs.
constexpr double kMinMillis = 1;

uint32_t
ToWire(double aValue)
{
  return uint32_t(std::clamp<double>(aValue, 0, UINT32_MAX));
}

} // namespace

double
demand_meter::DecayedMillis(const mean& aMean, instant aNow)
{
  return aMean.mMillis * std::exp(-MsBetween(aMean.mAt, aNow) / kMeanMs);
}

void
demand_meter::OnSubmitted(const std::string& aRoute,
                          double aCoreMs,
                          instant aNow)
{
  mean& known = mMeans[aRoute];
  known.mMillis = DecayedMillis(known, aNow) + 1000 * aCoreMs / kMeanMs;
  known.mAt = aNow;
}

double
demand_meter::OfferedMillis(const std::string& aRoute, instant aNow) const
{
  auto found = mMeans.find(aRoute);
  return found == mMeans.end() ? 0 : DecayedMillis(found->second, aNow);
}

std::vector<std::string>
demand_meter::Routes(instant aNow)
{
  std::vector<std::string> routes;
  for (auto at = mMeans.begin(); at != mMeans.end();) {
    if (DecayedMillis(at->second, aNow) < kMinMillis) {
      at = mMeans.erase(at);
      continue;
    }
    routes.push_back(at->first);
    ++at;
  }
  return routes;
}

void
demand_board::OnEntry(const std::string& aEntry,
                      const wire::entry_load_msg& aLoad,
                      instant aNow,
                      uint64_t aIncarnation)
{
  remote_load& known = mEntries[aEntry];
  if (std::tie(aIncarnation, aLoad.sequence) <=
      std::tie(known.mIncarnation, known.mSequence)) {
    return;
  }
  known.mIncarnation = aIncarnation;
  known.mSequence = aLoad.sequence;
  known.mReceivedAt = aNow;
  known.mDemand.clear();
  for (const auto& row : aLoad.demand) {
    known.mDemand[row->route] = { double(row->offered_millis),
                                  double(row->running_millis),
                                  double(row->waiting_core_ms) };
  }
}

double
demand_board::WeightOf(const remote_load& aLoad, instant aNow)
{
  double ageMs = MsBetween(aLoad.mReceivedAt, aNow);
  double freshMs = MsBetween(duration{}, kDemandFresh);
  double expiredMs = MsBetween(duration{}, kDemandExpired);
  return std::clamp((expiredMs - ageMs) / (expiredMs - freshMs), 0.0, 1.0);
}

route_demand
demand_board::Others(const std::string& aRoute, instant aNow) const
{
  route_demand sum;
  for (const auto& [entry, load] : mEntries) {
    auto found = load.mDemand.find(aRoute);
    if (found == load.mDemand.end()) {
      continue;
    }
    double weight = WeightOf(load, aNow);
    sum += { weight * found->second.mOfferedMillis,
             weight * found->second.mRunningMillis,
             weight * found->second.mWaitingCoreMs };
  }
  return sum;
}

route_demand
demand_board::Total(const std::string& aRoute, instant aNow) const
{
  route_demand sum = Others(aRoute, aNow);
  auto own = mOwn.find(aRoute);
  if (own != mOwn.end()) {
    sum += own->second;
  }
  return sum;
}

std::set<std::string>
demand_board::Routes(instant aNow) const
{
  std::set<std::string> routes;
  for (const auto& [route, demand] : mOwn) {
    routes.insert(route);
  }
  for (const auto& [entry, load] : mEntries) {
    if (WeightOf(load, aNow) == 0) {
      continue;
    }
    for (const auto& [route, demand] : load.mDemand) {
      routes.insert(route);
    }
  }
  return routes;
}

duration
demand_board::OldestAge(instant aNow) const
{
  duration oldest{};
  for (const auto& [entry, load] : mEntries) {
    if (WeightOf(load, aNow) > 0) {
      oldest = std::max(oldest, aNow - load.mReceivedAt);
    }
  }
  return oldest;
}

void
demand_board::RemoveExpired(instant aNow)
{
  for (auto at = mEntries.begin(); at != mEntries.end();) {
    at = WeightOf(at->second, aNow) == 0 ? mEntries.erase(at) : std::next(at);
  }
}

std::vector<std::unique_ptr<wire::route_demand_msg>>
EncodeDemand(const demand_by_route& aDemand, size_t aMaxRoutes)
{
  std::vector<std::unique_ptr<wire::route_demand_msg>> rows;
  for (const auto& [route, demand] : aDemand) {
    auto row = std::make_unique<wire::route_demand_msg>();
    row->route = route;
    row->offered_millis = ToWire(demand.mOfferedMillis);
    row->running_millis = ToWire(demand.mRunningMillis);
    row->waiting_core_ms = ToWire(demand.mWaitingCoreMs);
    if (row->offered_millis > 0 || row->running_millis > 0 ||
        row->waiting_core_ms > 0) {
      rows.push_back(std::move(row));
    }
  }
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->offered_millis > aRight->offered_millis;
    });
  rows.resize(std::min(rows.size(), aMaxRoutes));
  return rows;
}

} // namespace cactusmast
