#include "cactusmast/route_shares.h"

#include <algorithm>
#include <limits>

namespace cactusmast {
namespace {

// Bounds of the time after which a caller may retry.
constexpr double kMinRetryAfterMs = 1000;
constexpr double kMaxRetryAfterMs = 5000;
constexpr double kRetryAfterJitter = 0.1;
// Differences below this are rounding errors.
constexpr double kToleranceMillis = 1e-3;

// The largest level such that the sum of min(demand, level) is at most
// aAvailable; infinite if it suffices for all.
double
FairLevel(std::vector<double> aDemands, double aAvailable)
{
  std::sort(aDemands.begin(), aDemands.end());
  double left = aAvailable;
  for (size_t i = 0; i < aDemands.size(); i++) {
    double level = left / double(aDemands.size() - i);
    if (aDemands[i] > level) {
      return std::max<double>(0, level);
    }
    left -= aDemands[i];
  }
  return std::numeric_limits<double>::infinity();
}

struct allocation
{
  const route_claim* mClaim = nullptr;
  double mMillis = 0;

  double Missing() const { return mClaim->mDemandMillis - mMillis; }
};

// Divides aAvailable among the routes from aBegin to aEnd, which have the same
// priority. Returns what is left.
double
Divide(std::vector<allocation>::iterator aBegin,
       std::vector<allocation>::iterator aEnd,
       double aAvailable)
{
  std::vector<double> demands;
  for (auto at = aBegin; at != aEnd; ++at) {
    aAvailable += at->mMillis; // the guarantee counts as part of the share
    demands.push_back(at->mClaim->mDemandMillis);
  }
  double level = FairLevel(demands, aAvailable);
  for (auto at = aBegin; at != aEnd; ++at) {
    at->mMillis = std::min(at->mClaim->mDemandMillis, level);
    aAvailable -= at->mMillis;
  }
  return std::max<double>(0, aAvailable);
}

} // namespace

std::map<std::string, double>
AllocateShares(double aCapacityMillis,
               const std::vector<route_claim>& aClaims,
               double aGuarantee)
{
  double total = 0;
  std::vector<double> demands;
  for (const route_claim& claim : aClaims) {
    total += claim.mDemandMillis;
    demands.push_back(claim.mDemandMillis);
  }
  // Without any capacity there is nothing to share: jobs wait for backend
  // servers, or are refused, as without limits.
  if (aCapacityMillis <= 0 || total < kMinLimitedDemand * aCapacityMillis) {
    return {};
  }
  // Guarantees of many routes may exceed the capacity together.
  double guaranteed =
    std::min(aGuarantee * aCapacityMillis, FairLevel(demands, aCapacityMillis));
  std::vector<allocation> shares;
  double left = aCapacityMillis;
  for (const route_claim& claim : aClaims) {
    shares.push_back({ &claim, std::min(claim.mDemandMillis, guaranteed) });
    left -= shares.back().mMillis;
  }
  std::stable_sort(shares.begin(),
                   shares.end(),
                   [](const allocation& aOne, const allocation& aOther) {
                     return aOne.mClaim->mPriority < aOther.mClaim->mPriority;
                   });
  for (auto begin = shares.begin(); begin != shares.end();) {
    auto end =
      std::find_if(begin, shares.end(), [begin](const allocation& aShare) {
        return aShare.mClaim->mPriority != begin->mClaim->mPriority;
      });
    left = Divide(begin, end, std::max<double>(0, left));
    begin = end;
  }
  std::map<std::string, double> limits;
  for (const allocation& share : shares) {
    if (share.Missing() > kToleranceMillis) {
      limits[share.mClaim->mRoute] = share.mMillis;
    }
  }
  return limits;
}

void
smoothed_limit::Update(const input& aInput)
{
  if (!mMillis.has_value()) {
    if (!aInput.mLimitMillis.has_value()) {
      return;
    }
    mMillis = std::max(aInput.mUsedMillis, aInput.mTaskMillis);
  }
  // Without a limit of all entries, the own demand is met. A target above it
  // lets the limit pass the demand, and be lifted, in a few steps.
  double target = aInput.mLimitMillis.has_value()
                    ? aInput.mOwnPart * *aInput.mLimitMillis
                    : 2 * aInput.mOwnDemandMillis;
  *mMillis += kLimitStep * (target - *mMillis);
  *mMillis = std::max(*mMillis, aInput.mTaskMillis);
  bool lifted =
    !aInput.mLimitMillis.has_value() && *mMillis >= aInput.mOwnDemandMillis;
  if (lifted) {
    mMillis.reset();
  }
}

duration
OverShareRetryAfter(double aWaitMs, double aUniform)
{
  double ms = std::clamp(aWaitMs, kMinRetryAfterMs, kMaxRetryAfterMs);
  ms *= 1 + kRetryAfterJitter * aUniform;
  return std::chrono::microseconds(int64_t(ms * 1000));
}

} // namespace cactusmast
