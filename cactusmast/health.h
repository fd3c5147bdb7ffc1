// Finds workers that fail what they start.
//
// A worker that fails everything looks fast and idle, so a plain dispatcher
// sends it ever more. Each worker carries a sequential probability ratio of
// "this worker is broken" (fails 95% of its tasks) against "this worker is
// like the rest" (fails as often as the median worker). A failure where the
// rest succeed weighs heavily: two in a row set the worker aside. A failure
// where the rest fail as well weighs next to nothing, so a bad release does
// not empty the pool.
//
// A worker that was set aside is tried again with one task at a time, after a
// delay that grows with each failed trial. New and returning workers start
// with one task at once and double with every success, so that a worker that
// is broken from the start costs single tasks and not all its slots.

#ifndef CACTUSMAST_HEALTH_H_
#define CACTUSMAST_HEALTH_H_

#include <cstdint>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

struct health_options
{
  // First pause of a worker that was set aside, and the factor by which it
  // grows with every failed trial, up to the limit.
  duration mFirstQuarantine = std::chrono::seconds(5);
  uint32_t mQuarantineFactor = 6;
  duration mMaxQuarantine = std::chrono::minutes(5);
  // Off only in tests that show what the check is for.
  bool mEnabled = true;
};

class worker_health
{
public:
  explicit worker_health(const health_options& aOptions)
    : mOptions(aOptions)
  {
  }

  // A worker that is new or has come back.
  void Reset(uint32_t aWorker);
  // Of a task that started at aStarted.
  void RecordSuccess(uint32_t aWorker, instant aStarted);
  void RecordFailure(uint32_t aWorker, instant aNow);
  void Remove(uint32_t aWorker);

  // Tasks that aWorker may hold at once, at most aSlots; 0 while set aside.
  uint32_t Limit(uint32_t aWorker, uint32_t aSlots, instant aNow) const;

  bool IsQuarantined(uint32_t aWorker, instant aNow) const;

private:
  struct worker_record
  {
    bool mPresent = false;
    double mLogLikelihoodRatio = 0; // log likelihood ratio, never below zero
    double mFailureRate = 0;
    uint32_t mResults = 0;
    uint32_t mTaskLimit = 1;
    duration mQuarantine{};
    instant mQuarantinedUntil{};
    instant mLastFailure{};
  };

  double MedianFailureRate() const;

  health_options mOptions;
  std::vector<worker_record> mWorkers;
};

} // namespace cactusmast

#endif // CACTUSMAST_HEALTH_H_
