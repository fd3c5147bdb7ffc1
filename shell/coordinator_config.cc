// How a coordinator learns of a configuration, passes it on to other entries,
// and tells how old its knowledge is.

#include "shell/coordinator_daemon.h"

#include <algorithm>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

// An entry of an older release is sent a copy if it still lacks the
// configuration after this time, or at once if it has none at all.
constexpr duration kConfigCopyDelay = milliseconds(300);

} // namespace

void
coordinator_daemon::OnEntryMessage(peer_id aPeer,
                                   entry_peer& aState,
                                   const message& aMessage)
{
  aState.mLastHeard = Now();
  switch (aMessage.type) {
    case message_kind::entry_pulse:
      OnEntryHeartbeat(aPeer, aState, *aMessage.Asentry_pulse());
      break;
    case message_kind::config_request:
      OnConfigRequest(aPeer, aState, *aMessage.Asconfig_request());
      break;
    case message_kind::config_part: {
      const wire::config_part_msg& part = *aMessage.Asconfig_part();
      std::optional<std::string> text = mConfigFetcher.OnPart(part);
      if (text) {
        OnConfigCopy(aState, part.version, *text);
      }
      break;
    }
    case message_kind::config_document: {
      const wire::config_document_msg& whole = *aMessage.Asconfig_document();
      OnConfigCopy(aState, whole.version, whole.text);
      break;
    }
    default:
      break;
  }
}

void
coordinator_daemon::OnEntryHeartbeat(peer_id aPeer,
                                     entry_peer& aState,
                                     const wire::entry_pulse_msg& aHeartbeat)
{
  aState.mHeartbeatReceived = true;
  aState.mConfigVersion = aHeartbeat.config_version;
  aState.mRequestsConfig = aHeartbeat.requests_config;
  if (aState.mRequestsConfig) {
    mConfigFetcher.Announce(aPeer, aState.mConfigVersion);
  }
  mCoordinator.OnEvacuations(
    DecodeEvacuations(aHeartbeat.evacuating.get(), Now()), Now());
  AddEntries(aHeartbeat.entries, aState.mAddress, Now());
  if (aHeartbeat.load) {
    OnEntryLoad(aState, *aHeartbeat.load);
  }
}

void
coordinator_daemon::OnConfigRequest(peer_id aPeer,
                                    const entry_peer& aState,
                                    const wire::config_request_msg& aRequest)
{
  std::optional<wire::config_part_msg> part =
    mConfigProvider.Reply(aPeer, aRequest, mConfig);
  if (!part) {
    return;
  }
  mCopies.mSentBytes += part->text.size();
  if (part->offset == 0) {
    mCopies.mSent++;
    mLog.Emit(event_code::ConfigCopySent,
              { { "peer", aState.mAddress },
                { "peer_version", std::to_string(aState.mConfigVersion) },
                { "version", std::to_string(part->version) },
                { "bytes", std::to_string(part->size) } });
  }
  mTransport->Send(aPeer, MakeMessage(std::move(*part)));
}

void
coordinator_daemon::RequestConfig(instant aNow)
{
  std::optional<config_fetcher::request> next =
    mConfigFetcher.NextRequest(mConfig.Version(), aNow);
  if (next) {
    mTransport->Send(next->mPeer, MakeMessage(next->mMessage));
  }
}

bool
coordinator_daemon::UpdateConfig(const std::string& aText,
                                 const std::string& aSource)
{
  uint64_t before = mConfig.Version();
  result<bool> updated = mConfig.Update(aText);
  if (!updated.Ok()) {
    mLog.Emit(event_code::ConfigUnreadable,
              { { "text", updated.Error().what() }, { "source", aSource } });
    return false;
  }
  if (updated.Value()) {
    mConfigInstalledAt = Now();
    mLog.Emit(
      event_code::ConfigInForce,
      { { "version", std::to_string(mConfig.Version()) },
        { "before", std::to_string(before) },
        { "routes", std::to_string(mConfig.Table()->Config().mRoutes.size()) },
        { "source", aSource } });
    RemoveOldRoutes();
    ServeHeldRequests();
  }
  return true;
}

