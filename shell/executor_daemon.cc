#include "shell/executor_daemon.h"

#include "cactusmast/server_record.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

constexpr size_t kMaxAnnouncementBytes = 4u << 20;
// How often the addresses of entries are read while none is connected.
constexpr duration kReadEntriesInterval = milliseconds(2000);
constexpr duration kReadEvacuationsInterval = milliseconds(1000);
// Shorter than the shortest interval that the executor keeps, 25 ms.
constexpr uint32_t kBusyTickMs = 20;
// Without tasks, only timeouts of entries and the backend server have to be
// checked.
constexpr uint32_t kIdleTickMs = 50;

} // namespace

executor_daemon::executor_daemon(const executor_settings& aSettings,
                                 const executor_adapter& aAdapter)
  : instance_daemon(aSettings.mInstance, process_role::Guard, "")
  , mSettings(aSettings)
  , mAdapter(aAdapter)
  , mExecutor(FencingTokenAt(WallMilliseconds()),
              aSettings.mService,
              aSettings.mInstance.mDataCenter,
              *this,
              aAdapter.mRunner,
              mLog,
              aSettings.mInstance.mMechanisms)
  // Each executor has its own partition, so that many that start at once do not
  // queue at a single one.
  , mServerRecord(aAdapter.mStore,
                  { aAdapter.mServerTable,
                    aSettings.mInstance.mName,
                    aSettings.mInstance.mName },
                  mLog)
  , mEvacuationRows(aAdapter.mEvacuations, mLog)
{
  if (aSettings.mStallDetection) {
    mExecutor.DetectStalls();
  }
}

result<std::unique_ptr<executor_daemon>>
executor_daemon::Create(const executor_settings& aSettings,
                        const executor_adapter& aAdapter)
{
  return ResultOf<std::unique_ptr<executor_daemon>>([&] {
    std::unique_ptr<executor_daemon> daemon(
      new executor_daemon(aSettings, aAdapter));
    daemon->Open();
    return daemon;
  });
}

void
executor_daemon::Open()
{
  OpenInstance();
  mControl = std::move(
    http_server::Create(
      mSettings.mControl,
      kMaxAnnouncementBytes,
      [this](http_exchange& aExchange) { OnControlRequest(aExchange); },
      [](uint64_t) {})
      .Value());
  mControl->Observe(&mConnectionLog);
  mLog.Emit(event_code::ProcessStarted,
            { { "role", "executor" },
              { "control", mSettings.mControl },
              { "listen", mInstance.PeerAddress() } });
  mServerRecord.Load(
    [this](const std::string& aBytes) { OnServerRecord(aBytes); });
}

void
executor_daemon::OnControlRequest(http_exchange& aExchange)
{
  result<decoded_announcement> decoded = mAdapter.mAnnouncements.Decode(
    aExchange.Method(), aExchange.Path(), aExchange.Body());
  if (!decoded.Ok()) {
    RefuseAnnouncement(aExchange, decoded.Error());
    return;
  }
  const decoded_announcement& announcement = decoded.Value();
  if (announcement.mKind == announcement_kind::Withdrawn) {
    mExecutor.OnWithdrawal(announcement.mServer.mId, Now());
  } else if (!mExecutor.OnAnnouncement(announcement.mServer, Now())) {
    RefuseAnnouncement(aExchange,
                       failure(error_code::BadRequest,
                               "announce",
                               "backend server",
                               "its service is not " + mSettings.mService));
    return;
  }
  StoreServerRecord();
  http_answer answer;
  answer.mBody = "{}";
  mControl->Answer(aExchange.Id(), answer);
  TickSoon();
}

void
executor_daemon::RefuseAnnouncement(const http_exchange& aExchange,
                                    const failure& aWhy)
{
  mLog.Emit(event_code::PeerProtocolError,
            { { "peer", "backend server" }, { "text", aWhy.what() } });
  mControl->Answer(aExchange.Id(), ErrorAnswer(aWhy));
}

void
executor_daemon::OnServerRecord(const std::string& aBytes)
{
  result<server_announcement> record = DecodeServerRecord(aBytes);
  if (!record.Ok()) {
    mLog.Emit(event_code::PeerProtocolError,
              { { "peer", "store" }, { "text", record.Error().what() } });
    return;
  }
  mExecutor.OnAnnouncementRestored(record.Value(), Now());
  TickSoon();
}

