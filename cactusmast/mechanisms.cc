#include "cactusmast/mechanisms.h"

#include <algorithm>
#include <array>

namespace cactusmast {
namespace {

constexpr std::array<std::string_view, size_t(mechanism::Count)> kMechanisms = {
  "hold_at_start",     "wait_forecasts",  "timely_first",    "late_refused",
  "slow_task_moves",   "scarcity_price",  "stuck_limit",     "executor_subset",
  "shared_demand",     "route_shares",    "late_deferral",   "job_forwarding",
  "admission_control", "server_recall",   "early_return",    "learned_speed",
  "outlier_speeds",    "illness_noticed", "stall_detection", "report_spacing"
};

} // namespace

std::string_view
Name(mechanism aMechanism)
{
  return size_t(aMechanism) < kMechanisms.size()
           ? kMechanisms[size_t(aMechanism)]
           : "invalid";
}

result<mechanism_set>
mechanism_set::AllBut(const std::vector<std::string>& aNames)
{
  mechanism_set enabled;
  for (const std::string& name : aNames) {
    auto found = std::find(kMechanisms.begin(), kMechanisms.end(), name);
    if (found == kMechanisms.end()) {
      return failure(error_code::BadRequest,
                     "read settings",
                     "operator",
                     "no mechanism is named " + name);
    }
    enabled.mDisabled.set(size_t(found - kMechanisms.begin()));
  }
  return enabled;
}

} // namespace cactusmast
