// The record of a backend server that an executor stores, and its use after a
// restart of the executor.

#include <doctest/doctest.h>

#include "cactusmast/server_record.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/task_executor.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

server_announcement
SampleAnnouncement()
{
  server_announcement announcement;
  announcement.mId = "i-1";
  announcement.mService = "s";
  announcement.mStartTimeMs = 5;
  announcement.mCapacity = { 16000, 1000, 2 };
  announcement.mLabels = { "a", "r1-3" };
  return announcement;
}

// Holds at most one row. Fails all requests while mUnavailable is set.
class memory_store : public metadata_store
{
public:
  void ReadPartition(const std::string&,
                     const std::string& aPart,
                     const key_range&,
                     callback aDone) override
  {
    store_reply reply = MakeReply();
    for (const store_row& row : mRows) {
      if (row.mPartition == aPart) {
        reply.mRows.push_back(row);
      }
    }
    aDone(reply);
  }
  void WaitForChange(const std::string&, uint64_t, uint32_t, callback) override
  {
  }
  void PutRow(const std::string&,
              const store_row& aRow,
              callback aDone) override
  {
    mWrites++;
    if (!mUnavailable) {
      mRows.clear();
      if (!aRow.mDeleted) {
        mRows.push_back(aRow);
      }
    }
    aDone(MakeReply());
  }

  bool mUnavailable = false;
  int mWrites = 0;
  std::vector<store_row> mRows;

private:
  store_reply MakeReply() const
  {
    store_reply reply;
    reply.mStatus = mUnavailable ? store_status::Unavailable : store_status::Ok;
    return reply;
  }
};

class idle_runner : public backend_runner
{
public:
  void Start(const start_request& aRequest) override
  {
    mStarts.push_back(aRequest);
  }
  void Stop(const stop_request&) override {}
  void Poll(const poll_request& aRequest) override
  {
    mLastPoll = aRequest.mNumber;
  }
  void ExpectInstance(const std::string& aId) override { mExpected = aId; }

  std::vector<start_request> mStarts;
  uint64_t mLastPoll = 0;
  std::string mExpected;
};

class idle_links : public executor_links
{
public:
  void Report(peer_id, const wire::server_report_msg&) override {}
  void Close(peer_id) override {}
};

// An executor that has just started; the test replies to its polls.
struct restarted_executor
{
  restarted_executor()
    : mExecutor(1, "s", "a", mLinks, mRunner, mEvents)
  {
    mExecutor.OnEntryUp(1, "entry", mNow);
    mExecutor.Tick(mNow);
  }

  void ReplyToPoll(int64_t aStartTimeMs)
  {
    server_snapshot snapshot;
    snapshot.mClockMs = 1000;
    snapshot.mStartTimeMs = aStartTimeMs;
    mExecutor.OnPollReply(mRunner.mLastPoll, poll_result::Ok, snapshot, mNow);
  }

  void Advance(duration aSpan, int64_t aStartTimeMs = 5)
  {
    instant until = mNow + aSpan;
    while (mNow < until) {
      mNow += milliseconds(10);
      mExecutor.OnHeartbeat(1, 0, mNow);
      ReplyToPoll(aStartTimeMs);
      mExecutor.Tick(mNow);
    }
  }

  instant mNow = seconds(50);
  no_events mEvents;
  idle_links mLinks;
  idle_runner mRunner;
  task_executor mExecutor;
};

} // namespace

TEST_CASE(
  "a server record is the same after decoding; unreadable ones are errors")
{
  server_announcement server = SampleAnnouncement();
  server_announcement read =
    DecodeServerRecord(EncodeServerRecord(server)).Value();
  CHECK(read.mId == server.mId);
  CHECK(read.mService == server.mService);
  CHECK(read.mStartTimeMs == server.mStartTimeMs);
  CHECK(read.mCapacity.mCpuMillis == 16000);
  CHECK(read.mCapacity.mMemoryMb == 1000);
  CHECK(read.mCapacity.mAccelerators == 2);
  CHECK(read.mLabels == server.mLabels);
  const std::string unreadable[] = { "",
                                     "x",
                                     std::string("\x05\0\0\0hello", 9) };
  for (const std::string& text : unreadable) {
    CHECK_FALSE(DecodeServerRecord(text).Ok());
  }
}

