#include "shell/guard_daemon.h"

#include <nlohmann/json.hpp>

#include "shell/metrics_page.h"
#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;

constexpr size_t kMaxAnnouncementBytes = 64u << 10;
constexpr uint32_t kMaxSlots = 1024;

failure
BadAnnouncement(const std::string& aText)
{
  return failure(error_code::BadRequest, "announce", "backend server", aText);
}

// 0 when the key is missing. Throws failure for other than 0 to aMax.
uint32_t
ReadCount(const json& aObject, const char* aKey, uint32_t aMax)
{
  auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return 0;
  }
  if (!found->is_number_unsigned() || found->get<uint64_t>() > aMax) {
    throw BadAnnouncement(std::string(aKey) +
                          " must be a whole number from 0 to " +
                          std::to_string(aMax));
  }
  return found->get<uint32_t>();
}

// Throws failure or json::exception when aBody is not a valid announcement.
backend_announcement
ParseAnnouncement(const std::string& aBody)
{
  json object = ParseBoundedJson(aBody);
  if (!object.is_object()) {
    throw BadAnnouncement("the body must be a JSON object");
  }
  backend_announcement announcement;
  announcement.mUrl = object.value("url", "");
  if (announcement.mUrl.rfind("http://127.", 0) != 0) {
    throw BadAnnouncement("url must be an http URL on the loopback address");
  }
  json services = object.value("services", json::array());
  if (!services.is_array() || services.empty()) {
    throw BadAnnouncement("services must name at least one service");
  }
  for (const json& service : services) {
    if (!service.is_string()) {
      throw BadAnnouncement("services must be strings");
    }
    announcement.mServices.push_back(service.get<std::string>());
  }
  constexpr uint32_t kMaxCount = 1u << 30;
  announcement.mSlots = ReadCount(object, "slots", kMaxSlots);
  announcement.mCpus = ReadCount(object, "cpus", kMaxCount);
  announcement.mMemoryMb = ReadCount(object, "memory_mb", kMaxCount);
  announcement.mAccelerators = ReadCount(object, "accelerators", kMaxCount);
  return announcement;
}

} // namespace

guard_daemon::guard_daemon(const guard_settings& aSettings)
  : product_daemon(aSettings.mProcess.mName, severity::Info)
  , mSettings(aSettings)
  , mTable(aSettings.mProcess.mTableUrl,
           aSettings.mProcess.mTableTimeoutMs,
           [this](const table_reply& aReply) {
             mNode->OnTableReply(aReply, Now());
             TickSoon();
           })
  , mBackend([this](const task_completion& aCompletion) {
    mNode->OnTaskEnded(aCompletion, Now());
    TickSoon();
  })
{
}

result<std::unique_ptr<guard_daemon>>
guard_daemon::Create(const guard_settings& aSettings)
{
  return ResultOf<std::unique_ptr<guard_daemon>>([&] {
    std::unique_ptr<guard_daemon> daemon(new guard_daemon(aSettings));
    daemon->Open();
    return daemon;
  });
}

void
guard_daemon::Open()
{
  const process_settings& process = mSettings.mProcess;
  transport_options transport;
  transport.mListen = process.mListen;
  transport.mSharedKey = process.mSharedKey;
  transport.mMaxFrameBytes = process.mMaxFrameBytes;
  transport.mMaxUnsentBytes = process.mMaxSendBytes;
  transport.mSelf.mRole = process_role::Guard;
  transport.mSelf.mName = process.mName;
  transport.mSelf.mIncarnation = MakeIncarnation();
  transport.mSelf.mAddress = process.mListen;
  transport.mSelf.mDataCenter = process.mDataCenter;
  transport.mSelf.mRegion = process.mRegion;
  transport.mSelf.mShard = mSettings.mShard;
  mTransport =
    std::move(peer_transport::Create(transport, *this, mLog).Value());
  mHttp =
    std::move(http_server::Create(
                process.mHttp,
                kMaxAnnouncementBytes,
                [this](http_exchange& aExchange) { OnRequest(aExchange); },
                [](uint64_t) {})
                .Value());
  mHttp->Observe(&mConnectionLog);
  guard_options options;
  options.mName = process.mName;
  options.mShard = mSettings.mShard;
  options.mSeedEntries = process.mSeedEntries;
  options.mRetention = std::chrono::milliseconds(mSettings.mRetentionMs);
  options.mMaxRecords = mSettings.mMaxRecords;
  options.mMaxResultBytes = mSettings.mMaxResultBytes;
  mNode =
    std::make_unique<guard_node>(options, *mTransport, mTable, mBackend, mLog);
  mLog.Emit(event_code::ProcessStarted,
            { { "role", "guard" },
              { "http", process.mHttp },
              { "listen", process.mListen } });
}

void
guard_daemon::OnPeerUp(peer_id aPeer, const peer_identity& aIdentity)
{
  if (aIdentity.mRole != process_role::Entry) {
    mTransport->Close(aPeer);
    return;
  }
  mNode->OnPeerUp(aPeer, aIdentity, Now());
  TickSoon();
}

void
guard_daemon::OnPeerDown(peer_id aPeer)
{
  mNode->OnPeerDown(aPeer, Now());
  TickSoon();
}

