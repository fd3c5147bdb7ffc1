// Chooses backend servers for tasks by the latest reports of the executors.
//
// Callers gain most from an answer within their objective, less from a later
// one, and nothing from one after the deadline. The choice therefore minimizes
// the expected loss: the risk of ending after the deadline or the objective,
// given the wait, the estimate and the estimated speed of the backend server.
// Among choices of similar risk the earlier end wins. The last free capacity of
// fast backend servers has an additional cost, because long tasks can meet
// their objective only there.
//
// When waiting for a busy backend server has a lower expected loss than any
// that has free capacity, the task stays at the entry. All functions are pure.

#ifndef CACTUSMAST_PLACEMENT_H_
#define CACTUSMAST_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactusmast/ports.h"
#include "cactusmast/sized_task.h"

namespace cactusmast {

// An entry's view of one backend server.
struct server_view
{
  peer_id mPeer = 0;
  std::string mName;
  std::string mService;
  std::string mDataCenter;
  server_state mState = server_state::Absent;
  // False if the executor has not reported yet or is not in the entry's subset,
  // so that its free capacity is not known.
  bool mPlaceable = true;
  resources mCapacity;
  // Free capacity by the latest report, less the tasks that this entry has
  // dispatched and that the report does not account for.
  resources mFree;
  int64_t mQueuedCpuMillis = 0; // of the tasks that the executor has queued
  double mSlowness = 1.0;       // run time over the declared one
  double mMeanRunMs = 0;    // of tasks that ended there recently; 0: none yet
  double mStartDelayMs = 0; // from the report until another task would start
  double mAgeMs = 0;        // of the report
  // Of the tasks dispatched by this entry that the report does not account for.
  int64_t mUnreportedCpuMillis = 0;
  std::vector<std::string> mLabels;
  instant mReportedAt{};
};

enum class placement_aim : uint8_t
{
  InObjective,    // only where the task probably ends within its objective
  BeforeDeadline, // also where it probably ends after the objective
  Count
};

// mEstimateSigma of run times that callers declare.
constexpr double kDeclaredSigma = 0.35;
// mEstimateSigma of estimates from a task's progress.
constexpr double kProgressSigma = 0.1;

struct placement_request
{
  placement_aim mAim = placement_aim::BeforeDeadline;
  const job_step* mStep = nullptr;
  double mEstimateMs = 0; // on a backend server with a slowness of 1
  // Standard deviation of the logarithm of run time over estimate.
  double mEstimateSigma = 0;
  std::string mService;
  std::string mDataCenter; // of the entry
  peer_id mAvoid = 0;      // where an attempt ended without success; 0: none
  double mRemoteDataFactor = 1.0; // run time away from the data over near it
  double mDeadlineMs = 0;         // from now
  // The objective, from now, is mObjectiveBaseMs plus the run time on a
  // backend server with a slowness of 1 times mObjectiveStretch.
  double mObjectiveBaseMs = 0;
  double mObjectiveStretch = 1;
  // From SlownessOf. It is the same for many requests and therefore not
  // computed for each.
  double mMedianSlowness = 1;
  // Whether the last free capacity of fast backend servers has an additional
  // cost. mechanism::ScarcityPrice enables this cost.
  bool mUseScarcityCost = true;
};

// The expected result of placing a task on one backend server.
struct placement_forecast
{
  double mWaitMs = 0;
  double mRunMs = 0;
  double mMissRisk = 0; // probability of ending after the deadline
  double mLateRisk = 0; // probability of ending after the objective
  double mCost = 0;     // in ms: time, plus the costs of risks and of the wait
};

struct placement_choice
{
  size_t mViewIndex = 0; // index in the views that were passed
  placement_forecast mForecast;
};

enum class placement_verdict : uint8_t
{
  Place,
  Wait,        // a busy backend server is the better choice, or none meets
               // the aim
  Infeasible,  // no backend server can end it before the deadline
  NoCandidate, // no suitable backend server is ready and placeable
  Count
};

struct placement_decision
{
  placement_verdict mVerdict = placement_verdict::NoCandidate;
  placement_choice mChoice; // with Place and Wait
};

// The time in ms until a task of aSize could start after the running and queued
// tasks; 0 if it can start at once.
double
ExpectedWaitMs(const server_view& aView, const resources& aSize);

// aView has to suit the request: this does not check its service and labels.
placement_forecast
Forecast(const server_view& aView, const placement_request& aRequest);

// Minimum and median slowness of all ready backend servers that tasks can be
// placed on; 1 if there are none.
struct slowness_summary
{
  double mMin = 1;
  double mMedian = 1;
};

slowness_summary
SlownessOf(const std::vector<server_view>& aViews);

// False if a backend server of aSlowness would probably end the task after its
// objective even if it started the task now.
bool
CanMeetObjective(const placement_request& aRequest, double aSlowness);

// aRandom spreads the choices of different entries.
placement_decision
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom);

// Processors of a service's ready backend servers that tasks can be placed on,
// in thousandths of a core.
struct service_capacity
{
  int64_t mFreeMillis = 0;
  int64_t mTotalMillis = 0;

  // From 0 to 1; 0 if there are no processors.
  double FreeShare() const
  {
    return mTotalMillis == 0 ? 0 : double(mFreeMillis) / double(mTotalMillis);
  }
};

service_capacity
CapacityOf(const std::vector<server_view>& aViews, const std::string& aService);

// Whether all backend servers of the service have reported and none of them is
// large enough for a task of aStep and has its label. A backend server that has
// not reported yet counts as large enough: an entry that has just started must
// not fail a job because reports are missing.
bool
IsUnsatisfiable(const std::vector<server_view>& aViews,
                const std::string& aService,
                const job_step& aStep);

} // namespace cactusmast

#endif // CACTUSMAST_PLACEMENT_H_
