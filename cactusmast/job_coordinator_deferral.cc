// Late jobs that wait for spare capacity (late_deferral).

#include "cactusmast/job_coordinator.h"

#include <algorithm>

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

bool
job_coordinator::DefersLate() const
{
  return mOverload.mLateDeferral && mMechanisms.Has(mechanism::LateDeferral);
}

void
job_coordinator::UpdateSpare(const service_claims& aClaims,
                             const std::map<std::string, double>& aCapacity,
                             instant aNow)
{
  for (auto at = mSpare.begin(); at != mSpare.end();) {
    at = aClaims.count(at->first) > 0 ? std::next(at) : mSpare.erase(at);
  }
  for (const auto& [service, claims] : aClaims) {
    double own = 0;
    double total = 0;
    for (const route_claim& claim : claims) {
      total += claim.mDemandMillis;
      auto found = mDemand.Own().find(claim.mRoute);
      own += found == mDemand.Own().end() ? 0 : found->second.mOfferedMillis;
    }
    auto capacity = aCapacity.find(service);
    spare_capacity& spare = mSpare[service];
    spare.mTrend.Add(total, aNow);
    spare.mForecast.mCapacityMillis =
      capacity == aCapacity.end() ? 0 : capacity->second;
    spare.mForecast.mDemandMillis = total;
    spare.mForecast.mTrendMillisPerSecond = spare.mTrend.MillisPerSecond();
    spare.mForecast.mOwnPart = total > 0 ? own / total : 0;
    // Deferred jobs are looked at even if no executor reports.
    mCapacityChanged |= spare.mDeferredCoreMs > 0;
  }
}

bool
job_coordinator::MayDefer(job& aJob, instant aNow)
{
  if (!DefersLate()) {
    return false;
  }
  auto [decision, isNew] = mDeferrals.try_emplace(aJob.mId, false);
  if (isNew) {
    decision->second = DecideDeferral(aJob, aNow);
  }
  return decision->second;
}

bool
job_coordinator::DecideDeferral(job& aJob, instant aNow)
{
  auto found = mSpare.find(aJob.mRoute->mService);
  if (found == mSpare.end()) {
    return false;
  }
  spare_capacity& spare = found->second;
  double longestMs = 0;
  for (const job_step& step : aJob.mSubmission.mSteps) {
    longestMs = std::max(longestMs, ExpectedRunMs(aJob, step));
  }
  instant until = std::min(aJob.mUsefulUntil, aJob.mDeadline);
  double horizonMs = MsBetween(aNow, until) - longestMs * mSlowness.mMedian;
  double workCoreMs = WorkOf(aJob);
  if (!WaitsForSpare(
        spare.mForecast, horizonMs, spare.mDeferredCoreMs, workCoreMs)) {
    return false;
  }
  if (!aJob.mDeferred) {
    aJob.mDeferred = true;
    mCounters.mDeferred++;
    mEvents.Emit(
      event_code::JobDeferred,
      { { "job", FormatJobId(aJob.mId) },
        { "route", aJob.mRoute->mName },
        { "start_within_ms", std::to_string(int64_t(horizonMs)) },
        { "core_ms", std::to_string(int64_t(workCoreMs)) },
        { "deferred_core_ms", std::to_string(int64_t(spare.mDeferredCoreMs)) },
        { "spare_core_ms",
          std::to_string(int64_t(SpareCoreMs(spare.mForecast, horizonMs))) } });
  }
  spare.mDeferredCoreMs += workCoreMs;
  return true;
}

std::vector<task_key>
job_coordinator::PlaceableDeferred(const std::vector<task_key>& aDeferred,
                                   instant aNow) const
{
  std::set<std::string_view> services;
  for (const task_key& key : aDeferred) {
    services.insert(mJobs.at(key.mJob).mRoute->mService);
  }
  // Tasks that can still meet their objective are last in mWaiting.
  for (auto at = mWaiting.rbegin(); at != mWaiting.rend(); ++at) {
    if (services.empty() || std::get<0>(*at) <= aNow) {
      break;
    }
    const job& owner = mJobs.at(std::get<2>(*at).mJob);
    if (!owner.mDeferred) {
      services.erase(owner.mRoute->mService);
    }
  }
  std::vector<task_key> placeable;
  for (const task_key& key : aDeferred) {
    if (services.count(mJobs.at(key.mJob).mRoute->mService) > 0) {
      placeable.push_back(key);
    }
  }
  return placeable;
}

} // namespace cactusmast
