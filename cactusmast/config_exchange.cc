#include "cactusmast/config_exchange.h"

#include <algorithm>
#include <vector>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// The store usually reaches every entry within this time.
constexpr duration kStoreHeadStart = milliseconds(300);
// Another entry is asked for a part that has not come within this time.
constexpr duration kPartTimeout = milliseconds(500);

} // namespace

void
config_fetcher::Announce(peer_id aPeer, uint64_t aVersion)
{
  mAnnounced[aPeer] = aVersion;
}

void
config_fetcher::Remove(peer_id aPeer)
{
  mAnnounced.erase(aPeer);
  if (mTransfer.mPeer == aPeer) {
    mTransfer.mPeer = 0;
    mTransfer.mOutstanding = false;
  }
}

uint64_t
config_fetcher::NewestAnnounced() const
{
  uint64_t newest = 0;
  for (const auto& [peer, version] : mAnnounced) {
    newest = std::max(newest, version);
  }
  return newest;
}

void
config_fetcher::Reject(uint64_t aVersion)
{
  mRejected = std::max(mRejected, aVersion);
}

std::optional<config_fetcher::request>
config_fetcher::NextRequest(uint64_t aInForce, instant aNow)
{
  uint64_t newest = NewestAnnounced();
  if (newest <= std::max(aInForce, mRejected)) {
    mTransfer = {};
    mBehindSince = {};
    return std::nullopt;
  }
  if (mBehindSince == instant{} || aInForce != mLastInForce) {
    // A change of the version in force shows that the store does deliver.
    mBehindSince = aNow;
    mLastInForce = aInForce;
  }
  if (aInForce > 0 && aNow - mBehindSince < kStoreHeadStart) {
    return std::nullopt;
  }
  if (mTransfer.mVersion <= aInForce) {
    mTransfer = {};
    mTransfer.mVersion = newest;
  }
  bool timedOut =
    mTransfer.mOutstanding && aNow - mTransfer.mRequestedAt >= kPartTimeout;
  if (mTransfer.mOutstanding && !timedOut) {
    return std::nullopt;
  }
  if (timedOut || mTransfer.mPeer == 0) {
    mTransfer.mPeer = ChoosePeer(timedOut ? mTransfer.mPeer : 0);
  }
  if (mTransfer.mPeer == 0) {
    // Those that had the version of the transfer are gone.
    mTransfer = {};
    return std::nullopt;
  }
  mTransfer.mOutstanding = true;
  mTransfer.mRequestedAt = aNow;
  request next;
  next.mPeer = mTransfer.mPeer;
  next.mMessage.version = mTransfer.mVersion;
  next.mMessage.offset = mTransfer.mText.size();
  return next;
}

peer_id
config_fetcher::ChoosePeer(peer_id aFailed)
{
  std::vector<peer_id> able;
  for (const auto& [peer, version] : mAnnounced) {
    if (version >= mTransfer.mVersion && peer != aFailed) {
      able.push_back(peer);
    }
  }
  if (able.empty()) {
    return mAnnounced.count(aFailed) > 0 ? aFailed : 0;
  }
  return able[size_t(mRandom.NextUniform() * double(able.size()))];
}

std::optional<std::string>
config_fetcher::OnPart(const wire::config_part_msg& aPart)
{
  bool isNewer = mTransfer.mVersion > 0 && aPart.version > mTransfer.mVersion;
  if (isNewer && aPart.offset == 0) {
    // The entry no longer has the version that it was asked for.
    mTransfer.mVersion = aPart.version;
    mTransfer.mText.clear();
  }
  bool isNext = aPart.version == mTransfer.mVersion &&
                aPart.offset == mTransfer.mText.size();
  if (!isNext) {
    return std::nullopt;
  }
  mTransfer.mText += aPart.text;
  mTransfer.mOutstanding = false;
  if (mTransfer.mText.size() < aPart.size) {
    return std::nullopt;
  }
  std::string text = std::move(mTransfer.mText);
  mTransfer = {};
  return text;
}

std::optional<wire::config_part_msg>
config_provider::Reply(peer_id aPeer,
                       const wire::config_request_msg& aRequest,
                       const config_holder& aHolder)
{
  if (aHolder.Version() == 0 || aRequest.version > aHolder.Version()) {
    return std::nullopt;
  }
  document& sending = mSending[aPeer];
  size_t offset = size_t(aRequest.offset);
  if (sending.mVersion != aRequest.version) {
    offset = aRequest.version == aHolder.Version() ? offset : 0;
    sending = { aHolder.Version(), aHolder.SharedText() };
  }
  const std::string& text = *sending.mText;
  offset = std::min(offset, text.size());
  wire::config_part_msg part;
  part.version = sending.mVersion;
  part.offset = offset;
  part.size = text.size();
  part.text = text.substr(offset, kConfigPartBytes);
  if (offset + part.text.size() == text.size()) {
    mSending.erase(aPeer);
  }
  return part;
}

} // namespace cactusmast
