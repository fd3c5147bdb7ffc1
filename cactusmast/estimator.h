// Learned run times.
//
// The expected run time of a task is the product of its profile's mean and
// its worker's slowness, both learned from results alone: declared sizes are
// often far off, and servers bought over years differ up to sixfold. Each
// observation updates both factors, the profile's mean with the run time
// divided by the slowness, and the slowness with the run time divided by the
// mean. Only the product is ever used, so a common drift of the two factors
// cancels. A worker that is unusual for one profile only is covered by a
// factor of the pair, which starts at the worker's own and counts for more as
// its observations grow.
//
// Means are cumulative at first and exponentially weighted afterwards, so
// that early results count at once and a machine that becomes slow is noticed
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

  // Relative to the mean of the profile; about 1 for an average worker.
  double Slowness(uint32_t aProfile, uint32_t aWorker) const;

  // Before any observation: kInitialRun.
  duration Expected(uint32_t aProfile, uint32_t aWorker) const;
  duration Mean(uint32_t aProfile) const;

  // For a worker whose row is given to another machine.
  void ForgetWorker(uint32_t aWorker);

  static constexpr duration kInitialRun = std::chrono::milliseconds(200);

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
