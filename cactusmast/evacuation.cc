#include "cactusmast/evacuation.h"

#include <algorithm>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Greatest age that is sent. A greater one makes no difference to the receiver.
constexpr int64_t kMaxAgeMs = 3600 * 1000;

} // namespace

const evacuation_state&
evacuation_reader::Apply(const table_change& aChange)
{
  std::set<std::string> before;
  if (aChange.mIsSnapshot) {
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
  mState.mVersion = aChange.mIsSnapshot
                      ? aChange.mVersion
                      : std::max(mState.mVersion, aChange.mVersion);
  return mState;
}

bool
evacuation_tracker::Update(const evacuation_update& aUpdate)
{
  const evacuation_state& state = aUpdate.mState;
  if (state.mVersion < mState.mVersion) {
    return false;
  }
  mConfirmedAt = std::max(mConfirmedAt, aUpdate.mConfirmedAt);
  mState.mVersion = state.mVersion;
  if (state.mDataCenters == mState.mDataCenters) {
    return false;
  }
  mState.mDataCenters = state.mDataCenters;
  std::map<std::string, instant> before = std::move(mSince);
  mSince.clear();
  for (const std::string& center : mState.mDataCenters) {
    auto formerSince = before.find(center);
    mSince[center] =
      formerSince == before.end() ? aUpdate.mConfirmedAt : formerSince->second;
  }
  return true;
}

std::unique_ptr<wire::evacuations_msg>
EncodeEvacuations(const evacuation_tracker& aTracker, instant aNow)
{
  const evacuation_state& state = aTracker.State();
  if (state.mVersion == 0) {
    return nullptr;
  }
  auto encoded = std::make_unique<wire::evacuations_msg>();
  encoded->version = state.mVersion;
  encoded->data_centers.assign(state.mDataCenters.begin(),
                               state.mDataCenters.end());
  encoded->age_ms =
    uint32_t(std::clamp<int64_t>(ToMs(aTracker.Age(aNow)), 0, kMaxAgeMs));
  return encoded;
}

std::optional<evacuation_update>
DecodeEvacuations(const wire::evacuations_msg* aMessage, instant aNow)
{
  if (aMessage == nullptr) {
    return std::nullopt;
  }
  evacuation_update update;
  update.mState.mVersion = aMessage->version;
  update.mState.mDataCenters.insert(aMessage->data_centers.begin(),
                                    aMessage->data_centers.end());
  update.mConfirmedAt = aNow - milliseconds(aMessage->age_ms);
  return update;
}

std::string
FormatDataCenters(const evacuation_state& aState)
{
  std::string names;
  for (const std::string& center : aState.mDataCenters) {
    names += (names.empty() ? "" : ",") + center;
  }
  return names;
}

} // namespace cactusmast
