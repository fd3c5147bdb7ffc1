// Reports to entries: what they say and when they are sent.

#include "cactusmast/task_executor.h"

#include <algorithm>
#include <optional>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

wire::server_report_msg
task_executor::DescribeServer(instant aNow) const
{
  wire::server_report_msg report;
  report.state = uint8_t(State(aNow));
  report.service = mService;
  report.cpu_millis = uint32_t(mServer.mCapacity.mCpuMillis);
  report.memory_mb = uint32_t(mServer.mCapacity.mMemoryMb);
  report.gpus = uint32_t(mServer.mCapacity.mAccelerators);
  report.free_cpu_millis = NeedsLeaseExpiry() ? 0 : int32_t(mFree.mCpuMillis);
  report.free_memory_mb = int32_t(mFree.mMemoryMb);
  report.free_gpus = int32_t(mFree.mAccelerators);
  uint64_t queued = 0;
  for (const auto& [urgent, key] : mQueue) {
    queued += uint64_t(mTasks.at(key).mSize.mCpuMillis);
  }
  report.queued_cpu_millis = uint32_t(queued);
  report.running = uint32_t(Running());
  report.room_in_ms =
    uint32_t(ToMs(ExpectedStart(MeanTaskSize(), aNow) - aNow));
  report.mean_run_ms = uint32_t(mMeanRunMs);
  report.slowness_permille = uint32_t(Slowness() * 1000);
  report.labels = mServer.mLabels;
  report.clock_ms = uint64_t(ToMs(aNow));
  report.server_start_ms = mServer.mStartTimeMs;
  return report;
}

size_t
task_executor::SubscribedEntries() const
{
  return size_t(
    std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aEntry) {
      return aEntry.second.mSubscribed;
    }));
}

duration
task_executor::ReportSpacing() const
{
  if (!mMechanisms.Has(mechanism::ReportSpacing)) {
    return {};
  }
  return std::min(kKeepAliveReportInterval,
                  kReportSpacing * int64_t(SubscribedEntries()));
}

bool
task_executor::IsReportDue(const entry_link& aEntry,
                           server_state aState,
                           duration aSpacing,
                           instant aNow) const
{
  bool urgent = !aEntry.mEnds.empty() || !aEntry.mTooSlow.empty() ||
                aEntry.mReportRequested || aEntry.mReportedState != aState;
  if (urgent) {
    return true;
  }
  duration since = aNow - aEntry.mReportedAt;
  if (aEntry.mOpenTasks > 0 && since >= kKeepAliveReportInterval) {
    return true;
  }
  duration interval = aEntry.mChanged ? aSpacing : kIdleReportInterval;
  return aEntry.mSubscribed && since >= interval;
}

void
task_executor::SendReports(instant aNow)
{
  std::optional<wire::server_report_msg> report; // the same for all entries
  server_state state = State(aNow);
  duration spacing = ReportSpacing();
  for (auto& [peer, entry] : mEntries) {
    if (!IsReportDue(entry, state, spacing, aNow)) {
      continue;
    }
    if (!report) {
      report = DescribeServer(aNow);
    }
    report->ends = std::move(entry.mEnds);
    entry.mEnds.clear();
    report->too_slow = std::move(entry.mTooSlow);
    entry.mTooSlow.clear();
    report->last_offer = entry.mLastDispatchNumber;
    entry.mReportedAt = aNow;
    entry.mChanged = false;
    entry.mReportRequested = false;
    entry.mReportedState = state;
    mLinks.Report(peer, *report);
  }
}

} // namespace cactusmast
