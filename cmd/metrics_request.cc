#include "cmd/metrics_request.h"

#include "cactusmast/error.h"
#include "shell/http_client.h"

namespace cactusmast {

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

} // namespace cactusmast
