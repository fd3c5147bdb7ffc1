// The part of job_coordinator that handles evacuations of data centres.

#include "cactusmast/job_coordinator.h"

#include "cactusmast/job_coordinator_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

constexpr char kAllEvacuated[] = "all its backend servers are being evacuated";

// Whether all backend servers of aService are being evacuated. False while
// there are backend servers whose service is not known yet.
bool
IsAllEvacuated(const std::vector<server_view>& aViews,
               const evacuation_tracker& aEvacuations,
               const std::string& aService)
{
  bool any = false;
  for (const server_view& view : aViews) {
    bool evacuated = aEvacuations.Has(view.mDataCenter) ||
                     view.mState == server_state::Evacuated;
    bool mayServe = view.mService.empty() || view.mService == aService;
    if (mayServe && !evacuated) {
      return false;
    }
    any = any || view.mService == aService;
  }
  return any;
}

} // namespace

bool
job_coordinator::IsUsable(const server_view& aView) const
{
  return aView.mState == server_state::Ready &&
         !mEvacuations.Has(aView.mDataCenter);
}

void
job_coordinator::OnEvacuations(const std::optional<evacuation_update>& aUpdate,
                               instant aNow)
{
  if (aUpdate && mEvacuations.Update(*aUpdate)) {
    ApplyEvacuations(aNow);
  }
}

void
job_coordinator::ApplyEvacuations(instant aNow)
{
  const evacuation_state& state = mEvacuations.State();
  mEvents.Emit(event_code::EvacuationsChanged,
               { { "data_centers", FormatDataCenters(state) },
                 { "version", std::to_string(state.mVersion) },
                 { "age_ms", std::to_string(ToMs(mEvacuations.Age(aNow))) } });
  std::vector<peer_id> peers;
  for (auto& [peer, peerState] : mExecutors) {
    peers.push_back(peer);
    if (peerState.mSubset != nullptr) {
      peerState.mSubset->SetUsable(peer,
                                   IsUsable(mViews[peerState.mViewIndex]));
    }
  }
  // Sending may close a connection, which removes its executor.
  for (peer_id peer : peers) {
    if (mExecutors.count(peer) > 0) {
      mLinks.SendEvacuations(peer);
    }
  }
  for (auto& [service, subset] : mSubsets) {
    ApplySubsetChange(subset.Update(), aNow);
  }
  mCapacityChanged = true;
  RefuseEvacuatedJobs(aNow);
}

bool
job_coordinator::RefuseEvacuated(const job_request& aRequest)
{
  const std::string& service = aRequest.mRoute->mService;
  if (!IsAllEvacuated(mViews, mEvacuations, service)) {
    return false;
  }
  mCounters.mRefused++;
  mEvents.Emit(
    event_code::JobRefused,
    { { "job", FormatJobId(aRequest.mJob) },
      { "reason", kAllEvacuated },
      { "data_centers", FormatDataCenters(mEvacuations.State()) },
      { "version", std::to_string(mEvacuations.State().mVersion) } });
  mAnswers.Answer(
    aRequest.mCaller,
    { job_ending::Refused, kAllEvacuated, kEvacuationRetryAfter });
  return true;
}

void
job_coordinator::RefuseEvacuatedJobs(instant aNow)
{
  std::vector<uint64_t> evacuatedJobs;
  for (const auto& [id, open] : mJobs) {
    bool refused = !IsReservedOrDispatched(open) &&
                   IsAllEvacuated(mViews, mEvacuations, open.mRoute->mService);
    if (refused) {
      evacuatedJobs.push_back(id);
    }
  }
  for (uint64_t id : evacuatedJobs) {
    Finish(
      id, { job_ending::Refused, kAllEvacuated, kEvacuationRetryAfter }, aNow);
  }
}

} // namespace cactusmast
