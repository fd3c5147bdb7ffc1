// Detects workers that fail the tasks they start, and quarantines them.
//
// A worker that fails every task appears fast and idle, so a plain dispatcher
// would send it more and more tasks. Each worker has a sequential probability
// ratio test of "this worker is broken" (it fails 95% of its tasks) against
// "this worker is like the others" (it fails as often as the median worker). A
// failure while the others succeed weighs heavily: two in a row quarantine the
// worker. A failure while the others fail as well weighs next to nothing, so
// that a faulty release does not empty the pool.
//
// After its quarantine a worker is tried with one task at a time. Each failed
// trial is followed by a longer quarantine. New and returning workers start
// with one task at a time, and the limit doubles with every success, so that a
// worker that is broken from the start costs single tasks and not all its
// slots.

#ifndef CACTUSMAST_HEALTH_H_
#define CACTUSMAST_HEALTH_H_

#include <cstdint>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

struct health_options
{
  // Length of a worker's first quarantine, and the factor by which it grows
  // with every failed trial, up to the maximum.
  duration mFirstQuarantine = std::chrono::seconds(5);
  uint32_t mQuarantineFactor = 6;
  duration mMaxQuarantine = std::chrono::minutes(5);
  // False only in tests that show the effect of the check.
  bool mEnabled = true;
};

class worker_health
{
public:
  explicit worker_health(const health_options& aOptions)
    : mOptions(aOptions)
  {
  }

  // Starts the record of a worker that is new or has returned.
  void Reset(uint32_t aWorker);
  // aStarted: when the task that succeeded was started.
  void RecordSuccess(uint32_t aWorker, instant aStarted);
  void RecordFailure(uint32_t aWorker, instant aNow);
  void Remove(uint32_t aWorker);

  // Number of tasks that aWorker may hold at once, at most aSlots; 0 while it
  // is quarantined.
  uint32_t Limit(uint32_t aWorker, uint32_t aSlots, instant aNow) const;

  // Always false while the median worker fails most of its tasks.
  bool IsQuarantined(uint32_t aWorker, instant aNow) const;

private:
  struct worker_record
  {
    bool mPresent = false;
    double mLogLikelihoodRatio = 0; // of broken against healthy, at least 0
    double mFailureRate = 0;        // exponentially weighted
    uint32_t mResults = 0;
    uint32_t mTaskLimit = 1; // doubles with every success
    duration mQuarantine{};  // length of the last one; 0: none since a success
    instant mQuarantinedUntil{};
    instant mLastFailure{};
  };

  double MedianFailureRate() const;

  health_options mOptions;
  std::vector<worker_record> mWorkers;
};

} // namespace cactusmast

#endif // CACTUSMAST_HEALTH_H_
