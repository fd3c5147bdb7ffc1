#include "cmd/evacuations_command.h"

#include "cmd/metrics_request.h"
#include "shell/metrics_page.h"
#include "shell/metrics_reader.h"

namespace cactusmast {

using nlohmann::json;

json
ReadEvacuations(const std::vector<std::string>& aAddresses, uint32_t aTimeoutMs)
{
  json rows = json::array();
  for (const std::string& address : aAddresses) {
    std::string page = FetchMetrics(address, aTimeoutMs);
    std::map<std::string, double> ages =
      ReadGauges(page, kEvacuationsAgeMetric);
    json storeAge = ages.empty() ? json("never") : json(ages.begin()->second);
    std::map<std::string, double> evacuated =
      ReadGauges(page, kEvacuatedMetric);
    if (evacuated.empty()) {
      rows.push_back({ { "process", address },
                       { "data_center", "none" },
                       { "known_for_s", "" },
                       { "store_heard_s_ago", storeAge } });
    }
    for (const auto& [center, seconds] : evacuated) {
      rows.push_back({ { "process", address },
                       { "data_center", center },
                       { "known_for_s", seconds },
                       { "store_heard_s_ago", storeAge } });
    }
  }
  return rows;
}

} // namespace cactusmast
