#include "shell/share_metrics.h"

namespace cactusmast {

void
AddShareMetrics(const job_coordinator& aCoordinator, metrics_page* aPage)
{
  std::map<std::string, double> limits;
  std::map<std::string, double> held;
  for (const auto& [route, share] : aCoordinator.Shares()) {
    if (share.mLimit.IsLimited()) {
      limits[route] = share.mLimit.Millis();
      held[route] = share.mHeldTasks;
    }
  }
  aPage->Gauges(kShareLimitMetric,
                "Processors that this entry may use for the route while "
                "capacity is scarce, in thousandths of a core.",
                "route",
                limits);
  aPage->Gauges(kShareHeldMetric,
                "Tasks that wait because their route has used up its limit.",
                "route",
                held);
  const coordinator_counters& counts = aCoordinator.Counters();
  aPage->Counter("cactusmast_jobs_over_share",
                 "Jobs refused because of the limit of their route.",
                 double(counts.mOverShare));
  aPage->Counter("cactusmast_jobs_deferred",
                 "Late jobs that waited for spare capacity.",
                 double(counts.mDeferred));
  aPage->Counter("cactusmast_jobs_deferred_completed",
                 "Late jobs that waited for spare capacity and were completed.",
                 double(counts.mDeferredCompleted));
}

} // namespace cactusmast
