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
constexpr duration kMaxRestartBackoff = milliseconds(100);
constexpr duration kMaxRestartTime = std::chrono::seconds(8);
constexpr duration kRemoveAfter = std::chrono::seconds(60);
// An entry stays in LiveAddresses() for this long after its connection is lost,
// so that a restart does not change the list that others were sent.
constexpr duration kLiveAfterDisconnect = std::chrono::seconds(10);

} // namespace

bool
entry_directory::Add(const std::string& aAddress, bool aPinned, instant aNow)
{
  if (aAddress == mOwnAddress || aAddress.empty()) {
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
entry_directory::OnConnected(const std::string& aAddress, instant aNow)
{
  Add(aAddress, false, aNow);
  auto found = mRecords.find(aAddress);
  if (found == mRecords.end()) {
    return;
  }
  mRevision += IsLive(found->second, aNow) ? 0 : 1;
  found->second.mConnected = true;
  found->second.mEverConnected = true;
  found->second.mSince = aNow;
  found->second.mBackoff = kMinBackoff;
}

void
entry_directory::OnDisconnected(const std::string& aAddress, instant aNow)
{
  auto found = mRecords.find(aAddress);
  if (found == mRecords.end()) {
    return;
  }
  found->second.mConnected = false;
  found->second.mSince = aNow;
  found->second.mNextDial = aNow;
}

std::vector<std::string>
entry_directory::AddressesToDial(instant aNow)
{
  std::vector<std::string> due;
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    record& known = at->second;
    if (!known.mConnected && !known.mPinned &&
        aNow - known.mSince > kRemoveAfter) {
      at = mRecords.erase(at);
      continue;
    }
    if (!known.mConnected && aNow >= known.mNextDial) {
      due.push_back(at->first);
      known.mNextDial = aNow + known.mBackoff;
      bool restarting = aNow - known.mSince < kMaxRestartTime;
      known.mBackoff = std::min(restarting ? kMaxRestartBackoff : kMaxBackoff,
                                known.mBackoff * 2);
    }
    ++at;
  }
  return due;
}

bool
entry_directory::IsLive(const record& aRecord, instant aNow)
{
  return aRecord.mConnected || (aRecord.mEverConnected &&
                                aNow - aRecord.mSince < kLiveAfterDisconnect);
}

std::vector<std::string>
entry_directory::LiveAddresses(instant aNow) const
{
  std::vector<std::string> live;
  for (const auto& [address, known] : mRecords) {
    if (IsLive(known, aNow)) {
      live.push_back(address);
    }
  }
  if (!mOwnAddress.empty()) {
    live.push_back(mOwnAddress);
  }
  return live;
}

size_t
entry_directory::ConnectedCount() const
{
  return size_t(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aRecord) {
      return aRecord.second.mConnected;
    }));
}

} // namespace cactusmast
