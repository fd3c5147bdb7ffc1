#include "shell/instance_daemon.h"

#include <sys/stat.h>

#include "util/host_port.h"

namespace cactusmast {
namespace {

// A handshake takes four messages of under 15 ms each, and the other process
// may be short of processor time.
constexpr uint32_t kHandshakeTimeoutMs = 350;
// The other machine's kernel accepts a connection after one round trip, at most
// 30 ms. An address that has not accepted by then is dialled again: TCP resends
// a lost SYN only after a second, in which an entry that has just restarted
// would have no executors.
constexpr uint32_t kConnectTimeoutMs = 100;
// Part of the time to stop that is left for sending the last answers after the
// drain.
constexpr uint32_t kDrainMarginMs = 600;
// Short against the backoff between two dials of an entry, at least 100 ms.
constexpr duration kDialCheckInterval = std::chrono::milliseconds(20);
// Settings change a few times a day at most.
constexpr duration kFileCheckInterval = std::chrono::seconds(2);
constexpr size_t kMaxMetricsRequestBytes = 4096;
// The largest message is a configuration of some thousand routes.
constexpr size_t kMaxFrameBytes = 8u << 20;
// Limit of unsent output to a peer that does not read: an executor times out
// within half a second, in which at most a few thousand dispatches are sent.
constexpr size_t kMaxUnsentBytes = 8u << 20;

} // namespace

instance_daemon::instance_daemon(const instance_settings& aSettings,
                                 process_role aRole,
                                 const std::string& aOwnAddress)
  : mInstance(aSettings)
  , mRole(aRole)
  , mLog(aSettings.mName, severity::Info, log_stream::Output)
  , mIncarnation(MakeIncarnation())
  , mDirectory(aOwnAddress)
  , mConnectionLog(mLog, [this](std::vector<event_field>* aFields) {
    AddDrainTime(aFields);
  })
{
  for (const std::string& seed : aSettings.SeedAddresses()) {
    mDirectory.Add(seed, true, Now());
  }
}

uint32_t
instance_daemon::DrainTimeMs() const
{
  return mInstance.mStopWithinMs - kDrainMarginMs;
}

void
instance_daemon::OpenInstance()
{
  transport_options transport;
  transport.mListen = mInstance.PeerAddress();
  transport.mSharedKey = mInstance.mSharedKey;
  transport.mMaxFrameBytes = kMaxFrameBytes;
  transport.mMaxUnsentBytes = kMaxUnsentBytes;
  transport.mHandshakeTimeoutMs = kHandshakeTimeoutMs;
  transport.mConnectTimeoutMs = kConnectTimeoutMs;
  transport.mKeepAlive = true;
  transport.mSelf.mRole = mRole;
  transport.mSelf.mName = mInstance.mName;
  transport.mSelf.mIncarnation = mIncarnation;
  transport.mSelf.mAddress = mInstance.PeerAddress();
  transport.mSelf.mDataCenter = mInstance.mDataCenter;
  transport.mSelf.mRegion = mInstance.mRegion;
  mTransport =
    std::move(peer_transport::Create(transport, *this, mLog).Value());
  mMetricsServer = std::move(http_server::Create(
                               mInstance.mMetrics,
                               kMaxMetricsRequestBytes,
                               [this](http_exchange& aExchange) {
                                 metrics_page page;
                                 AddMetrics(&page);
                                 AddProcessMetrics(&page);
                                 http_answer answer;
                                 answer.mContentType =
                                   "text/plain; version=0.0.4";
                                 answer.mBody = page.Render();
                                 mMetricsServer->Answer(aExchange.Id(), answer);
                               },
                               [](uint64_t) {})
                               .Value());
}

void
instance_daemon::OnReload()
{
  result<instance_settings> read = ReadSettings();
  if (!read.Ok()) {
    // The settings read before stay in force.
    mLog.Emit(event_code::SettingsInvalid, { { "text", read.Error().what() } });
    return;
  }
  size_t added = 0;
  for (const std::string& seed : read.Value().SeedAddresses()) {
    added += mDirectory.Add(seed, true, Now()) ? 1 : 0;
  }
  mLog.Emit(
    event_code::SettingsReloaded,
    { { "file", mInstance.mFile }, { "new_seeds", std::to_string(added) } });
}

void
instance_daemon::CheckSettingsFile(instant aNow)
{
  if (aNow < mNextFileCheck) {
    return;
  }
  mNextFileCheck = aNow + kFileCheckInterval;
  struct stat found
  {};
  if (stat(mInstance.mFile.c_str(), &found) != 0) {
    return;
  }
  int64_t changed = int64_t(found.st_mtim.tv_sec) * G_USEC_PER_SEC +
                    found.st_mtim.tv_nsec / 1000;
  bool first = mFileChangedAt == 0;
  bool same = changed == mFileChangedAt;
  mFileChangedAt = changed;
  if (!first && !same) {
    OnReload();
  }
}

void
instance_daemon::DialEntries(
  instant aNow,
  const std::function<bool(const std::string&)>& aIsDialled)
{
  if (aNow < mNextDial) {
    return;
  }
  mNextDial = aNow + kDialCheckInterval;
  for (const std::string& address : mDirectory.AddressesToDial(aNow)) {
    if (aIsDialled(address)) {
      mTransport->Connect(address);
    }
  }
}

void
instance_daemon::AddEntries(const std::vector<std::string>& aAddresses,
                            const std::string& aSource,
                            instant aNow)
{
  for (const std::string& address : aAddresses) {
    AddEntry(address, false, aSource, aNow);
  }
}

void
instance_daemon::AddEntry(const std::string& aAddress,
                          bool aPinned,
                          const std::string& aSource,
                          instant aNow)
{
  std::optional<host_port> parsed = ParseHostPort(aAddress);
  if (!parsed || parsed->mPort == 0) {
    mLog.Emit(event_code::PeerProtocolError,
              { { "peer", aSource }, { "text", "bad address " + aAddress } });
    return;
  }
  if (mDirectory.Add(aAddress, aPinned, aNow)) {
    mLog.Emit(event_code::EntryKnown,
              { { "address", aAddress }, { "source", aSource } });
  }
}

} // namespace cactusmast
