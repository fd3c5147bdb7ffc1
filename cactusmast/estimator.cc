#include "cactusmast/estimator.h"

#include <algorithm>

namespace cactusmast {
namespace {

constexpr uint32_t kProfileWindow = 256;
constexpr uint32_t kWorkerWindow = 64;
// An untried worker is taken to be somewhat better than average, so that it
// is tried soon; its warm-up bounds what a wrong guess can cost.
constexpr double kPriorSlowness = 0.8;
constexpr double kPriorWeight = 1;
// Observations after which a pair's own factor weighs as much as its
// worker's.
constexpr double kPairWeight = 16;

} // namespace

constexpr duration run_time_estimator::kInitialRun;

void
run_time_estimator::average::Add(double aSample, uint32_t aWindow)
{
  mCount = std::min(mCount + 1, aWindow);
  mValue += (aSample - mValue) / mCount;
}

void
run_time_estimator::Observe(uint32_t aProfile, uint32_t aWorker, duration aRun)
{
  if (aProfile >= mProfiles.size()) {
    mProfiles.resize(aProfile + 1);
  }
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  worker_row& worker = mWorkers[aWorker];
  if (aProfile >= worker.mByProfile.size()) {
    worker.mByProfile.resize(aProfile + 1);
  }
  double run = std::max<double>(1, double(aRun.count()));
  average& mean = mProfiles[aProfile];
  mean.Add(run / Slowness(aProfile, aWorker), kProfileWindow);
  double ratio = run / mean.mValue;
  worker.mSlowness.Add(ratio, kWorkerWindow);
  worker.mByProfile[aProfile].Add(ratio, kWorkerWindow);
}

double
run_time_estimator::Slowness(uint32_t aProfile, uint32_t aWorker) const
{
  if (aWorker >= mWorkers.size()) {
    return kPriorSlowness;
  }
  const worker_row& worker = mWorkers[aWorker];
  const average& own = worker.mSlowness;
  double base = (own.mValue * own.mCount + kPriorSlowness * kPriorWeight) /
                (own.mCount + kPriorWeight);
  if (aProfile >= worker.mByProfile.size()) {
    return base;
  }
  const average& pair = worker.mByProfile[aProfile];
  return (pair.mValue * pair.mCount + base * kPairWeight) /
         (pair.mCount + kPairWeight);
}

duration
run_time_estimator::Mean(uint32_t aProfile) const
{
  if (aProfile >= mProfiles.size() || mProfiles[aProfile].mCount == 0) {
    return kInitialRun;
  }
  return duration(int64_t(mProfiles[aProfile].mValue));
}

duration
run_time_estimator::Expected(uint32_t aProfile, uint32_t aWorker) const
{
  double mean = double(Mean(aProfile).count());
  return duration(int64_t(mean * Slowness(aProfile, aWorker)));
}

void
run_time_estimator::ForgetWorker(uint32_t aWorker)
{
  if (aWorker < mWorkers.size()) {
    mWorkers[aWorker] = worker_row();
  }
}

} // namespace cactusmast
