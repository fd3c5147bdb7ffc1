#include "cactusmast/evacuation.h"

#include <algorithm>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Greatest age that is sent. A greater one makes no difference to the receiver.
constexpr int64_t kLongestAgeMs = 3600 * 1000;

} // namespace

const evacuation_state&
evacuation_reader::Apply(const table_change& aChange)
{
  std::set<std::string> before;
  if (aChange.mWhole) {
    before.swap(mState.mDataCenters);
  }
  for (const store_row& row : aChange.mRows) {
    std::optional<std::string> center = mCodec.DataCenterOf(row.mKey);
    if (!center) {
      continue;
    }
    if (row.mDeleted) {
      mState.mDataCenters.erase(*center);
    } else if (mCodec.IsReadable(row.mValue)) {
      mState.mDataCenters.insert(*center);
    } else {
      mEvents.Emit(
        event_code::ConfigUnreadable,
        { { "text", "evacuation of " + *center }, { "source", "store" } });
      if (before.count(*center) > 0) {
        mState.mDataCenters.insert(*center);
      }
    }
  }
  // A snapshot may be of an earlier version than the changes before it.
  mState.mVersion = aChange.mWhole
                      ? aChange.mVersion
                      : std::max(mState.mVersion, aChange.mVersion);
  return mState;
}

bool
evacuation_tracker::Update(const evacuation_update& aNews)
{
  const evacuation_state& state = aNews.mState;
  if (state.mVersion < mState.mVersion) {
    return false;
  }
  mConfirmedAt = std::max(mConfirmedAt, aNews.mConfirmedAt);
  mState.mVersion = state.mVersion;
  if (state.mDataCenters == mState.mDataCenters) {
    return false;
  }
  mState.mDataCenters = state.mDataCenters;
  std::map<std::string, instant> before = std::move(mSince);
  mSince.clear();
  for (const std::string& center : mState.mDataCenters) {
    auto known = before.find(center);
    mSince[center] = known == before.end() ? aNews.mConfirmedAt : known->second;
  }
  return true;
}

std::unique_ptr<wire::evacuations_msg>
EncodeEvacuations(const evacuation_tracker& aRecord, instant aNow)
{
  const evacuation_state& state = aRecord.State();
  if (state.mVersion == 0) {
    return nullptr;
  }
  auto made = std::make_unique<wire::evacuations_msg>();
  made->version = state.mVersion;
  made->data_centers.assign(state.mDataCenters.begin(),
                            state.mDataCenters.end());
  made->age_ms =
    uint32_t(std::clamp<int64_t>(ToMs(aRecord.Age(aNow)), 0, kLongestAgeMs));
  return made;
}

std::optional<evacuation_update>
DecodeEvacuations(const wire::evacuations_msg* aMessage, instant aNow)
{
  if (aMessage == nullptr) {
    return std::nullopt;
  }
  evacuation_update news;
  news.mState.mVersion = aMessage->version;
  news.mState.mDataCenters.insert(aMessage->data_centers.begin(),
                                  aMessage->data_centers.end());
  news.mConfirmedAt = aNow - milliseconds(aMessage->age_ms);
  return news;
}

std::string
NamesOf(const evacuation_state& aState)
{
  std::string names;
  for (const std::string& center : aState.mDataCenters) {
    names += (names.empty() ? "" : ",") + center;
  }
  return names;
}

} // namespace cactusmast
