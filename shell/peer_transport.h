// Connections between processes of the system: TCP with framed FlatBuffers,
// driven by the GLib main loop.
//
// Both ends begin with a hello that carries a fresh nonce, and continue with
// a second hello that proves knowledge of the deployment's shared key by an
// HMAC-SHA256 over both nonces and the sender's identity. Nothing else is
// read from a peer before its proof, and frames before it must be small. The
// proof keeps strangers out; it does not encrypt.
//
// A peer that stops reading is cut off once its send budget is spent, and one
// that sends a malformed or oversized frame at once; both are counted.

#ifndef SHELL_PEER_TRANSPORT_H_
#define SHELL_PEER_TRANSPORT_H_

#include <gio/gio.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusmast/ports.h"
#include "util/gobject_ptr.h"
#include "util/result.h"

namespace cactusmast {

struct transport_options
{
  std::string mListen; // HOST:PORT by number
  peer_identity mSelf;
  std::string mSharedKey;
  size_t mMaxFrame = 16u << 20;
  size_t mMaxSend = 32u << 20;
  // From dialling or accepting to the proof of identity.
  uint32_t mHandshakeLimitMs = 3000;
  // Until the other machine accepts the connection, which its kernel does
  // without the process.
  uint32_t mConnectLimitMs = 3000;
  // Whether the kernel probes quiet connections, and gives up those over which
  // nothing is acknowledged. Without, a machine that went without a word is
  // noticed only by a listener that expects messages.
  bool mKeepAlive = false;
};

struct transport_counters
{
  uint64_t mBytesIn = 0;
  uint64_t mBytesOut = 0;
  uint64_t mMessagesIn = 0;
  uint64_t mMessagesOut = 0;
  uint64_t mProtocolErrors = 0;
  uint64_t mRefusedPeers = 0;
  uint64_t mSendBudgetSpent = 0;
};

class transport_listener
{
public:
  virtual ~transport_listener() = default;
  virtual void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) = 0;
  virtual void OnPeerDown(peer_id aPeer) = 0;
  virtual void OnPeerMessage(peer_id aPeer, const message& aMessage) = 0;
};

class peer_transport : public peer_network
{
public:
  static result<std::unique_ptr<peer_transport>> Create(
    transport_options aOptions,
    transport_listener& aListener,
    event_sink& aEvents);
  ~peer_transport() override;

  void Send(peer_id aPeer, message aMessage) override;
  void Close(peer_id aPeer) override;
  void Connect(const std::string& aAddress) override;

  // Writes what was sent since the last call. Batching the writes of one loop
  // turn costs one system call for each peer instead of one a message.
  void Flush();
  // Ends handshakes that take too long and frees closed links.
  void Sweep();

  const transport_counters& Counters() const { return mCounters; }
  size_t Links() const { return mLinks.size(); }
  bool OutputPending() const;

private:
  enum class link_state : uint8_t
  {
    Connecting,
    Handshaking, // our hello is sent
    Ready,
    Closed
  };

  struct link
  {
    explicit link(size_t aMaxFrame)
      : mReader(aMaxFrame)
    {
    }
    peer_transport* mOwner = nullptr;
    peer_id mId = 0;
    link_state mState = link_state::Connecting;
    gobject_ptr<GSocket> mSocket;
    bool mWatched = false;     // known to the epoll set
    bool mWatchOutput = false; // and for output as well
    frame_reader mReader;
    std::string mOut;
    size_t mOutDone = 0;
    std::string mAddress; // when this side dialled
    std::string mNonce;
    std::string mPeerNonce;
    peer_identity mIdentity;
    gint64 mSince = 0;
    std::string mLabel;
  };

  peer_transport(transport_options aOptions,
                 transport_listener& aListener,
                 event_sink& aEvents);
  void Listen();
  link& AddLink(gobject_ptr<GSocket> aSocket, link_state aState);
  void SetOptions(GSocket* aSocket) const;
  void SendHello(link& aLink);
  void Shut(link& aLink, bool aTell);
  void OnReadable(link& aLink);
  void OnWritable(link& aLink);
  void ReadFrames(link& aLink);
  void OnFrame(link& aLink, const message& aMessage);
  void OnHello(link& aLink, const wire::hello_msg& aHello);
  void FlushLink(link& aLink);
  void FailProtocol(link& aLink, const std::string& aText);
  std::string Proof(const std::string& aTheirNonce,
                    const std::string& aOwnNonce,
                    const wire::hello_msg& aHello) const;

  static gboolean OnAcceptReady(GSocket* aSocket,
                                GIOCondition aCondition,
                                gpointer aData);
  static gboolean OnEpollReady(gint aFd,
                               GIOCondition aCondition,
                               gpointer aData);
  void HandleReady();
  void Watch(link& aLink, bool aOutput);

  transport_options mOptions;
  transport_listener& mListener;
  event_sink& mEvents;
  gobject_ptr<GSocket> mServer;
  GSource* mAcceptSource = nullptr;
  // GLib polls every source it knows on each turn of the loop, which costs by
  // the number of links. All links are therefore in one epoll set, and GLib
  // knows that alone.
  int mEpoll = -1;
  guint mEpollSource = 0;
  std::map<peer_id, std::unique_ptr<link>> mLinks;
  std::vector<peer_id> mUnflushed; // sent to since the last Flush
  gint64 mNextSweep = 0;
  peer_id mNextId = 1;
  transport_counters mCounters;
};

// Parses HOST:PORT by number; null when it is not one.
gobject_ptr<GSocketAddress>
ParseAddress(const std::string& aText);

} // namespace cactusmast

#endif // SHELL_PEER_TRANSPORT_H_