void
guard_daemon::OnPeerMessage(peer_id aPeer, const message& aMessage)
{
  mNode->OnMessage(aPeer, aMessage, Now());
  TickSoon();
}

void
guard_daemon::OnTick()
{
  mNode->Tick(Now());
  mTransport->Flush();
  mTransport->Sweep();
}

void
guard_daemon::OnDrain()
{
  mNode->BeginDrain(Now());
}

bool
guard_daemon::IsDrained()
{
  return mNode->IsDrained() && !mTransport->OutputPending();
}

void
guard_daemon::OnAbort()
{
  mLog.Emit(event_code::DrainDeadline,
            { { "running", std::to_string(mNode->Running()) } });
}

void
guard_daemon::OnAnnounce(http_exchange& aExchange)
{
  backend_announcement announced = ParseAnnouncement(aExchange.Body());
  mBackend.SetUrl(announced.mUrl);
  mNode->Announce(announced, Now());
  mHttp->Answer(aExchange.Id(), { 200, "{\"announced\":true}" });
}

void
guard_daemon::OnRequest(http_exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  bool post = aExchange.Method() == "POST";
  try {
    if (post && path == "/v1/announce") {
      OnAnnounce(aExchange);
    } else if (post && path == "/v1/withdraw") {
      mNode->Withdraw(Now());
      json state = { { "running", mNode->Running() } };
      mHttp->Answer(aExchange.Id(), { 200, state.dump() });
    } else if (post && path == "/v1/drain") {
      mHttp->Answer(aExchange.Id(), { 202, "{\"draining\":true}" });
      BeginDrain();
    } else if (path == "/v1/status") {
      mHttp->Answer(aExchange.Id(), Status());
    } else if (path == "/metrics") {
      mHttp->Answer(aExchange.Id(), Metrics());
    } else {
      throw failure(error_code::NotFound, "find path", "caller", path);
    }
  } catch (const failure& error) {
    mHttp->Answer(aExchange.Id(), ErrorAnswer(error));
  } catch (const json::exception& error) {
    mHttp->Answer(aExchange.Id(), ErrorAnswer(BadAnnouncement(error.what())));
  }
  TickSoon();
}

http_answer
guard_daemon::Status() const
{
  json status = { { "name", mSettings.mProcess.mName },
                  { "config_version", mNode->ConfigVersion() },
                  { "leased", mNode->Leased(Now()) },
                  { "epoch", mNode->Epoch() },
                  { "announced", mNode->IsAnnounced() },
                  { "slots", mNode->Backend().mSlots },
                  { "running", mNode->Running() },
                  { "started", mNode->Counters().mStarted },
                  { "records", mNode->Records() },
                  { "draining", mNode->IsDraining() } };
  return { 200, status.dump() };
}

http_answer
guard_daemon::Metrics() const
{
  metrics_page page;
  AddConnectionMetrics(*mHttp, &page);
  const guard_counters& counters = mNode->Counters();
  const transport_counters& transport = mTransport->Counters();
  page.Counter("cactusmast_guard_tasks_started_total",
               "Tasks started on the backend server.",
               double(counters.mStarted));
  page.Counter("cactusmast_guard_tasks_refused_total",
               "Dispatches refused, not run.",
               double(counters.mRefused));
  page.Counter("cactusmast_guard_tasks_succeeded_total",
               "Tasks that succeeded.",
               double(counters.mSucceeded));
  page.Counter("cactusmast_guard_tasks_failed_total",
               "Tasks that failed.",
               double(counters.mFailed));
  page.Counter("cactusmast_guard_tombstones_total",
               "Tasks revoked before they arrived.",
               double(counters.mTombstones));
  page.Gauge(
    "cactusmast_guard_running_tasks", "Tasks running now.", mNode->Running());
  page.Gauge(
    "cactusmast_guard_records", "Records of tasks.", double(mNode->Records()));
  page.Gauge("cactusmast_guard_result_bytes",
             "Bytes of results held.",
             double(mNode->ResultBytes()));
  page.Gauge("cactusmast_config_version",
             "Configuration version in force.",
             double(mNode->ConfigVersion()));
  page.Counter("cactusmast_peer_bytes_received_total",
               "Bytes from entries.",
               double(transport.mBytesIn));
  page.Counter("cactusmast_peer_bytes_sent_total",
               "Bytes to entries.",
               double(transport.mBytesOut));
  page.Counter("cactusmast_peer_messages_received_total",
               "Messages from entries.",
               double(transport.mMessagesIn));
  page.Counter("cactusmast_peer_messages_sent_total",
               "Messages to entries.",
               double(transport.mMessagesOut));
  page.Counter("cactusmast_peer_protocol_errors_total",
               "Malformed or oversized frames.",
               double(transport.mProtocolErrors));
  page.Counter("cactusmast_peer_refused_total",
               "Peers that could not prove the shared key.",
               double(transport.mRefusedPeers));
  page.Counter("cactusmast_table_reads_total",
               "Reads of the platform's table.",
               double(mTable.Counters().mReads));
  page.Counter("cactusmast_table_writes_total",
               "Writes to the platform's table.",
               double(mTable.Counters().mWrites));
  AddProcessMetrics(&page);
  return { 200, page.Render(), "text/plain; version=0.0.4" };
}

} // namespace cactusmast
