// Limits and margins of a job_coordinator.

#ifndef CACTUSMAST_JOB_COORDINATOR_LIMITS_H_
#define CACTUSMAST_JOB_COORDINATOR_LIMITS_H_

#include "cactusmast/ids.h"

namespace cactusmast {
namespace detail {

using std::chrono::milliseconds;

// An executor returns a task that it cannot start within this time, so that the
// task can be placed where there is free capacity by then. Slightly more than
// the longest wait at a backend server that placement allows.
constexpr uint32_t kStartWithinMs = 40;
// A job is ended this long before its caller stops waiting, so that the answer
// arrives in time.
constexpr duration kAnswerMargin = milliseconds(12);
// When a caller that was refused for lack of capacity may retry: about the run
// time of the longest waiting tasks.
constexpr duration kCapacityRetryAfter = milliseconds(1000);

// When a caller that was refused because of evacuations may retry. Evacuations
// last for minutes, and their end is not known in advance.
constexpr duration kEvacuationRetryAfter = milliseconds(5000);

// An answer is worth nothing to its caller after this many times the objective.
// No task is started that can only end later.
constexpr int kMaxUsefulObjectives = 3;
// Bounds of forecast run times.
constexpr double kMinRunMs = 1;
constexpr double kMaxRunMs = 24 * 3600 * 1000.0;
// A task that runs too slowly is restarted elsewhere if its risk of missing its
// deadline there is less than this.
constexpr double kMaxMoveRisk = 0.4;
// A task certainly misses its deadline if its progress estimate exceeds the
// time left by more than this factor. Progress is known to about a tenth.
constexpr double kCertainMissFactor = 1.2;
// With less than this share of the capacity free, a job that can only be late
// and of which no task was dispatched is refused. It would take the capacity
// that the next jobs need to meet their objectives, so that in the end all
// would be late.
constexpr double kScarceFreeShare = 0.1;
// A job waits until all its tasks fit only if that leaves less than this share
// of the capacity idle. Where the capacity is small, partial starts are better.
constexpr double kMaxIdleShare = 0.04;
// Placement stops after this many unplaced steps. Each of them checks all
// backend servers, and the most urgent ones are tried first.
constexpr uint32_t kMaxUnplacedSteps = 12;
// Interval of the check for executors that have timed out. The check visits all
// executors, and the loop of a small entry makes hundreds of turns a second.
constexpr duration kTimeoutCheckInterval = milliseconds(25);
// Time in which all executors connect, from the first one on. Their dials of an
// entry that has restarted are at most 100 ms apart, dials of any other entry
// 400 ms, and a handshake takes at most 350 ms.
constexpr duration kDiscoveryTime = milliseconds(1500);
// Minimum interval between placements of all waiting tasks. All executors
// together send thousands of reports a second; placing after each of them would
// use all the time of a small entry once a hundred tasks wait, and make every
// answer late.
constexpr duration kMinPlacementInterval = milliseconds(5);

} // namespace detail
} // namespace cactusmast

#endif // CACTUSMAST_JOB_COORDINATOR_LIMITS_H_
