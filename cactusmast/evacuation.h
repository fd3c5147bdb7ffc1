// Which data centres are being evacuated: backend servers there get nothing new
// until the operators take it back.
//
// Operators write a row for each such data centre into the platform's store.
// What is being evacuated is a function of the store's version, so the state of
// the greatest version is right, whichever way it came: from the store, from an
// entry, late or twice. Each order carries the state that its entry knows, so
// that an executor that has just started knows it before it starts anything.
//
//   evacuation_reader rows(codec, events);      // at a reader of the store
//   evacuation_tracker record;                  // at each process
//   if (record.Update(rows.Apply(change), now)) ...
//   if (record.Has("a")) ...
//
// Invariants:
// - A record never goes back to an older version.
// - A row that cannot be read leaves its data centre as it was.

#ifndef CACTUSMAST_EVACUATION_H_
#define CACTUSMAST_EVACUATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cactusmast/events.h"
#include "cactusmast/ids.h"
#include "cactusmast/message.h"
#include "cactusmast/table_watcher.h"

namespace cactusmast {

struct evacuation_state
{
  uint64_t mVersion = 0; // of the store; 0: nothing is known yet
  std::set<std::string> mDataCenters;
};

// A state, and when the store told it, to whichever process.
struct evacuation_update
{
  evacuation_state mState;
  instant mConfirmedAt{};
};

// How operators write evacuations; an adapter implements it for its platform.
class evacuation_codec
{
public:
  virtual ~evacuation_codec() = default;
  // The data centre that the row is about; none if it is of another kind.
  virtual std::optional<std::string> DataCenterOf(
    const std::string& aKey) const = 0;
  virtual bool IsReadable(const std::string& aValue) const = 0;
};

// Follows the rows of the store's table.
class evacuation_reader
{
public:
  evacuation_reader(const evacuation_codec& aCodec, event_sink& aEvents)
    : mCodec(aCodec)
    , mEvents(aEvents)
  {
  }

  // The state after aChange.
  const evacuation_state& Apply(const table_change& aChange);

private:
  const evacuation_codec& mCodec;
  event_sink& mEvents;
  evacuation_state mState;
};

class evacuation_tracker
{
public:
  // Takes aNews over unless something newer is known. True if other data
  // centres are being evacuated now than before.
  bool Update(const evacuation_update& aNews);

  bool Has(const std::string& aDataCenter) const
  {
    return mState.mDataCenters.count(aDataCenter) > 0;
  }
  const evacuation_state& State() const { return mState; }
  // When this process learned of each evacuation.
  const std::map<std::string, instant>& Since() const { return mSince; }
  // How long ago the store told this state or said that it still holds.
  duration Age(instant aNow) const { return aNow - mConfirmedAt; }

private:
  evacuation_state mState;
  std::map<std::string, instant> mSince;
  instant mConfirmedAt{};
};

// For messages between processes.
std::unique_ptr<wire::evacuations_msg>
EncodeEvacuations(const evacuation_tracker& aRecord, instant aNow);

// Empty for a null aMessage: the sender knows nothing yet.
std::optional<evacuation_update>
DecodeEvacuations(const wire::evacuations_msg* aMessage, instant aNow);

// The names, for log lines.
std::string
NamesOf(const evacuation_state& aState);

} // namespace cactusmast

#endif // CACTUSMAST_EVACUATION_H_
