#include "shell/incarnation_channels.h"

#include <algorithm>
#include <glib.h>

#include "shell/daemon.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Interval of the check for requests that have waited too long.
constexpr guint kWaitCheckMs = 5;

} // namespace

incarnation_channels::incarnation_channels(size_t aChannels,
                                           uint32_t aTimeoutMs,
                                           const incarnation_prober& aProber)
  : mProber(aProber)
  , mTimeoutMs(aTimeoutMs)
{
  for (size_t i = 0; i < aChannels; i++) {
    auto added = std::make_unique<channel>();
    added->mClient = std::make_unique<http_client>(1, aTimeoutMs);
    mChannels.push_back(std::move(added));
  }
}

incarnation_channels::~incarnation_channels()
{
  if (mTimer != 0) {
    g_source_remove(mTimer);
  }
}

void
incarnation_channels::Send(request_urgency aUrgency,
                           http_request aRequest,
                           int64_t aIncarnation,
                           callback aCallback)
{
  mQueues[size_t(aUrgency)].push_back({ aUrgency,
                                        std::move(aRequest),
                                        aIncarnation,
                                        std::move(aCallback),
                                        Now() });
  SendWaiting();
  ProbeForWaiting();
}

bool
incarnation_channels::IsFree(int64_t aIncarnation) const
{
  return std::any_of(
    mChannels.begin(), mChannels.end(), [&](const auto& aChannel) {
      return !aChannel->mBusy && aChannel->mIncarnation == aIncarnation;
    });
}

incarnation_channels::channel*
incarnation_channels::Choose(int64_t aIncarnation)
{
  channel* chosen = nullptr;
  // A connection that is open and known is better than one that has to be
  // established, where either will do.
  auto isBetter = [](const channel& aLeft, const channel& aRight) {
    bool leftKnown = aLeft.mIncarnation != 0;
    bool rightKnown = aRight.mIncarnation != 0;
    return leftKnown != rightKnown ? leftKnown
                                   : aLeft.mLastUse < aRight.mLastUse;
  };
  for (const auto& one : mChannels) {
    bool able =
      !one->mBusy && (aIncarnation == 0 || one->mIncarnation == aIncarnation);
    if (able && (chosen == nullptr || isBetter(*one, *chosen))) {
      chosen = one.get();
    }
  }
  return chosen;
}

void
incarnation_channels::SendWaiting()
{
  for (request_queue& queue : mQueues) {
    for (auto at = queue.begin(); at != queue.end();) {
      channel* chosen = Choose(at->mIncarnation);
      if (chosen == nullptr) {
        ++at;
        continue;
      }
      waiting_request next = std::move(*at);
      at = queue.erase(at);
      SendOver(chosen, std::move(next));
    }
  }
  ArmTimer();
}

void
incarnation_channels::SendOver(channel* aChannel, waiting_request aNext)
{
  aChannel->mBusy = true;
  aChannel->mLastUse = ++mUses;
  aNext.mRequest.mConnection =
    aNext.mIncarnation == 0 ? 0 : aChannel->mConnection;
  const http_request request = aNext.mRequest;
  auto waiting = std::make_shared<waiting_request>(std::move(aNext));
  aChannel->mClient->Send(
    request, [this, aChannel, waiting](const http_response& aResponse) {
      OnSent(aChannel, std::move(*waiting), aResponse);
    });
}

void
incarnation_channels::OnSent(channel* aChannel,
                             waiting_request aRequest,
                             const http_response& aResponse)
{
  bool wasKnown = aChannel->mIncarnation != 0;
  OnResponse(aChannel, aResponse);
  if (wasKnown && aResponse.mFault == http_fault::Cancelled) {
    Probe(aChannel); // so that the next start need not wait for it
  }
  bool waitsOn = aResponse.mFault == http_fault::Unsent &&
                 aRequest.mUrgency != request_urgency::Poll;
  if (waitsOn) {
    // The server has closed the connection, perhaps only because it was idle.
    mQueues[size_t(aRequest.mUrgency)].push_front(std::move(aRequest));
    ProbeForWaiting();
  } else {
    mUnsent += aResponse.mFault == http_fault::Unsent ? 1 : 0;
    aRequest.mCallback(aResponse);
  }
  SendWaiting();
}

