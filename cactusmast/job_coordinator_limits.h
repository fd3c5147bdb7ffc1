// Limits of a job coordinator.

#ifndef CACTUSMAST_JOB_COORDINATOR_LIMITS_H_
#define CACTUSMAST_JOB_COORDINATOR_LIMITS_H_

#include "cactusmast/ids.h"

namespace cactusmast {
namespace detail {

using std::chrono::milliseconds;

// An order that would not start by then comes back, so that the task can go
// where there is room by now. Somewhat over the longest wait that is planned.
constexpr uint32_t kStartWithinMs = 40;
// The answer must be back before the caller stops waiting.
constexpr duration kAnswerMargin = milliseconds(12);
// A caller that was refused for want of room is asked to come back after about
// the length of the longest tasks in the queue.
constexpr duration kRetryAfter = milliseconds(1000);

// Operators evacuate a data centre for minutes. Until they take it back nobody
// can say when that will be.
constexpr duration kRetryAfterEvacuation = milliseconds(5000);

// An answer is worth nothing to its caller after this many times the
// objective: no task is started that could only end later.
constexpr int kUsefulObjectives = 3;
// Run times are forecast within these, in ms, whatever callers say.
constexpr double kMinRunMs = 1;
constexpr double kMaxRunMs = 24 * 3600 * 1000.0;
// A task that runs too slowly is started anew elsewhere if it would miss its
// deadline there with less than this chance.
constexpr double kMaxMoveRisk = 0.4;
// Progress is known to about a tenth.
constexpr double kCertainMissFactor = 1.2;
// With less than this share of all room free, a job that can only be late any
// more and of which nothing was started is refused: it would take the room that
// the next ones need to be in time, so that in the end all are late.
constexpr double kScarceFreeShare = 0.1;
// A job waits for room for all its tasks only if less than this share of all
// room is empty for that: of little room, single places are worth more.
constexpr double kMaxIdleShare = 0.04;
// Steps that find no place are tried this many at a time: each costs a look at
// all backend servers, and what is tried first is most urgent.
constexpr uint32_t kMaxUnplacedSteps = 12;
// Between looks for executors that have fallen silent, which go through all of
// them: a small entry takes hundreds of turns a second.
constexpr duration kSilenceCheckInterval = milliseconds(25);
// What waits is tried anew this often at most. Executors report thousands of
// times a second in all; placing after each report would take a small entry all
// its time once a hundred tasks wait, and make every answer late.
constexpr duration kPlaceInterval = milliseconds(5);

} // namespace detail
} // namespace cactusmast

#endif // CACTUSMAST_JOB_COORDINATOR_LIMITS_H_
