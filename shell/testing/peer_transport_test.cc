// Connections between peers that end.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "shell/peer_transport.h"
#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

class no_events : public event_sink
{
public:
  void Emit(event_code, std::vector<event_field>) override {}
};

class recorded_listener : public transport_listener
{
public:
  void OnPeerUp(peer_id aPeer, const peer_identity&) override
  {
    mPeer = aPeer;
    mUp = true;
  }
  void OnPeerDown(peer_id) override
  {
    mDown = true;
    mDownWithinSend = mDownWithinSend || mSending;
  }
  void OnPeerMessage(peer_id, const message&) override
  {
    mMessages++;
    mMessagesAfterDown += mDown ? 1 : 0;
  }

  peer_id mPeer = 0;
  bool mUp = false;
  bool mDown = false;
  bool mSending = false; // set by the test around Send
  bool mDownWithinSend = false;
  uint32_t mMessages = 0;
  uint32_t mMessagesAfterDown = 0;
};

// One end of a connection.
struct peer
{
  peer(const std::string& aName, const std::string& aListen, size_t aMaxUnsent)
  {
    transport_options options;
    options.mListen = aListen;
    options.mSharedKey = "k";
    options.mMaxUnsentBytes = aMaxUnsent;
    options.mSelf.mName = aName;
    mTransport =
      std::move(peer_transport::Create(options, mListener, mEvents).Value());
  }

  void Send(size_t aBytes = 1)
  {
    wire::config_document_msg document;
    document.text.assign(aBytes, 'x');
    mListener.mSending = true;
    mTransport->Send(mListener.mPeer, MakeMessage(std::move(document)));
    mListener.mSending = false;
  }
  void SendNow()
  {
    Send();
    mTransport->Flush();
  }

  no_events mEvents;
  recorded_listener mListener;
  std::unique_ptr<peer_transport> mTransport;
};

struct connected_peers
{
  explicit connected_peers(size_t aMaxUnsent = 1u << 20)
    : mListen(FreeAddress())
    , mNear(std::make_unique<peer>("near", mListen, aMaxUnsent))
    , mFar(std::make_unique<peer>("far", "127.0.0.1:0", aMaxUnsent))
  {
    mFar->mTransport->Connect(mListen);
    RunLoopUntil(mNear->mListener.mUp);
    RunLoopUntil(mFar->mListener.mUp);
  }

  static std::string FreeAddress()
  {
    return ServeOnLoopback([](http_exchange&) {}).Address();
  }

  std::string mListen;
  std::unique_ptr<peer> mNear;
  std::unique_ptr<peer> mFar;
};

} // namespace

TEST_CASE("messages of a peer that has ended are read though a write to it "
          "fails")
{
  // Guards against results that a process sent just before its exit and that
  // are lost because a message to it can no longer be written.
  connected_peers peers;
  peers.mFar->SendNow();
  peers.mFar.reset();
  recorded_listener& near = peers.mNear->mListener;
  peers.mNear->SendNow(); // answered with a reset
  peers.mNear->SendNow();
  RunLoopUntil(near.mDown);
  CHECK(near.mMessages == 1);
  CHECK(near.mMessagesAfterDown == 0);
}

TEST_CASE("a peer is not reported down while a message is sent to it")
{
  // Guards against a peer that is erased while its owner iterates over peers.
  constexpr size_t kMaxUnsent = 4096;
  connected_peers peers(kMaxUnsent);
  recorded_listener& near = peers.mNear->mListener;
  peers.mNear->Send(2 * kMaxUnsent);
  peers.mNear->Send();
  CHECK_FALSE(near.mDownWithinSend);
  peers.mNear->mTransport->Flush();
  CHECK(near.mDown);
  CHECK(peers.mNear->mTransport->Counters().mSendBudgetExceeded == 1);
  RunLoopUntil(peers.mFar->mListener.mDown);
  CHECK(peers.mFar->mListener.mMessages == 0);
}

} // namespace cactusmast::testing
