// libFuzzer target for JSON from callers, operators and the table.

#include "cactusmast/api_json.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace cactusmast;
  std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  ParseSubmission(bytes, {});
  ParseProfile(bytes);
  ParseTeam(bytes);
  deployment_config::Parse(bytes);
  return 0;
}