void
incarnation_channels::OnResponse(channel* aChannel,
                                 const http_response& aResponse)
{
  aChannel->mBusy = false;
  bool responded = aResponse.mFault == http_fault::None;
  bool sameConnection =
    responded && aResponse.mConnection == aChannel->mConnection;
  if (sameConnection && aChannel->mIncarnation != 0) {
    return;
  }
  aChannel->mIncarnation = 0;
  int64_t named = responded ? mProber.IncarnationOf(aResponse) : 0;
  if (named == 0) {
    return;
  }
  aChannel->mConnection = aResponse.mConnection;
  aChannel->mIncarnation = named;
  EndWaiting(
    [named](const waiting_request& aWaiting) {
      return aWaiting.mIncarnation != 0 && aWaiting.mIncarnation < named;
    },
    http_fault::Unsent);
}

void
incarnation_channels::ProbeForWaiting()
{
  size_t needed = 0;
  for (const request_queue& queue : mQueues) {
    needed += size_t(
      std::count_if(queue.begin(), queue.end(), [](const auto& aWaiting) {
        return aWaiting.mIncarnation != 0;
      }));
  }
  size_t probing = 0;
  std::vector<channel*> free;
  for (const auto& one : mChannels) {
    probing += one->mProbing ? 1 : 0;
    if (!one->mBusy) {
      free.push_back(one.get());
    }
  }
  for (size_t i = 0; i + 1 < free.size() && probing < needed; i++, probing++) {
    Probe(free[i]);
  }
}

void
incarnation_channels::Probe(channel* aChannel)
{
  mProbes++;
  aChannel->mBusy = true;
  aChannel->mProbing = true;
  aChannel->mLastUse = ++mUses;
  aChannel->mClient->Send(mProber.Probe(),
                          [this, aChannel](const http_response& aResponse) {
                            OnProbed(aChannel, aResponse);
                          });
}

void
incarnation_channels::OnProbed(channel* aChannel,
                               const http_response& aResponse)
{
  aChannel->mProbing = false;
  OnResponse(aChannel, aResponse);
  // Without a connection, another probe would fail at once too.
  bool unreachable = aResponse.mFault == http_fault::Refused ||
                     aResponse.mFault == http_fault::Broken;
  if (unreachable) {
    EndWaiting(
      [](const waiting_request& aWaiting) {
        return aWaiting.mIncarnation != 0;
      },
      aResponse.mFault == http_fault::Refused ? http_fault::Refused
                                              : http_fault::Unsent);
  }
  SendWaiting();
}

void
incarnation_channels::EndWaiting(
  const std::function<bool(const waiting_request&)>& aCondition,
  http_fault aFault)
{
  std::vector<waiting_request> ended;
  for (request_queue& queue : mQueues) {
    for (auto at = queue.begin(); at != queue.end();) {
      if (!aCondition(*at)) {
        ++at;
        continue;
      }
      ended.push_back(std::move(*at));
      at = queue.erase(at);
    }
  }
  mUnsent += ended.size();
  http_response response;
  response.mFault = aFault;
  for (const waiting_request& one : ended) {
    one.mCallback(response);
  }
}

channel_load
incarnation_channels::Load(instant aNow) const
{
  channel_load load;
  load.mUnsent = mUnsent;
  load.mProbes = mProbes;
  for (const request_queue& queue : mQueues) {
    load.mWaiting += queue.size();
    if (!queue.empty()) {
      load.mOldest = std::max(load.mOldest, aNow - queue.front().mSince);
    }
  }
  return load;
}

void
incarnation_channels::ArmTimer()
{
  bool waiting =
    std::any_of(mQueues.begin(), mQueues.end(), [](const auto& aQueue) {
      return !aQueue.empty();
    });
  if (waiting && mTimer == 0) {
    mTimer = g_timeout_add(kWaitCheckMs, &incarnation_channels::OnTimer, this);
  }
}

int
incarnation_channels::OnTimer(void* aSelf)
{
  auto* self = static_cast<incarnation_channels*>(aSelf);
  self->mTimer = 0;
  instant oldest = Now() - milliseconds(self->mTimeoutMs);
  self->EndWaiting(
    [oldest](const waiting_request& aWaiting) {
      return aWaiting.mSince <= oldest;
    },
    http_fault::Unsent);
  self->SendWaiting();
  self->ProbeForWaiting();
  return G_SOURCE_REMOVE;
}

} // namespace cactusmast
