// `cactusmast demand`: what coordinators know of the demand on each route.

#ifndef CMD_DEMAND_COMMAND_H_
#define CMD_DEMAND_COMMAND_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cactusmast {

// One row for each route on aPage, the metrics page of the process aProcess;
// one row with route "none" if there are none. A route without a limit, or a
// process without limits, has "none" in its place.
nlohmann::json
DemandRows(const std::string& aProcess, const std::string& aPage);

// The rows of all processes. aAddresses: HOST:PORT of metrics pages. Throws
// failure when a process does not reply.
nlohmann::json
ReadDemand(const std::vector<std::string>& aAddresses, uint32_t aTimeoutMs);

} // namespace cactusmast

#endif // CMD_DEMAND_COMMAND_H_
