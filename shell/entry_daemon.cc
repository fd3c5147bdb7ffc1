#include "shell/entry_daemon.h"

#include <nlohmann/json.hpp>

#include "cactusmast/api_json.h"
#include "shell/metrics_page.h"
#include "util/constant_time.h"

namespace cactusmast {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint32_t kDefaultAuditRows = 50;
constexpr uint32_t kMaxAuditRows = 1000;

std::string
BearerToken(const http_exchange& aExchange)
{
  constexpr char kScheme[] = "Bearer ";
  std::string header = aExchange.Header("Authorization");
  return header.rfind(kScheme, 0) == 0 ? header.substr(sizeof kScheme - 1) : "";
}

// The name whose token is aGiven; empty when there is none. Every token is
// compared in constant time, so that timing reveals nothing about the tokens.
std::string
HolderOf(const std::map<std::string, std::string>& aTokens,
         const std::string& aGiven)
{
  std::string holder;
  for (const auto& [name, token] : aTokens) {
    if (EqualConstantTime(aGiven, token)) {
      holder = name;
    }
  }
  return holder;
}

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.rfind(aPrefix, 0) == 0;
}

} // namespace

entry_daemon::entry_daemon(const entry_settings& aSettings)
  : product_daemon(aSettings.mProcess.mName, severity::Warning)
  , mSettings(aSettings)
  , mIncarnation(MakeIncarnation())
  , mTable(aSettings.mProcess.mTableUrl,
           aSettings.mProcess.mTableTimeoutMs,
           [this](const table_reply& aReply) {
             OnTableReply(aReply);
             TickSoon();
           })
{
}

result<std::unique_ptr<entry_daemon>>
entry_daemon::Create(const entry_settings& aSettings)
{
  return ResultOf<std::unique_ptr<entry_daemon>>([&] {
    std::unique_ptr<entry_daemon> daemon(new entry_daemon(aSettings));
    daemon->Open();
    return daemon;
  });
}

void
entry_daemon::Open()
{
  const process_settings& process = mSettings.mProcess;
  transport_options transport;
  transport.mListen = process.mListen;
  transport.mSharedKey = process.mSharedKey;
  transport.mMaxFrameBytes = process.mMaxFrameBytes;
  transport.mMaxUnsentBytes = process.mMaxSendBytes;
  transport.mSelf.mRole = process_role::Entry;
  transport.mSelf.mName = process.mName;
  transport.mSelf.mIncarnation = mIncarnation;
  transport.mSelf.mAddress = process.mListen;
  transport.mSelf.mDataCenter = process.mDataCenter;
  transport.mSelf.mRegion = process.mRegion;
  mTransport =
    std::move(peer_transport::Create(transport, *this, mLog).Value());
  mHttp =
    std::move(http_server::Create(
                process.mHttp,
                mSettings.mApi.mMaxBodyBytes,
                [this](http_exchange& aExchange) { OnRequest(aExchange); },
                [this](uint64_t aId) {
                  mOpenRequests.erase(aId);
                  mNode->OnCallerDisconnected(aId);
                })
                .Value());
  mHttp->Observe(&mConnectionLog);
  entry_options options;
  options.mName = process.mName;
  options.mIncarnation = mIncarnation;
  options.mAddress = process.mListen;
  options.mDataCenter = process.mDataCenter;
  options.mRegion = process.mRegion;
  options.mSeedEntries = process.mSeedEntries;
  options.mIdentitySeed = Hash64(process.mSharedKey);
  options.mMaxRequests = mSettings.mMaxOpenRequests;
  options.mConfig.mInitialShardCount = mSettings.mInitialShards;
  options.mOwner.mJobs.mRetention = milliseconds(mSettings.mRetentionMs);
  options.mOwner.mJobs.mMaxResultBytes = mSettings.mMaxAnswerBytes;
  mNode = std::make_unique<entry_node>(
    options, *mTransport, mTable, *this, mLog, *this, Now());
  mLog.Emit(event_code::ProcessStarted,
            { { "role", "entry" },
              { "http", process.mHttp },
              { "listen", process.mListen } });
}

double
entry_daemon::NextUniform()
{
  return g_random_double();
}

void
entry_daemon::OnPeerUp(peer_id aPeer, const peer_identity& aIdentity)
{
  mNode->OnPeerUp(aPeer, aIdentity, Now());
  TickSoon();
}

void
entry_daemon::OnPeerDown(peer_id aPeer)
{
  mNode->OnPeerDown(aPeer, Now());
  TickSoon();
}

