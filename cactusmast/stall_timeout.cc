#include "cactusmast/stall_timeout.h"

#include <algorithm>

namespace cactusmast {
namespace {

// A backend server that is merely busy shows progress in much less.
constexpr duration kMinStallTimeout = std::chrono::milliseconds(250);
// A task may run this many times as long as expected, and its progress may be
// seen one percent late.
constexpr int kMaxRunFactor = 10;
constexpr int kPercentSteps = 2;

} // namespace

duration
StallTimeout(duration aExpectedRun)
{
  return std::max(kMinStallTimeout,
                  aExpectedRun * kMaxRunFactor * kPercentSteps / 100);
}

} // namespace cactusmast
