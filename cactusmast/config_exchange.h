// Copies of the configuration between entries, for an entry that the store does
// not reach in time.
//
// Entries announce in their heartbeats which version they have in force. One
// that learns of a newer version first leaves the store some time to deliver
// it, then asks one of the other entries for it, a part at a time:
//
//   config_fetcher fetcher(random);             // at the entry that asks
//   fetcher.Announce(peer, heartbeat.config_version);
//   if (auto next = fetcher.NextRequest(holder.Version(), now)) {
//     Send(next->mPeer, next->mMessage);
//   }
//   if (auto text = fetcher.OnPart(part)) holder.Update(*text);
//
//   config_provider provider;                   // at the entry that is asked
//   if (auto part = provider.Reply(peer, request, holder)) Send(peer, *part);
//
// Invariants:
// - An entry has requested at most one part at a time, however many entries
//   have the version. Copies thus take little of a thin link, and heartbeats
//   are not held up behind a long document.
// - What was received is kept. When an entry stops replying, another one
//   continues where it stopped, so every transfer that makes progress ends.
// - A transfer that has begun is not disturbed by newer versions: the provider
//   keeps the document that it is sending. Without this, a series of changes
//   could prevent each of them from arriving.

#ifndef CACTUSMAST_CONFIG_EXCHANGE_H_
#define CACTUSMAST_CONFIG_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cactusmast/ids.h"
#include "cactusmast/message.h"
#include "cactusmast/ports.h"
#include "cactusmast/route_config.h"

namespace cactusmast {

// Size of a part in bytes. A part takes 21 ms on a link of 25 Mbit/s.
constexpr size_t kConfigPartBytes = 64u << 10;

class config_fetcher
{
public:
  struct request
  {
    peer_id mPeer = 0;
    wire::config_request_msg mMessage;
  };

  explicit config_fetcher(random_source& aRandom)
    : mRandom(aRandom)
  {
  }

  // aPeer, which replies to requests, has aVersion in force.
  void Announce(peer_id aPeer, uint64_t aVersion);
  void Remove(peer_id aPeer);
  // The greatest version that a connected entry has announced; 0 for none.
  uint64_t NewestAnnounced() const;

  // The request that is due, if any. aInForce: version in force here; 0 for
  // none, in which case the store is given no time to deliver first.
  std::optional<request> NextRequest(uint64_t aInForce, instant aNow);
  // The whole document, once aPart completes it.
  std::optional<std::string> OnPart(const wire::config_part_msg& aPart);
  // Versions up to aVersion are not requested any more, because this release
  // cannot read them.
  void Reject(uint64_t aVersion);

private:
  struct transfer
  {
    uint64_t mVersion = 0; // 0: there is none
    std::string mText;     // received so far
    peer_id mPeer = 0;     // last asked; 0: none
    bool mOutstanding = false;
    instant mRequestedAt{};
  };

  // An entry that has mTransfer.mVersion or a newer one; 0 if there is none.
  // Another one than aFailed if possible.
  peer_id ChoosePeer(peer_id aFailed);

  random_source& mRandom;
  std::map<peer_id, uint64_t> mAnnounced;
  transfer mTransfer;
  uint64_t mRejected = 0;
  uint64_t mLastInForce = 0;
  instant mBehindSince{}; // 0: not behind any announced version
};

class config_provider
{
public:
  // The part that aRequest asks for, of the requested version if it is in force
  // or being sent to aPeer, otherwise of the one in force from its beginning.
  // None if aHolder is not as new as the requested version.
  std::optional<wire::config_part_msg> Reply(
    peer_id aPeer,
    const wire::config_request_msg& aRequest,
    const config_holder& aHolder);
  void Remove(peer_id aPeer) { mSending.erase(aPeer); }

private:
  struct document
  {
    uint64_t mVersion = 0;
    std::shared_ptr<const std::string> mText;
  };

  std::map<peer_id, document> mSending;
};

} // namespace cactusmast

#endif // CACTUSMAST_CONFIG_EXCHANGE_H_
