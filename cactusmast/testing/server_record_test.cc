// What an executor keeps of its backend server in the store, and what it may
// do with it after a restart.

#include <doctest/doctest.h>

#include "cactusmast/server_record.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/task_executor.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

server_announcement
SomeServer()
{
  server_announcement made;
  made.mId = "i-1";
  made.mService = "s";
  made.mStartTimeMs = 5;
  made.mCapacity = { 16000, 1000, 2 };
  made.mLabels = { "a", "r1-3" };
  return made;
}

// Answers reads with what was written; down when told so.
class small_store : public metadata_store
{
public:
  void ReadPart(const std::string&,
                const std::string& aPart,
                callback aDone) override
  {
    store_reply answer = Status();
    for (const store_row& row : mRows) {
      if (row.mPart == aPart) {
        answer.mRows.push_back(row);
      }
    }
    aDone(answer);
  }
  void WaitForChange(const std::string&, uint64_t, uint32_t, callback) override
  {
  }
  void PutRow(const std::string&,
              const store_row& aRow,
              callback aDone) override
  {
    mWrites++;
    if (!mDown) {
      mRows.clear();
      if (!aRow.mDeleted) {
        mRows.push_back(aRow);
      }
    }
    aDone(Status());
  }

  bool mDown = false;
  int mWrites = 0;
  std::vector<store_row> mRows;

private:
  store_reply Status() const
  {
    store_reply answer;
    answer.mStatus = mDown ? store_status::Unavailable : store_status::Ok;
    return answer;
  }
};

class idle_runner : public backend_runner
{
public:
  void Start(const start_request& aOrder) override
  {
    mStarts.push_back(aOrder);
  }
  void Stop(const stop_request&) override {}
  void Poll(const poll_request& aOrder) override { mLook = aOrder.mNumber; }
  void ExpectInstance(const std::string& aId) override { mExpected = aId; }

  std::vector<start_request> mStarts;
  uint64_t mLook = 0;
  std::string mExpected;
};

class idle_links : public executor_links
{
public:
  void Report(peer_id, const wire::server_report_msg&) override {}
  void Close(peer_id) override {}
};

// An executor that has just been started.
struct new_process
{
  new_process()
    : mExecutor(1, "s", "a", mLinks, mRunner, mEvents)
  {
    mExecutor.OnEntryUp(1, "entry", mNow);
    mExecutor.Tick(mNow);
  }

  void Look(int64_t aBornMs)
  {
    server_snapshot seen;
    seen.mClockMs = 1000;
    seen.mStartTimeMs = aBornMs;
    mExecutor.OnPollReply(mRunner.mLook, poll_result::Ok, seen, mNow);
  }

  void Pass(duration aSpan, int64_t aBornMs = 5)
  {
    instant until = mNow + aSpan;
    while (mNow < until) {
      mNow += milliseconds(10);
      mExecutor.OnHeartbeat(1, mNow);
      Look(aBornMs);
      mExecutor.Tick(mNow);
    }
  }

  instant mNow = seconds(50);
  silent_events mEvents;
  idle_links mLinks;
  idle_runner mRunner;
  task_executor mExecutor;
};

} // namespace

TEST_CASE("a server record says after a round trip what it said before")
{
  server_announcement server = SomeServer();
  server_announcement read =
    DecodeServerRecord(EncodeServerRecord(server)).Value();
  CHECK(read.mId == server.mId);
  CHECK(read.mService == server.mService);
  CHECK(read.mStartTimeMs == server.mStartTimeMs);
  CHECK(read.mCapacity.mCpuMillis == 16000);
  CHECK(read.mCapacity.mMemoryMb == 1000);
  CHECK(read.mCapacity.mGpus == 2);
  CHECK(read.mLabels == server.mLabels);
  const std::string unreadable[] = { "",
                                     "x",
                                     std::string("\x05\0\0\0hello", 9) };
  for (const std::string& text : unreadable) {
    CHECK_FALSE(DecodeServerRecord(text).Ok());
  }
}

TEST_CASE("a row is written once, again after a fault, and goes in the end")
{
  small_store store;
  silent_events events;
  row_place place{ "t", "side-1", "side-1" };
  stored_row row(store, place, events);
  instant now = seconds(1);
  row.Tick(now);
  CHECK(store.mWrites == 0);

  store.mDown = true;
  row.Set("first");
  row.Tick(now);
  row.Tick(now + milliseconds(20));
  CHECK(store.mWrites == 1); // a store in trouble is not pressed
  store.mDown = false;
  row.Tick(now + seconds(2));
  row.Set("first");
  row.Tick(now + seconds(4));
  CHECK(store.mWrites == 2);

  std::string recalled;
  stored_row next(store, place, events);
  next.Load([&](const std::string& aValue) { recalled = aValue; });
  CHECK(recalled == "first");
  next.Set("first");
  next.Tick(now + seconds(5));
  CHECK(store.mWrites == 2); // it says so already

  next.Remove();
  next.Tick(now + seconds(6));
  CHECK(store.mRows.empty());
}

TEST_CASE("a restarted executor uses the record before the next announcement")
{
  // All executors are killed and back within half a second, and their backend
  // servers announce themselves every second and a half. Without the record
  // callers find no room all that time, although every backend server is up.
  new_process world;
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  world.mExecutor.OnServerRestored(SomeServer(), world.mNow);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  world.Look(5);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Ready);
  CHECK(world.mExecutor.Free().mCpuMillis == 16000);
  CHECK(world.mRunner.mExpected == "i-1");
  CHECK(world.mExecutor.Announcement() == nullptr);

  server_announcement said = SomeServer();
  said.mSequence = 9;
  world.mExecutor.OnAnnouncement(said, world.mNow);
  world.Pass(seconds(5));
  CHECK(world.mExecutor.State(world.mNow) == server_state::Ready);
  CHECK(world.mExecutor.Announcement() != nullptr);
}

TEST_CASE("a record of another life of the backend server is not used")
{
  // The machine was replaced by a smaller one at the same address while the
  // executor was away. Tasks placed by the old size would overload it.
  new_process world;
  world.mExecutor.OnServerRestored(SomeServer(), world.mNow);
  world.Pass(milliseconds(50), 6);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);

  new_process seenFirst;
  seenFirst.Look(6);
  seenFirst.mExecutor.OnServerRestored(SomeServer(), seenFirst.mNow);
  seenFirst.Pass(milliseconds(50), 6);
  CHECK(seenFirst.mExecutor.State(seenFirst.mNow) == server_state::Absent);

  // One that does not tell its lives apart cannot be recognized.
  new_process silent;
  silent.mExecutor.OnServerRestored(SomeServer(), silent.mNow);
  silent.Pass(milliseconds(50), 0);
  CHECK(silent.mExecutor.State(silent.mNow) == server_state::Absent);
}

TEST_CASE("a record that no announcement confirms is dropped, its tasks return")
{
  // The backend server had begun to leave, and the record could not be removed
  // because the store was away. It answers still, but it has stopped announcing
  // itself; it must get nothing new for long.
  new_process world;
  world.mExecutor.OnServerRestored(SomeServer(), world.mNow);
  world.Pass(seconds(2));
  CHECK(world.mExecutor.State(world.mNow) == server_state::Ready);
  world.Pass(seconds(2));
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  CHECK(world.mExecutor.Queued() == 0);
}

} // namespace cactusmast::testing
