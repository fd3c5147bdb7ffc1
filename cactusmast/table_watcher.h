// Follows one table of the platform's store: reads a snapshot of it, then waits
// for changes after the version of the snapshot.
//
// The store may be unavailable or slow, may not reply at all, or may have
// deleted its history. After each of these faults the watcher backs off and
// reads a new snapshot. Rows are passed on as they arrive. The handler must
// tolerate old ones, because a store that recovers may return an earlier state
// for a while.

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
  bool mDeleted = false; // the row was deleted, or is to be
  // The partition of the table; partitions are written independently of each
  // other. Empty for tables with only one; not set in replies.
  std::string mPartition;
};

enum class store_status : uint8_t
{
  Ok,
  HistoryGone, // changes since the given version are no longer stored
  Unavailable, // no reply, or none that could be read
  Count
};

struct store_reply
{
  store_status mStatus = store_status::Unavailable;
  std::vector<store_row> mRows;
  uint64_t mVersion = 0; // of the store when the rows were read
  std::string mText;     // describes the fault; empty for Ok
};

// Keys in ascending byte order. An empty bound stands for none.
struct key_range
{
  std::string mFrom;
  std::string mTo; // not in the range
};

// What a table_watcher passes to its handler.
struct table_change
{
  const std::vector<store_row>& mRows;
  uint64_t mVersion = 0;    // of the store when the rows were read
  bool mIsSnapshot = false; // a snapshot: the table has no other rows
};

// The platform's store as coordinators and executors use it, through
// table_watcher and stored_row. Entries and guards use table_store (ports.h).
class metadata_store
{
public:
  using callback = std::function<void(const store_reply&)>;
  virtual ~metadata_store() = default;
  // Reads the rows of aKeys in one partition of a table; most tables have only
  // the one whose name is empty. The rows may not all be of the same moment:
  // each change after the reply's version may or may not be in them.
  virtual void ReadPartition(const std::string& aTable,
                             const std::string& aPart,
                             const key_range& aKeys,
                             callback aDone) = 0;
  // Replies as soon as a row has changed after aVersion, and after aWaitMs at
  // the latest.
  virtual void WaitForChange(const std::string& aTable,
                             uint64_t aVersion,
                             uint32_t aWaitMs,
                             callback aDone) = 0;
  // Writes aRow, or deletes it if mDeleted is set, whatever its version.
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

  // Sends the next request, unless one is outstanding or the backoff has not
  // passed.
  void Tick(instant aNow);
  // False from a reply of Unavailable until the next Ok.
  bool Available() const { return mAvailable; }
  // Time since the last reply of Ok; since the start if there was none.
  duration Age(instant aNow) const { return aNow - mLastOkAt; }
  // Requests without a usable reply since the start.
  uint64_t Faults() const { return mFaults; }

private:
  void OnReply(const store_reply& aReply, bool aIsSnapshot);

  std::string mTable;
  uint32_t mWaitMs;
  metadata_store& mStore;
  change_handler mOnChange;
  event_sink& mEvents;
  bool mReplyPending = false;
  // False until a snapshot was read, and again after a fault.
  bool mHaveVersion = false;
  uint64_t mVersion = 0; // changes after this version are waited for
  bool mAvailable = true;
  bool mStoreHasReplied = false; // at least once since the start
  instant mNow{};
  instant mLastOkAt{};
  uint64_t mFaults = 0;
  instant mNextRequest{};
  duration mBackoff{};
};

} // namespace cactusmast

#endif // CACTUSMAST_TABLE_WATCHER_H_
