// What an executor does when its backend server restarts under the same id.

#include <doctest/doctest.h>

#include "cactusmast/testing/known_server.h"

namespace cactusmast::testing {
namespace {

// The backend server restarts; its first incarnation has ended kEnds tasks.
constexpr int kEnds = 3;
// How many tasks of a dispatch the backend server runs at a time.
constexpr uint32_t kTasksThatFit = 10;

struct restarting_server : known_server
{
  restarting_server() { RunTasks(kEnds, milliseconds(60)); }

  void Restart()
  {
    mStartTimeMs++;
    mSequence = 0;
  }

  // A poll is outstanding when the connection is lost.
  void LoseConnection()
  {
    mExecutor.OnPollReply(
      mRunner.mPolls.back().mNumber, poll_result::Disconnected, {}, mNow);
    Advance(milliseconds(1));
  }

  // Takes up all capacity, so that later dispatches are queued. Returns how
  // many start requests have been sent.
  size_t FillUp()
  {
    Dispatch(nullptr, kTasksThatFit);
    Advance(milliseconds(1));
    return mRunner.mStarts.size();
  }

  // The executor has sent one more start request.
  start_request SendStart()
  {
    size_t before = mRunner.mStarts.size();
    Dispatch();
    Advance(milliseconds(1));
    REQUIRE(mRunner.mStarts.size() == before + 1);
    mLinks.mOutcomes.clear();
    return mRunner.mStarts.back();
  }
};

} // namespace

TEST_CASE("a task that runs on a restarted backend server is not lost")
{
  // Guards against a second run elsewhere beside the one that started here.
  restarting_server world;
  const start_request started = world.SendStart();
  world.Restart();
  world.ReplyToStart(start_result::Started); // by the new incarnation
  SUBCASE("an announcement shows the restart")
  {
    world.Announce(0);
  }
  SUBCASE("the reply to an earlier poll shows the restart")
  {
    world.ReplyToPoll({}, {});
  }
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes.empty());
  world.ReplyToPoll({ { started.mTask, started.mRunNumber, 50 } }, {});
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes.empty());
  CHECK(world.mRunner.mStops.empty());
  world.ReplyToPoll(
    {}, { { 1, started.mTask, started.mRunNumber, end_kind::Done } });
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Done });
}

TEST_CASE("a task of the former incarnation is lost at the first poll reply")
{
  // Guards against tasks that nobody runs and nobody places again.
  restarting_server world;
  const start_request started = world.SendStart();
  world.ReplyToStart(start_result::Started);
  world.ReplyToPoll({ { started.mTask, started.mRunNumber, 50 } }, {});
  world.Advance(milliseconds(1));
  world.Restart();
  world.LoseConnection();
  world.ReplyToPoll({}, {});
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Lost });
}

TEST_CASE("nothing starts from a lost connection until the next poll reply")
{
  // Guards against starts on an incarnation whose capacity is not known.
  restarting_server world;
  size_t starts = world.mRunner.mStarts.size();
  world.Advance(milliseconds(1));
  world.LoseConnection();
  world.Dispatch();
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  world.ReplyToPoll({}, {});
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts + 1);
}

TEST_CASE("a start without a reply is not sent again to another incarnation")
{
  // Guards against a task that starts on the new incarnation unasked.
  restarting_server world;
  world.SendStart();
  size_t starts = world.mRunner.mStarts.size();
  world.Restart();
  world.LoseConnection();
  world.ReplyToStart(start_result::NoAnswer);
  CHECK(world.mRunner.mStarts.size() == starts);
  world.ReplyToPoll({}, {});
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  // The start may still be carried out, until the stop is acknowledged.
  REQUIRE(world.mRunner.mStops.size() == 1);
  CHECK(world.mLinks.mOutcomes.empty());
  const stop_request stop = world.mRunner.mStops[0];
  world.mExecutor.OnStopReply(stop.mTask, stop.mRunNumber, true, world.mNow);
  world.ReplyToPoll({}, {}); // to a poll from before the stop
  CHECK(world.mLinks.mOutcomes.empty());
  world.Advance(milliseconds(1));
  world.ReplyToPoll({}, {});
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Lost });
}

TEST_CASE("a start without a reply is sent again once a poll finds the same "
          "incarnation")
{
  // Guards against tasks given up because a single connection was reset.
  restarting_server world;
  world.SendStart();
  size_t starts = world.mRunner.mStarts.size();
  world.LoseConnection();
  world.ReplyToStart(start_result::NoAnswer);
  CHECK(world.mRunner.mStarts.size() == starts);
  world.ReplyToPoll({}, {});
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts + 1);
  CHECK(world.mRunner.mStops.empty());
}

TEST_CASE("the poll after a lost connection acknowledges no end and extends no "
          "lease")
{
  // Guards against ends of the new incarnation that are dropped unseen.
  restarting_server world;
  world.Advance(milliseconds(1));
  REQUIRE(world.mRunner.mPolls.back().mLastEndSeen == kEnds);
  REQUIRE(world.mRunner.mPolls.back().mLeaseUntilMs > 0);
  world.LoseConnection();
  CHECK(world.mRunner.mPolls.back().mLastEndSeen == 0);
  CHECK(world.mRunner.mPolls.back().mLeaseUntilMs == 0);
  world.ReplyToPoll({}, {}); // the same incarnation
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mPolls.back().mLastEndSeen == kEnds);
  CHECK(world.mRunner.mPolls.back().mLeaseUntilMs > 0);
}

