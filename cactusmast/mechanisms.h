// Scheduling mechanisms that can be disabled one by one to measure the effect
// of each (scripts/ablation.sh). No guarantee depends on them: without them
// jobs are served later or less often, but never twice or in part.

#ifndef CACTUSMAST_MECHANISMS_H_
#define CACTUSMAST_MECHANISMS_H_

#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "util/result.h"

namespace cactusmast {

enum class mechanism : uint8_t
{
  // At entries.
  HoldAtStart,    // requests wait for the first configuration
  WaitForecasts,  // caller timeouts forecast run times and reveal resubmissions
  TimelyFirst,    // tasks that can meet their objective are placed first
  LateRefused,    // jobs that can only be late are refused while capacity is
                  // scarce
  SlowTaskMoves,  // tasks that run too slowly are restarted elsewhere
  ScarcityPrice,  // the last free capacity of fast backend servers costs more
  StuckLimit,     // limits the unplaced steps tried at a time
                  // (kMaxUnplacedSteps)
  ExecutorSubset, // tasks are placed on a subset of the executors
  SharedDemand,   // entries tell each other what is asked of them by route
  RouteShares,    // scarce capacity is shared between routes by priority
  LateDeferral,   // jobs that can only be late may wait for spare capacity
  JobForwarding,  // an overloaded entry hands new jobs to other entries
  AdmissionControl, // an entry refuses jobs whose requests wait too long

  // At executors.
  ServerRecall,   // a restarted executor restores its backend server from the
                  // store
  EarlyReturn,    // a task that cannot start in time is returned at once
  LearnedSpeed,   // the backend server's speed is estimated from ended tasks
  OutlierSpeeds,  // single tasks far longer than declared do not count for it;
                  // at entries, not for WaitForecasts
  IllnessNoticed, // a backend server that fails every task is quarantined
  StallDetection, // tasks that make no progress are stopped
  ReportSpacing,  // changes are batched before they are reported
  Count
};

// The name used in settings; "invalid" for a value out of range.
std::string_view
Name(mechanism aMechanism);

// The enabled mechanisms; all of them by default.
class mechanism_set
{
public:
  // All mechanisms except those named. Errors: BadRequest for an unknown name.
  static result<mechanism_set> AllBut(const std::vector<std::string>& aNames);

  void Disable(mechanism aMechanism) { mDisabled.set(size_t(aMechanism)); }

  bool Has(mechanism aMechanism) const
  {
    return !mDisabled[size_t(aMechanism)];
  }

private:
  std::bitset<size_t(mechanism::Count)> mDisabled;
};

} // namespace cactusmast

#endif // CACTUSMAST_MECHANISMS_H_
