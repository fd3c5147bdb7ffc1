// The executors that an entry places its tasks on.
//
// With hundreds of executors, an entry that got reports from all of them would
// spend most of its time on reports. It subscribes to the reports of a subset
// instead, and places tasks on that subset only. Members are taken in a fixed
// order: executors of the entry's own data centre first, then by a hash of both
// names. Entries thus spread over the executors without communicating, and the
// loss of an executor changes only one member.
//
// The subset grows while its free capacity is scarce, so that load on a few
// entries can still use all backend servers, and shrinks after some seconds of
// ample free capacity.
//
//   executor_subset subset("entry-1", "a");
//   subset.Add(7, "side-7", "a");
//   subset.SetUsable(7, true);
//   subset.AdjustSize(0.4, false, now);
//   for (peer_id peer : subset.Update().mJoined) ...
//
// Invariants:
// - Only usable executors are members.
// - After Update(), min(Size(), number of usable executors) are members.

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

// Large enough for the largest ordinary job, and to contain some backend
// servers of each kind.
constexpr size_t kMinSubsetSize = 32;
// With more members, the reports cost an entry more than the additional
// capacity is worth.
constexpr size_t kMaxSubsetSize = 96;
// The size for an entry that places tasks on all executors.
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
  executor_subset(std::string aEntryName,
                  std::string aDataCenter,
                  size_t aSize = kMinSubsetSize)
    : mEntryName(std::move(aEntryName))
    , mDataCenter(std::move(aDataCenter))
    , mSize(aSize)
  {
  }

  // The executor is not usable until SetUsable.
  void Add(peer_id aPeer,
           const std::string& aName,
           const std::string& aDataCenter);
  void Remove(peer_id aPeer);
  void SetUsable(peer_id aPeer, bool aUsable);

  // aFreeShare: the free share of the members' processors, 0 to 1.
  // aHasUnplaced: a task was not placed on any member. True if the size has
  // changed.
  bool AdjustSize(double aFreeShare, bool aHasUnplaced, instant aNow);

  // Recomputes the members and returns the changes since the last call. An
  // executor that was removed is in neither list.
  change Update();

  bool Has(peer_id aPeer) const { return mMembers.count(aPeer) > 0; }
  // The intended number of members; there are fewer if too few are usable.
  size_t Size() const { return mSize; }

private:
  // Whether it is in another data centre, then the hash of both names.
  using rank = std::tuple<bool, uint64_t, peer_id>;

  bool Resize(size_t aSize, instant aNow);

  std::string mEntryName;
  std::string mDataCenter;
  std::map<peer_id, rank> mRanks;
  std::set<rank> mUsable; // in the order in which members are taken
  std::set<peer_id> mMembers;
  size_t mSize;
  instant mResizedAt{};
  instant mLastNotAmpleAt{}; // when free capacity was last not ample
  bool mStale = false; // mUsable or mSize changed since mMembers was computed
};

} // namespace cactusmast

#endif // CACTUSMAST_EXECUTOR_SUBSET_H_
