// Which data centres are being evacuated: tasks are no longer started there
// until the operators end the evacuation.
//
// Operators write a row for each such data centre into the platform's store.
// The set of evacuated data centres depends only on the version of the store,
// so the state of the greatest version is right, whether it comes from the
// store or from another process, late or twice. Each dispatch carries the state
// that its entry knows, so that an executor that has just started knows the
// state before it starts a task.
//
//   evacuation_reader reader(codec, events);      // at a reader of the store
//   evacuation_tracker tracker;                   // in each process
//   if (tracker.Update({ reader.Apply(change), now })) ...
//   if (tracker.Has("a")) ...
//
// Invariants:
// - A tracker never goes back to an older version.
// - A row that cannot be read leaves the state of its data centre unchanged.

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
  uint64_t mVersion = 0; // of the store; 0: no state is known yet
  std::set<std::string> mDataCenters;
};

// A state, and when any process last got it from the store.
struct evacuation_update
{
  evacuation_state mState;
  instant mConfirmedAt{};
};

// Interprets the rows that operators write. Each platform adapter implements
// it.
class evacuation_codec
{
public:
  virtual ~evacuation_codec() = default;
  // Where such rows are in their table.
  virtual key_range Keys() const = 0;
  // The data centre whose evacuation the row at aKey declares; none for any
  // other row.
  virtual std::optional<std::string> DataCenterOf(
    const std::string& aKey) const = 0;
  // Whether aValue is a valid value of such a row.
  virtual bool IsReadable(const std::string& aValue) const = 0;
};

// Computes the state from the rows of the store's table.
class evacuation_reader
{
public:
  evacuation_reader(const evacuation_codec& aCodec, event_sink& aEvents)
    : mCodec(aCodec)
    , mEvents(aEvents)
  {
  }

  // Applies aChange and returns the state after it.
  const evacuation_state& Apply(const table_change& aChange);

private:
  const evacuation_codec& mCodec;
  event_sink& mEvents;
  evacuation_state mState;
};

// The newest state that a process knows.
class evacuation_tracker
{
public:
  // Takes aUpdate over unless a newer state is known. True if the set of
  // evacuated data centres has changed.
  bool Update(const evacuation_update& aUpdate);

  bool Has(const std::string& aDataCenter) const
  {
    return mState.mDataCenters.count(aDataCenter) > 0;
  }
  const evacuation_state& State() const { return mState; }
  // By evacuated data centre: mConfirmedAt of the update that added it.
  const std::map<std::string, instant>& Since() const { return mSince; }
  // Time since the store last returned or confirmed this state.
  duration Age(instant aNow) const { return aNow - mConfirmedAt; }

private:
  evacuation_state mState;
  std::map<std::string, instant> mSince;
  instant mConfirmedAt{};
};

// For messages between processes. Null if no state is known yet.
std::unique_ptr<wire::evacuations_msg>
EncodeEvacuations(const evacuation_tracker& aTracker, instant aNow);

// Empty for a null aMessage: its sender knows no state yet.
std::optional<evacuation_update>
DecodeEvacuations(const wire::evacuations_msg* aMessage, instant aNow);

// The names of the evacuated data centres, separated by commas, for logs.
std::string
FormatDataCenters(const evacuation_state& aState);

} // namespace cactusmast

#endif // CACTUSMAST_EVACUATION_H_
