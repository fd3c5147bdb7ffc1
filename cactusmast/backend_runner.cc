#include "cactusmast/backend_runner.h"

#include <array>

namespace cactusmast {
namespace {

constexpr std::array<std::string_view, size_t(start_result::Count)>
  kStartResults = { "started",     "lease_over", "no_room",    "old_run",
                    "fenced_off",  "unhealthy",  "other_boot", "malformed",
                    "unreachable", "not_sent",   "no_answer" };

} // namespace

std::string_view
Name(start_result aResult)
{
  return size_t(aResult) < kStartResults.size() ? kStartResults[size_t(aResult)]
                                                : "invalid";
}

} // namespace cactusmast
