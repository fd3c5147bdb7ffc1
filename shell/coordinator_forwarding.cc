// How a coordinator forwards jobs to other entries while it is overloaded, and
// takes jobs from them (docs/design/job-forwarding.md).

#include "shell/coordinator_daemon.h"

#include <cmath>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

// Ticks come every 20 ms. After a longer time between turns of the loop, this
// process was suspended, or was given no processor time.
constexpr duration kStandstill = milliseconds(500);
// Input that was buffered during a standstill is read in this many turns of the
// loop, each of which reads a part of it from every connection.
constexpr uint32_t kOldInputTurns = 3;
// Such input may have been sent by an entry that has closed the connection
// since and answered its callers. Counted as this old, it keeps a silent entry
// connected for 800 ms more at most: after a standstill of less than a second
// tasks end within 1,900 ms of its begin, and the callers submit their jobs
// again 2,000 ms after it at the earliest.
constexpr duration kOldInputAge = milliseconds(200);
constexpr double kPermille = 1000;

std::string
Rounded(double aShare)
{
  return std::to_string(int(std::lround(aShare * 100))) + "%";
}

} // namespace

bool
coordinator_daemon::IsForwardingOn() const
{
  return mSettings.mJobForwarding &&
         mInstance.mMechanisms.Has(mechanism::JobForwarding);
}

std::string
coordinator_daemon::AddressOf(peer_id aPeer) const
{
  auto found = mEntryPeers.find(aPeer);
  return found == mEntryPeers.end() ? "" : found->second.mAddress;
}

void
coordinator_daemon::CheckStandstill()
{
  if (!IsForwardingOn()) {
    return;
  }
  instant now = Now();
  bool stoodStill = mLastTurn != instant{} && now - mLastTurn > kStandstill;
  mLastTurn = now;
  if (stoodStill) {
    mOldInputTurns = kOldInputTurns;
    CheckEntryTimeouts(now);
  }
}

instant
coordinator_daemon::SentAfter(instant aNow) const
{
  return mOldInputTurns > 0 ? aNow - kOldInputAge : aNow;
}

void
coordinator_daemon::UpdateForwarding(instant aNow)
{
  double busy = mBusySource->BusyShare();
  if (mForwardingPolicy.Update(busy, aNow)) {
    mLog.Emit(event_code::ForwardingChanged,
              { { "forwarded", Rounded(mForwardingPolicy.Fraction()) },
                { "busy", Rounded(busy) },
                { "in_flight", std::to_string(mSentJobs.Size()) } });
  }
}

// The check of the body's size, of tickets and of a drain are those of
// ReadSubmission, which refuses the job if it is served here.
bool
coordinator_daemon::Forward(const http_exchange& aExchange,
                            const route_table& aTable,
                            const route& aRoute,
                            uint64_t aJob)
{
  if (mSentJobs.AddCaller(aJob, aExchange.Id())) {
    return true;
  }
  bool allowed = IsForwardingOn() && !IsDraining() && !IsAborted() &&
                 !aRoute.mNeedsTickets && !mCoordinator.IsOpen(aJob) &&
                 aExchange.Body().size() <= aTable.Config().mMaxBodyBytes;
  if (!allowed) {
    return false;
  }
  std::optional<peer_id> target = mForwardingPolicy.ChooseTarget(Now());
  if (target) {
    SendForward(*target, aExchange, aRoute, aJob);
  }
  return target.has_value();
}

void
coordinator_daemon::SendForward(peer_id aPeer,
                                const http_exchange& aExchange,
                                const route& aRoute,
                                uint64_t aJob)
{
  instant now = Now();
  uint32_t elapsedMs = uint32_t(ToMs(now - aExchange.ReceivedAt()));
  wire::forward_job_msg forward;
  forward.number = mSentJobs.Add(aPeer, aJob, aExchange.Id(), now);
  forward.job = aJob;
  forward.route = aRoute.mName;
  forward.caller_timeout_ms =
    CallerTimeoutMs(aExchange, milliseconds(elapsedMs));
  forward.elapsed_ms = elapsedMs;
  forward.body = aExchange.Body();
  mForwardingPolicy.OnForwarded(aPeer);
  mForwards.mForwarded++;
  mLog.Emit(event_code::JobForwarded,
            { { "job", FormatJobId(aJob) },
              { "route", aRoute.mName },
              { "target", AddressOf(aPeer) },
              { "load_age_ms",
                std::to_string(ToMs(mForwardingPolicy.LoadAge(aPeer, now))) },
              { "busy", Rounded(mBusySource->BusyShare()) } });
  mTransport->Send(aPeer, MakeMessage(std::move(forward)));
}

