// Connections between processes of the system: TCP with framed FlatBuffers,
// driven by the GLib main loop.
//
// Each side first sends a hello with a fresh nonce, and then a second hello
// that proves knowledge of the deployment's shared key by an HMAC-SHA256 over
// both nonces and the sender's identity. Until a peer has given its proof, no
// other message is accepted from it and its frames must be small. The proof
// authenticates peers; it does not encrypt the connection.
//
// The connection to a peer that stops reading is closed once its send budget is
// spent, and that to a peer that sends a malformed or oversized frame is closed
// immediately. Both are counted.

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
  std::string mListen; // HOST:PORT, both numeric
  peer_identity mSelf;
  std::string mSharedKey;
  // Maximum size of a received frame, in bytes.
  size_t mMaxFrameBytes = 16u << 20;
  // Send budget: maximum number of unsent bytes of one peer.
  size_t mMaxUnsentBytes = 32u << 20;
  // From connecting or accepting until the peer has proved its identity.
  uint32_t mHandshakeTimeoutMs = 3000;
  // Until the other machine accepts the connection. Its kernel does this
  // without the process.
  uint32_t mConnectTimeoutMs = 3000;
  // Whether the kernel probes idle connections and closes those on which data
  // is not acknowledged. Without this, a machine that fails without closing its
  // connections is detected only by a listener that expects messages.
  bool mKeepAlive = false;
};

// Totals since the transport was created.
struct transport_counters
{
  uint64_t mBytesIn = 0;
  uint64_t mBytesOut = 0;
  uint64_t mMessagesIn = 0;
  uint64_t mMessagesOut = 0;
  uint64_t mProtocolErrors = 0;     // malformed, oversized or unexpected frames
  uint64_t mRefusedPeers = 0;       // peers without a valid identity or proof
  uint64_t mSendBudgetExceeded = 0; // connections closed for that reason
};

// Receives what happens on the connections.
class transport_listener
{
public:
  virtual ~transport_listener() = default;
  // The peer has proved its identity. Messages may be sent from now on.
  virtual void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) = 0;
  // The connection of an authenticated peer has ended, but not by Close.
  virtual void OnPeerDown(peer_id aPeer) = 0;
  virtual void OnPeerMessage(peer_id aPeer, const message& aMessage) = 0;
};

class peer_transport : public peer_network
{
public:
  // Listens on aOptions.mListen. Errors: Unavailable.
  static result<std::unique_ptr<peer_transport>> Create(
    transport_options aOptions,
    transport_listener& aListener,
    event_sink& aEvents);
  ~peer_transport() override;

  void Send(peer_id aPeer, message aMessage) override;
  void Close(peer_id aPeer) override;
  void Connect(const std::string& aAddress) override;

  // Writes the messages sent since the last call, and closes the links whose
  // send budget is spent; only then is OnPeerDown called for these. Batching
  // the writes of one turn of the loop costs one system call per peer instead
  // of one per message.
  void Flush();
  // Closes links whose handshake has timed out and frees closed links.
  void Sweep();

  const transport_counters& Counters() const { return mCounters; }
  // Links in any state, including closed ones that Sweep has not freed yet.
  size_t Links() const { return mLinks.size(); }
  // Bytes received from aPeer that don't form a complete message yet.
  size_t PartialBytes(peer_id aPeer) const;
  // Whether output of any authenticated peer is unsent.
  bool OutputPending() const;

private:
  enum class link_state : uint8_t
  {
    Connecting,
    Handshaking, // our first hello is sent or queued
    Ready,       // the peer has proved its identity
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
    bool mWatched = false;     // whether it is in the epoll set
    bool mWatchOutput = false; // whether the epoll set waits for output space
    frame_reader mReader;
    std::string mOutput;      // output, of which mOutputSent bytes are written
    size_t mOutputSent = 0;   // bytes
    bool mOverBudget = false; // its send budget is spent; Flush closes it
    std::string mAddress;     // as given to Connect; empty for an accepted link
    std::string mNonce;       // ours
    std::string mPeerNonce;   // empty until the peer's first hello
    peer_identity mIdentity;  // valid once Ready
    gint64 mCreatedAt = 0;    // monotonic time in us
    std::string mPeerName;    // the peer's name, for logs; empty until Ready
  };

  peer_transport(transport_options aOptions,
                 transport_listener& aListener,
                 event_sink& aEvents);
  void Listen();
  link& AddLink(gobject_ptr<GSocket> aSocket, link_state aState);
  void SetSocketOptions(GSocket* aSocket) const;
  void SendHello(link& aLink);
  // Closes the link. With aNotify, calls OnPeerDown if it was Ready.
  void CloseLink(link& aLink, bool aNotify);
  // Returns whether more may be left to read.
  bool OnReadable(link& aLink);
  // Handles what the peer had sent, then closes the link.
  void OnWriteFailed(link& aLink);
  void OnWritable(link& aLink);
  void ReadFrames(link& aLink);
  void OnFrame(link& aLink, const message& aMessage);
  void OnHello(link& aLink, const wire::hello_msg& aHello);
  void FlushLink(link& aLink);
  // Counts and logs a protocol error and closes the link.
  void FailProtocol(link& aLink, const std::string& aText);
  // HMAC over the receiver's nonce, the sender's nonce and the sender's
  // identity as stated in aHello.
  std::string Proof(const std::string& aReceiverNonce,
                    const std::string& aSenderNonce,
                    const wire::hello_msg& aHello) const;

  static gboolean OnAcceptReady(GSocket* aSocket,
                                GIOCondition aCondition,
                                gpointer aData);
  static gboolean OnEpollReady(gint aFd,
                               GIOCondition aCondition,
                               gpointer aData);
  void HandleEvents();
  // Makes the epoll set wait for input on the link and, with aOutput, until it
  // can be written to.
  void WatchSocket(link& aLink, bool aOutput);

  transport_options mOptions;
  transport_listener& mListener;
  event_sink& mEvents;
  gobject_ptr<GSocket> mListenSocket;
  GSource* mAcceptSource = nullptr;
  // GLib polls each of its sources in every turn of the loop, at a cost that
  // grows with the number of links. Therefore all links are in one epoll set,
  // and only the epoll descriptor is a GLib source.
  int mEpoll = -1;
  guint mEpollSource = 0;
  std::map<peer_id, std::unique_ptr<link>> mLinks;
  std::vector<peer_id> mUnflushed; // peers with output since the last Flush
  gint64 mNextSweep = 0;           // monotonic time in us
  peer_id mNextId = 1;
  transport_counters mCounters;
};

// Parses HOST:PORT with a numeric host and port; null when the address is not
// valid.
gobject_ptr<GSocketAddress>
ParseAddress(const std::string& aText);

} // namespace cactusmast

#endif // SHELL_PEER_TRANSPORT_H_
