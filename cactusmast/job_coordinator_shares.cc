// Limits of routes at this entry while capacity is scarce (route_shares).

#include "cactusmast/job_coordinator.h"

#include <algorithm>
#include <cmath>

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

// Limits are enforced only while less than kScarceFreeShare is free. If they
// added up to more than the rest, they would not keep any capacity free for
// short tasks.
constexpr double kSharedCapacity = 1 - kScarceFreeShare;
constexpr char kOverShare[] = "its route is over its share of the capacity";
// Changes of a limit below this share of it are not logged.
constexpr double kMinLoggedChange = 0.25;
constexpr duration kMinLogInterval = milliseconds(1000);

bool
IsLoggedChange(const std::map<std::string, double>& aBefore,
               const std::map<std::string, double>& aNow)
{
  if (aBefore.size() != aNow.size()) {
    return true;
  }
  for (const auto& [route, millis] : aNow) {
    auto before = aBefore.find(route);
    if (before == aBefore.end() ||
        std::abs(millis - before->second) > kMinLoggedChange * before->second) {
      return true;
    }
  }
  return false;
}

std::string
JoinLimits(const std::map<std::string, double>& aLimits)
{
  std::string joined;
  for (const auto& [route, millis] : aLimits) {
    joined += joined.empty() ? "" : " ";
    joined += route + "=" + std::to_string(int64_t(millis));
  }
  return joined;
}

} // namespace

bool
job_coordinator::SharesRoutes() const
{
  return mOverload.mRouteShares && mMechanisms.Has(mechanism::RouteShares);
}

void
job_coordinator::LearnRoutes(const std::shared_ptr<const route_table>& aTable)
{
  bool newer = mRoutes == nullptr ||
               aTable->Config().mVersion > mRoutes->Config().mVersion;
  if (!newer) {
    return;
  }
  mRoutes = aTable;
  mByRoute.clear();
  for (const route& one : mRoutes->Config().mRoutes) {
    mByRoute[one.mName] = &one;
  }
}

void
job_coordinator::AttachShare(job& aJob)
{
  if (!SharesRoutes() && !DefersLate()) {
    return;
  }
  LearnRoutes(aJob.mTable);
  route_share& share = mShares[aJob.mRoute->mName];
  share.mService = aJob.mRoute->mService;
  share.mPriority = aJob.mRoute->mPriority;
  for (const job_step& step : aJob.mSubmission.mSteps) {
    share.mTaskMillis = std::max(share.mTaskMillis, step.mSize.mCpuMillis);
  }
  aJob.mShare = &share;
}

job_coordinator::service_claims
job_coordinator::ClaimsByService(instant aNow) const
{
  service_claims claims;
  for (const std::string& name : mDemand.Routes(aNow)) {
    double millis = mDemand.Total(name, aNow).mOfferedMillis;
    auto configured = mByRoute.find(name);
    auto known = mShares.find(name);
    if (configured != mByRoute.end()) {
      const route& one = *configured->second;
      claims[one.mService].push_back({ name, one.mPriority, millis });
    } else if (known != mShares.end()) {
      // The route was removed from the configuration and has open jobs.
      const route_share& share = known->second;
      claims[share.mService].push_back({ name, share.mPriority, millis });
    }
  }
  return claims;
}

std::map<std::string, double>
job_coordinator::CapacityByService() const
{
  std::map<std::string, double> capacity;
  for (const server_view& view : mViews) {
    if (IsUsable(view)) {
      capacity[view.mService] += double(view.mCapacity.mCpuMillis);
    }
  }
  return capacity;
}

void
job_coordinator::UpdateOverload(instant aNow)
{
  bool isOff = !SharesRoutes() && !DefersLate();
  if (isOff || aNow < mNextOverloadAt) {
    return;
  }
  mNextOverloadAt = aNow + kShareInterval;
  UpdateOwnDemand(aNow);
  auto claims = ClaimsByService(aNow);
  std::map<std::string, double> capacity = CapacityByService();
  std::map<std::string, double> limits;
  // The guarantee is a share of the whole capacity.
  double guarantee = mOverload.mGuaranteedPercent / 100.0 / kSharedCapacity;
  for (const auto& [service, routes] : claims) {
    if (SharesRoutes()) {
      limits.merge(
        AllocateShares(kSharedCapacity * capacity[service], routes, guarantee));
    }
  }
  UpdateLimits(limits, aNow);
  LogShares(aNow);
  if (DefersLate()) {
    UpdateSpare(claims, capacity, aNow);
  }
}

void
job_coordinator::UpdateLimits(const std::map<std::string, double>& aLimits,
                              instant aNow)
{
  const demand_by_route& own = mDemand.Own();
  for (auto at = mShares.begin(); at != mShares.end();) {
    auto ownDemand = own.find(at->first);
    if (ownDemand == own.end()) {
      // The own demand has the route of each open job, so no job refers to this
      // share. Valid only right after UpdateOwnDemand.
      at = mShares.erase(at);
      continue;
    }
    route_share& share = at->second;
    smoothed_limit::input input;
    auto limit = aLimits.find(at->first);
    if (limit != aLimits.end()) {
      input.mLimitMillis = limit->second;
    }
    input.mOwnDemandMillis = ownDemand->second.mOfferedMillis;
    double total = mDemand.Total(at->first, aNow).mOfferedMillis;
    input.mOwnPart = total > 0 ? input.mOwnDemandMillis / total : 0;
    input.mUsedMillis = double(share.mUsedMillis);
    input.mTaskMillis = double(share.mTaskMillis);
    share.mLimit.Update(input);
    // A raised limit lets tasks be placed without any report.
    mCapacityChanged |= share.mHeldTasks > 0;
    ++at;
  }
}