result<job_request>
coordinator_daemon::ReadForward(const wire::forward_job_msg& aMessage) const
{
  auto declined = [this](const std::string& aReason) {
    return MakeRefusal(
      error_code::Unavailable, "take job", aReason, milliseconds(0));
  };
  if (!IsForwardingOn()) {
    return declined("job forwarding is off");
  }
  if (mOldInputTurns > 0) {
    return declined("this entry stood still");
  }
  if (!IsReady()) {
    return declined("this entry is draining or not ready");
  }
  if (mBusySource->BusyShare() > kForwardAboveBusy) {
    return declined("this entry is busy");
  }
  job_request request;
  request.mTable = mConfig.Table();
  for (const route& one : request.mTable->Config().mRoutes) {
    if (one.mName == aMessage.route) {
      request.mRoute = &one;
    }
  }
  bool known = request.mRoute != nullptr && !request.mRoute->mNeedsTickets;
  if (!known) {
    return declined("the route is not served here");
  }
  if (aMessage.body.size() > request.mTable->Config().mMaxBodyBytes) {
    return declined("the body is too large");
  }
  result<job_submission> decoded = mAdapter.mCallers.DecodeJob(aMessage.body);
  if (!decoded.Ok()) {
    return decoded.Error();
  }
  request.mJob = aMessage.job;
  request.mSubmission = std::move(decoded.Value());
  request.mCallerTimeoutMs = aMessage.caller_timeout_ms;
  return request;
}

void
coordinator_daemon::OnForwardJob(peer_id aPeer,
                                 const wire::forward_job_msg& aMessage)
{
  caller_id caller = mTakenJobs.Add(aPeer, aMessage.number);
  if (caller == 0) {
    return;
  }
  // A job that is open here must not be declined: its sender would run it too.
  if (mSentJobs.AddCaller(aMessage.job, caller)) {
    mForwards.mTakenOver++;
    return;
  }
  job_request request;
  if (!mCoordinator.IsOpen(aMessage.job)) {
    result<job_request> read = ReadForward(aMessage);
    if (!read.Ok()) {
      Decline(caller, read.Error().what());
      return;
    }
    request = std::move(read.Value());
  }
  request.mCaller = caller;
  request.mJob = aMessage.job;
  mForwards.mTakenOver++;
  mCoordinator.Submit(std::move(request), Now());
}

void
coordinator_daemon::Decline(caller_id aCaller, const std::string& aReason)
{
  std::optional<forward_key> origin = mTakenJobs.OnAnswered(aCaller);
  if (origin) {
    wire::forward_answer_msg answer;
    answer.number = origin->mNumber;
    answer.declined = true;
    answer.reason = aReason;
    mTransport->Send(origin->mPeer, MakeMessage(std::move(answer)));
  }
}

void
coordinator_daemon::AnswerTaken(caller_id aCaller, const job_outcome& aOutcome)
{
  std::optional<forward_key> origin = mTakenJobs.OnAnswered(aCaller);
  if (origin) {
    wire::forward_answer_msg answer;
    answer.number = origin->mNumber;
    answer.ending = uint8_t(aOutcome.mEnding);
    answer.reason = aOutcome.mReason;
    answer.retry_after_ms = uint32_t(ToMs(aOutcome.mRetryAfter));
    mTransport->Send(origin->mPeer, MakeMessage(std::move(answer)));
  }
}

void
coordinator_daemon::OnForwardAnswer(peer_id aPeer,
                                    const wire::forward_answer_msg& aAnswer)
{
  std::optional<sent_job> ended = mSentJobs.OnAnswer(aPeer, aAnswer.number);
  if (!ended) {
    return;
  }
  mForwardingPolicy.OnEnded(aPeer);
  if (aAnswer.declined) {
    mForwards.mDeclined++;
    mForwardingPolicy.OnDeclined(aPeer);
  }
  sent_job_ending ending = EndingOf(*ended, aAnswer);
  if (ending.mServeHere) {
    LogForwardEnded(*ended, aPeer, "declined: " + aAnswer.reason);
    ServeDeclined(*ended);
    return;
  }
  if (ending.mOutcome.mEnding != job_ending::Completed) {
    LogForwardEnded(*ended,
                    aPeer,
                    std::string(Name(ending.mOutcome.mEnding)) + ": " +
                      ending.mOutcome.mReason);
  }
  AnswerAll(*ended, ending.mOutcome);
}

void
coordinator_daemon::ServeDeclined(const sent_job& aJob)
{
  std::shared_ptr<const route_table> table = mConfig.Table();
  for (caller_id caller : aJob.mCallers) {
    http_exchange* exchange =
      IsTakenCaller(caller) ? nullptr : mFront->Find(caller);
    if (exchange == nullptr || exchange->ClientDisconnected()) {
      continue;
    }
    const route* matched =
      table->Find(exchange->Header("Host"), exchange->Path());
    if (matched == nullptr) {
      RefuseUnknownRoute(caller);
    } else {
      duration elapsed = Now() - exchange->ReceivedAt();
      SubmitHere(*exchange, table, *matched, aJob.mJob, elapsed);
    }
  }
  // Callers at other entries share the job if it is open here now. Otherwise
  // nothing of it runs, and their entries serve them.
  for (caller_id caller : aJob.mCallers) {
    if (!IsTakenCaller(caller)) {
      continue;
    }
    if (mCoordinator.IsOpen(aJob.mJob)) {
      job_request request;
      request.mCaller = caller;
      request.mJob = aJob.mJob;
      mCoordinator.Submit(std::move(request), Now());
    } else {
      Decline(caller, "declined by another entry");
    }
  }
}

