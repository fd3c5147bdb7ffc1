#include "cactusmast/estimator.h"

#include <algorithm>

namespace cactusmast {
namespace {

// Number of observations after which means become exponentially weighted.
constexpr uint32_t kProfileWindow = 256;
constexpr uint32_t kWorkerWindow = 64;
// A worker without results is assumed to be somewhat faster than average, so
// that it is tried soon. The limit of tasks on a new worker bounds the cost if
// the assumption is wrong.
constexpr double kPriorSlowness = 0.8;
constexpr double kPriorWeight = 1;
// Number of observations after which the factor of a pair of profile and worker
// weighs as much as the worker's slowness.
constexpr double kPairWeight = 16;

} // namespace

constexpr duration run_time_estimator::kInitialRunTime;

void
run_time_estimator::average::Add(double aSample, uint32_t aWindow)
{
  mCount = std::min(mCount + 1, aWindow);
  mValue += (aSample - mValue) / mCount;
}

void
run_time_estimator::Observe(uint32_t aProfile,
                            uint32_t aWorker,
                            duration aRunTime)
{
  if (aProfile >= mProfiles.size()) {
    mProfiles.resize(aProfile + 1);
  }
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  worker_factors& worker = mWorkers[aWorker];
  if (aProfile >= worker.mByProfile.size()) {
    worker.mByProfile.resize(aProfile + 1);
  }
  double runUs = std::max<double>(1, double(aRunTime.count()));
  average& profileMean = mProfiles[aProfile];
  profileMean.Add(runUs / Slowness(aProfile, aWorker), kProfileWindow);
  double ratio = runUs / profileMean.mValue;
  worker.mSlowness.Add(ratio, kWorkerWindow);
  worker.mByProfile[aProfile].Add(ratio, kWorkerWindow);
}

double
run_time_estimator::Slowness(uint32_t aProfile, uint32_t aWorker) const
{
  if (aWorker >= mWorkers.size()) {
    return kPriorSlowness;
  }
  const worker_factors& worker = mWorkers[aWorker];
  const average& workerAverage = worker.mSlowness;
  double workerSlowness = (workerAverage.mValue * workerAverage.mCount +
                           kPriorSlowness * kPriorWeight) /
                          (workerAverage.mCount + kPriorWeight);
  if (aProfile >= worker.mByProfile.size()) {
    return workerSlowness;
  }
  const average& pair = worker.mByProfile[aProfile];
  return (pair.mValue * pair.mCount + workerSlowness * kPairWeight) /
         (pair.mCount + kPairWeight);
}

duration
run_time_estimator::Mean(uint32_t aProfile) const
{
  if (aProfile >= mProfiles.size() || mProfiles[aProfile].mCount == 0) {
    return kInitialRunTime;
  }
  return duration(int64_t(mProfiles[aProfile].mValue));
}

duration
run_time_estimator::Expected(uint32_t aProfile, uint32_t aWorker) const
{
  double profileMean = double(Mean(aProfile).count());
  return duration(int64_t(profileMean * Slowness(aProfile, aWorker)));
}

void
run_time_estimator::ForgetWorker(uint32_t aWorker)
{
  if (aWorker < mWorkers.size()) {
    mWorkers[aWorker] = worker_factors();
  }
}

} // namespace cactusmast
