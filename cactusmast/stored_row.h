// One row of the store that outlives the process that writes it.
//
// A process that restarts reads what it, or another, kept there. The store is
// in no task's way: while it is away nothing is kept or found, and a write that
// fails is repeated after a pause.

#ifndef CACTUSMAST_STORED_ROW_H_
#define CACTUSMAST_STORED_ROW_H_

#include <functional>
#include <optional>
#include <string>

#include "cactusmast/events.h"
#include "cactusmast/table_watcher.h"

namespace cactusmast {

// Where a row is. Parts of a table are written independently of each other.
struct row_place
{
  std::string mTable;
  std::string mPart;
  std::string mKey;
};

class stored_row
{
public:
  using load_handler = std::function<void(const std::string&)>;

  stored_row(metadata_store& aStore, row_place aPlace, event_sink& aEvents);

  // Reads the row once; aRecalled gets its value if there is one.
  void Load(load_handler aOnLoaded);
  // What the row is to hold, or that it is to go. Tick writes it.
  void Set(std::string aValue);
  void Remove() { Set(""); }
  void Tick(instant aNow);

private:
  void OnLoaded(const store_reply& aReply, const load_handler& aOnLoaded);

  metadata_store& mStore;
  row_place mPlace;
  event_sink& mEvents;
  // Empty text stands for no row.
  std::optional<std::string> mDesired; // no value: nothing to say yet
  std::optional<std::string> mStored;  // as last read or confirmed
  bool mWriting = false;
  instant mNextWrite{};
};

} // namespace cactusmast

#endif // CACTUSMAST_STORED_ROW_H_