void
coordinator_daemon::AnswerAll(const sent_job& aJob, const job_outcome& aOutcome)
{
  for (caller_id caller : aJob.mCallers) {
    Answer(caller, aOutcome);
  }
}

void
coordinator_daemon::LogForwardEnded(const sent_job& aJob,
                                    peer_id aPeer,
                                    const std::string& aReason)
{
  mLog.Emit(event_code::ForwardEnded,
            { { "job", FormatJobId(aJob.mJob) },
              { "target", AddressOf(aPeer) },
              { "reason", aReason },
              { "took_ms", std::to_string(ToMs(Now() - aJob.mSentAt)) },
              { "callers", std::to_string(aJob.mCallers.size()) } });
}

void
coordinator_daemon::SendForwardCancel(const forward_key& aKey)
{
  wire::forward_cancel_msg cancel;
  cancel.number = aKey.mNumber;
  mTransport->Send(aKey.mPeer, MakeMessage(cancel));
}

bool
coordinator_daemon::CancelForwarded(uint64_t aJob)
{
  std::optional<forward_key> key = mSentJobs.Cancel(aJob);
  if (key) {
    SendForwardCancel(*key);
    TickSoon();
  }
  return key.has_value();
}

void
coordinator_daemon::OnCallerGone(caller_id aCaller)
{
  mCoordinator.OnCallerDisconnected(aCaller, Now());
  std::optional<forward_key> key = mSentJobs.OnCallerGone(aCaller);
  if (key) {
    SendForwardCancel(*key);
  }
}

// The answer tells the sender that the tasks were stopped.
void
coordinator_daemon::OnForwardCancel(peer_id aPeer, uint64_t aNumber)
{
  caller_id caller = mTakenJobs.OnCancel(aPeer, aNumber);
  if (caller == 0) {
    return;
  }
  OnCallerGone(caller);
  wire::forward_answer_msg answer;
  answer.number = aNumber;
  answer.ending = uint8_t(job_ending::Failed);
  answer.reason = "cancelled";
  mTransport->Send(aPeer, MakeMessage(std::move(answer)));
}

void
coordinator_daemon::EndForwards(peer_id aPeer)
{
  mForwardingPolicy.Remove(aPeer);
  for (caller_id caller : mTakenJobs.OnPeerGone(aPeer)) {
    OnCallerGone(caller);
  }
  // Whether tasks of these run is not known. They end before the callers submit
  // their jobs again, because the receiver notices the loss as well.
  for (const sent_job& lost : mSentJobs.OnPeerGone(aPeer)) {
    mForwards.mLost++;
    LogForwardEnded(lost, aPeer, "the connection to its entry closed");
    AnswerAll(lost,
              { job_ending::Expired, "the entry that served it was lost", {} });
  }
}

void
coordinator_daemon::AbortForwards()
{
  for (const auto& [key, open] : mSentJobs.TakeAll()) {
    SendForwardCancel(key);
    LogForwardEnded(open, key.mPeer, "this process ends");
    AnswerAll(open, { job_ending::Expired, "this process ends", {} });
  }
}

void
coordinator_daemon::OnEntryCapacity(peer_id aPeer,
                                    const wire::entry_load_msg& aLoad)
{
  if (IsForwardingOn()) {
    mForwardingPolicy.OnLoad(aPeer,
                             { aLoad.processor_millis,
                               aLoad.busy_permille / kPermille,
                               aLoad.takes_jobs },
                             Now());
  }
}

void
coordinator_daemon::FillCapacity(wire::entry_load_msg* aLoad) const
{
  if (IsForwardingOn()) {
    aLoad->busy_permille =
      uint32_t(std::lround(mBusySource->BusyShare() * kPermille));
    aLoad->takes_jobs = IsReady();
  }
}

void
coordinator_daemon::AddForwardingMetrics(metrics_page* aPage) const
{
  if (mBusySource != nullptr) {
    aPage->Gauge("cactusmast_loop_busy_share",
                 "Share of the time in which the main loop did not wait.",
                 mBusySource->BusyShare());
  }
  aPage->Counter("cactusmast_jobs_forwarded",
                 "Jobs sent to other entries.",
                 double(mForwards.mForwarded));
  aPage->Counter("cactusmast_jobs_forwarded_declined",
                 "Jobs that other entries declined and this one served.",
                 double(mForwards.mDeclined));
  aPage->Counter("cactusmast_jobs_forwarded_lost",
                 "Jobs whose connection to the other entry closed.",
                 double(mForwards.mLost));
  aPage->Counter("cactusmast_jobs_taken_over",
                 "Jobs taken from other entries.",
                 double(mForwards.mTakenOver));
}

} // namespace cactusmast
