// Chooses backend servers for tasks from what an entry last heard of them.
//
// A task goes where it is expected to end first: the time until there is room
// plus the estimate at the backend server's learned speed. Where there is no
// room anywhere, it stays at the entry, which still can choose, unless the
// wait at a backend server is short. Pure functions; nothing here keeps state.

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
  task_size mCapacity;
  task_size mFree;
  int64_t mQueuedCpuMillis = 0;
  double mSlowness = 1.0; // run time over estimate
  std::vector<std::string> mLabels;
  instant mReportedAt{};
};

struct placement_request
{
  const job_step* mStep = nullptr;
  std::string mService;
  std::string mDataCenter;      // of the entry
  peer_id mAvoid = 0;           // where the last attempt failed; 0: none
  double mFarFactor = 1.0;      // run time away from the data over near it
};

struct placement_choice
{
  size_t mView = 0; // index
  double mWaitMs = 0;
  double mEndMs = 0; // expected, from now
};

// Time until aSize fits beside what is there and queued.
double
ExpectedWaitMs(const server_view& aView,
               const task_size& aSize,
               double aRunMs);

// None when no usable backend server would start the task within
// kMaxServerWaitMs.
std::optional<placement_choice>
ChooseServer(const std::vector<server_view>& aViews,
             const placement_request& aRequest,
             random_source& aRandom);

// Whether any backend server that was ever heard of could hold aStep.
bool
CouldEverRun(const std::vector<server_view>& aViews,
             const std::string& aService,
             const job_step& aStep);

} // namespace cactusmast

#endif // CACTUSMAST_PLACEMENT_H_