void
entry_daemon::OnPeerMessage(peer_id aPeer, const message& aMessage)
{
  mNode->OnMessage(aPeer, aMessage, Now());
  TickSoon();
}

void
entry_daemon::OnTick()
{
  mNode->Tick(Now(), WallSeconds());
  mTransport->Flush();
  mTransport->Sweep();
}

void
entry_daemon::OnDrain()
{
  mNode->BeginDrain(Now());
}

bool
entry_daemon::IsDrained()
{
  return mNode->IsDrained() && mHttp->OpenExchanges() == 0 && !OutputPending();
}

void
entry_daemon::OnAbort()
{
  mNode->AbortDrain(Now());
  std::map<uint64_t, audit_read> reads = std::move(mAuditReads);
  mAuditReads.clear();
  for (const auto& [request, read] : reads) {
    FailAudit(read);
  }
  mTransport->Flush();
}

void
entry_daemon::Fail(uint64_t aExchange, const failure& aError)
{
  mHttp->Answer(aExchange, ErrorAnswer(aError));
}

void
entry_daemon::Reply(caller_id aCaller, const wire::job_reply_msg& aReply)
{
  auto found = mOpenRequests.find(aCaller);
  if (found == mOpenRequests.end()) {
    return;
  }
  open_request open = found->second;
  mOpenRequests.erase(found);
  http_answer answer;
  answer.mStatus = HttpStatusOf(aReply);
  answer.mRetryAfterMs = aReply.retry_after_ms;
  bool isRawAnswer = open.mRaw && aReply.error == 0 &&
                     aReply.state == uint8_t(job_state::Complete) &&
                     aReply.tasks.size() == 1;
  if (isRawAnswer) {
    answer.mBody = aReply.tasks[0].output;
    answer.mContentType = "application/octet-stream";
  } else {
    answer.mBody = RenderJobReply(open.mJob, aReply);
    bool failedRun = open.mRaw && aReply.error == 0 &&
                     aReply.state == uint8_t(job_state::Failed);
    constexpr int kBadGateway = 502;
    answer.mStatus = failedRun ? kBadGateway : answer.mStatus;
  }
  mHttp->Answer(aCaller, answer);
}

void
entry_daemon::OnChangeDone(const change_outcome& aOutcome)
{
  http_answer answer;
  answer.mStatus = aOutcome.mAccepted ? 200 : HttpStatus(aOutcome.mError);
  answer.mBody = RenderChange(aOutcome);
  mHttp->Answer(aOutcome.mToken, answer);
}

void
entry_daemon::OnRequest(http_exchange& aExchange)
{
  try {
    Dispatch(aExchange);
  } catch (const failure& error) {
    Fail(aExchange.Id(), error);
  }
  TickSoon();
}

