// Connections to one server that may crash and be back at the same address at
// any moment, as another incarnation with another clock and other properties.
//
// A request can be sent for one incarnation. It then goes out only over a
// connection that is known to lead to it, because an earlier response over the
// same connection has named it: a connection does not outlive the process at
// its other end. So a request cannot reach an incarnation for which it was not
// meant, however long it waited here and however short the crash was.
//
// Use:
//   incarnation_channels channels(8, 30, prober);
//   channels.Send(request_urgency::Start, request, incarnation, callback);
//
// Algorithm: each channel has at most one connection and one request at a time.
// A request waits until a channel is free: for an incarnation, a channel that
// is known to lead there. If there is none, free channels are probed. Among the
// free channels, the one that was used least recently is taken, so that the
// requests that are sent all the time (polls) keep all connections open and
// known, and a start finds several.
//
// Invariants:
// - The callback runs exactly once.
// - A request without a response within its timeout, counted from its sending,
//   is cancelled. One that has not been sent within the timeout of the channels
//   ends with http_fault::Unsent, and so does one whose incarnation has ended.
// - Nothing but probes is sent without a call of Send.

#ifndef SHELL_INCARNATION_CHANNELS_H_
#define SHELL_INCARNATION_CHANNELS_H_

#include <array>
#include <deque>
#include <memory>
#include <vector>

#include "cactusmast/ids.h"
#include "shell/http_client.h"

namespace cactusmast {

// The more urgent ones are sent first.
enum class request_urgency : uint8_t
{
  Poll,
  Stop,
  Start,
  Count
};

// What the server's protocol says of its incarnations.
class incarnation_prober
{
public:
  virtual ~incarnation_prober() = default;
  // A request without effect, whose response names the incarnation.
  virtual http_request Probe() const = 0;
  // The incarnation that a response names; 0: none.
  virtual int64_t IncarnationOf(const http_response& aResponse) const = 0;
};

// The requests that wait for a channel, and those that have.
struct channel_load
{
  size_t mWaiting = 0;
  duration mOldest{};   // how long the oldest has waited
  uint64_t mUnsent = 0; // since the start: ended with http_fault::Unsent
  uint64_t mProbes = 0; // sent since the start
};

class incarnation_channels
{
public:
  using callback = http_client::callback;

  // aTimeoutMs: of the wait for a channel, and of requests without a timeout of
  // their own.
  incarnation_channels(size_t aChannels,
                       uint32_t aTimeoutMs,
                       const incarnation_prober& aProber);
  ~incarnation_channels();

  // aIncarnation: the only one that may get the request; 0: any.
  void Send(request_urgency aUrgency,
            http_request aRequest,
            int64_t aIncarnation,
            callback aCallback);
  // Whether a request for aIncarnation would be sent at once.
  bool IsFree(int64_t aIncarnation) const;
  channel_load Load(instant aNow) const;

private:
  struct channel
  {
    std::unique_ptr<http_client> mClient;
    bool mBusy = false;
    bool mProbing = false;
    uint64_t mConnection = 0; // that leads to mIncarnation
    int64_t mIncarnation = 0; // 0: not known
    uint64_t mLastUse = 0;    // greater: later
  };

  struct waiting_request
  {
    request_urgency mUrgency = request_urgency::Start;
    http_request mRequest;
    int64_t mIncarnation = 0;
    callback mCallback;
    instant mSince{};
  };

  using request_queue = std::deque<waiting_request>;

  // The free channel over which to send for aIncarnation; null if there is
  // none.
  channel* Choose(int64_t aIncarnation);
  // Sends what can be sent, the most urgent first.
  void SendWaiting();
  void SendOver(channel* aChannel, waiting_request aNext);
  void OnSent(channel* aChannel,
              waiting_request aRequest,
              const http_response& aResponse);
  void OnResponse(channel* aChannel, const http_response& aResponse);
  // Probes free channels while more requests wait than probes are under way.
  // One channel is left for polls. Not called for each response: a server that
  // replies without naming its incarnation would be probed without pause.
  void ProbeForWaiting();
  void Probe(channel* aChannel);
  void OnProbed(channel* aChannel, const http_response& aResponse);
  // Ends waiting requests for which aCondition holds.
  void EndWaiting(const std::function<bool(const waiting_request&)>& aCondition,
                  http_fault aFault);
  void ArmTimer();
  static int OnTimer(void* aSelf);

  const incarnation_prober& mProber;
  uint32_t mTimeoutMs;
  std::vector<std::unique_ptr<channel>> mChannels;
  std::array<request_queue, size_t(request_urgency::Count)> mQueues;
  uint64_t mUses = 0;
  uint64_t mUnsent = 0;
  uint64_t mProbes = 0;
  unsigned mTimer = 0; // source id; 0: nothing waits
};

} // namespace cactusmast

#endif // SHELL_INCARNATION_CHANNELS_H_
