// A row of the store that outlives the process that writes it.
//
// A process that restarts loads what it, or another one, stored there. Tasks
// never wait for the store: while it is unavailable nothing is stored or
// loaded, and a write that fails is retried after an interval.

#ifndef CACTUSMAST_STORED_ROW_H_
#define CACTUSMAST_STORED_ROW_H_

#include <functional>
#include <optional>
#include <string>

#include "cactusmast/events.h"
#include "cactusmast/table_watcher.h"

namespace cactusmast {

// The location of a row. Partitions of a table are written independently of
// each other.
struct row_place
{
  std::string mTable;
  std::string mPartition;
  std::string mKey;
};

class stored_row
{
public:
  using load_handler = std::function<void(const std::string&)>;

  stored_row(metadata_store& aStore, row_place aPlace, event_sink& aEvents);

  // Reads the row once. aOnLoaded is called with its value if the row exists.
  void Load(load_handler aOnLoaded);
  // Sets the desired value, or that the row is to be removed. Tick writes it.
  void Set(std::string aValue);
  void Remove() { Set(""); }
  void Tick(instant aNow);

private:
  void OnLoaded(const store_reply& aReply, const load_handler& aOnLoaded);

  metadata_store& mStore;
  row_place mPlace;
  event_sink& mEvents;
  // An empty string stands for no row.
  std::optional<std::string> mDesired; // no value: nothing to write yet
  std::optional<std::string> mStored;  // as last loaded or written
  bool mWriting = false;
  instant mNextWrite{};
};

} // namespace cactusmast

#endif // CACTUSMAST_STORED_ROW_H_