TEST_CASE(
  "nothing starts on a restarted backend server before it announces its "
  "capacity")
{
  // Guards against starts above the capacity of a smaller incarnation.
  restarting_server world;
  size_t starts = world.mRunner.mStarts.size();
  world.Restart();
  world.LoseConnection();
  world.ReplyToPoll({}, {});
  world.Dispatch();
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  world.Announce(0);
  world.Advance(milliseconds(1));
  world.ReplyToPoll({}, {});
  world.Dispatch();
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts + 1);
}

TEST_CASE("queued tasks are returned when the backend server has restarted")
{
  // Guards against starts on an incarnation without the label they require.
  restarting_server world;
  size_t starts = world.FillUp();
  wire::start_tasks_msg queued = world.MakeDispatch(1);
  queued.job = 8;
  queued.start_within_ms = 200;
  world.mExecutor.OnStartTasks(1, queued, world.mNow);
  world.Advance(milliseconds(1));
  REQUIRE(world.mExecutor.Queued() == 1);
  world.mLinks.mOutcomes.clear();
  world.Restart();
  SUBCASE("an announcement shows the restart")
  {
    world.Announce(0);
  }
  SUBCASE("a poll reply shows the restart")
  {
    world.ReplyToPoll({}, {});
  }
  world.Advance(milliseconds(1));
  CHECK(world.mExecutor.Queued() == 0);
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Unusable });
  CHECK(world.mRunner.mStarts.size() == starts);
}

TEST_CASE("a dispatch that was placed for a former incarnation starts nothing")
{
  // Guards against starts on an incarnation without the label they require.
  restarting_server world;
  int64_t former = world.mStartTimeMs;
  world.Restart();
  world.Announce(0);
  world.Advance(milliseconds(1));
  world.ReplyToPoll({}, {});
  size_t starts = world.mRunner.mStarts.size();
  world.mLinks.mOutcomes.clear();
  world.DispatchFor(former);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Unusable });
  CHECK(world.mLinks.mServerStartMs == world.mStartTimeMs);
  world.DispatchFor(world.mLinks.mServerStartMs);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts + 1);
}

TEST_CASE("a start that was refused is not sent again to another incarnation")
{
  // Guards against starts on an incarnation without the label they require.
  restarting_server world;
  world.SendStart();
  size_t starts = world.mRunner.mStarts.size();
  world.Restart();
  world.LoseConnection();
  world.ReplyToStart(start_result::LeaseExpired); // by the new incarnation
  CHECK(world.mRunner.mStarts.size() == starts);
  world.ReplyToPoll({}, {});
  world.Announce(0);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Unusable });
}

TEST_CASE("a backend server that announces another service is not used")
{
  // Guards against tasks on a backend server of another service.
  restarting_server world;
  server_announcement other = *world.mExecutor.Announcement();
  other.mService = "t";
  other.mSequence += 1;
  CHECK(!world.mExecutor.OnAnnouncement(other, world.mNow));
  CHECK(world.mExecutor.State(world.mNow) == server_state::Ready);
  other.mStartTimeMs = world.mStartTimeMs + 1;
  world.Restart();
  world.LoseConnection();
  world.ReplyToPoll({}, {});
  CHECK(!world.mExecutor.OnAnnouncement(other, world.mNow));
  size_t starts = world.mRunner.mStarts.size();
  world.Dispatch();
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.size() == starts);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
}

TEST_CASE("a delayed announcement does not replace the incarnation that a poll "
          "has shown")
{
  // Guards against tasks sized for the capacity of a former incarnation.
  restarting_server world;
  server_announcement former = *world.mExecutor.Announcement();
  former.mSequence += 1;
  former.mCapacity = { 64000, 1000, 0 };
  world.Restart();
  world.Advance(milliseconds(1));
  world.ReplyToPoll({}, {});
  world.mExecutor.OnAnnouncement(former, world.mNow);
  CHECK(world.mExecutor.Free().mCpuMillis == 32000);
  CHECK(world.mEvents.mCounts[event_code::BackendReborn] == 1);
}

TEST_CASE("starts and polls name the incarnation that they are for")
{
  // Guards against an order that reaches the next one under the same id.
  started_task world;
  CHECK(world.mRunner.mStarts.back().mServerStartTimeMs == world.mStartTimeMs);
  CHECK(world.mRunner.mPolls.back().mServerStartTimeMs == world.mStartTimeMs);
}

TEST_CASE("a start that was taken back is placed again, not stopped")
{
  // Guards against a task that waits for a stop although it was never sent.
  for (int i = 0; i < 4; i++) {
    started_task world;
    world.ReplyToStart(start_result::NotSent);
    REQUIRE(world.mLinks.mOutcomes.size() == 1);
    CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Unusable);
    CHECK(world.mRunner.mStops.empty());
    CHECK(world.mExecutor.State(world.mNow) == server_state::Ready);
  }
}

TEST_CASE("a start that was taken back after one without a reply is in doubt")
{
  // Guards against a second run beside a first start that is carried out late.
  started_task world;
  world.ReplyToStart(start_result::NoAnswer);
  world.ReplyToStart(start_result::NotSent);
  CHECK(world.mLinks.mOutcomes.empty());
  CHECK(!world.mRunner.mStops.empty());
}

TEST_CASE("a heartbeat of a new incarnation is followed by a poll at once")
{
  // Guards against a restarted backend server that gets no work for 100 ms.
  started_task world;
  world.ReplyToStart(start_result::Started);
  world.Advance(milliseconds(10));
  size_t polls = world.mRunner.mPolls.size();
  world.mStartTimeMs++;
  world.Announce(0);
  world.mExecutor.Tick(world.mNow);
  CHECK(world.mRunner.mPolls.size() == polls + 1);
  CHECK(world.mRunner.mPolls.back().mLeaseUntilMs == 0);
}

} // namespace cactusmast::testing
