// Follows one table of the platform's store: reads it whole, then waits for
// changes from the version read.
//
// The store may be away, slow, silent or may have dropped its history; each of
// these leads back to reading the table whole, after a pause. Rows are handed
// on as they come; whoever takes them must bear old ones, because a store that
// recovers may show an earlier state for a while.

#ifndef CACTUSMAST_TABLE_WATCHER_H_
#define CACTUSMAST_TABLE_WATCHER_H_

#include <functional>
#include <string>
#include <vector>

#include "cactusmast/events.h"
#include "cactusmast/ids.h"

namespace cactusmast {

struct store_row
{
  std::string mKey;
  std::string mValue;
  bool mDeleted = false;
  std::string mPart; // of the table, written independently of the others
};

enum class store_status : uint8_t
{
  Ok,
  HistoryGone, // changes since the given version are no longer known
  Unavailable,
  Count
};

struct store_reply
{
  store_status mStatus = store_status::Unavailable;
  std::vector<store_row> mRows;
  uint64_t mVersion = 0;
  bool mMore = false; // a part was read of which there are further rows
  std::string mText;  // of the fault
};

// What a table_watcher hands on.
struct table_change
{
  const std::vector<store_row>& mRows;
  uint64_t mVersion = 0; // of the store, as of which the rows are known
  bool mWhole = false;   // there are no rows beside these
};

// The store as a watcher and a writer of single rows see it.
class metadata_store
{
public:
  using callback = std::function<void(const store_reply&)>;
  virtual ~metadata_store() = default;
  // One part of a table; most tables have only the one without a name.
  virtual void ReadPart(const std::string& aTable,
                        const std::string& aPart,
                        callback aDone) = 0;
  // Answers as soon as something changed after aVersion, at the latest after
  // aWaitMs.
  virtual void WaitForChange(const std::string& aTable,
                             uint64_t aVersion,
                             uint32_t aWaitMs,
                             callback aDone) = 0;
  virtual void PutRow(const std::string& aTable,
                      const store_row& aRow,
                      callback aDone) = 0;
};

class table_watcher
{
public:
  using change_handler = std::function<void(const table_change&)>;

  table_watcher(std::string aTable,
                uint32_t aWaitMs,
                metadata_store& aStore,
                change_handler aOnChange,
                event_sink& aEvents);

  void Tick(instant aNow);
  bool Available() const { return mAvailable; }

private:
  void OnAnswer(const store_reply& aAnswer, bool aWhole);

  std::string mTable;
  uint32_t mWaitMs;
  metadata_store& mStore;
  change_handler mOnChange;
  event_sink& mEvents;
  bool mWaiting = false; // for an answer
  bool mHaveVersion = false;
  uint64_t mVersion = 0;
  bool mAvailable = true;
  bool mEverAnswered = false;
  instant mNow{};
  instant mNextTry{};
  duration mBackoff{};
};

} // namespace cactusmast

#endif // CACTUSMAST_TABLE_WATCHER_H_
