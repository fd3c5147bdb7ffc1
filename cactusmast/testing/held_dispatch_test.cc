// Messages of an entry that the network holds up while the entry gives the
// executor up.

#include <doctest/doctest.h>

#include "cactusmast/testing/known_server.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {

using std::chrono::seconds;

TEST_CASE("a dispatch that was held up for the entry timeout starts nothing")
{
  // Guards against a second run beside the one at another backend server.
  known_server world;
  world.AdvanceWithoutHeartbeat(seconds(1), {});
  instant sentAt = world.mNow - kEntryTimeout - milliseconds(1);
  world.DispatchSentAt(sentAt);
  world.mExecutor.Tick(world.mNow);
  CHECK(world.mRunner.mStarts.empty());
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::NoRoom });
  CHECK(world.mEvents.mCounts[event_code::DispatchExpired] == 1);
  // The entry is alive: its next dispatch is in time.
  world.DispatchSentAt(world.mNow);
  world.mExecutor.Tick(world.mNow);
  CHECK(world.mRunner.mStarts.size() == 1);
}

TEST_CASE("held up messages of an entry do not prolong the runs of its tasks")
{
  // Guards against a task that runs on here while it runs elsewhere.
  known_server world;
  instant sentAt = world.mNow;
  world.DispatchSentAt(sentAt);
  world.mExecutor.Tick(world.mNow);
  const start_request started = world.mRunner.mStarts.back();
  world.mExecutor.OnStartReply(
    started.mTask, started.mRunNumber, start_result::Started, 0, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(400),
                                { { started.mTask, started.mRunNumber, 50 } });
  world.mExecutor.OnHeartbeat(1, uint64_t(ToMs(sentAt)) + 10, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(150),
                                { { started.mTask, started.mRunNumber, 60 } });
  CHECK(world.mRunner.mStops.empty());
  world.AdvanceWithoutHeartbeat(milliseconds(20),
                                { { started.mTask, started.mRunNumber, 60 } });
  CHECK(world.mRunner.mStops.size() == 1);
}

TEST_CASE("a start request is refused by the backend server once its entry may "
          "have placed the task again")
{
  // Guards against a pause of the executor right after its decision.
  known_server world;
  world.AdvanceWithoutHeartbeat(seconds(1), {});
  instant sentAt = world.mNow - milliseconds(300);
  world.DispatchSentAt(sentAt);
  world.mExecutor.Tick(world.mNow);
  REQUIRE(world.mRunner.mStarts.size() == 1);
  int64_t serverClockMs = 1000; // in each poll reply
  CHECK(world.mRunner.mStarts[0].mLeaseUntilMs == serverClockMs + 250);
}

TEST_CASE("short partitions of executors never make a task run twice")
{
  // Guards against dispatches that arrive when a partition ends.
  constexpr size_t kEntries = 3;
  constexpr size_t kServers = 6;
  for (uint32_t seed = 1; seed <= 20; seed++) {
    CAPTURE(seed);
    sized_world world(kEntries, kServers, seed);
    for (int i = 0; i < 400; i++) {
      world.At(milliseconds(25 * i), [&world, i] {
        world.Submit(size_t(i) % kEntries, 4, 300, 3000);
      });
    }
    for (int i = 0; i < 14; i++) {
      size_t server = (size_t(i) * 5 + seed) % kServers;
      milliseconds span(300 + 150 * ((i + int(seed)) % 10));
      world.At(milliseconds(500 + 650 * i), [&world, server, span] {
        for (size_t entry = 0; entry < kEntries; entry++) {
          world.Cut(entry, server, span);
        }
      });
    }
    world.Run(seconds(16));
    CHECK(world.Violations().empty());
    for (const caller_record& caller : world.Callers()) {
      CHECK((caller.mAnswered || caller.mLost));
    }
  }
}

} // namespace cactusmast::testing
