// Chooses backend servers for tasks from what an entry last heard of them.
//
// Callers gain from an answer within their objective, less from a later one,
// nothing after the deadline. The choice therefore minimizes the expected
// loss: the chance to end after the deadline or after the objective, given the
// wait, the estimate and the backend server's learned speed. Among choices of
// like risk the earlier end wins, with a price on the last room of the fast
// backend servers, which only they can give to long tasks.
//
// When waiting for a busy backend server promises less loss than any that has
// room, the task stays at the entry. Pure functions; nothing here keeps state.

#ifndef CACTUSMAST_PLACEMENT_H_
#define CACTUSMAST_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactusmast/ports.h"
#include "cactusmast/sized_task.h"

namespace cactusmast {

// An entry's belief about one backend server. mFree already lacks the tasks
// that this entry ordered and the last report does not account for.
struct server_view
{
  peer_id mPeer = 0;
  std::string mName;
  std::string mService;
  std::string mDataCenter;
  server_state mState = server_state::Absent;
  // False where the entry's belief about room is too old to place on.
  bool mPlaceable = true;
  resources mCapacity;
  resources mFree;
  int64_t mQueuedCpuMillis = 0;
  double mSlowness = 1.0;   // run time over estimate
  double mMeanRunMs = 0;    // of tasks that ended there lately
  double mStartDelayMs = 0; // from the report until another task would start
  double mAgeMs = 0;        // of the report
  // Ordered by this entry and not accounted for by the report.
  int64_t mUnreportedCpuMillis = 0;
  std::vector<std::string> mLabels;
  instant mReportedAt{};
};

enum class placement_aim : uint8_t
{
  InObjective,    // only where it probably ends within the objective
  BeforeDeadline, // anywhere
  Count
};

// Of estimates that callers declare.
constexpr double kDeclaredSigma = 0.35;
// Of those that a task's own progress gave.
constexpr double kProgressSigma = 0.1;

struct placement_request
{
  placement_aim mAim = placement_aim::BeforeDeadline;
  const job_step* mStep = nullptr;
  double mEstimateMs = 0; // on a backend server of ordinary speed
  // Deviation of the logarithm of the factor by which the estimate is off.
  double mEstimateSigma = 0;
  std::string mService;
  std::string mDataCenter;        // of the entry
  peer_id mAvoid = 0;             // where the last attempt failed; 0: none
  double mRemoteDataFactor = 1.0; // run time away from the data over near it
  double mDeadlineMs = 0;         // from now
  // The objective, from now, is mObjectiveBaseMs plus the run time on a
  // backend server of ordinary speed times mObjectiveStretch.
  double mObjectiveBaseMs = 0;
  double mObjectiveStretch = 1;
  // By SlownessOf: the same for many requests, so it is not worked out for
  // each.
  double mMedianSlowness = 1;
  bool mUseScarcityCost = true; // of the fast backend servers' last room
};

// Expected outcome of one placement.
struct placement_forecast
{
  double mWaitMs = 0;
  double mRunMs = 0;
  double mMissRisk = 0; // of ending after the deadline
  double mLateRisk = 0; // of ending after the objective
  double mCost = 0;     // in ms: time, and what risk and scarce room count for
};

struct placement_choice
{
  size_t mView = 0; // index
  placement_forecast mForecast;
};

enum class placement_verdict : uint8_t
{
  Place,
  Wait,        // a busy backend server is the better choice, or none meets
               // the aim
  Infeasible,  // no backend server can end it before the deadline
  NoCandidate, // none is usable at present
  Count
};

struct placement_decision
{
  placement_verdict mVerdict = placement_verdict::NoCandidate;
  placement_choice mChoice; // with Place and Wait
};

// Time until aSize fits beside what is there and queued.
double
ExpectedWaitMs(const server_view& aView, const resources& aSize);

placement_forecast
Forecast(const server_view& aView, const placement_request& aRequest);

// Of all ready backend servers that can be placed on; 1 when there are none.
struct slowness_range
{
  double mLeast = 1;
  double mMedian = 1;
};

slowness_range
SlownessOf(const std::vector<server_view>& aViews);

// False when even a backend server of aSlowness that started the task now would
// probably end it after the objective.
bool
CanMeetObjective(const placement_request& aRequest, double aSlowness);

placement_decision
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom);

// Processors of a service's ready backend servers that can be placed on, in
// thousandths of a core.
struct service_capacity
{
  int64_t mFreeMillis = 0;
  int64_t mAllMillis = 0;

  // 0 when there are none.
  double FreeShare() const
  {
    return mAllMillis == 0 ? 0 : double(mFreeMillis) / double(mAllMillis);
  }
};

service_capacity
CapacityOf(const std::vector<server_view>& aViews, const std::string& aService);

// Whether all backend servers of the service have reported, and none of them
// could hold aStep. What is not known yet counts as able to hold it: an entry
// that has just started must not give a job up for want of reports.
bool
IsUnsatisfiable(const std::vector<server_view>& aViews,
                const std::string& aService,
                const job_step& aStep);

} // namespace cactusmast

#endif // CACTUSMAST_PLACEMENT_H_
