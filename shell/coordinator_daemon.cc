#include "shell/coordinator_daemon.h"

#include <algorithm>

#include "cactusmast/time_spans.h"
#include "shell/share_metrics.h"

namespace cactusmast {
namespace {

// A watch without a change returns after this time, which shows that the
// connection still works. A change must be in force within 2 s.
constexpr uint32_t kConfigWatchMs = 1500;
// Entries change rarely, and heartbeats and settings name them too.
constexpr uint32_t kEntryWatchMs = 10000;
constexpr duration kPeerEntryTimeout = milliseconds(1000);
// Interval between checks for executors that are due a heartbeat. Every message
// causes a turn of the loop, and each check visits all busy executors.
constexpr duration kExecutorCheckInterval = milliseconds(20);
constexpr duration kRegistrationRetryInterval = milliseconds(1000);
// The timeout model changes slowly, and all entries write the same row.
constexpr duration kTimeoutModelInterval = milliseconds(5000);
constexpr uint64_t kMinNewObservations = 20;
// Bytes of headers and body. The route table's limit applies only once there is
// a configuration.
constexpr size_t kMaxRequestBytes = 1u << 20;

} // namespace

coordinator_daemon::coordinator_daemon(const coordinator_settings& aSettings,
                                       const coordinator_adapter& aAdapter)
  : instance_daemon(aSettings.mInstance,
                    process_role::Entry,
                    aSettings.mInstance.PeerAddress())
  , mSettings(aSettings)
  , mAdapter(aAdapter)
  , mCoordinator(aSettings.mInstance.mName,
                 aSettings.mInstance.mDataCenter,
                 *this,
                 *this,
                 *this,
                 mLog,
                 aSettings.mInstance.mMechanisms,
                 aSettings.mOverload)
  , mConfig(aAdapter.mDecodeConfig)
  , mEvacuationRows(aAdapter.mEvacuations, mLog)
  , mTimeoutModelRow(aAdapter.mStore,
                     { aAdapter.mLayout.mTimeoutModelTable, "", "waits" },
                     mLog)
  , mConfigWatcher(
      aAdapter.mLayout.mConfigTable,
      kConfigWatchMs,
      aAdapter.mStore,
      [this](const table_change& aChange) { OnOperatorRows(aChange); },
      mLog)
  , mEntryWatcher(
      aAdapter.mLayout.mEntryTable,
      kEntryWatchMs,
      aAdapter.mStore,
      [this](const table_change& aChange) { OnEntryRows(aChange); },
      mLog)
  , mConfigFetcher(*this)
  , mLoadLog(mLog, loop_load::OfMainContext())
  , mForwardingPolicy(aSettings.mProcessorMillis, *this)
{
}

result<std::unique_ptr<coordinator_daemon>>
coordinator_daemon::Create(const coordinator_settings& aSettings,
                           const coordinator_adapter& aAdapter)
{
  return ResultOf<std::unique_ptr<coordinator_daemon>>([&] {
    std::unique_ptr<coordinator_daemon> daemon(
      new coordinator_daemon(aSettings, aAdapter));
    daemon->Open();
    return daemon;
  });
}

void
coordinator_daemon::Open()
{
  OpenInstance();
  if (IsForwardingOn()) {
    mBusySource = mAdapter.mBusySource != nullptr ? mAdapter.mBusySource
                                                  : &loop_load::OfMainContext();
  }
  mFront = std::move(http_server::Create(
                       mSettings.mFront,
                       kMaxRequestBytes,
                       [this](http_exchange& aExchange) {
                         mLoadLog.OnRequest(aExchange.Waited());
                         OnRequest(aExchange);
                       },
                       [this](uint64_t aId) {
                         CheckStandstill();
                         OnCallerGone(aId);
                         TickSoon();
                       })
                       .Value());
  mFront->Observe(&mConnectionLog);
  mFront->ScreenRequests(this);
  mReadiness = std::move(http_server::Create(
                           mSettings.mReadiness,
                           kMaxRequestBytes,
                           [this](http_exchange& aExchange) {
                             http_answer answer;
                             answer.mStatus = IsReady() ? 200 : 503;
                             mReadiness->Answer(aExchange.Id(), answer);
                           },
                           [](uint64_t) {})
                           .Value());
  mTimeoutModelRow.Load([this](const std::string& aBytes) {
    result<bool> merged = mCoordinator.TimeoutModel().Merge(aBytes);
    if (!merged.Ok()) {
      mLog.Emit(event_code::PeerProtocolError,
                { { "peer", "store" }, { "text", merged.Error().what() } });
    }
  });
  mLog.Emit(event_code::ProcessStarted,
            { { "role", "coordinator" },
              { "front", mSettings.mFront },
              { "listen", mInstance.PeerAddress() } });
}

bool
coordinator_daemon::IsReady() const
{
  return !IsDraining() && mConfig.Table() != nullptr &&
         mCoordinator.ReadyServers() > 0;
}

void
coordinator_daemon::SendDispatch(peer_id aExecutor,
                                 wire::start_tasks_msg aMessage)
{
  SendAsHeartbeat(aExecutor, MakeMessage(std::move(aMessage)));
}

void
coordinator_daemon::SendStop(peer_id aExecutor, wire::stop_tasks_msg aMessage)
{
  mTransport->Send(aExecutor, MakeMessage(std::move(aMessage)));
}

void
coordinator_daemon::Subscribe(peer_id aExecutor, bool aWanted)
{
  wire::report_subscription_msg subscription;
  subscription.wanted = aWanted;
  mTransport->Send(aExecutor, MakeMessage(subscription));
}

void
coordinator_daemon::SendEvacuations(peer_id aExecutor)
{
  auto found = mExecutorPeers.find(aExecutor);
  if (found != mExecutorPeers.end()) {
    SendExecutorHeartbeat(aExecutor, found->second, Now());
  }
}

void
coordinator_daemon::Close(peer_id aExecutor)
{
  mTransport->Close(aExecutor);
  mExecutorPeers.erase(aExecutor);
}

double
coordinator_daemon::NextUniform()
{
  return g_random_double();
}

void
coordinator_daemon::OnPeerUp(peer_id aPeer, const peer_identity& aIdentity)
{
  mLog.Emit(event_code::PeerUp,
            { { "peer", aIdentity.mName },
              { "role", std::string(Name(aIdentity.mRole)) },
              { "incarnation", std::to_string(aIdentity.mIncarnation) } });
  if (aIdentity.mRole == process_role::Guard) {
    executor_peer& added = mExecutorPeers[aPeer];
    mCoordinator.OnExecutorUp(aPeer, aIdentity, Now());
    SendExecutorHeartbeat(aPeer, added, Now());
  } else {
    entry_peer& added = mEntryPeers[aPeer];
    added.mName = aIdentity.mName;
    added.mIncarnation = aIdentity.mIncarnation;
    added.mAddress = aIdentity.mAddress;
    added.mLastHeard = Now();
    mDirectory.OnConnected(aIdentity.mAddress, Now());
    mNextHeartbeat = Now();
  }
  TickSoon();
}

void
coordinator_daemon::OnPeerDown(peer_id aPeer)
{
  mLog.Emit(event_code::PeerDown, { { "peer", std::to_string(aPeer) } });
  mCoordinator.OnExecutorDown(aPeer, Now());
  mExecutorPeers.erase(aPeer);
  auto found = mEntryPeers.find(aPeer);
  if (found != mEntryPeers.end()) {
    mDirectory.OnDisconnected(found->second.mAddress, Now());
    RemoveEntryPeer(aPeer);
  }
  TickSoon();
}

void
coordinator_daemon::RemoveEntryPeer(peer_id aPeer)
{
  mConfigFetcher.Remove(aPeer);
  mConfigProvider.Remove(aPeer);
  EndForwards(aPeer);
  mEntryPeers.erase(aPeer);
}

void
coordinator_daemon::OnPeerMessage(peer_id aPeer, const message& aMessage)
{
  CheckStandstill();
  auto entry = mEntryPeers.find(aPeer);
  if (entry != mEntryPeers.end()) {
    OnEntryMessage(aPeer, entry->second, aMessage);
  } else if (aMessage.type == message_kind::server_report) {
    mReports++;
    mCoordinator.OnReport(aPeer, *aMessage.Asserver_report(), Now());
  }
  TickSoon();
}

// Evacuations are applied first: a request that is held until there is a
// configuration must not run in a data centre that is known to be evacuated.
void
coordinator_daemon::OnOperatorRows(const table_change& aChange)
{
  instant now = Now();
  mCoordinator.OnEvacuations(
    evacuation_update{ mEvacuationRows.Apply(aChange), now }, now);
  for (const store_row& row : aChange.mRows) {
    if (row.mKey == mAdapter.mLayout.mConfigKey && !row.mDeleted) {
      UpdateConfig(row.mValue, "store");
    }
  }
}

void
coordinator_daemon::OnEntryRows(const table_change& aChange)
{
  for (const store_row& row : aChange.mRows) {
    if (row.mDeleted) {
      mDirectory.Unpin(row.mKey);
    } else {
      AddEntry(row.mKey, true, "store", Now());
    }
  }
}

// Writes this entry's row until the store has it; while draining, deletes it.
void
coordinator_daemon::RegisterSelf(instant aNow)
{
  bool draining = IsDraining();
  if (mRegistered != draining || mRegistering || aNow < mNextRegistration) {
    return;
  }
  mRegistering = true;
  store_row row{ mInstance.PeerAddress(), mInstance.mName, draining, "" };
  mAdapter.mStore.PutRow(mAdapter.mLayout.mEntryTable,
                         row,
                         [this, draining](const store_reply& aReply) {
                           mRegistering = false;
                           mNextRegistration =
                             Now() + kRegistrationRetryInterval;
                           if (aReply.mStatus == store_status::Ok) {
                             mRegistered = !draining;
                           }
                         });
}

// With the stored model, a restarted entry knows its callers' timeouts at once.
// Each write is a complete, recent model, so it does not matter which entry
// wrote last.
void
coordinator_daemon::StoreTimeoutModel(instant aNow)
{
  const timeout_model& model = mCoordinator.TimeoutModel();
  if (aNow >= mNextTimeoutModelWrite &&
      model.Observations() >= mStoredObservations + kMinNewObservations) {
    mNextTimeoutModelWrite = aNow + kTimeoutModelInterval;
    mStoredObservations = model.Observations();
    mTimeoutModelRow.Set(model.Encode());
  }
  mTimeoutModelRow.Tick(aNow);
}

void
coordinator_daemon::SendAsHeartbeat(peer_id aExecutor, message aMessage)
{
  auto found = mExecutorPeers.find(aExecutor);
  if (found != mExecutorPeers.end()) {
    found->second.mSentAt = Now();
  }
  mTransport->Send(aExecutor, std::move(aMessage));
}

wire::entry_pulse_msg
coordinator_daemon::MakeHeartbeat(uint64_t* aSentRevision, instant aNow) const
{
  wire::entry_pulse_msg heartbeat;
  heartbeat.config_version = mConfig.Version();
  heartbeat.evacuating = EncodeEvacuations(mCoordinator.Evacuations(), aNow);
  if (*aSentRevision != mDirectory.Revision()) {
    heartbeat.entries = mDirectory.LiveAddresses(aNow);
    *aSentRevision = mDirectory.Revision();
  }
  return heartbeat;
}

// Every dispatch counts as a heartbeat, so heartbeats go only to executors that
// have been sent neither for kHeartbeatInterval.
void
coordinator_daemon::SendExecutorHeartbeats(instant aNow)
{
  if (aNow < mNextExecutorCheck) {
    return;
  }
  mNextExecutorCheck = aNow + kExecutorCheckInterval;
  // A copy, because closing a connection removes its executor from the busy
  // ones.
  const std::set<peer_id> busy = mCoordinator.BusyExecutors();
  for (peer_id peer : busy) {
    auto found = mExecutorPeers.find(peer);
    bool due = found != mExecutorPeers.end() &&
               aNow - found->second.mSentAt >= kHeartbeatInterval;
    if (due) {
      SendExecutorHeartbeat(peer, found->second, aNow);
    }
  }
  if (mSentRevision != mDirectory.Revision()) {
    mSentRevision = mDirectory.Revision();
    SendEntryList(aNow);
  }
}

void
coordinator_daemon::SendEntryList(instant aNow)
{
  std::vector<peer_id> outdated;
  for (const auto& [peer, state] : mExecutorPeers) {
    if (state.mSentRevision != mSentRevision) {
      outdated.push_back(peer);
    }
  }
  for (peer_id peer : outdated) {
    auto found = mExecutorPeers.find(peer);
    if (found != mExecutorPeers.end()) {
      SendExecutorHeartbeat(peer, found->second, aNow);
    }
  }
}

void
coordinator_daemon::SendExecutorHeartbeat(peer_id aPeer,
                                          executor_peer& aState,
                                          instant aNow)
{
  wire::entry_pulse_msg heartbeat = MakeHeartbeat(&aState.mSentRevision, aNow);
  heartbeat.receiver_clock_ms = mCoordinator.ExecutorClockMs(aPeer, aNow);
  SendAsHeartbeat(aPeer, MakeMessage(std::move(heartbeat)));
}

void
coordinator_daemon::SendHeartbeats(instant aNow)
{
  SendExecutorHeartbeats(aNow);
  if (aNow < mNextHeartbeat && !IsLoadOverdue(aNow)) {
    return;
  }
  mNextHeartbeat = aNow + kEntryHeartbeatInterval;
  std::optional<wire::entry_load_msg> load = NextLoad(aNow);
  for (auto& [peer, state] : mEntryPeers) {
    wire::entry_pulse_msg heartbeat = MakeHeartbeat(&state.mSentRevision, aNow);
    heartbeat.requests_config = true;
    if (load) {
      heartbeat.load = std::make_unique<wire::entry_load_msg>(*load);
    }
    mTransport->Send(peer, MakeMessage(std::move(heartbeat)));
    SendConfigTo(peer, state, aNow);
  }
}

void
coordinator_daemon::CheckEntryTimeouts(instant aNow)
{
  for (auto it = mEntryPeers.begin(); it != mEntryPeers.end();) {
    if (aNow - it->second.mLastHeard <= kPeerEntryTimeout) {
      ++it;
      continue;
    }
    mSilentPeers++;
    mLog.Emit(
      event_code::PeerSilent,
      { { "peer", it->second.mAddress },
        { "silent_ms", std::to_string(ToMs(aNow - it->second.mLastHeard)) },
        { "partial_bytes",
          std::to_string(mTransport->PartialBytes(it->first)) } });
    mDirectory.OnDisconnected(it->second.mAddress, aNow);
    peer_id silent = it->first;
    ++it;
    mTransport->Close(silent);
    RemoveEntryPeer(silent);
  }
}

void
coordinator_daemon::OnTick()
{
  CheckStandstill();
  instant now = Now();
  if (IsForwardingOn()) {
    // Before any task is placed: those of a silent entry must not start.
    CheckEntryTimeouts(now);
    UpdateForwarding(now);
    mOldInputTurns -= mOldInputTurns > 0 ? 1 : 0;
  }
  CheckSettingsFile(now);
  mConfigWatcher.Tick(now);
  mEntryWatcher.Tick(now);
  RegisterSelf(now);
  StoreTimeoutModel(now);
  RefuseOverdueRequests(now);
  CloseIdleConnections(now);
  mCoordinator.Tick(now);
  CheckEntryTimeouts(now);
  // Of two entries, the one with the lower address dials, so that there is one
  // connection between them.
  DialEntries(now, [this](const std::string& aAddress) {
    return aAddress > mInstance.PeerAddress();
  });
  SendHeartbeats(now);
  RequestConfig(now);
  mLoadLog.Tick(MakeLoadTotals(), now);
  mTransport->Flush();
  mTransport->Sweep();
}

// Every report triggers a new attempt to place the waiting tasks, so the
// interval only bounds how late a deadline or a timeout is noticed.
uint32_t
coordinator_daemon::TickIntervalMs() const
{
  return 20;
}

result<instance_settings>
coordinator_daemon::ReadSettings() const
{
  const std::string& file = mInstance.mFile;
  return ResultOf<instance_settings>([&] {
    return ReadCoordinatorSettings(ReadFile(file), file).Value().mInstance;
  });
}

void
coordinator_daemon::OnDrain()
{
  mDrainingSince = Now();
  mLog.Emit(event_code::ProcessDraining,
            { { "open_jobs", std::to_string(mCoordinator.OpenJobs()) } });
}

bool
coordinator_daemon::IsDrained()
{
  return !AcceptsJobs() && mCoordinator.OpenJobs() == 0 &&
         mSentJobs.Size() == 0 && mFront->OpenExchanges() == 0;
}

bool
coordinator_daemon::OutputPending() const
{
  return mFront->UnsentAnswers() > 0 || instance_daemon::OutputPending();
}

void
coordinator_daemon::OnAbort()
{
  mLog.Emit(event_code::DrainDeadline,
            { { "open_jobs", std::to_string(mCoordinator.OpenJobs()) } });
  AbortForwards();
  mCoordinator.EndAll("this process ends", Now());
  for (caller_id held : mHeldRequests.TakeAll()) {
    RefuseUnconfigured(held);
  }
  mTransport->Flush();
}

void
coordinator_daemon::OnExit(std::vector<event_field>* aFields)
{
  ReportAtExit(mFront.get(), aFields);
}

void
coordinator_daemon::AddMetrics(metrics_page* aPage)
{
  AddConfigMetrics(aPage);
  AddConnectionMetrics(*mFront, aPage);
  const coordinator_counters& counts = mCoordinator.Counters();
  aPage->Counter(
    "cactusmast_jobs_accepted", "Jobs accepted.", double(counts.mAccepted));
  aPage->Counter(
    "cactusmast_jobs_completed", "Jobs completed.", double(counts.mCompleted));
  aPage->Counter(
    "cactusmast_jobs_failed", "Jobs failed.", double(counts.mFailed));
  aPage->Counter("cactusmast_jobs_refused",
                 "Jobs refused without being run.",
                 double(counts.mRefused));
  aPage->Counter("cactusmast_jobs_not_admitted",
                 "Jobs refused because their requests waited too long to be "
                 "read.",
                 double(mAdmission.Refused()));
  aPage->Counter("cactusmast_jobs_expired",
                 "Jobs that ran out of time after a task may have started.",
                 double(counts.mExpired));
  aPage->Counter("cactusmast_jobs_in_objective",
                 "Completed jobs that met their objective.",
                 double(counts.mInObjective));
  aPage->Counter("cactusmast_jobs_late",
                 "Completed jobs that missed their objective.",
                 double(counts.mLate));
  aPage->Counter("cactusmast_jobs_given_up",
                 "Jobs whose callers disconnected.",
                 double(counts.mGivenUp));
  aPage->Latency("cactusmast_job_completed_seconds",
                 "From acceptance to the answer of completed jobs.",
                 counts.mCompletedIn);
  aPage->Latency("cactusmast_job_otherwise_seconds",
                 "From acceptance to the answer of all other jobs.",
                 counts.mOtherEndingsIn);
  aPage->Counter("cactusmast_orders_sent",
                 "Messages that dispatched tasks.",
                 double(counts.mDispatches));
  aPage->Counter("cactusmast_attempts", "Attempts.", double(counts.mAttempts));
  aPage->Counter("cactusmast_attempts_bounced",
                 "Attempts that an executor did not start.",
                 double(counts.mNotStarted));
  aPage->Counter("cactusmast_attempts_lost",
                 "Attempts whose executor was lost.",
                 double(counts.mLost));
  aPage->Gauge(
    "cactusmast_jobs_open", "Open jobs.", double(mCoordinator.OpenJobs()));
  aPage->Gauge("cactusmast_tasks_waiting",
               "Tasks that are not placed yet.",
               double(mCoordinator.WaitingTasks()));
  aPage->Gauge("cactusmast_servers_ready",
               "Backend servers last reported as ready.",
               double(mCoordinator.ReadyServers()));
  aPage->Gauge("cactusmast_servers_placeable",
               "Backend servers that tasks are placed on.",
               double(mCoordinator.PlaceableServers()));
  AddForwardingMetrics(aPage);
  AddDemandMetrics(aPage);
  AddShareMetrics(mCoordinator, aPage);
  AddEvacuationMetrics(mCoordinator.Evacuations(), Now(), aPage);
  aPage->Gauge("cactusmast_store_available",
               "1 if the store answers, else 0.",
               mConfigWatcher.Available() ? 1 : 0);
}

} // namespace cactusmast
