#include "cactusmast/table_watcher.h"

#include <algorithm>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Retries begin fast, because a lost reply is the most frequent fault, and slow
// down to relieve a failing store. The maximum delays a change after the
// store has returned; a change must be in force within 2 s.
constexpr duration kMinBackoff = milliseconds(50);
constexpr duration kMaxBackoff = milliseconds(400);

} // namespace

table_watcher::table_watcher(std::string aTable,
                             uint32_t aWaitMs,
                             metadata_store& aStore,
                             change_handler aOnChange,
                             event_sink& aEvents)
  : mTable(std::move(aTable))
  , mWaitMs(aWaitMs)
  , mStore(aStore)
  , mOnChange(std::move(aOnChange))
  , mEvents(aEvents)
  , mBackoff(kMinBackoff)
{
}

void
table_watcher::Tick(instant aNow)
{
  mNow = aNow;
  if (mLastOkAt == instant{}) {
    mLastOkAt = aNow;
  }
  if (mReplyPending || aNow < mNextRequest) {
    return;
  }
  mReplyPending = true;
  if (mHaveVersion) {
    mStore.WaitForChange(
      mTable, mVersion, mWaitMs, [this](const store_reply& aReply) {
        OnReply(aReply, false);
      });
  } else {
    mStore.ReadPartition(mTable, "", {}, [this](const store_reply& aReply) {
      OnReply(aReply, true);
    });
  }
}

void
table_watcher::OnReply(const store_reply& aReply, bool aIsSnapshot)
{
  mReplyPending = false;
  if (aReply.mStatus != store_status::Ok) {
    mFaults++;
    mNextRequest = mNow + mBackoff;
    mBackoff = std::min(kMaxBackoff, mBackoff * 2);
    // A snapshot is read after any fault: a wait that got no reply may have
    // missed changes.
    mHaveVersion = false;
    if (mAvailable && aReply.mStatus == store_status::Unavailable) {
      mAvailable = false;
      mEvents.Emit(event_code::TableUnavailable,
                   { { "table", mTable }, { "text", aReply.mText } });
    }
    return;
  }
  if (!mAvailable || !mStoreHasReplied) {
    mEvents.Emit(
      event_code::TableAvailable,
      { { "table", mTable }, { "version", std::to_string(aReply.mVersion) } });
  }
  mAvailable = true;
  mLastOkAt = mNow;
  mStoreHasReplied = true;
  mBackoff = kMinBackoff;
  mNextRequest = mNow;
  mOnChange({ aReply.mRows, aReply.mVersion, aIsSnapshot });
  // A snapshot may be older than what was read before. Continuing from its
  // version repeats changes but misses none.
  mVersion =
    aIsSnapshot ? aReply.mVersion : std::max(mVersion, aReply.mVersion);
  mHaveVersion = true;
}

} // namespace cactusmast
