// Mechanisms of deciding that can be switched off one by one, to measure what
// each is worth (scripts/ablation.sh). None of them guards a promise: without
// them jobs are served later or less often, never twice or in part.

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
  WaitForecasts,  // run times and returns from how long callers wait
  TimelyFirst,    // room goes first to what is still in time
  LateRefused,    // what can only be late is refused while room is scarce
  SlowTaskMoves,  // tasks that run too slowly start anew elsewhere
  ScarcityPrice,  // the last room of fast backend servers costs more
  StuckLimit,     // few steps that find no place are tried at a time
  ExecutorSubset, // tasks go to a subset of the executors
                  // At executors.
  ServerRecall,   // the backend server is known from the store after a restart
  EarlyReturn,    // an order that cannot start in its time goes back at once
  LearnedSpeed,   // of the backend server, from tasks that ended
  IllnessNoticed, // a backend server that fails all is set aside
  ReportSpacing,  // changes are gathered before they are reported
  Count
};

std::string_view
Name(mechanism aMechanism);

class mechanism_set
{
public:
  // All but those named. Errors: BadRequest for a name that is not known.
  static result<mechanism_set> AllBut(const std::vector<std::string>& aNames);

  bool Has(mechanism aMechanism) const { return !mOff[size_t(aMechanism)]; }

private:
  std::bitset<size_t(mechanism::Count)> mOff;
};

} // namespace cactusmast

#endif // CACTUSMAST_MECHANISMS_H_
