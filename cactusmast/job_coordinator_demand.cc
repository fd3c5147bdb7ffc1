// What callers ask of this entry and of the others (route_demand).

#include "cactusmast/job_coordinator.h"

#include <algorithm>

#include "cactusmast/time_spans.h"

namespace cactusmast {

double
job_coordinator::WorkOf(const job& aJob) const
{
  // Nothing runs on after the caller has stopped waiting, whatever it declared.
  double maxRunMs = MsBetween(aJob.mAcceptedAt, aJob.mDeadline);
  double coreMs = 0;
  for (const job_step& step : aJob.mSubmission.mSteps) {
    coreMs += step.mCount * double(step.mSize.mCpuMillis) / 1000 *
              std::min(ExpectedRunMs(aJob, step), maxRunMs);
  }
  return coreMs * mSlowness.mMedian;
}

void
job_coordinator::MeasureDemand(const job& aJob, instant aNow)
{
  if (mMechanisms.Has(mechanism::SharedDemand)) {
    mDemandMeter.OnSubmitted(aJob.mRoute->mName, WorkOf(aJob), aNow);
  }
}

void
job_coordinator::UpdateOwnDemand(instant aNow)
{
  demand_by_route own;
  for (const std::string& route : mDemandMeter.Routes(aNow)) {
    own[route].mOfferedMillis = mDemandMeter.OfferedMillis(route, aNow);
  }
  for (const auto& [id, open] : mJobs) {
    route_demand& demand = own[open.mRoute->mName];
    for (size_t s = 0; s < open.mTasks.size(); s++) {
      const job_step& step = open.mSubmission.mSteps[s];
      auto cpuMillis = double(step.mSize.mCpuMillis);
      for (const task& one : open.mTasks[s]) {
        if (one.mState == task_state::Placed) {
          demand.mRunningMillis += cpuMillis;
        } else if (one.mState == task_state::Waiting) {
          demand.mWaitingCoreMs += cpuMillis / 1000 * ExpectedRunMs(open, step);
        }
      }
    }
  }
  mDemand.SetOwn(std::move(own));
  mDemand.RemoveExpired(aNow);
}

void
job_coordinator::OnEntryLoad(const std::string& aEntry,
                             const wire::entry_load_msg& aLoad,
                             instant aNow,
                             uint64_t aIncarnation)
{
  mDemand.OnEntry(aEntry, aLoad, aNow, aIncarnation);
}

std::vector<std::unique_ptr<wire::route_demand_msg>>
job_coordinator::EncodeOwnDemand(size_t aMaxRoutes, instant aNow)
{
  UpdateOwnDemand(aNow);
  return EncodeDemand(mDemand.Own(), aMaxRoutes);
}

} // namespace cactusmast