void
executor_daemon::StoreServerRecord()
{
  const server_announcement* server = mExecutor.Announcement();
  if (server == nullptr) {
    return;
  }
  if (server->mDraining) {
    mServerRecord.Remove();
  } else {
    mServerRecord.Set(EncodeServerRecord(*server));
  }
}

void
executor_daemon::OnPeerUp(peer_id aPeer, const peer_identity& aIdentity)
{
  mLog.Emit(event_code::PeerUp,
            { { "peer", aIdentity.mName },
              { "incarnation", std::to_string(aIdentity.mIncarnation) } });
  mEntryPeers[aPeer] = aIdentity.mAddress;
  mDirectory.OnConnected(aIdentity.mAddress, Now());
  mExecutor.OnEntryUp(aPeer, aIdentity.mName, Now());
  TickSoon();
}

void
executor_daemon::OnPeerDown(peer_id aPeer)
{
  auto found = mEntryPeers.find(aPeer);
  if (found == mEntryPeers.end()) {
    return;
  }
  mLog.Emit(event_code::PeerDown, { { "peer", found->second } });
  mDirectory.OnDisconnected(found->second, Now());
  mEntryPeers.erase(found);
  mExecutor.OnEntryDown(aPeer, Now());
  TickSoon();
}

void
executor_daemon::OnPeerMessage(peer_id aPeer, const message& aMessage)
{
  instant now = Now();
  switch (aMessage.type) {
    case message_kind::start_tasks:
      mExecutor.OnStartTasks(aPeer, *aMessage.Asstart_tasks(), now);
      break;
    case message_kind::stop_tasks:
      mExecutor.OnStopTasks(aPeer, *aMessage.Asstop_tasks(), now);
      break;
    case message_kind::report_subscription:
      mExecutor.OnSubscription(aPeer, aMessage.Asreport_subscription()->wanted);
      break;
    case message_kind::entry_pulse:
      mExecutor.OnHeartbeat(
        aPeer, aMessage.Asentry_pulse()->receiver_clock_ms, now);
      AddEntries(aMessage.Asentry_pulse()->entries, mEntryPeers[aPeer], now);
      if (!mExecutor.OnEvacuations(
            DecodeEvacuations(aMessage.Asentry_pulse()->evacuating.get(), now),
            now)) {
        return;
      }
      break;
    default:
      return;
  }
  TickSoon();
}

void
executor_daemon::Report(peer_id aEntry, const wire::server_report_msg& aReport)
{
  mTransport->Send(aEntry, MakeMessage(aReport));
}

void
executor_daemon::Close(peer_id aEntry)
{
  auto found = mEntryPeers.find(aEntry);
  if (found != mEntryPeers.end()) {
    mDirectory.OnDisconnected(found->second, Now());
    mEntryPeers.erase(found);
  }
  mTransport->Close(aEntry);
}

// The seeds in the settings may all have been replaced since.
void
executor_daemon::ReadEntries(instant aNow)
{
  if (mDirectory.ConnectedCount() > 0 || mReadingEntries ||
      aNow < mNextEntriesRead) {
    return;
  }
  mReadingEntries = true;
  mNextEntriesRead = aNow + kReadEntriesInterval;
  mAdapter.mStore.ReadPartition(
    mAdapter.mEntryTable, "", {}, [this](const store_reply& aReply) {
      mReadingEntries = false;
      std::vector<std::string> addresses;
      for (const store_row& row : aReply.mRows) {
        addresses.push_back(row.mKey);
      }
      AddEntries(addresses, "store", Now());
    });
}

// The store is read directly, because the entries that dispatch here may all be
// cut off from it.
void
executor_daemon::ReadEvacuations(instant aNow)
{
  bool due = !mReadingEvacuations && aNow >= mNextEvacuationsRead;
  if (!due || !mExecutor.WantsEvacuations(aNow)) {
    return;
  }
  mReadingEvacuations = true;
  mNextEvacuationsRead = aNow + kReadEvacuationsInterval;
  // Only their rows: the configuration in the same table may be long, and many
  // executors read at once.
  mAdapter.mStore.ReadPartition(
    mAdapter.mConfigTable,
    "",
    mAdapter.mEvacuations.Keys(),
    [this](const store_reply& aReply) {
      mReadingEvacuations = false;
      if (aReply.mStatus == store_status::Ok) {
        instant now = Now();
        const evacuation_state& read =
          mEvacuationRows.Apply({ aReply.mRows, aReply.mVersion, true });
        mExecutor.OnEvacuations(evacuation_update{ read, now }, now);
        TickSoon();
      }
    });
}

