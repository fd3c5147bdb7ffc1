// Limits of a task executor.

#ifndef CACTUSMAST_TASK_EXECUTOR_LIMITS_H_
#define CACTUSMAST_TASK_EXECUTOR_LIMITS_H_

#include "cactusmast/ids.h"

namespace cactusmast {
namespace detail {

using std::chrono::milliseconds;

// Reports go out at once with ends, else when something changed, but to each of
// n subscribed entries no more often than every n times this: 125 a second in
// all, however many entries there are. An entry knows what it ordered itself,
// and what others ordered reaches it with the ends of its own tasks as well;
// each report costs it processor time.
constexpr duration kReportSpacing = milliseconds(8);
// To an entry with open tasks here, so that it can tell silence from calm.
constexpr duration kKeepAliveReportInterval = milliseconds(150);
// To a subscribed entry without any, whose belief about room is to be renewed.
constexpr duration kIdleReportInterval = milliseconds(1000);
// An unanswered stop is repeated: it may have been lost, and its answer is
// what settles the attempt.
constexpr duration kStopRetryInterval = milliseconds(40);
// Between looks at a backend server that refuses connections.
constexpr duration kPollRetryInterval = milliseconds(50);
// A backend server that has answered no look for this long is taken to be gone
// until it does. Three or more looks were made in that time.
constexpr duration kServerTimeout = milliseconds(280);
// An order that is not answered is repeated under the same run number, which
// starts the task once at most whenever the first one is carried out.
constexpr uint32_t kMaxStartResends = 5;
// While tasks of unknown size are being stopped, which takes up to 50 ms.
constexpr duration kStrayPollInterval = milliseconds(10);
// A start is repeated this often for reasons that the next order can mend: a
// lease or run number that was too low.
constexpr uint32_t kMaxStartRetries = 4;
// A backend server that lives announces itself twice in this time.
constexpr duration kRestoredLifetime = milliseconds(3000);
// A greater token than ours was left by a predecessor whose clock was ahead.
constexpr uint64_t kFencingTokenStep = 60;
// After this many failures in a row, of whatever jobs, the backend server and
// not the tasks is taken to be at fault.
constexpr uint32_t kQuarantineAfterFailures = 3;
constexpr duration kQuarantineTime = milliseconds(1500);
// Of the mean run time: about the last ten tasks count.
constexpr double kMeanRunDecay = 0.9;
// Progress comes in whole percents: from here on the forecast is good to about
// a tenth.
constexpr duration kMinProgressTime = milliseconds(100);
constexpr uint32_t kMinProgressPercent = 5;
// A task that runs longer than forecast ends soon, or its forecast was wrong.
constexpr duration kOverdueEnd = milliseconds(10);
// An evacuation has to be in force within seconds. Entries hear from the store
// at least every 1.5 s; if none of those that order here has heard from it for
// this long, the executor asks by itself.
constexpr duration kEvacuationsStaleAfter = milliseconds(2500);
// Orders come far more often than this while there is work.
constexpr duration kRecentDispatch = milliseconds(1000);
// Run numbers are remembered for this many ended tasks; a caller sends its job
// again within seconds.
constexpr size_t kMaxRunNumbers = 4096;

} // namespace detail
} // namespace cactusmast

#endif // CACTUSMAST_TASK_EXECUTOR_LIMITS_H_
