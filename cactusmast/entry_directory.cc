#include "cactusmast/entry_directory.h"

#include <algorithm>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// An entry that restarts is back within about a second. The backoff between two
// dials adds to the time until executors serve it again.
constexpr duration kMinBackoff = milliseconds(100);
constexpr duration kMaxBackoff = milliseconds(400);
// An entry that was connected shortly before is probably restarting. Entries
// that all lose power at once come back after 0.3 to 3 s, and refuse their
// callers until they are connected to an executor.
constexpr duration kMaxBackoffAtFirst = milliseconds(100);
constexpr duration kRestartTime = std::chrono::seconds(8);
constexpr duration kForgetAfter = std::chrono::seconds(60);
// An entry stays in LiveAddresses() for this long after its connection is lost,
// so that a restart does not change the list that others were sent.
constexpr duration kSeenFor = std::chrono::seconds(10);

} // namespace

bool
entry_directory::Add(const std::string& aAddress, bool aPinned, instant aNow)
{
  if (aAddress == mOwn || aAddress.empty()) {
    return false;
  }
  auto [found, added] = mRecords.try_emplace(aAddress);
  if (added) {
    found->second.mSince = aNow;
    found->second.mBackoff = kMinBackoff;
  }
  found->second.mPinned = found->second.mPinned || aPinned;
  return added;
}

void
entry_directory::Unpin(const std::string& aAddress)
{
  auto found = mRecords.find(aAddress);
  if (found != mRecords.end()) {
    found->second.mPinned = false;
  }
}

void
entry_directory::OnUp(const std::string& aAddress, instant aNow)
{
  Add(aAddress, false, aNow);
  auto found = mRecords.find(aAddress);
  if (found == mRecords.end()) {
    return;
  }
  mRevision += IsSeen(found->second, aNow) ? 0 : 1;
  found->second.mUp = true;
  found->second.mWasUp = true;
  found->second.mSince = aNow;
  found->second.mBackoff = kMinBackoff;
}

void
entry_directory::OnDown(const std::string& aAddress, instant aNow)
{
  auto found = mRecords.find(aAddress);
  if (found == mRecords.end()) {
    return;
  }
  found->second.mUp = false;
  found->second.mSince = aNow;
  found->second.mNextDial = aNow;
}

std::vector<std::string>
entry_directory::Due(instant aNow)
{
  std::vector<std::string> due;
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    record& one = at->second;
    if (!one.mUp && !one.mPinned && aNow - one.mSince > kForgetAfter) {
      at = mRecords.erase(at);
      continue;
    }
    if (!one.mUp && aNow >= one.mNextDial) {
      due.push_back(at->first);
      one.mNextDial = aNow + one.mBackoff;
      bool restarting = aNow - one.mSince < kRestartTime;
      one.mBackoff = std::min(restarting ? kMaxBackoffAtFirst : kMaxBackoff,
                              one.mBackoff * 2);
    }
    ++at;
  }
  return due;
}

bool
entry_directory::IsSeen(const record& aRecord, instant aNow)
{
  return aRecord.mUp || (aRecord.mWasUp && aNow - aRecord.mSince < kSeenFor);
}

std::vector<std::string>
entry_directory::LiveAddresses(instant aNow) const
{
  std::vector<std::string> seen;
  for (const auto& [address, one] : mRecords) {
    if (IsSeen(one, aNow)) {
      seen.push_back(address);
    }
  }
  if (!mOwn.empty()) {
    seen.push_back(mOwn);
  }
  return seen;
}

size_t
entry_directory::Connected() const
{
  return size_t(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aRecord) {
      return aRecord.second.mUp;
    }));
}

} // namespace cactusmast
