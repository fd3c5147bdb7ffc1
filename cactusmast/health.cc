#include "cactusmast/health.h"

#include <algorithm>
#include <cmath>

namespace cactusmast {
namespace {

// ln(200): about one healthy worker in 200 would be set aside by chance.
constexpr double kThreshold = 5.3;
constexpr double kBrokenFailureRate = 0.95;
constexpr double kMinFailureRate = 0.01;
constexpr double kFleetFailing = 0.5;
constexpr double kRateGain = 0.1;
constexpr uint32_t kMaxRamp = 1024;

} // namespace

void
worker_health::Reset(uint32_t aWorker)
{
  if (aWorker >= mRows.size()) {
    mRows.resize(aWorker + 1);
  }
  mRows[aWorker] = row();
  mRows[aWorker].mPresent = true;
}

void
worker_health::Remove(uint32_t aWorker)
{
  mRows[aWorker].mPresent = false;
}

double
worker_health::MedianFailureRate() const
{
  std::vector<double> rates;
  for (const row& entry : mRows) {
    if (entry.mPresent && entry.mResults > 0) {
      rates.push_back(entry.mFailureRate);
    }
  }
  if (rates.empty()) {
    return 0;
  }
  // The median, and of two middle values the lower: one broken worker out of
  // two is then told from the other.
  size_t middle = (rates.size() - 1) / 2;
  std::nth_element(rates.begin(), rates.begin() + middle, rates.end());
  return rates[middle];
}

void
worker_health::RecordSuccess(uint32_t aWorker, instant aStarted)
{
  row& entry = mRows[aWorker];
  entry.mResults++;
  entry.mFailureRate -= entry.mFailureRate * kRateGain;
  if (aStarted <= entry.mLastFailure) {
    // It started before the worker went wrong, and tells nothing of now.
    return;
  }
  if (entry.mEvidence > 0) {
    double usual = std::min(kBrokenFailureRate, MedianFailureRate());
    entry.mEvidence += std::log((1 - kBrokenFailureRate) / (1 - usual));
    entry.mEvidence = std::max(0.0, entry.mEvidence);
  }
  entry.mRamp = std::min(kMaxRamp, entry.mRamp * 2);
  entry.mQuarantine = {};
  entry.mQuarantinedUntil = {};
}

void
worker_health::RecordFailure(uint32_t aWorker, instant aNow)
{
  row& entry = mRows[aWorker];
  entry.mResults++;
  entry.mFailureRate += (1 - entry.mFailureRate) * kRateGain;
  entry.mLastFailure = aNow;
  double usual =
    std::clamp(MedianFailureRate(), kMinFailureRate, kBrokenFailureRate);
  entry.mEvidence += std::log(kBrokenFailureRate / usual);
  if (usual > kFleetFailing) {
    return;
  }
  entry.mRamp = 1;
  if (entry.mEvidence < kThreshold) {
    return;
  }
  entry.mEvidence = kThreshold;
  bool alreadyPaused = entry.mQuarantinedUntil > aNow;
  if (alreadyPaused) {
    return; // a task that was started before the pause
  }
  entry.mQuarantine =
    entry.mQuarantine.count() == 0
      ? mOptions.mFirstQuarantine
      : std::min(mOptions.mMaxQuarantine,
                 entry.mQuarantine * mOptions.mQuarantineFactor);
  entry.mQuarantinedUntil = aNow + entry.mQuarantine;
}

bool
worker_health::IsQuarantined(uint32_t aWorker, instant aNow) const
{
  return mOptions.mEnabled && mRows[aWorker].mQuarantinedUntil > aNow &&
         MedianFailureRate() <= kFleetFailing;
}

uint32_t
worker_health::Limit(uint32_t aWorker, uint32_t aSlots, instant aNow) const
{
  if (!mOptions.mEnabled) {
    return aSlots;
  }
  const row& entry = mRows[aWorker];
  if (entry.mQuarantinedUntil > aNow && IsQuarantined(aWorker, aNow)) {
    return 0;
  }
  return std::min(aSlots, entry.mRamp);
}

} // namespace cactusmast
