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
  if (mWaiting || aNow < mNextTry) {
    return;
  }
  mWaiting = true;
  if (mHaveVersion) {
    mStore.WaitForChange(
      mTable, mVersion, mWaitMs, [this](const store_reply& aAnswer) {
        OnAnswer(aAnswer, false);
      });
  } else {
    mStore.ReadPart(mTable, "", [this](const store_reply& aAnswer) {
      OnAnswer(aAnswer, true);
    });
  }
}

void
table_watcher::OnAnswer(const store_reply& aAnswer, bool aWhole)
{
  mWaiting = false;
  if (aAnswer.mStatus != store_status::Ok) {
    mNextTry = mNow + mBackoff;
    mBackoff = std::min(kMaxBackoff, mBackoff * 2);
    // A snapshot is read after any fault: a wait that got no reply may have
    // missed changes, and this costs only one small read.
    mHaveVersion = false;
    if (mAvailable && aAnswer.mStatus == store_status::Unavailable) {
      mAvailable = false;
      mEvents.Emit(event_code::TableUnavailable,
                   { { "table", mTable }, { "text", aAnswer.mText } });
    }
    return;
  }
  if (!mAvailable || !mEverAnswered) {
    mEvents.Emit(
      event_code::TableAvailable,
      { { "table", mTable }, { "version", std::to_string(aAnswer.mVersion) } });
  }
  mAvailable = true;
  mEverAnswered = true;
  mBackoff = kMinBackoff;
  mNextTry = mNow;
  mOnChange({ aAnswer.mRows, aAnswer.mVersion, aWhole && !aAnswer.mMore });
  // A snapshot may be older than what was read before. Continuing from its
  // version repeats changes but misses none.
  mVersion = aWhole ? aAnswer.mVersion : std::max(mVersion, aAnswer.mVersion);
  mHaveVersion = true;
}

} // namespace cactusmast
