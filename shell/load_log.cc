#include "shell/load_log.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

constexpr duration kInterval = std::chrono::seconds(1);
constexpr double kPercent = 100;

event_field
Count(std::string_view aName, uint64_t aValue)
{
  return { aName, std::to_string(aValue) };
}

} // namespace

void
load_log::OnRequest(duration aWaited)
{
  mWaitedSum += aWaited;
  mWaitedMost = std::max(mWaitedMost, aWaited);
}

void
load_log::Tick(const load_totals& aTotals, instant aNow)
{
  if (aNow < mNextAt) {
    return;
  }
  mNextAt = aNow + kInterval;
  if (aTotals.mRequests != mLastRequests || aTotals.mOpenJobs > 0) {
    Emit(aTotals);
  }
  mLastJobs = aTotals.mJobs;
  mLastRequests = aTotals.mRequests;
  mLastNotAdmitted = aTotals.mNotAdmitted;
  mLastReports = aTotals.mReports;
  mWaitedSum = {};
  mWaitedMost = {};
}

void
load_log::Emit(const load_totals& aTotals)
{
  const coordinator_counters& jobs = aTotals.mJobs;
  uint64_t requests = aTotals.mRequests - mLastRequests;
  duration meanWait =
    requests == 0 ? duration{} : mWaitedSum / int64_t(requests);
  mEvents.Emit(
    event_code::EntryLoad,
    { Count("requests", requests),
      Count("not_admitted", aTotals.mNotAdmitted - mLastNotAdmitted),
      Count("accepted", jobs.mAccepted - mLastJobs.mAccepted),
      Count("in_objective", jobs.mInObjective - mLastJobs.mInObjective),
      Count("late", jobs.mLate - mLastJobs.mLate),
      Count("refused", jobs.mRefused - mLastJobs.mRefused),
      Count("expired", jobs.mExpired - mLastJobs.mExpired),
      Count("failed", jobs.mFailed - mLastJobs.mFailed),
      Count("given_up", jobs.mGivenUp - mLastJobs.mGivenUp),
      Count("dispatches", jobs.mDispatches - mLastJobs.mDispatches),
      Count("attempts", jobs.mAttempts - mLastJobs.mAttempts),
      Count("not_started", jobs.mNotStarted - mLastJobs.mNotStarted),
      Count("lost", jobs.mLost - mLastJobs.mLost),
      Count("reports", aTotals.mReports - mLastReports),
      Count("connections", aTotals.mConnections),
      Count("open_jobs", aTotals.mOpenJobs),
      Count("waiting_tasks", aTotals.mWaitingTasks),
      Count("busy_percent",
            uint64_t(std::lround(mLoop.BusyShare() * kPercent))),
      Count("longest_turn_ms", uint64_t(ToMs(mLoop.TakeLongestTurn()))),
      Count("request_wait_ms", uint64_t(ToMs(meanWait))),
      Count("longest_wait_ms", uint64_t(ToMs(mWaitedMost))) });
}

} // namespace cactusmast
