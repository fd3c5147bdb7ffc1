#include "cactusmast/executor_subset.h"

#include <algorithm>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// With a smaller free share than this, the next large job would not be placed.
constexpr double kScarceShare = 0.15;
// The subset shrinks only while at least this share is free.
constexpr double kAmpleShare = 0.4;
// The size changes by this fraction of itself at a time.
constexpr size_t kGrowDivisor = 4;
constexpr size_t kShrinkDivisor = 8;
// New members have sent their first reports by then.
constexpr duration kGrowInterval = milliseconds(20);
// Longer than the usual variation of the load, which takes a few seconds, so
// that the subset does not shrink and grow with it.
constexpr duration kShrinkAfter = milliseconds(5000);
constexpr duration kShrinkInterval = milliseconds(1000);

} // namespace

void
executor_subset::Add(peer_id aPeer,
                     const std::string& aName,
                     const std::string& aDataCenter)
{
  uint64_t hash = Hash64(aName, Hash64(mEntryName));
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
executor_subset::AdjustSize(double aFreeShare, bool aHasUnplaced, instant aNow)
{
  if (mSize == kUnlimitedSubset) {
    return false;
  }
  if (aFreeShare < kAmpleShare || aHasUnplaced) {
    mLastNotAmpleAt = aNow;
  }
  // With fewer members than the size, all usable executors are members already.
  bool full = mMembers.size() == mSize;
  bool isScarce = aFreeShare < kScarceShare || aHasUnplaced;
  if (full && isScarce && aNow - mResizedAt >= kGrowInterval) {
    size_t grown = mSize + mSize / kGrowDivisor;
    return Resize(std::min({ grown, kMaxSubsetSize, mUsable.size() }), aNow);
  }
  bool ample = aNow - mLastNotAmpleAt >= kShrinkAfter &&
               aNow - mResizedAt >= kShrinkInterval;
  if (!ample) {
    return false;
  }
  return Resize(std::max(kMinSubsetSize, mSize - mSize / kShrinkDivisor), aNow);
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
  change changes;
  if (!mStale) {
    return changes;
  }
  mStale = false;
  std::set<peer_id> members;
  for (const rank& usable : mUsable) {
    if (members.size() == mSize) {
      break;
    }
    peer_id peer = std::get<2>(usable);
    members.insert(peer);
    if (mMembers.count(peer) == 0) {
      changes.mJoined.push_back(peer);
    }
  }
  for (peer_id peer : mMembers) {
    if (members.count(peer) == 0) {
      changes.mLeft.push_back(peer);
    }
  }
  mMembers = std::move(members);
  return changes;
}

} // namespace cactusmast
