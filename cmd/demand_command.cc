#include "cmd/demand_command.h"

#include "cmd/metrics_request.h"
#include "shell/metrics_page.h"
#include "shell/metrics_reader.h"

namespace cactusmast {
namespace {

using nlohmann::json;
using gauges = std::map<std::string, double>;

json
ValueOrNone(const gauges& aValues, const std::string& aLabel)
{
  auto found = aValues.find(aLabel);
  return found == aValues.end() ? json("none") : json(found->second);
}

} // namespace

json
DemandRows(const std::string& aProcess, const std::string& aPage)
{
  gauges own = ReadGauges(aPage, kDemandMetric);
  gauges limits = ReadGauges(aPage, kShareLimitMetric);
  gauges held = ReadGauges(aPage, kShareHeldMetric);
  json age = ValueOrNone(ReadGauges(aPage, kDemandAgeMetric), "");
  json rows = json::array();
  for (const auto& [route, total] : ReadGauges(aPage, kTotalDemandMetric)) {
    rows.push_back({ { "process", aProcess },
                     { "route", route },
                     { "own_millis", ValueOrNone(own, route) },
                     { "all_millis", total },
                     { "limit_millis", ValueOrNone(limits, route) },
                     { "held_tasks", ValueOrNone(held, route) },
                     { "oldest_s", age } });
  }
  if (rows.empty()) {
    rows.push_back(
      { { "process", aProcess }, { "route", "none" }, { "oldest_s", age } });
  }
  return rows;
}

json
ReadDemand(const std::vector<std::string>& aAddresses, uint32_t aTimeoutMs)
{
  json rows = json::array();
  for (const std::string& address : aAddresses) {
    for (json& row : DemandRows(address, FetchMetrics(address, aTimeoutMs))) {
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

} // namespace cactusmast
