#include "cactusmast/stored_row.h"

namespace cactusmast {
namespace {

// Until a failed write is retried. It may be long because the row is only read
// by a later process.
constexpr duration kWriteRetryInterval = std::chrono::milliseconds(1000);

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
stored_row::Load(load_handler aOnLoaded)
{
  auto onReply = [this, handler = std::move(aOnLoaded)](
                   const store_reply& aReply) { OnLoaded(aReply, handler); };
  mStore.ReadPartition(mPlace.mTable, mPlace.mPartition, {}, onReply);
}

void
stored_row::OnLoaded(const store_reply& aReply, const load_handler& aOnLoaded)
{
  if (aReply.mStatus != store_status::Ok) {
    mEvents.Emit(event_code::TableUnavailable,
                 { { "table", mPlace.mTable }, { "text", aReply.mText } });
    return;
  }
  for (const store_row& row : aReply.mRows) {
    if (row.mKey != mPlace.mKey || row.mDeleted) {
      continue;
    }
    if (!mStored) {
      mStored = row.mValue;
    }
    aOnLoaded(row.mValue);
  }
}

void
stored_row::Set(std::string aValue)
{
  mDesired = std::move(aValue);
}

void
stored_row::Tick(instant aNow)
{
  if (!mDesired || mDesired == mStored || mWriting || aNow < mNextWrite) {
    return;
  }
  mWriting = true;
  mNextWrite = aNow + kWriteRetryInterval;
  std::string value = *mDesired;
  store_row row{ mPlace.mKey, value, value.empty(), mPlace.mPartition };
  mStore.PutRow(mPlace.mTable, row, [this, value](const store_reply& aReply) {
    mWriting = false;
    if (aReply.mStatus == store_status::Ok) {
      mStored = value;
      mNextWrite = instant(0);
    }
  });
}

} // namespace cactusmast
