// The load of this entry, which goes to the other entries with heartbeats, and
// the metrics of the demand at all of them.

#include "shell/coordinator_daemon.h"

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

constexpr double kMsInSecond = 1000;
// Bounds what an entry with very many routes sends and its receivers keep.
constexpr size_t kMaxLoadRoutes = 64;

} // namespace

bool
coordinator_daemon::SharesDemand() const
{
  bool used = mSettings.mOverload.mRouteShares ||
              mSettings.mOverload.mLateDeferral || mSettings.mJobForwarding;
  return used && mInstance.mMechanisms.Has(mechanism::SharedDemand);
}

wire::entry_load_msg
coordinator_daemon::MakeLoad(instant aNow)
{
  wire::entry_load_msg load;
  load.sequence = ++mLoadSequence;
  if (SharesDemand()) {
    load.demand = mCoordinator.EncodeOwnDemand(kMaxLoadRoutes, aNow);
  }
  load.processor_millis = mSettings.mProcessorMillis;
  FillCapacity(&load);
  return load;
}

bool
coordinator_daemon::IsLoadOverdue(instant aNow) const
{
  bool sends = SharesDemand() || IsForwardingOn();
  return sends && !mEntryPeers.empty() && mLoadPacing.IsOverdue(aNow);
}

std::optional<wire::entry_load_msg>
coordinator_daemon::NextLoad(instant aNow)
{
  bool sends = SharesDemand() || IsForwardingOn();
  if (!sends || mEntryPeers.empty() || !mLoadPacing.IsDue(aNow)) {
    return std::nullopt;
  }
  wire::entry_load_msg load = MakeLoad(aNow);
  mLoadPacing.OnSend(mEntryPeers.size(), aNow, &load);
  return load;
}

void
coordinator_daemon::OnEntryLoad(const entry_peer& aSender,
                                const wire::entry_load_msg& aLoad)
{
  if (SharesDemand()) {
    mCoordinator.OnEntryLoad(aSender.mName, aLoad, Now(), aSender.mIncarnation);
  }
}

load_totals
coordinator_daemon::MakeLoadTotals() const
{
  return { mCoordinator.Counters(),    mFront->ReceivedRequests(),
           mAdmission.Refused(),       mReports,
           mFront->OpenConnections(),  mCoordinator.OpenJobs(),
           mCoordinator.WaitingTasks() };
}

void
coordinator_daemon::AddDemandMetrics(metrics_page* aPage)
{
  if (!SharesDemand()) {
    return;
  }
  instant now = Now();
  mCoordinator.UpdateOwnDemand(now);
  const demand_board& demand = mCoordinator.Demand();
  std::map<std::string, double> own;
  std::map<std::string, double> all;
  for (const std::string& route : demand.Routes(now)) {
    auto found = demand.Own().find(route);
    own[route] = found == demand.Own().end() ? 0 : found->second.mOfferedMillis;
    all[route] = demand.Total(route, now).mOfferedMillis;
  }
  aPage->Gauges(kDemandMetric,
                "Thousandths of a core that callers of this entry ask for.",
                "route",
                own);
  aPage->Gauges(kTotalDemandMetric,
                "Thousandths of a core that callers of all entries ask for, as "
                "far as this entry knows.",
                "route",
                all);
  aPage->Gauge(kDemandAgeMetric,
               "Age of the oldest load of another entry that is in use.",
               double(ToMs(demand.OldestAge(now))) / kMsInSecond);
}

} // namespace cactusmast
