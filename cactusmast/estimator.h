// Estimates of run times from results.
//
// The expected run time of a task is the product of its profile's mean and its
// worker's slowness. Both are estimated from results alone, because declared
// sizes are often far off, and the speeds of servers bought over years differ
// up to sixfold. Each observation updates both factors: the profile's mean with
// the run time divided by the slowness, and the slowness with the run time
// divided by the mean. Only the product is ever used, so a common drift of the
// two factors cancels. A worker that is unusual for one profile only is covered
// by a factor of the pair, which starts at the worker's slowness and gains
// weight with its observations.
//
// Means are cumulative at first and exponentially weighted afterwards, so
// that early results count at once and a machine that becomes slow is detected
// within a few dozen tasks.

#ifndef CACTUSMAST_ESTIMATOR_H_
#define CACTUSMAST_ESTIMATOR_H_

#include <cstdint>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

class run_time_estimator
{
public:
  void Observe(uint32_t aProfile, uint32_t aWorker, duration aRunTime);

  // Run time on the worker over the mean of the profile: about 1 for an average
  // worker, above 1 for a slower one.
  double Slowness(uint32_t aProfile, uint32_t aWorker) const;

  // Run time on this worker, and on an average one. Before any observation of
  // the profile, the mean is kInitialRunTime.
  duration Expected(uint32_t aProfile, uint32_t aWorker) const;
  duration Mean(uint32_t aProfile) const;

  // To be called when the index aWorker is given to another machine.
  void ForgetWorker(uint32_t aWorker);

  static constexpr duration kInitialRunTime = std::chrono::milliseconds(200);

private:
  struct average
  {
    double mValue = 0;
    uint32_t mCount = 0;

    void Add(double aSample, uint32_t aWindow);
  };

  struct worker_factors
  {
    average mSlowness;
    std::vector<average> mByProfile;
  };

  std::vector<average> mProfiles;
  std::vector<worker_factors> mWorkers;
};

} // namespace cactusmast

#endif // CACTUSMAST_ESTIMATOR_H_