void
coordinator_daemon::OnConfigCopy(const entry_peer& aSender,
                                 uint64_t aVersion,
                                 const std::string& aText)
{
  uint64_t before = mConfig.Version();
  if (!UpdateConfig(aText, "entry")) {
    mConfigFetcher.Reject(aVersion);
  }
  bool newer = mConfig.Version() > before;
  mCopies.mReceived++;
  mCopies.mReceivedBytes += aText.size();
  mCopies.mReceivedNotNewer += newer ? 0 : 1;
  mLog.Emit(event_code::ConfigCopyReceived,
            { { "peer", aSender.mAddress },
              { "peer_version", std::to_string(aSender.mConfigVersion) },
              { "before", std::to_string(before) },
              { "version", std::to_string(mConfig.Version()) },
              { "bytes", std::to_string(aText.size()) } });
}

uint64_t
coordinator_daemon::NewestKnownVersion() const
{
  uint64_t newest = mConfig.Version();
  for (const auto& [peer, state] : mEntryPeers) {
    newest = std::max(newest, state.mConfigVersion);
  }
  return newest;
}

void
coordinator_daemon::RemoveOldRoutes()
{
  std::set<std::string> routes;
  for (const route& one : mConfig.Table()->Config().mRoutes) {
    routes.insert(one.mName);
  }
  mCoordinator.TimeoutModel().RemoveOtherRoutes(routes);
}

void
coordinator_daemon::SendConfigTo(peer_id aPeer,
                                 entry_peer& aState,
                                 instant aNow)
{
  bool needsCopy = aState.mHeartbeatReceived && !aState.mRequestsConfig &&
                   aState.mConfigVersion < mConfig.Version() &&
                   aState.mSentVersion < mConfig.Version() &&
                   (aState.mConfigVersion == 0 ||
                    aNow - mConfigInstalledAt > kConfigCopyDelay);
  if (!needsCopy) {
    return;
  }
  aState.mSentVersion = mConfig.Version();
  mCopies.mSent++;
  mCopies.mSentBytes += mConfig.Text().size();
  mLog.Emit(event_code::ConfigCopySent,
            { { "peer", aState.mAddress },
              { "peer_version", std::to_string(aState.mConfigVersion) },
              { "version", std::to_string(mConfig.Version()) },
              { "bytes", std::to_string(mConfig.Text().size()) } });
  wire::config_document_msg document;
  document.version = mConfig.Version();
  document.text = mConfig.Text();
  mTransport->Send(aPeer, MakeMessage(std::move(document)));
}

// First on the page, because some readers cut it.
void
coordinator_daemon::AddConfigMetrics(metrics_page* aPage)
{
  aPage->Gauge("cactusmast_config_version",
               "Configuration version in force.",
               double(mConfig.Version()));
  aPage->Gauge("cactusmast_config_version_known",
               "Greatest version in force here or at a connected entry.",
               double(NewestKnownVersion()));
  aPage->Gauge("cactusmast_config_age_seconds",
               "Time since the store last confirmed the configuration.",
               ToMs(mConfigWatcher.Age(Now())) / 1000.0);
  aPage->Counter("cactusmast_store_faults",
                 "Requests to the store without a usable reply.",
                 double(mConfigWatcher.Faults() + mEntryWatcher.Faults()));
  aPage->Gauge("cactusmast_entries_connected",
               "Other entries that are connected.",
               double(mEntryPeers.size()));
  aPage->Counter("cactusmast_entries_silent",
                 "Connections to other entries that were closed as silent.",
                 double(mSilentPeers));
  aPage->Counter("cactusmast_config_copies_sent",
                 "Copies of the configuration sent to other entries.",
                 double(mCopies.mSent));
  aPage->Counter("cactusmast_config_copies_sent_bytes",
                 "Bytes of these.",
                 double(mCopies.mSentBytes));
  aPage->Counter("cactusmast_config_copies_received",
                 "Copies of the configuration received from other entries.",
                 double(mCopies.mReceived));
  aPage->Counter("cactusmast_config_copies_received_bytes",
                 "Bytes of these.",
                 double(mCopies.mReceivedBytes));
  aPage->Counter("cactusmast_config_copies_not_newer",
                 "Received copies that were not newer than what was in force.",
                 double(mCopies.mReceivedNotNewer));
}

} // namespace cactusmast
