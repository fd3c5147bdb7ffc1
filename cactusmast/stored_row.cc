#include "cactusmast/stored_row.h"

namespace cactusmast {
namespace {

// After a write that failed. The row matters only to a later process.
constexpr duration kWriteRetry = std::chrono::milliseconds(1000);

} // namespace

stored_row::stored_row(metadata_store& aStore,
                       row_place aPlace,
                       event_sink& aEvents)
  : mStore(aStore)
  , mPlace(std::move(aPlace))
  , mEvents(aEvents)
{
}

void
stored_row::Load(load_handler aRecalled)
{
  auto take = [this, handler = std::move(aRecalled)](
                const store_reply& aAnswer) { OnRecalled(aAnswer, handler); };
  mStore.ReadPart(mPlace.mTable, mPlace.mPart, take);
}

void
stored_row::OnRecalled(const store_reply& aAnswer,
                       const load_handler& aRecalled)
{
  if (aAnswer.mStatus != store_status::Ok) {
    mEvents.Emit(event_code::TableUnavailable,
                 { { "table", mPlace.mTable }, { "text", aAnswer.mText } });
    return;
  }
  for (const store_row& row : aAnswer.mRows) {
    if (row.mKey != mPlace.mKey || row.mDeleted) {
      continue;
    }
    if (!mStored) {
      mStored = row.mValue;
    }
    aRecalled(row.mValue);
  }
}

void
stored_row::Set(std::string aValue)
{
  mWanted = std::move(aValue);
}

void
stored_row::Tick(instant aNow)
{
  if (!mWanted || mWanted == mStored || mWriting || aNow < mNextTry) {
    return;
  }
  mWriting = true;
  mNextTry = aNow + kWriteRetry;
  std::string value = *mWanted;
  store_row row{ mPlace.mKey, value, value.empty(), mPlace.mPart };
  mStore.PutRow(mPlace.mTable, row, [this, value](const store_reply& aAnswer) {
    mWriting = false;
    if (aAnswer.mStatus == store_status::Ok) {
      mStored = value;
      mNextTry = instant(0);
    }
  });
}

} // namespace cactusmast