TEST_CASE("a server record with a number out of range is not used")
{
  // Guards against tasks sized for a capacity that no backend server has.
  for (int64_t odd : { int64_t(-1), INT64_MAX }) {
    server_announcement cpu = SampleAnnouncement();
    cpu.mCapacity.mCpuMillis = odd;
    CHECK_FALSE(DecodeServerRecord(EncodeServerRecord(cpu)).Ok());
    server_announcement accelerators = SampleAnnouncement();
    accelerators.mCapacity.mAccelerators = odd;
    CHECK_FALSE(DecodeServerRecord(EncodeServerRecord(accelerators)).Ok());
  }
  server_announcement nameless = SampleAnnouncement();
  nameless.mId.clear();
  CHECK_FALSE(DecodeServerRecord(EncodeServerRecord(nameless)).Ok());
}

TEST_CASE(
  "a row is written once, retried after a failure, and removed on demand")
{
  memory_store store;
  no_events events;
  row_place place{ "t", "side-1", "side-1" };
  stored_row row(store, place, events);
  instant now = seconds(1);
  row.Tick(now);
  CHECK(store.mWrites == 0);

  store.mUnavailable = true;
  row.Set("first");
  row.Tick(now);
  row.Tick(now + milliseconds(20));
  CHECK(store.mWrites == 1); // no retry before the interval is over
  store.mUnavailable = false;
  row.Tick(now + seconds(2));
  row.Set("first");
  row.Tick(now + seconds(4));
  CHECK(store.mWrites == 2);

  std::string loaded;
  stored_row next(store, place, events);
  next.Load([&](const std::string& aValue) { loaded = aValue; });
  CHECK(loaded == "first");
  next.Set("first");
  next.Tick(now + seconds(5));
  CHECK(store.mWrites == 2); // the row has this value already

  next.Remove();
  next.Tick(now + seconds(6));
  CHECK(store.mRows.empty());
}

TEST_CASE("a restarted executor uses the record until the next announcement")
{
  // All executors are killed and back within half a second, and their backend
  // servers announce themselves every second and a half. Without the record,
  // callers would find no capacity until then, although every backend server is
  // up.
  restarted_executor restarted;
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Absent);
  restarted.mExecutor.OnAnnouncementRestored(SampleAnnouncement(),
                                             restarted.mNow);
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Absent);
  restarted.ReplyToPoll(5);
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Ready);
  CHECK(restarted.mExecutor.Free().mCpuMillis == 16000);
  CHECK(restarted.mRunner.mExpected == "i-1");
  CHECK(restarted.mExecutor.Announcement() == nullptr);

  server_announcement announcement = SampleAnnouncement();
  announcement.mSequence = 9;
  restarted.mExecutor.OnAnnouncement(announcement, restarted.mNow);
  restarted.Advance(seconds(5));
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Ready);
  CHECK(restarted.mExecutor.Announcement() != nullptr);
}

TEST_CASE("a record of another incarnation of the backend server is not used")
{
  // The machine was replaced by a smaller one at the same address while the
  // executor was down. Tasks placed by the old capacity would overload it.
  restarted_executor restarted;
  restarted.mExecutor.OnAnnouncementRestored(SampleAnnouncement(),
                                             restarted.mNow);
  restarted.Advance(milliseconds(50), 6);
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Absent);

  restarted_executor polledFirst;
  polledFirst.ReplyToPoll(6);
  polledFirst.mExecutor.OnAnnouncementRestored(SampleAnnouncement(),
                                               polledFirst.mNow);
  polledFirst.Advance(milliseconds(50), 6);
  CHECK(polledFirst.mExecutor.State(polledFirst.mNow) == server_state::Absent);

  // The incarnation of a backend server that reports no start time cannot be
  // verified.
  restarted_executor unidentified;
  unidentified.mExecutor.OnAnnouncementRestored(SampleAnnouncement(),
                                                unidentified.mNow);
  unidentified.Advance(milliseconds(50), 0);
  CHECK(unidentified.mExecutor.State(unidentified.mNow) ==
        server_state::Absent);
}

TEST_CASE(
  "a record that no announcement confirms is dropped and its tasks returned")
{
  // The backend server had begun to drain, and the record could not be removed
  // because the store was unavailable. The backend server still replies to
  // polls but no longer announces itself; it must not get new tasks for long.
  restarted_executor restarted;
  restarted.mExecutor.OnAnnouncementRestored(SampleAnnouncement(),
                                             restarted.mNow);
  restarted.Advance(seconds(2));
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Ready);
  restarted.Advance(seconds(2));
  CHECK(restarted.mExecutor.State(restarted.mNow) == server_state::Absent);
  CHECK(restarted.mExecutor.Queued() == 0);
}

} // namespace cactusmast::testing
