// Limits of a task executor.

#ifndef CACTUSMAST_TASK_EXECUTOR_LIMITS_H_
#define CACTUSMAST_TASK_EXECUTOR_LIMITS_H_

#include "cactusmast/ids.h"

namespace cactusmast {
namespace detail {

using std::chrono::milliseconds;

// Reports with ends are sent at once. Other changes are reported to each of n
// subscribed entries at most once in n times this interval: 125 reports a
// second in all, for up to 18 entries; with more, one every 150 ms to each. An
// entry knows what it dispatched itself and learns what others dispatched with
// the ends of its own tasks, and each report costs it processor time.
constexpr duration kReportSpacing = milliseconds(8);
// Interval of reports to an entry with open tasks here, which lets it tell an
// executor without changes from one that has failed.
constexpr duration kKeepAliveReportInterval = milliseconds(150);
// Interval of reports to a subscribed entry without open tasks, which keep its
// view of the free capacity up to date.
constexpr duration kIdleReportInterval = milliseconds(1000);
// A stop request without a reply is sent again: it may have been lost, and its
// reply is what resolves the attempt.
constexpr duration kStopRetryInterval = milliseconds(40);
// Until the next poll after one that failed or was refused.
constexpr duration kPollRetryInterval = milliseconds(50);
// A backend server that has replied to no poll for this long counts as absent
// until it does. At least three polls are sent in that time.
constexpr duration kServerTimeout = milliseconds(280);
// A start request without a reply is sent again with the same run number, so
// that the task is started at most once, whenever the first request is carried
// out.
constexpr uint32_t kMaxStartResends = 5;
// From the end of a job at its entry until the lease is no longer extended if
// the stop of one of its tasks is not confirmed. The lease then expires before
// its caller may submit the job again, even if the stop is read kEntryTimeout
// late. Three stop requests may get no reply.
constexpr duration kEndedJobStopTime = milliseconds(150);
// Between polls while stray tasks are being stopped, which takes up to 50 ms.
constexpr duration kStrayPollInterval = milliseconds(10);
// Maximum number of new starts of a task after refusals that the next request
// can avoid: a lease, run number or fencing token that was too low.
constexpr uint32_t kMaxStartRetries = 4;
// How long a restored announcement is used. A running backend server announces
// itself twice in this time.
constexpr duration kRestoredLifetime = milliseconds(3000);
// Fencing tokens are start times of executors in milliseconds since this one,
// 2025-01-01.
constexpr int64_t kFencingTokenEpochMs = 1735689600000;
// By how much the token is raised when it is refused, in ms: an earlier
// executor whose clock was ahead has used a greater one.
constexpr uint64_t kFencingTokenStep = 60000;
// After this many consecutive failures, of any jobs, the backend server and not
// the tasks is taken to be at fault, and it is quarantined.
constexpr uint32_t kQuarantineAfterFailures = 3;
constexpr duration kQuarantineTime = milliseconds(1500);
// Weight that the mean run time keeps at each task that ends: about the last
// ten tasks count.
constexpr double kMeanRunDecay = 0.9;
// Progress is reported in whole percents. From this run time and progress on,
// an estimate from progress is accurate to about a tenth.
constexpr duration kMinProgressTime = milliseconds(100);
constexpr uint32_t kMinProgressPercent = 5;
// Polls of a busy backend server are answered within 100 ms. After a longer
// time without a reply, the progress of its tasks is watched anew.
constexpr duration kMaxReplyGap = milliseconds(200);
// Minimum of the expected remaining run time, and margin after an expected end
// for the reply to a poll. A task that runs longer than its forecast ends soon,
// or the forecast was wrong.
constexpr duration kMinRemainingRun = milliseconds(10);
// An evacuation must take effect within seconds. Entries get an update from the
// store at least every 1.5 s. If none of those that dispatch here has had one
// for this long, the executor reads the store itself.
constexpr duration kEvacuationsStaleAfter = milliseconds(2500);
// How long entries count as dispatching here after a dispatch. While there is
// work, dispatches come far more often.
constexpr duration kRecentDispatch = milliseconds(1000);
// Last run numbers are kept for this many ended tasks. A caller resubmits its
// job within seconds.
constexpr size_t kMaxRunNumbers = 4096;

} // namespace detail
} // namespace cactusmast

#endif // CACTUSMAST_TASK_EXECUTOR_LIMITS_H_
