// `cactusmast evacuations`: what processes know of evacuated data centres.

#ifndef CMD_EVACUATIONS_COMMAND_H_
#define CMD_EVACUATIONS_COMMAND_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cactusmast {

// One row for each process and data centre that it knows to be evacuated; one
// row with data centre "none" for a process that knows of none. aAddresses:
// HOST:PORT of metrics pages. Throws failure when a process does not reply.
nlohmann::json
ReadEvacuations(const std::vector<std::string>& aAddresses,
                uint32_t aTimeoutMs);

} // namespace cactusmast

#endif // CMD_EVACUATIONS_COMMAND_H_
