#include "cactusmast/executor_subset.h"

#include <algorithm>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// With a smaller free share than this, the next large job would not be placed.
constexpr double kShortShare = 0.15;
// The subset shrinks only while at least this share is free.
constexpr double kPlentyShare = 0.4;
// The size changes by this fraction of itself at a time.
constexpr size_t kWidenDivisor = 4;
constexpr size_t kNarrowDivisor = 8;
// New members have sent their first reports by then.
constexpr duration kWidenInterval = milliseconds(20);
// The load varies in waves of a few seconds.
constexpr duration kNarrowAfter = milliseconds(5000);
constexpr duration kNarrowInterval = milliseconds(1000);

} // namespace

void
executor_subset::Add(peer_id aPeer,
                     const std::string& aName,
                     const std::string& aDataCenter)
{
  uint64_t hash = Hash64(aName, Hash64(mOwner));
  mRanks[aPeer] = { aDataCenter != mDataCenter, hash, aPeer };
}

void
executor_subset::Remove(peer_id aPeer)
{
  SetUsable(aPeer, false);
  mRanks.erase(aPeer);
  mMembers.erase(aPeer);
}

void
executor_subset::SetUsable(peer_id aPeer, bool aUsable)
{
  auto found = mRanks.find(aPeer);
  if (found == mRanks.end()) {
    return;
  }
  bool changed = aUsable ? mUsable.insert(found->second).second
                         : mUsable.erase(found->second) > 0;
  mStale = mStale || changed;
}

bool
executor_subset::AdjustSize(double aFreeShare, bool aShort, instant aNow)
{
  if (mSize == kUnlimitedSubset) {
    return false;
  }
  if (aFreeShare < kPlentyShare || aShort) {
    mScarceAt = aNow;
  }
  // With fewer members than the size, all usable executors are members already.
  bool full = mMembers.size() == mSize;
  bool isShort = aFreeShare < kShortShare || aShort;
  if (full && isShort && aNow - mResizedAt >= kWidenInterval) {
    size_t wider = mSize + mSize / kWidenDivisor;
    return Resize(std::min({ wider, kMaxSubsetSize, mUsable.size() }), aNow);
  }
  bool plenty =
    aNow - mScarceAt >= kNarrowAfter && aNow - mResizedAt >= kNarrowInterval;
  if (!plenty) {
    return false;
  }
  return Resize(std::max(kMinSubsetSize, mSize - mSize / kNarrowDivisor), aNow);
}

bool
executor_subset::Resize(size_t aSize, instant aNow)
{
  if (aSize == mSize) {
    return false;
  }
  mSize = aSize;
  mResizedAt = aNow;
  mStale = true;
  return true;
}

executor_subset::change
executor_subset::Update()
{
  change made;
  if (!mStale) {
    return made;
  }
  mStale = false;
  std::set<peer_id> members;
  for (const rank& one : mUsable) {
    if (members.size() == mSize) {
      break;
    }
    peer_id peer = std::get<2>(one);
    members.insert(peer);
    if (mMembers.count(peer) == 0) {
      made.mJoined.push_back(peer);
    }
  }
  for (peer_id peer : mMembers) {
    if (members.count(peer) == 0) {
      made.mLeft.push_back(peer);
    }
  }
  mMembers = std::move(members);
  return made;
}

} // namespace cactusmast