void
entry_daemon::Dispatch(http_exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const std::string& method = aExchange.Method();
  uint64_t id = aExchange.Id();
  const std::string kJob = "/v1/jobs/";
  const std::string kRun = "/v1/run/";
  const std::string kProfile = "/v1/profiles/";
  const std::string kTeam = "/v1/teams/";
  const std::string kAudit = "/v1/audit";
  if (method == "POST" && path == "/v1/jobs") {
    OnJobs(aExchange);
  } else if (StartsWith(path, kJob)) {
    OnJob(aExchange, path.substr(kJob.size()));
  } else if (method == "POST" && StartsWith(path, kRun)) {
    OnRun(aExchange, path.substr(kRun.size()));
  } else if (method == "GET" && path == "/v1/profiles") {
    mHttp->Answer(id, { 200, RenderProfiles(mNode->Config().Config()) });
  } else if (StartsWith(path, kProfile)) {
    OnProfile(aExchange, path.substr(kProfile.size()));
  } else if (method == "GET" && path == "/v1/teams") {
    mHttp->Answer(id, { 200, RenderTeams(mNode->Config().Config()) });
  } else if (StartsWith(path, kTeam)) {
    OnTeam(aExchange, path.substr(kTeam.size()));
  } else if (method == "GET" && path == kAudit) {
    OnAudit(aExchange, aExchange.Query("name"));
  } else if (method == "GET" && path == "/v1/status") {
    mHttp->Answer(id, { 200, RenderStatus(*mNode, Now()) });
  } else if (method == "GET" && path == "/v1/workers") {
    mHttp->Answer(id, { 200, RenderWorkers(*mNode, Now()) });
  } else if (method == "POST" && path == "/v1/drain") {
    OperatorOf(aExchange);
    mHttp->Answer(id, { 202, "{\"draining\":true}" });
    BeginDrain();
  } else if (path == "/healthz") {
    mHttp->Answer(id, { 200, "ok\n", "text/plain" });
  } else if (path == "/readyz") {
    bool ready = mNode->IsReady();
    mHttp->Answer(
      id,
      { ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain" });
  } else if (path == "/metrics") {
    mHttp->Answer(id, Metrics());
  } else {
    throw failure(
      error_code::NotFound, "find path", "caller", method + " " + path);
  }
}

std::string
entry_daemon::TeamOf(const http_exchange& aExchange) const
{
  if (mSettings.mTeamTokens.empty()) {
    std::string named = aExchange.Header("X-Team");
    return named.empty() ? "default" : ParseKey(named, mSettings.mApi).Value();
  }
  std::string holder = HolderOf(mSettings.mTeamTokens, BearerToken(aExchange));
  if (holder.empty()) {
    throw failure(error_code::Unauthorized,
                  "authorize",
                  "caller",
                  "a team's token is needed");
  }
  return holder;
}

std::string
entry_daemon::OperatorOf(const http_exchange& aExchange) const
{
  std::string holder =
    HolderOf(mSettings.mOperatorTokens, BearerToken(aExchange));
  if (holder.empty()) {
    throw failure(error_code::Unauthorized,
                  "authorize",
                  "operator",
                  "an operator's token is needed");
  }
  return holder;
}

const profile&
entry_daemon::ProfileOf(const std::string& aName) const
{
  const deployment_config& config = mNode->Config().Config();
  auto found = config.mProfiles.find(aName);
  if (found == config.mProfiles.end()) {
    throw failure(
      error_code::NotFound, "find profile", "caller", "no profile " + aName);
  }
  return found->second;
}

std::string
entry_daemon::IdempotencyKeyOf(const http_exchange& aExchange,
                               const profile& aProfile)
{
  std::string given = aExchange.Header("Idempotency-Key");
  if (!given.empty()) {
    return ParseKey(given, mSettings.mApi).Value();
  }
  if (!aProfile.mIdempotent) {
    // Without a key, a caller that loses the reply could only submit the job
    // again as a new one, and its tasks would run twice.
    throw failure(error_code::BadRequest,
                  "read key",
                  "caller",
                  "profile " + aProfile.mName +
                    " is not idempotent: an Idempotency-Key is needed");
  }
  return "generated/" + std::to_string(mIncarnation) + "/" +
         std::to_string(mNextKey++);
}

void
entry_daemon::OnJobs(http_exchange& aExchange)
{
  std::string teamName = TeamOf(aExchange);
  submission submitted =
    std::move(ParseSubmission(aExchange.Body(), mSettings.mApi).Value());
  submitted.mTeam = teamName;
  submitted.mKey = IdempotencyKeyOf(aExchange, ProfileOf(submitted.mProfile));
  submitted.mId = mNode->IdentityOf(submitted.mTeam, submitted.mKey);
  uint32_t wait =
    aExchange.QueryNumber("wait_ms", 0, mSettings.mApi.mMaxWaitMs);
  mOpenRequests[aExchange.Id()] = { submitted.mId, false };
  mNode->Submit(
    aExchange.Id(), std::move(submitted), milliseconds(wait), Now());
}

void
entry_daemon::OnRun(http_exchange& aExchange, const std::string& aProfile)
{
  submission submitted;
  submitted.mTeam = TeamOf(aExchange);
  const profile& chosenProfile = ProfileOf(aProfile);
  submitted.mProfile = aProfile;
  submitted.mKey = IdempotencyKeyOf(aExchange, chosenProfile);
  submitted.mId = mNode->IdentityOf(submitted.mTeam, submitted.mKey);
  submitted.mPayloads.push_back(aExchange.Body());
  if (submitted.mPayloads[0].size() > mSettings.mApi.mMaxPayloadBytes) {
    throw failure(
      error_code::TooLarge, "read submission", "caller", "payload too large");
  }
  constexpr uint32_t kReplyMarginMs = 3000;
  uint32_t wait = chosenProfile.mDeadlineMs + kReplyMarginMs;
  mOpenRequests[aExchange.Id()] = { submitted.mId, true };
  mNode->Submit(
    aExchange.Id(), std::move(submitted), milliseconds(wait), Now());
}

void
entry_daemon::OnJob(http_exchange& aExchange, const std::string& aId)
{
  std::string teamName = TeamOf(aExchange);
  job_id id;
  if (!job_id::Parse(aId, &id)) {
    throw failure(
      error_code::BadRequest, "read job", "caller", "not a job identity");
  }
  milliseconds wait(
    aExchange.QueryNumber("wait_ms", 0, mSettings.mApi.mMaxWaitMs));
  mOpenRequests[aExchange.Id()] = { id, false };
  if (aExchange.Method() == "GET") {
    mNode->Await(aExchange.Id(), teamName, id, wait, Now());
  } else if (aExchange.Method() == "DELETE") {
    mNode->Cancel(aExchange.Id(), teamName, id, wait, Now());
  } else {
    mOpenRequests.erase(aExchange.Id());
    throw failure(error_code::BadRequest,
                  "read job",
                  "caller",
                  "only GET and DELETE are allowed");
  }
}

// Another entry can wait for the table's reply; this one ends soon.
void
entry_daemon::RequireNotDraining() const
{
  if (mNode->IsDraining()) {
    throw failure(error_code::Draining,
                  "accept",
                  mSettings.mProcess.mName,
                  "this entry is draining; retry at another entry",
                  run_state::NotRun,
                  milliseconds(500));
  }
}

void
entry_daemon::SubmitChange(http_exchange& aExchange, config_change aChange)
{
  RequireNotDraining();
  aChange.mToken = aExchange.Id();
  aChange.mOperator = OperatorOf(aExchange);
  aChange.mReason = aExchange.Header("X-Reason");
  constexpr size_t kMaxReason = 500;
  if (aChange.mReason.empty() || aChange.mReason.size() > kMaxReason) {
    throw failure(error_code::BadRequest,
                  "read change",
                  "operator",
                  "a reason of 1 to 500 characters is needed (X-Reason)");
  }
  std::string revision = aExchange.Header("X-Expected-Revision");
  if (aChange.mAction != change_action::PutTeam) {
    guint64 value = 0;
    bool valid = g_ascii_string_to_unsigned(
      revision.c_str(), 10, 0, G_MAXUINT64, &value, nullptr);
    if (!valid) {
      throw failure(error_code::BadRequest,
                    "read change",
                    "operator",
                    "X-Expected-Revision must be the revision that the change "
                    "is based on, or 0 to create");
    }
    aChange.mExpectedRevision = value;
  }
  aChange.mOperation =
    std::to_string(mIncarnation) + "-" + std::to_string(mNextKey++);
  mNode->Change(aChange, Now());
}

void
entry_daemon::OnProfile(http_exchange& aExchange, const std::string& aName)
{
  const std::string& method = aExchange.Method();
  if (method == "GET") {
    mHttp->Answer(aExchange.Id(), { 200, SerializeProfile(ProfileOf(aName)) });
    return;
  }
  OperatorOf(aExchange); // authorized before the body is parsed
  config_change change;
  if (method == "DELETE") {
    change.mAction = change_action::RetireProfile;
    change.mProfile.mName = aName;
  } else if (method == "PUT") {
    change.mProfile = ParseProfile(aExchange.Body()).Value();
  } else {
    throw failure(error_code::BadRequest,
                  "read change",
                  "operator",
                  "only GET, PUT and DELETE are allowed");
  }
  if (change.mProfile.mName != aName) {
    throw failure(error_code::BadRequest,
                  "read change",
                  "operator",
                  "the name in the body differs from the path's");
  }
  SubmitChange(aExchange, std::move(change));
}

void
entry_daemon::OnTeam(http_exchange& aExchange, const std::string& aName)
{
  if (aExchange.Method() != "PUT") {
    throw failure(
      error_code::BadRequest, "read change", "operator", "only PUT is allowed");
  }
  OperatorOf(aExchange);
  config_change change;
  change.mAction = change_action::PutTeam;
  change.mTeam = ParseTeam(aExchange.Body()).Value();
  if (change.mTeam.mName != aName) {
    throw failure(error_code::BadRequest,
                  "read change",
                  "operator",
                  "the name in the body differs from the path's");
  }
  SubmitChange(aExchange, std::move(change));
}

void
entry_daemon::OnAudit(http_exchange& aExchange, const std::string& aName)
{
  OperatorOf(aExchange);
  RequireNotDraining();
  audit_read read;
  read.mExchange = aExchange.Id();
  read.mName = aName;
  read.mLimit =
    aExchange.QueryNumber("limit", kDefaultAuditRows, kMaxAuditRows);
  uint32_t rows = aName.empty() ? read.mLimit : kMaxAuditRows;
  mAuditReads[mTable.Read("audit/", rows, true)] = read;
}

void
entry_daemon::FailAudit(const audit_read& aRead)
{
  Fail(aRead.mExchange,
       failure(error_code::Unavailable,
               "read audit",
               "table",
               "the table does not reply",
               run_state::NotRun,
               std::chrono::seconds(1)));
}

void
entry_daemon::OnTableReply(const table_reply& aReply)
{
  auto found = mAuditReads.find(aReply.mRequest);
  if (found == mAuditReads.end()) {
    mNode->OnTableReply(aReply, Now());
    return;
  }
  audit_read read = std::move(found->second);
  mAuditReads.erase(found);
  if (aReply.mStatus != table_status::Ok) {
    FailAudit(read);
    return;
  }
  read.mRows.insert(read.mRows.end(), aReply.mRows.begin(), aReply.mRows.end());
  if (!read.mReadingRefused) {
    read.mReadingRefused = true;
    mAuditReads[mTable.Read("refused/", read.mLimit, true)] = read;
    return;
  }
  mHttp->Answer(read.mExchange, { 200, RenderAudit(read.mRows, read.mName) });
}

http_answer
entry_daemon::Metrics() const
{
  metrics_page page;
  AddConnectionMetrics(*mHttp, &page);
  owner_counters counters = mNode->Counters();
  const transport_counters& transport = mTransport->Counters();
  struct counter_row
  {
    const char* mName;
    const char* mHelp;
    uint64_t mValue;
  };
  const counter_row kRows[] = {
    { "jobs_accepted", "Jobs admitted.", counters.mJobsAccepted },
    { "jobs_refused", "Submissions refused.", counters.mJobsRefused },
    { "jobs_complete", "Jobs that completed.", counters.mJobsComplete },
    { "jobs_failed", "Jobs that failed.", counters.mJobsFailed },
    { "tasks_dispatched", "Tasks sent to workers.", counters.mDispatchedTasks },
    { "tasks_repeated",
      "Tasks dispatched again after a refusal.",
      counters.mRequeuedTasks },
    { "tasks_refused", "Tasks refused by guards.", counters.mRefusedTasks },
    { "results", "Results received.", counters.mResultTasks },
    { "results_duplicate",
      "Results received before.",
      counters.mDuplicateResults },
    { "dispatch_messages", "Dispatch messages.", counters.mDispatchMessages },
    { "result_messages", "Result messages.", counters.mResultMessages },
    { "ack_messages",
      "Messages with acknowledgements only.",
      counters.mAckMessages },
    { "settle_messages",
      "Queries for tasks in doubt.",
      counters.mResolveMessages },
    { "cancel_messages", "Cancellations.", counters.mCancelMessages },
    { "fetch_messages", "Requests for results.", counters.mFetchMessages },
    { "lease_messages", "Lease requests.", counters.mLeaseMessages },
    { "requests_forwarded",
      "Requests forwarded to other entries.",
      mNode->ForwardedRequests() },
    { "http_requests", "HTTP requests.", mHttp->ReceivedRequests() },
    { "peer_bytes_received", "Bytes from peers.", transport.mBytesIn },
    { "peer_bytes_sent", "Bytes to peers.", transport.mBytesOut },
    { "peer_messages_received", "Messages from peers.", transport.mMessagesIn },
    { "peer_messages_sent", "Messages to peers.", transport.mMessagesOut },
    { "peer_protocol_errors", "Malformed frames.", transport.mProtocolErrors },
    { "peer_refused",
      "Peers that could not prove the shared key.",
      transport.mRefusedPeers },
    { "send_budget_spent",
      "Peers closed with too much unsent output.",
      transport.mSendBudgetExceeded },
    { "table_reads", "Reads of the table.", mTable.Counters().mReads },
    { "table_writes", "Writes to the table.", mTable.Counters().mWrites },
    { "table_unavailable",
      "Table requests without a reply.",
      mTable.Counters().mUnavailable },
  };
  for (const counter_row& row : kRows) {
    page.Counter(std::string("cactusmast_") + row.mName + "_total",
                 row.mHelp,
                 double(row.mValue));
  }
  uint32_t queued = 0;
  uint32_t undecided = 0;
  for (const entry_node::shard_status& shard : mNode->Shards(Now())) {
    queued += shard.mQueued;
    undecided += shard.mUndecided;
  }
  page.Gauge(
    "cactusmast_queued_tasks", "Tasks queued in shards of this entry.", queued);
  page.Gauge("cactusmast_undecided_jobs",
             "Open jobs in shards of this entry.",
             undecided);
  page.Gauge("cactusmast_open_requests",
             "Callers' requests that this entry has yet to answer.",
             double(mNode->OpenRequests()));
  page.Gauge("cactusmast_config_version",
             "Configuration version in force.",
             double(mNode->Config().Config().mVersion));
  AddProcessMetrics(&page);
  return { 200, page.Render(), "text/plain; version=0.0.4" };
}

} // namespace cactusmast
