// Metrics of an entry's work under overload: limits of routes and late jobs.

#ifndef SHELL_SHARE_METRICS_H_
#define SHELL_SHARE_METRICS_H_

#include "cactusmast/job_coordinator.h"
#include "shell/metrics_page.h"

namespace cactusmast {

// Adds the limit of each limited route, the tasks it holds, and the jobs that
// were refused or deferred.
void
AddShareMetrics(const job_coordinator& aCoordinator, metrics_page* aPage);

} // namespace cactusmast

#endif // SHELL_SHARE_METRICS_H_
