#include "cactusmast/table_watcher.h"

#include <algorithm>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Retries begin fast, since a lost answer is the most frequent fault, and slow
// down to spare a store in trouble. The longest pause is what a change may be
// late by when the store returns; a change has to be in force after 2 s.
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
    // The table is read whole after any fault: a watch that went silent may
    // have missed changes, and this costs one small read.
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
  // A whole read may be of an earlier state than what was seen before. Going
  // on from the version that it names repeats changes but misses none.
  mVersion = aWhole ? aAnswer.mVersion : std::max(mVersion, aAnswer.mVersion);
  mHaveVersion = true;
}

} // namespace cactusmast
