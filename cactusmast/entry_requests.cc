// The request part of entry_node: callers' requests and their routing to the
// owners of shards.

#include "cactusmast/entry_node.h"

#include <algorithm>

namespace cactusmast {

using detail::kRouteInterval;

namespace {

using std::chrono::milliseconds;

// A forwarded request fails if no reply has arrived this long after the reply
// was due.
constexpr std::chrono::seconds kForwardGrace{ 2 };

// Whether the sender of aReply does not own the shard, so that the request has
// to be routed again.
bool
IsRouteReply(const wire::job_reply_msg& aReply)
{
  return aReply.error == uint8_t(error_code::Unavailable) &&
         aReply.step == kRouteStep;
}

// The reply for which IsRouteReply is true.
wire::job_reply_msg
RouteReply()
{
  wire::job_reply_msg reply;
  reply.error = uint8_t(error_code::Unavailable);
  reply.step = kRouteStep;
  return reply;
}

} // namespace

void
entry_node::Submit(caller_id aCaller,
                   submission aSubmission,
                   duration aWait,
                   instant aNow)
{
  request_row row;
  row.mCaller = aCaller;
  row.mKind = request_kind::Submit;
  row.mTeam = aSubmission.mTeam;
  row.mId = aSubmission.mId;
  for (const std::string& payload : aSubmission.mPayloads) {
    row.mBytes += payload.size() + sizeof payload;
  }
  row.mSubmission = std::move(aSubmission);
  row.mReplyDue = aNow + aWait;
  AddRequest(std::move(row), aNow);
}

void
entry_node::Await(caller_id aCaller,
                  const std::string& aTeam,
                  const job_id& aId,
                  duration aWait,
                  instant aNow)
{
  AddAwaitOrCancel(request_kind::Await, aCaller, aTeam, aId, aWait, aNow);
}

void
entry_node::Cancel(caller_id aCaller,
                   const std::string& aTeam,
                   const job_id& aId,
                   duration aWait,
                   instant aNow)
{
  AddAwaitOrCancel(request_kind::Cancel, aCaller, aTeam, aId, aWait, aNow);
}

void
entry_node::AddAwaitOrCancel(request_kind aKind,
                             caller_id aCaller,
                             const std::string& aTeam,
                             const job_id& aId,
                             duration aWait,
                             instant aNow)
{
  request_row row;
  row.mCaller = aCaller;
  row.mKind = aKind;
  row.mTeam = aTeam;
  row.mId = aId;
  row.mReplyDue = aNow + aWait;
  AddRequest(std::move(row), aNow);
}

void
entry_node::AddRequest(request_row aRow, instant aNow)
{
  mNow = aNow;
  auto refuse = [&](error_code aCode, const std::string& aText) {
    failure error(aCode,
                  "accept",
                  mOptions.mName,
                  aText,
                  run_state::NotRun,
                  milliseconds(500));
    mCallers.Reply(aRow.mCaller, ErrorReply(error));
  };
  if (mDraining) {
    refuse(error_code::Draining,
           "this entry is draining; retry at another entry");
    return;
  }
  if (mRequests.size() >= mOptions.mMaxRequests ||
      mRequestBytes + aRow.mBytes > mOptions.mMaxRequestBytes) {
    mEvents.Emit(event_code::BudgetSpent, { { "budget", "requests" } });
    refuse(error_code::Overloaded, "too many open requests at this entry");
    return;
  }
  if (!mConfig.IsLoaded()) {
    refuse(error_code::Unavailable, "no configuration has been read yet");
    return;
  }
  uint64_t token = mNextToken++;
  aRow.mCreated = aNow;
  aRow.mPendingSince = aNow;
  mRequestBytes += aRow.mBytes;
  mTokenByCaller[aRow.mCaller] = token;
  mRequests.emplace(token, std::move(aRow));
  Route(token, aNow);
}

void
entry_node::OnCallerDisconnected(caller_id aCaller)
{
  auto found = mTokenByCaller.find(aCaller);
  if (found == mTokenByCaller.end()) {
    return;
  }
  auto request = mRequests.find(found->second);
  mTokenByCaller.erase(found);
  if (request != mRequests.end()) {
    request->second.mCaller = 0;
  }
}

void
entry_node::Route(uint64_t aToken, instant aNow)
{
  auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return;
  }
  request_row& row = found->second;
  uint32_t shard = ShardOf(row.mId, ShardCount());
  if (Shard(shard).mOwner != nullptr) {
    RouteLocally(aToken, row, aNow);
    return;
  }
  peer_id owner = OwnerPeer(shard, aNow);
  if (owner != 0) {
    Forward(aToken, row, owner, aNow);
  } else {
    mNextRoute = std::min(mNextRoute, aNow + kRouteInterval);
  }
}

void
entry_node::RouteLocally(uint64_t aToken, request_row& aRow, instant aNow)
{
  aRow.mState = request_state::Local;
  aRow.mEverRouted = true;
  shard_owner& owner = *Shard(ShardOf(aRow.mId, ShardCount())).mOwner;
  waiter waiting{ aToken, aRow.mReplyDue };
  switch (aRow.mKind) {
    case request_kind::Submit:
      // The owner holds the payloads from now on; StepDown returns them.
      owner.Submit(std::move(aRow.mSubmission), waiting, aNow);
      break;
    case request_kind::Await: {
      std::string teamName = aRow.mTeam;
      job_id id = aRow.mId;
      owner.Await(teamName, id, waiting, aNow);
      break;
    }
    case request_kind::Cancel: {
      std::string teamName = aRow.mTeam;
      job_id id = aRow.mId;
      owner.Cancel(teamName, id, waiting, aNow);
      break;
    }
    case request_kind::Count:
      break;
  }
}

