#include "cactusmast/health.h"

#include <algorithm>
#include <cmath>

namespace cactusmast {
namespace {

// ln(200): about one healthy worker in 200 would be quarantined by chance.
constexpr double kQuarantineLogRatio = 5.3;
constexpr double kBrokenFailureRate = 0.95;
constexpr double kMinFailureRate = 0.01;
constexpr double kFleetFailureRate = 0.5;
constexpr double kFailureRateGain = 0.1;
constexpr uint32_t kMaxTaskLimit = 1024;

} // namespace

void
worker_health::Reset(uint32_t aWorker)
{
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  mWorkers[aWorker] = worker_record();
  mWorkers[aWorker].mPresent = true;
}

void
worker_health::Remove(uint32_t aWorker)
{
  mWorkers[aWorker].mPresent = false;
}

double
worker_health::MedianFailureRate() const
{
  std::vector<double> rates;
  for (const worker_record& worker : mWorkers) {
    if (worker.mPresent && worker.mResults > 0) {
      rates.push_back(worker.mFailureRate);
    }
  }
  if (rates.empty()) {
    return 0;
  }
  // The lower median, so that one broken worker out of two is distinguished
  // from the other.
  size_t middle = (rates.size() - 1) / 2;
  std::nth_element(rates.begin(), rates.begin() + middle, rates.end());
  return rates[middle];
}

void
worker_health::RecordSuccess(uint32_t aWorker, instant aStarted)
{
  worker_record& worker = mWorkers[aWorker];
  worker.mResults++;
  worker.mFailureRate -= worker.mFailureRate * kFailureRateGain;
  if (aStarted <= worker.mLastFailure) {
    // The task started before the last failure, so its success says nothing
    // about the present state of the worker.
    return;
  }
  if (worker.mLogLikelihoodRatio > 0) {
    double usual = std::min(kBrokenFailureRate, MedianFailureRate());
    worker.mLogLikelihoodRatio +=
      std::log((1 - kBrokenFailureRate) / (1 - usual));
    worker.mLogLikelihoodRatio = std::max(0.0, worker.mLogLikelihoodRatio);
  }
  worker.mTaskLimit = std::min(kMaxTaskLimit, worker.mTaskLimit * 2);
  worker.mQuarantine = {};
  worker.mQuarantinedUntil = {};
}

void
worker_health::RecordFailure(uint32_t aWorker, instant aNow)
{
  worker_record& worker = mWorkers[aWorker];
  worker.mResults++;
  worker.mFailureRate += (1 - worker.mFailureRate) * kFailureRateGain;
  worker.mLastFailure = aNow;
  double usual =
    std::clamp(MedianFailureRate(), kMinFailureRate, kBrokenFailureRate);
  worker.mLogLikelihoodRatio += std::log(kBrokenFailureRate / usual);
  if (usual > kFleetFailureRate) {
    return;
  }
  worker.mTaskLimit = 1;
  if (worker.mLogLikelihoodRatio < kQuarantineLogRatio) {
    return;
  }
  worker.mLogLikelihoodRatio = kQuarantineLogRatio;
  bool alreadyQuarantined = worker.mQuarantinedUntil > aNow;
  if (alreadyQuarantined) {
    return; // the task was started before the quarantine
  }
  worker.mQuarantine =
    worker.mQuarantine.count() == 0
      ? mOptions.mFirstQuarantine
      : std::min(mOptions.mMaxQuarantine,
                 worker.mQuarantine * mOptions.mQuarantineFactor);
  worker.mQuarantinedUntil = aNow + worker.mQuarantine;
}

bool
worker_health::IsQuarantined(uint32_t aWorker, instant aNow) const
{
  return mOptions.mEnabled && mWorkers[aWorker].mQuarantinedUntil > aNow &&
         MedianFailureRate() <= kFleetFailureRate;
}

uint32_t
worker_health::Limit(uint32_t aWorker, uint32_t aSlots, instant aNow) const
{
  if (!mOptions.mEnabled) {
    return aSlots;
  }
  const worker_record& worker = mWorkers[aWorker];
  if (worker.mQuarantinedUntil > aNow && IsQuarantined(aWorker, aNow)) {
    return 0;
  }
  return std::min(aSlots, worker.mTaskLimit);
}

} // namespace cactusmast
