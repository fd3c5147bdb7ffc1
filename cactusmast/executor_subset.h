// Which executors an entry places its tasks on.
//
// An entry that heard from every executor would spend most of its time on
// reports once there are hundreds. It asks a subset for reports instead, and
// places on that subset alone. Members are taken in a fixed order: those of
// the entry's own data centre first, then by a hash of both names, so that
// entries spread over the executors without talking to each other and the loss
// of one executor changes one member.
//
// The subset is widened while its room is short, so that load which falls on a
// few entries still reaches every backend server, and narrowed after a while of
// plenty.
//
//   executor_subset subset("entry-1", "a");
//   subset.Add(7, "side-7", "a");
//   subset.SetUsable(7, true);
//   subset.AdjustSize(0.4, false, now);
//   for (peer_id peer : subset.Update().mJoined) ...
//
// Invariants:
// - Only usable executors are members.
// - While there are at least Size() usable executors, exactly Size() are
//   members; else all are.

#ifndef CACTUSMAST_EXECUTOR_SUBSET_H_
#define CACTUSMAST_EXECUTOR_SUBSET_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

// Enough for the widest ordinary job, and for some of each kind of backend
// server to be among them.
constexpr size_t kMinSubsetSize = 32;
// Reports of more cost an entry more than the room among them is worth.
constexpr size_t kMaxSubsetSize = 96;
// Of an entry that places on all executors.
constexpr size_t kUnlimitedSubset = SIZE_MAX;

class executor_subset
{
public:
  struct change
  {
    std::vector<peer_id> mJoined;
    std::vector<peer_id> mLeft;
  };

  // aSize: kMinSubsetSize or kUnlimitedSubset.
  executor_subset(std::string aOwner,
                  std::string aDataCenter,
                  size_t aSize = kMinSubsetSize)
    : mOwner(std::move(aOwner))
    , mDataCenter(std::move(aDataCenter))
    , mSize(aSize)
  {
  }

  // Not usable at first.
  void Add(peer_id aPeer,
           const std::string& aName,
           const std::string& aDataCenter);
  void Remove(peer_id aPeer);
  void SetUsable(peer_id aPeer, bool aUsable);

  // aFreeShare: the unused part of the members' processors, 0 to 1. aShort: a
  // task found no place among them. True when the size has changed.
  bool AdjustSize(double aFreeShare, bool aShort, instant aNow);

  // Who became a member and who no longer is one since the last call. A
  // removed executor is in neither.
  change Update();

  bool Has(peer_id aPeer) const { return mMembers.count(aPeer) > 0; }
  // How many members there are to be.
  size_t Size() const { return mSize; }

private:
  // Own data centre first, then by hash.
  using rank = std::tuple<bool, uint64_t, peer_id>;

  bool Resize(size_t aSize, instant aNow);

  std::string mOwner;
  std::string mDataCenter;
  std::map<peer_id, rank> mRanks;
  std::set<rank> mUsable;
  std::set<peer_id> mMembers;
  size_t mSize;
  instant mResizedAt{};
  instant mScarceAt{}; // when there was last no plenty of room
  bool mStale = false; // mMembers may not be what mUsable and mSize say
};

} // namespace cactusmast

#endif // CACTUSMAST_EXECUTOR_SUBSET_H_
