// Requests for metrics pages, for commands that show what processes know.

#ifndef CMD_METRICS_REQUEST_H_
#define CMD_METRICS_REQUEST_H_

#include <cstdint>
#include <string>

namespace cactusmast {

// The metrics page at aAddress, HOST:PORT. Throws failure when the process does
// not reply.
std::string
FetchMetrics(const std::string& aAddress, uint32_t aTimeoutMs);

} // namespace cactusmast

#endif // CMD_METRICS_REQUEST_H_
