// Load on a sized_world for tests and measurements: jobs of different kinds at
// random times, some of many short tasks, few of long tasks, most of two tasks
// of medium length. One entry in ten gets five times as many callers as the
// others.

#ifndef CACTUSMAST_TESTING_SIZED_LOAD_H_
#define CACTUSMAST_TESTING_SIZED_LOAD_H_

#include <vector>

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {

struct load_result
{
  size_t mJobs = 0;
  size_t mInTime = 0; // completed within the objective of the world's route
  size_t mLate = 0;   // completed later
  size_t mRefused = 0;
  // Work time of all tasks of the jobs in mInTime, without SetLongTasks.
  double mInTimeWorkS = 0;
  // Of completed jobs: response time over the run time of the longest task.
  std::vector<double> mRatios;
};

// Submits jobs for aSpan whose work is aLoad times the capacity of the backend
// servers at their speeds, and runs the world for some more seconds so that
// open jobs can end. aDeclaredSigma: standard deviation of the logarithm of
// declared over actual run times.
load_result
PlayLoad(sized_world* aWorld,
         double aLoad,
         duration aSpan,
         uint32_t aSeed,
         double aDeclaredSigma = 0);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SIZED_LOAD_H_