void
executor_daemon::OnTick()
{
  instant now = Now();
  CheckSettingsFile(now);
  mExecutor.Tick(now);
  DialEntries(now, [](const std::string&) { return true; });
  ReadEntries(now);
  ReadEvacuations(now);
  mServerRecord.Tick(now);
  mTransport->Flush();
  mTransport->Sweep();
}

uint32_t
executor_daemon::TickIntervalMs() const
{
  bool busy = mExecutor.Running() + mExecutor.Queued() > 0;
  return busy ? kBusyTickMs : kIdleTickMs;
}

result<instance_settings>
executor_daemon::ReadSettings() const
{
  const std::string& file = mInstance.mFile;
  return ResultOf<instance_settings>([&] {
    return ReadExecutorSettings(ReadFile(file), file).Value().mInstance;
  });
}

void
executor_daemon::OnDrain()
{
  mLog.Emit(event_code::ProcessDraining,
            { { "running", std::to_string(mExecutor.Running()) },
              { "queued", std::to_string(mExecutor.Queued()) } });
  mExecutor.Drain(Now());
}

bool
executor_daemon::IsDrained()
{
  return mExecutor.IsDrained() && !mTransport->OutputPending();
}

void
executor_daemon::OnAbort()
{
  mLog.Emit(event_code::DrainDeadline,
            { { "running", std::to_string(mExecutor.Running()) } });
}

void
executor_daemon::OnExit(std::vector<event_field>* aFields)
{
  ReportAtExit(mControl.get(), aFields);
}

void
executor_daemon::AddMetrics(metrics_page* aPage)
{
  AddConnectionMetrics(*mControl, aPage);
  aPage->Gauge("cactusmast_tasks_running",
               "Tasks that may be running.",
               double(mExecutor.Running()));
  aPage->Gauge("cactusmast_tasks_queued",
               "Tasks queued here for free capacity.",
               double(mExecutor.Queued()));
  aPage->Gauge("cactusmast_free_cpu_millis",
               "Free capacity in thousandths of a core.",
               double(mExecutor.Free().mCpuMillis));
  aPage->Counter("cactusmast_tasks_stalled",
                 "Running tasks stopped because they made no progress.",
                 double(mExecutor.StalledTasks()));
  runner_load load = mAdapter.mRunner.Load(Now());
  aPage->Gauge("cactusmast_runner_requests_waiting",
               "Requests that wait for a connection to the backend server.",
               double(load.mWaiting));
  aPage->Gauge("cactusmast_runner_oldest_waiting_ms",
               "How long the oldest of them has waited.",
               double(ToMs(load.mOldest)));
  aPage->Counter("cactusmast_runner_requests_not_sent",
                 "Requests taken back because no connection led to the "
                 "incarnation of the backend server that they were for.",
                 double(load.mNotSent));
  aPage->Counter("cactusmast_runner_probes",
                 "Polls that only find out to which incarnation of the backend "
                 "server a connection leads.",
                 double(load.mProbes));
  aPage->Gauge("cactusmast_stops_overdue",
               "Tasks whose stop is not confirmed in time; while there are "
               "any, nothing starts and the lease is left to expire.",
               double(mExecutor.OverdueStops()));
  aPage->Counter("cactusmast_tasks_lapsed",
                 "Tasks that ended because the lease expired.",
                 double(mExecutor.LapsedTasks()));
  aPage->Gauge("cactusmast_slowness",
               "Run time divided by its estimate.",
               mExecutor.Slowness());
  aPage->Counter("cactusmast_slow_outliers",
                 "Ended tasks that did not count for the slowness.",
                 double(mExecutor.SlowOutliers()));
  aPage->Gauge("cactusmast_server_state",
               "0 absent, 1 ready, 2 draining, 3 ill, 4 evacuated.",
               double(mExecutor.State(Now())));
  AddEvacuationMetrics(mExecutor.Evacuations(), Now(), aPage);
  aPage->Gauge("cactusmast_entries_connected",
               "Entries connected.",
               double(mEntryPeers.size()));
  aPage->Gauge("cactusmast_entries_subscribed",
               "Entries that place tasks here.",
               double(mExecutor.SubscribedEntries()));
}

} // namespace cactusmast