void
job_coordinator::LogShares(instant aNow)
{
  std::map<std::string, double> limits;
  for (const auto& [route, share] : mShares) {
    if (share.mLimit.IsLimited()) {
      limits[route] = share.mLimit.Millis();
    }
  }
  if (aNow - mSharesLoggedAt < kMinLogInterval ||
      !IsLoggedChange(mLoggedLimits, limits)) {
    return;
  }
  mSharesLoggedAt = aNow;
  std::map<std::string, double> demand;
  for (const std::string& route : mDemand.Routes(aNow)) {
    demand[route] = mDemand.Total(route, aNow).mOfferedMillis;
  }
  mEvents.Emit(event_code::SharesChanged,
               { { "limit_millis", JoinLimits(limits) },
                 { "before", JoinLimits(mLoggedLimits) },
                 { "demand_all_millis", JoinLimits(demand) },
                 { "capacity_millis", JoinLimits(CapacityByService()) } });
  mLoggedLimits = std::move(limits);
}

void
job_coordinator::CountUsed(const job& aJob, uint32_t aStep, int aSign)
{
  if (aJob.mShare == nullptr) {
    return;
  }
  int64_t millis = aJob.mSubmission.mSteps[aStep].mSize.mCpuMillis * aSign;
  aJob.mShare->mUsedMillis += millis;
  if (!mPlacementCapacity.empty()) {
    auto found = mPlacementCapacity.find(aJob.mRoute->mService);
    if (found != mPlacementCapacity.end()) {
      found->second.mFreeMillis -= millis;
    }
  }
}

int64_t
job_coordinator::WorkMicros(const job& aJob, uint32_t aStep)
{
  const job_step& step = aJob.mSubmission.mSteps[aStep];
  return std::llround(double(step.mSize.mCpuMillis) *
                      ExpectedRunMs(aJob, step));
}

void
job_coordinator::CountQueued(const job& aJob, uint32_t aStep, int aSign)
{
  if (aJob.mShare != nullptr) {
    aJob.mShare->mQueuedCoreMicros += aSign * WorkMicros(aJob, aStep);
  }
}

bool
job_coordinator::HasLimits() const
{
  return std::any_of(mShares.begin(), mShares.end(), [](const auto& aShare) {
    return aShare.second.mLimit.IsLimited();
  });
}

std::vector<task_key>
job_coordinator::OrderByPriority(instant aNow) const
{
  std::vector<std::pair<uint32_t, task_key>> inTime;
  std::vector<task_key> order;
  for (const auto& [latest, priority, key] : mWaiting) {
    if (latest <= aNow) {
      order.push_back(key);
    } else {
      inTime.emplace_back(priority, key);
    }
  }
  std::stable_sort(
    inTime.begin(), inTime.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first < aOther.first;
    });
  for (const auto& [priority, key] : inTime) {
    order.push_back(key);
  }
  return order;
}

bool
job_coordinator::IsOverShare(const job& aJob)
{
  if (aJob.mShare == nullptr || !aJob.mShare->IsUsedUp()) {
    return false;
  }
  const std::string& service = aJob.mRoute->mService;
  auto found = mPlacementCapacity.find(service);
  if (found == mPlacementCapacity.end()) {
    found =
      mPlacementCapacity.emplace(service, CapacityOf(mViews, service)).first;
  }
  return found->second.FreeShare() < kScarceFreeShare;
}

int64_t
job_coordinator::WorkBeforeNew(const job& aJob) const
{
  int64_t work = aJob.mShare->mQueuedCoreMicros;
  for (const task_key& key : mOverShareTasks) {
    work -= WorkMicros(aJob, key.mStep);
  }
  return std::max<int64_t>(0, work);
}

void
job_coordinator::RefuseOverShare(bool aAllTried, instant aNow)
{
  if (aAllTried) {
    for (auto& [route, share] : mShares) {
      share.mHeldTasks = 0;
    }
  }
  std::map<const route_share*, int64_t> ahead; // work before the next task
  std::map<uint64_t, double> refused;          // the wait in ms, by job
  for (const task_key& key : mOverShareTasks) {
    auto found = mJobs.find(key.mJob);
    if (found == mJobs.end() || refused.count(key.mJob) > 0) {
      continue;
    }
    job& owner = found->second;
    auto [work, isFirst] = ahead.try_emplace(owner.mShare, 0);
    if (isFirst && !aAllTried) {
      work->second = WorkBeforeNew(owner);
    }
    // Core-microseconds over thousandths of a core are milliseconds. Tasks may
    // declare no processors, and the limit may then be 0.
    double waitMs =
      double(work->second) / std::max(1.0, owner.mShare->mLimit.Millis());
    instant turn = aNow + duration(int64_t(waitMs * 1000));
    bool tooLate =
      owner.mDeferred || std::get<0>(WaitingKey(owner, key)) <= turn;
    // Capacity may have become free since the task was skipped.
    if (tooLate && !IsReservedOrDispatched(owner) && IsOverShare(owner) &&
        !MayDefer(owner, aNow)) {
      refused[key.mJob] = waitMs;
      continue;
    }
    work->second += WorkMicros(owner, key.mStep);
    owner.mShare->mHeldTasks++;
  }
  for (const auto& [id, waitMs] : refused) {
    mCounters.mOverShare++;
    Finish(id,
           { job_ending::Refused,
             kOverShare,
             OverShareRetryAfter(waitMs, mRandom.NextUniform()) },
           aNow);
  }
}

} // namespace cactusmast
