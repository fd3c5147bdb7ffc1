#include "cmd/evacuations_command.h"

#include "cactusmast/error.h"
#include "shell/http_client.h"
#include "shell/metrics_page.h"
#include "shell/metrics_reader.h"

namespace cactusmast {
namespace {

using nlohmann::json;

std::string
FetchMetrics(const std::string& aAddress, uint32_t aTimeoutMs)
{
  http_request request;
  request.mMethod = "GET";
  request.mUrl = "http://" + aAddress + "/metrics";
  request.mIdempotent = true;
  http_response response = SendAndWait(request, aTimeoutMs);
  if (response.mFault != http_fault::None) {
    throw failure(error_code::Unavailable,
                  "read metrics",
                  aAddress,
                  response.mFaultText,
                  run_state::NotRun);
  }
  return response.mBody;
}

} // namespace

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
