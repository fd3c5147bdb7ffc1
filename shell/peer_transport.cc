#include "shell/peer_transport.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "util/constant_time.h"
#include "util/host_port.h"

namespace cactusmast {
namespace {

constexpr gint64 kSweepIntervalUs = G_USEC_PER_SEC / 20;
constexpr size_t kReadChunkSize = 256u << 10;
constexpr size_t kMaxHandshakeFrame = 4096;
constexpr int kMaxReadsPerTurn = 8;
// An idle connection to a machine that does not respond is closed after about 3
// seconds. The machine may be back by then, but it serves no peer until that
// peer connects again.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUnacknowledgedTimeoutMs = 2000;

std::string
MakeNonce()
{
  std::string nonce;
  for (int i = 0; i < 4; i++) {
    nonce += std::to_string(g_random_int());
    nonce += '-';
  }
  return nonce;
}

void
DestroySource(GSource** aSource)
{
  if (*aSource != nullptr) {
    g_source_destroy(*aSource);
    g_source_unref(*aSource);
    *aSource = nullptr;
  }
}

} // namespace

gobject_ptr<GSocketAddress>
ParseAddress(const std::string& aText)
{
  std::optional<host_port> parsed = ParseHostPort(aText);
  if (!parsed) {
    return nullptr;
  }
  return gobject_ptr<GSocketAddress>(g_inet_socket_address_new_from_string(
    parsed->mHost.c_str(), parsed->mPort));
}

peer_transport::peer_transport(transport_options aOptions,
                               transport_listener& aListener,
                               event_sink& aEvents)
  : mOptions(std::move(aOptions))
  , mListener(aListener)
  , mEvents(aEvents)
{
}

peer_transport::~peer_transport()
{
  DestroySource(&mAcceptSource);
  if (mEpollSource != 0) {
    g_source_remove(mEpollSource);
  }
  if (mEpoll >= 0) {
    close(mEpoll);
  }
}

result<std::unique_ptr<peer_transport>>
peer_transport::Create(transport_options aOptions,
                       transport_listener& aListener,
                       event_sink& aEvents)
{
  return ResultOf<std::unique_ptr<peer_transport>>([&] {
    std::unique_ptr<peer_transport> transport(
      new peer_transport(std::move(aOptions), aListener, aEvents));
    transport->Listen();
    return transport;
  });
}

void
peer_transport::Listen()
{
  auto fail = [this](const GError* aError) {
    throw failure(error_code::Unavailable,
                  "listen",
                  mOptions.mListen,
                  aError != nullptr ? aError->message : "bad address");
  };
  gobject_ptr<GSocketAddress> address = ParseAddress(mOptions.mListen);
  if (address == nullptr) {
    fail(nullptr);
  }
  GError* error = nullptr;
  mListenSocket.reset(g_socket_new(g_socket_address_get_family(address.get()),
                                   G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP,
                                   &error));
  gerror_ptr errorOwner(error);
  if (mListenSocket == nullptr) {
    fail(error);
  }
  g_socket_set_blocking(mListenSocket.get(), FALSE);
  g_socket_set_listen_backlog(mListenSocket.get(), 1024);
  error = nullptr;
  bool listening =
    g_socket_bind(mListenSocket.get(), address.get(), TRUE, &error) &&
    g_socket_listen(mListenSocket.get(), &error);
  errorOwner.reset(error);
  if (!listening) {
    fail(error);
  }
  mEpoll = epoll_create1(EPOLL_CLOEXEC);
  if (mEpoll < 0) {
    fail(nullptr);
  }
  mEpollSource =
    g_unix_fd_add(mEpoll, G_IO_IN, &peer_transport::OnEpollReady, this);
  // The main loop is never run recursively, so GLib need not remove the source
  // from the poll set during a dispatch, which costs two system calls.
  g_source_set_can_recurse(
    g_main_context_find_source_by_id(nullptr, mEpollSource), TRUE);
  mAcceptSource = g_socket_create_source(mListenSocket.get(), G_IO_IN, nullptr);
  g_source_set_callback(mAcceptSource,
                        G_SOURCE_FUNC(&peer_transport::OnAcceptReady),
                        this,
                        nullptr);
  g_source_attach(mAcceptSource, nullptr);
}

void
peer_transport::SetSocketOptions(GSocket* aSocket) const
{
  g_socket_set_blocking(aSocket, FALSE);
  auto set = [aSocket](int aOption, int aValue) {
    g_socket_set_option(aSocket, IPPROTO_TCP, aOption, aValue, nullptr);
  };
  set(TCP_NODELAY, 1);
  if (!mOptions.mKeepAlive) {
    return;
  }
  g_socket_set_keepalive(aSocket, TRUE);
  set(TCP_KEEPIDLE, kKeepAliveIdleS);
  set(TCP_KEEPINTVL, kKeepAliveIntervalS);
  set(TCP_KEEPCNT, kKeepAliveProbes);
  set(TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
}

peer_transport::link&
peer_transport::AddLink(gobject_ptr<GSocket> aSocket, link_state aState)
{
  SetSocketOptions(aSocket.get());
  auto owned = std::make_unique<link>(mOptions.mMaxFrameBytes);
  owned->mOwner = this;
  owned->mId = mNextId++;
  owned->mState = aState;
  owned->mSocket = std::move(aSocket);
  owned->mNonce = MakeNonce();
  owned->mCreatedAt = g_get_monotonic_time();
  link& added = *owned;
  mLinks[added.mId] = std::move(owned);
  return added;
}

gboolean
peer_transport::OnAcceptReady(GSocket* aSocket,
                              GIOCondition /*aCondition*/,
                              gpointer aData)
{
  auto* self = static_cast<peer_transport*>(aData);
  for (;;) {
    gobject_ptr<GSocket> accepted(g_socket_accept(aSocket, nullptr, nullptr));
    if (accepted == nullptr) {
      return G_SOURCE_CONTINUE;
    }
    link& added = self->AddLink(std::move(accepted), link_state::Handshaking);
    self->SendHello(added);
  }
}

void
peer_transport::Connect(const std::string& aAddress)
{
  for (const auto& [id, link] : mLinks) {
    if (link->mAddress == aAddress && link->mState != link_state::Closed) {
      return;
    }
  }
  gobject_ptr<GSocketAddress> address = ParseAddress(aAddress);
  if (address == nullptr) {
    return;
  }
  gobject_ptr<GSocket> socket(
    g_socket_new(g_socket_address_get_family(address.get()),
                 G_SOCKET_TYPE_STREAM,
                 G_SOCKET_PROTOCOL_TCP,
                 nullptr));
  if (socket == nullptr) {
    return;
  }
  link& added = AddLink(std::move(socket), link_state::Connecting);
  added.mAddress = aAddress;
  GError* error = nullptr;
  bool done =
    g_socket_connect(added.mSocket.get(), address.get(), nullptr, &error);
  gerror_ptr errorOwner(error);
  if (done) {
    SendHello(added);
  } else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
    WatchSocket(added, true);
  } else {
    CloseLink(added, false);
  }
}

void
peer_transport::SendHello(link& aLink)
{
  aLink.mState = link_state::Handshaking;
  WatchSocket(aLink, false);
  wire::hello_msg hello;
  hello.protocol = kProtocolVersion;
  hello.nonce = aLink.mNonce;
  EncodeFrame(MakeMessage(std::move(hello)), &aLink.mOutput);
  FlushLink(aLink);
}

std::string
peer_transport::Proof(const std::string& aReceiverNonce,
                      const std::string& aSenderNonce,
                      const wire::hello_msg& aHello) const
{
  std::string text = aReceiverNonce + '|' + aSenderNonce + '|' +
                     std::to_string(aHello.role) + '|' + aHello.name + '|' +
                     std::to_string(aHello.incarnation) + '|' + aHello.address +
                     '|' + std::to_string(aHello.shard);
  gchar* digest = g_compute_hmac_for_string(
    G_CHECKSUM_SHA256,
    reinterpret_cast<const guchar*>(mOptions.mSharedKey.data()),
    mOptions.mSharedKey.size(),
    text.data(),
    gssize(text.size()));
  std::string proof = digest;
  g_free(digest);
  return proof;
}

void
peer_transport::OnHello(link& aLink, const wire::hello_msg& aHello)
{
  if (aHello.protocol != kProtocolVersion) {
    FailProtocol(
      aLink, "unsupported protocol version " + std::to_string(aHello.protocol));
    return;
  }
  if (aLink.mPeerNonce.empty()) {
    if (aHello.nonce.empty()) {
      FailProtocol(aLink, "hello without a nonce");
      return;
    }
    aLink.mPeerNonce = aHello.nonce;
    const peer_identity& self = mOptions.mSelf;
    wire::hello_msg reply;
    reply.protocol = kProtocolVersion;
    reply.role = uint8_t(self.mRole);
    reply.name = self.mName;
    reply.incarnation = self.mIncarnation;
    reply.address = self.mAddress;
    reply.data_center = self.mDataCenter;
    reply.region = self.mRegion;
    reply.shard = self.mShard;
    reply.nonce = aLink.mNonce;
    reply.proof = Proof(aLink.mPeerNonce, aLink.mNonce, reply);
    EncodeFrame(MakeMessage(std::move(reply)), &aLink.mOutput);
    FlushLink(aLink);
    return;
  }
  std::string expected = Proof(aLink.mNonce, aLink.mPeerNonce, aHello);
  bool isSelf = aHello.name == mOptions.mSelf.mName &&
                aHello.role == uint8_t(mOptions.mSelf.mRole);
  bool proven = EqualConstantTime(aHello.proof, expected) && !isSelf &&
                aHello.role < uint8_t(process_role::Count);
  if (!proven) {
    mCounters.mRefusedPeers++;
    mEvents.Emit(event_code::PeerRefused,
                 { { "peer", aHello.name }, { "step", "prove identity" } });
    CloseLink(aLink, false);
    return;
  }
  aLink.mIdentity.mRole = process_role(aHello.role);
  aLink.mIdentity.mName = aHello.name;
  aLink.mIdentity.mIncarnation = aHello.incarnation;
  aLink.mIdentity.mAddress = aHello.address;
  aLink.mIdentity.mDataCenter = aHello.data_center;
  aLink.mIdentity.mRegion = aHello.region;
  aLink.mIdentity.mShard = aHello.shard;
  aLink.mPeerName = aHello.name;
  aLink.mState = link_state::Ready;
  mListener.OnPeerUp(aLink.mId, aLink.mIdentity);
}

void
peer_transport::FailProtocol(link& aLink, const std::string& aText)
{
  mCounters.mProtocolErrors++;
  mEvents.Emit(event_code::PeerProtocolError,
               { { "peer", aLink.mPeerName }, { "text", aText } });
  CloseLink(aLink, true);
}

void
peer_transport::OnFrame(link& aLink, const message& aMessage)
{
  mCounters.mMessagesIn++;
  if (aLink.mState == link_state::Ready) {
    mListener.OnPeerMessage(aLink.mId, aMessage);
    return;
  }
  if (aMessage.type != message_kind::hello) {
    FailProtocol(aLink, "a message before the handshake was complete");
    return;
  }
  OnHello(aLink, *aMessage.Ashello());
}

void
peer_transport::ReadFrames(link& aLink)
{
  try {
    std::string_view frame;
    while (aLink.mState != link_state::Closed && aLink.mReader.Next(&frame)) {
      if (aLink.mState != link_state::Ready &&
          frame.size() > kMaxHandshakeFrame) {
        FailProtocol(aLink, "a frame over the size limit of the handshake");
        return;
      }
      result<message> decoded = DecodeEnvelope(frame, aLink.mPeerName);
      OnFrame(aLink, decoded.Value());
    }
  } catch (const failure& error) {
    FailProtocol(aLink, error.what());
  }
}

bool
peer_transport::OnReadable(link& aLink)
{
  static char chunk[kReadChunkSize];
  for (int i = 0; i < kMaxReadsPerTurn; i++) {
    GError* error = nullptr;
    gssize count = g_socket_receive(
      aLink.mSocket.get(), chunk, sizeof chunk, nullptr, &error);
    gerror_ptr errorOwner(error);
    if (count < 0 &&
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      return false;
    }
    if (count <= 0) {
      CloseLink(aLink, true);
      return false;
    }
    mCounters.mBytesIn += uint64_t(count);
    aLink.mReader.Append(std::string_view(chunk, size_t(count)));
    ReadFrames(aLink);
    if (aLink.mState == link_state::Closed || size_t(count) < sizeof chunk) {
      return false;
    }
  }
  return true;
}

void
peer_transport::WatchSocket(link& aLink, bool aOutput)
{
  if (aLink.mWatched && aLink.mWatchOutput == aOutput) {
    return;
  }
  epoll_event wanted{};
  wanted.events = EPOLLIN | (aOutput ? EPOLLOUT : 0u);
  wanted.data.u32 = aLink.mId;
  epoll_ctl(mEpoll,
            aLink.mWatched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
            g_socket_get_fd(aLink.mSocket.get()),
            &wanted);
  aLink.mWatched = true;
  aLink.mWatchOutput = aOutput;
}

gboolean
peer_transport::OnEpollReady(gint /*aFd*/,
                             GIOCondition /*aCondition*/,
                             gpointer aData)
{
  static_cast<peer_transport*>(aData)->HandleEvents();
  return G_SOURCE_CONTINUE;
}

void
peer_transport::HandleEvents()
{
  constexpr int kMaxReady = 256;
  epoll_event ready[kMaxReady];
  int count = epoll_wait(mEpoll, ready, kMaxReady, 0);
  for (int i = 0; i < count; i++) {
    // A link that was closed while handling an earlier event stays in mLinks
    // until the next sweep, and ids are not reused, so the id cannot refer to
    // another link.
    auto found = mLinks.find(ready[i].data.u32);
    if (found == mLinks.end()) {
      continue;
    }
    link& current = *found->second;
    if ((ready[i].events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0 &&
        current.mWatchOutput && current.mState != link_state::Closed) {
      WatchSocket(current, false);
      OnWritable(current);
    }
    bool open = current.mState == link_state::Handshaking ||
                current.mState == link_state::Ready;
    if (open && (ready[i].events & ~unsigned(EPOLLOUT)) != 0) {
      OnReadable(current);
    }
  }
}

void
peer_transport::OnWritable(link& aLink)
{
  if (aLink.mState == link_state::Connecting) {
    bool connected =
      g_socket_check_connect_result(aLink.mSocket.get(), nullptr);
    if (!connected) {
      CloseLink(aLink, false);
      return;
    }
    SendHello(aLink);
    return;
  }
  FlushLink(aLink);
}

void
peer_transport::FlushLink(link& aLink)
{
  while (aLink.mOutputSent < aLink.mOutput.size()) {
    GError* error = nullptr;
    gssize count = g_socket_send(aLink.mSocket.get(),
                                 aLink.mOutput.data() + aLink.mOutputSent,
                                 aLink.mOutput.size() - aLink.mOutputSent,
                                 nullptr,
                                 &error);
    gerror_ptr errorOwner(error);
    if (count < 0 &&
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      WatchSocket(aLink, true);
      break;
    }
    if (count < 0) {
      OnWriteFailed(aLink);
      return;
    }
    aLink.mOutputSent += size_t(count);
    mCounters.mBytesOut += uint64_t(count);
  }
  if (aLink.mOutputSent == aLink.mOutput.size()) {
    aLink.mOutput.clear();
    aLink.mOutputSent = 0;
  }
}

// A peer that ends has sent its last messages before it closes the connection.
void
peer_transport::OnWriteFailed(link& aLink)
{
  bool mayHaveMore = aLink.mState == link_state::Ready;
  while (mayHaveMore) {
    mayHaveMore = OnReadable(aLink);
  }
  CloseLink(aLink, true);
}

void
peer_transport::Send(peer_id aPeer, message aMessage)
{
  auto found = mLinks.find(aPeer);
  bool sendable = found != mLinks.end() &&
                  found->second->mState == link_state::Ready &&
                  !found->second->mOverBudget;
  if (!sendable) {
    return;
  }
  link& target = *found->second;
  if (target.mOutput.empty()) {
    mUnflushed.push_back(aPeer);
  }
  EncodeFrame(aMessage, &target.mOutput);
  mCounters.mMessagesOut++;
  if (target.mOutput.size() - target.mOutputSent > mOptions.mMaxUnsentBytes) {
    // The peer has stopped reading. Whether it got the messages is resolved by
    // asking it after it has connected again. The link is closed by Flush,
    // because the caller may be iterating over its peers.
    target.mOverBudget = true;
    mUnflushed.push_back(aPeer);
    mCounters.mSendBudgetExceeded++;
    mEvents.Emit(event_code::BudgetSpent,
                 { { "budget", "send" }, { "peer", target.mPeerName } });
  }
}

void
peer_transport::Flush()
{
  std::vector<peer_id> unflushed = std::move(mUnflushed);
  mUnflushed.clear();
  for (peer_id peer : unflushed) {
    auto found = mLinks.find(peer);
    if (found != mLinks.end() && found->second->mOverBudget) {
      CloseLink(*found->second, true);
    }
    bool writable = found != mLinks.end() &&
                    found->second->mState == link_state::Ready &&
                    !found->second->mWatchOutput;
    if (writable) {
      FlushLink(*found->second);
    }
  }
}

bool
peer_transport::OutputPending() const
{
  for (const auto& [id, link] : mLinks) {
    if (link->mState == link_state::Ready && !link->mOutput.empty()) {
      return true;
    }
  }
  return false;
}

size_t
peer_transport::PartialBytes(peer_id aPeer) const
{
  auto found = mLinks.find(aPeer);
  return found == mLinks.end() ? 0 : found->second->mReader.Pending();
}

void
peer_transport::CloseLink(link& aLink, bool aNotify)
{
  if (aLink.mState == link_state::Closed) {
    return;
  }
  bool wasReady = aLink.mState == link_state::Ready;
  aLink.mState = link_state::Closed;
  // Closing the socket also removes it from the epoll set.
  g_socket_close(aLink.mSocket.get(), nullptr);
  if (aNotify && wasReady) {
    mListener.OnPeerDown(aLink.mId);
  }
}

void
peer_transport::Close(peer_id aPeer)
{
  auto found = mLinks.find(aPeer);
  if (found != mLinks.end()) {
    CloseLink(*found->second, false);
  }
}

void
peer_transport::Sweep()
{
  gint64 now = g_get_monotonic_time();
  if (now < mNextSweep) {
    return;
  }
  mNextSweep = now + kSweepIntervalUs;
  for (auto entry = mLinks.begin(); entry != mLinks.end();) {
    link& checked = *entry->second;
    bool connecting = checked.mState == link_state::Connecting;
    bool inHandshake = connecting || checked.mState == link_state::Handshaking;
    uint32_t limitMs =
      connecting ? mOptions.mConnectTimeoutMs : mOptions.mHandshakeTimeoutMs;
    if (inHandshake && now - checked.mCreatedAt > gint64(limitMs) * 1000) {
      CloseLink(checked, false);
    }
    entry = checked.mState == link_state::Closed ? mLinks.erase(entry)
                                                 : std::next(entry);
  }
}

} // namespace cactusmast
