// Load on a sized_world for tests and measurements: jobs of different kinds at
// random times, some of many short tasks (urgent), few of long tasks (long),
// most of two tasks of medium length (middle). One entry in ten gets five times
// as many callers as the others.

#ifndef CACTUSMAST_TESTING_SIZED_LOAD_H_
#define CACTUSMAST_TESTING_SIZED_LOAD_H_

#include <map>
#include <optional>
#include <vector>

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {

// Also the indexes of the routes of the kinds.
enum class load_kind : uint8_t
{
  Urgent,
  Long,
  Middle,
  Count
};

struct load_counts
{
  size_t mJobs = 0;
  size_t mInTime = 0; // completed within the objective of the world's routes
  size_t mLate = 0;   // completed later
  size_t mRefused = 0;
};

using counts_by_kind = std::map<load_kind, load_counts>;

struct load_result : load_counts
{
  counts_by_kind mByKind;
  std::vector<counts_by_kind> mByEntry; // to which a job was first submitted
  // Work time of all tasks of the jobs in mInTime, without SetLongTasks.
  double mInTimeWorkS = 0;
  // Of completed jobs: response time over the run time of the longest task.
  std::vector<double> mRatios;
};

// Additional jobs of one kind.
struct load_surge
{
  load_kind mKind = load_kind::Urgent;
  double mFactor = 1; // jobs of the kind, over those without the surge
  duration mFrom{};
  duration mFor{};
  std::optional<size_t> mEntry; // gets all additional jobs
};

struct load_plan
{
  // Work of the jobs over the capacity of the backend servers at their speeds,
  // without the surge.
  double mLoad = 1;
  duration mSpan{};
  // Standard deviation of the logarithm of declared over actual run times.
  double mDeclaredSigma = 0;
  std::optional<load_surge> mSurge;
  // The load oscillates by this share of its mean, first above it.
  double mSwing = 0;
  duration mPeriod = std::chrono::seconds(1);
  // How long the world runs on for the jobs that are open at the end.
  duration mCompletionTime = std::chrono::seconds(5);
};

// Gives the world a route for each kind: "urgent" with priority 0, "middle"
// with 1 and "long" with 2. Submits the jobs of the plan to them, and runs the
// world until mCompletionTime after the last one.
load_result
PlayLoad(sized_world* aWorld, const load_plan& aPlan, uint32_t aSeed);

// The same, but submits all jobs to the first route of the world as it is.
load_result
PlayLoad(sized_world* aWorld,
         double aLoad,
         duration aSpan,
         uint32_t aSeed,
         double aDeclaredSigma = 0);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SIZED_LOAD_H_