void
entry_node::Forward(uint64_t aToken,
                    request_row& aRow,
                    peer_id aOwner,
                    instant aNow)
{
  aRow.mState = request_state::Forwarded;
  aRow.mOwner = aOwner;
  aRow.mEverRouted = true;
  mForwardCount++;
  wire::job_request_msg request;
  request.request_id = aToken;
  request.kind = uint8_t(aRow.mKind);
  request.team = aRow.mTeam;
  request.job_hi = aRow.mId.mHi;
  request.job_lo = aRow.mId.mLo;
  request.shard = ShardOf(aRow.mId, ShardCount());
  duration remaining = std::max(duration(0), aRow.mReplyDue - aNow);
  request.wait_ms =
    uint32_t(std::chrono::duration_cast<milliseconds>(remaining).count());
  if (aRow.mKind == request_kind::Submit) {
    request.key = aRow.mSubmission.mKey;
    request.profile = aRow.mSubmission.mProfile;
    request.deadline_ms = uint32_t(
      std::chrono::duration_cast<milliseconds>(aRow.mSubmission.mDeadline)
        .count());
    request.payloads = aRow.mSubmission.mPayloads;
  }
  mNetwork.Send(aOwner, MakeMessage(std::move(request)));
}

void
entry_node::OnJobRequest(peer_id aPeer,
                         const wire::job_request_msg& aRequest,
                         instant aNow)
{
  auto shard = mShards.find(aRequest.shard);
  if (shard == mShards.end() || shard->second.mOwner == nullptr) {
    wire::job_reply_msg reply = RouteReply();
    reply.request_id = aRequest.request_id;
    mNetwork.Send(aPeer, MakeMessage(std::move(reply)));
    return;
  }
  shard_owner& owner = *shard->second.mOwner;
  uint64_t token = mNextToken++;
  mServedRequests[token] = { aPeer, aRequest.request_id };
  waiter waiting{ token, aNow + milliseconds(aRequest.wait_ms) };
  job_id id{ aRequest.job_hi, aRequest.job_lo };
  if (aRequest.kind == uint8_t(request_kind::Await)) {
    owner.Await(aRequest.team, id, waiting, aNow);
    return;
  }
  if (aRequest.kind == uint8_t(request_kind::Cancel)) {
    owner.Cancel(aRequest.team, id, waiting, aNow);
    return;
  }
  submission forwarded;
  forwarded.mId = id;
  forwarded.mTeam = aRequest.team;
  forwarded.mKey = aRequest.key;
  forwarded.mProfile = aRequest.profile;
  forwarded.mDeadline = milliseconds(aRequest.deadline_ms);
  forwarded.mPayloads = aRequest.payloads;
  owner.Submit(std::move(forwarded), waiting, aNow);
}

void
entry_node::OnJobReply(const wire::job_reply_msg& aReply, instant aNow)
{
  auto found = mRequests.find(aReply.request_id);
  if (found == mRequests.end() ||
      found->second.mState != request_state::Forwarded) {
    return; // already answered by another owner
  }
  if (IsRouteReply(aReply)) {
    found->second.mState = request_state::Pending;
    found->second.mPendingSince = aNow;
    found->second.mOwner = 0;
    mNextRoute = std::min(mNextRoute, aNow + kRouteInterval);
    return;
  }
  FinishRequest(aReply.request_id, aReply);
}

void
entry_node::Answer(uint64_t aToken, wire::job_reply_msg aReply)
{
  auto served = mServedRequests.find(aToken);
  if (served != mServedRequests.end()) {
    aReply.request_id = served->second.mRequest;
    peer_id peer = served->second.mPeer;
    mServedRequests.erase(served);
    mNetwork.Send(peer, MakeMessage(std::move(aReply)));
    return;
  }
  auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return;
  }
  if (IsRouteReply(aReply)) {
    found->second.mState = request_state::Pending;
    found->second.mPendingSince = mNow;
    mNextRoute = std::min(mNextRoute, mNow + kRouteInterval);
    return;
  }
  FinishRequest(aToken, aReply);
}

void
entry_node::FinishRequest(uint64_t aToken, const wire::job_reply_msg& aReply)
{
  auto found = mRequests.find(aToken);
  caller_id caller = found->second.mCaller;
  mRequestBytes -= found->second.mBytes;
  mRequests.erase(found);
  if (caller != 0) {
    mTokenByCaller.erase(caller);
    mCallers.Reply(caller, aReply);
  }
}

void
entry_node::FailRequest(uint64_t aToken, const std::string& aText)
{
  const request_row& row = mRequests.at(aToken);
  run_state run = row.mEverRouted ? run_state::Unknown : run_state::NotRun;
  failure error(error_code::Unavailable,
                "route",
                "shard " + std::to_string(ShardOf(row.mId, ShardCount())),
                aText,
                run,
                std::chrono::seconds(1));
  FinishRequest(aToken, ErrorReply(error));
}

void
entry_node::RoutePending(instant aNow)
{
  std::vector<uint64_t> pending;
  std::vector<uint64_t> overdue;
  for (const auto& [token, row] : mRequests) {
    if (row.mState == request_state::Pending) {
      bool timedOut = aNow - row.mPendingSince >= mOptions.mRouteTimeout;
      (timedOut ? overdue : pending).push_back(token);
    } else if (row.mState == request_state::Forwarded &&
               aNow >= row.mReplyDue + kForwardGrace) {
      overdue.push_back(token);
    }
  }
  for (uint64_t token : overdue) {
    FailRequest(token, "no owner of the job's shard is known");
  }
  mSomePending = !pending.empty();
  // In order of arrival, because an Await must follow the submission of its
  // job.
  std::sort(pending.begin(), pending.end());
  for (uint64_t token : pending) {
    Route(token, aNow);
  }
}

} // namespace cactusmast
