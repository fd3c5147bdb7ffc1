// How long tasks run whose entry counts on their end.

#include <doctest/doctest.h>

#include "cactusmast/job_coordinator.h"
#include "cactusmast/task_executor_limits.h"
#include "cactusmast/testing/known_server.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;
using namespace detail;

const running_task kStray{ { 9, 0, 0 }, 1, 50 };

} // namespace

TEST_CASE("the lease of a former executor's tasks is not extended")
{
  // Guards against tasks that run on here after their entry placed them again.
  known_server restarted({}, { kStray });
  restarted.AdvanceWithoutHeartbeat(seconds(1), { kStray });
  for (const poll_request& poll : restarted.mRunner.mPolls) {
    CHECK(poll.mLeaseUntilMs == 0);
  }
  CHECK(restarted.mRunner.mStops.size() > 1); // resent without a reply
  restarted.AdvanceWithoutHeartbeat(milliseconds(50), {});
  CHECK(restarted.mRunner.mPolls.back().mLeaseUntilMs > 0);
}

TEST_CASE("the lease is not extended while the stop of a task whose entry has "
          "disconnected gets no reply")
{
  // Guards against a task that runs on here after its entry placed it again.
  started_task world;
  world.ReplyToStart(start_result::Started);
  const running_task orphan{ { 7, 0, 0 }, 1, 50 };
  world.Advance(milliseconds(10));
  world.ReplyToPoll({ orphan }, {});
  world.mExecutor.OnEntryDown(1, world.mNow);
  world.AdvanceWithoutHeartbeat(kOrphanStopTime, { orphan });
  world.mExecutor.OnEntryUp(1, "entry", world.mNow);
  wire::start_tasks_msg other = world.MakeDispatch(1);
  other.job = 8;
  other.start_within_ms = 200;
  world.mExecutor.OnStartTasks(1, other, world.mNow);
  size_t polls = world.mRunner.mPolls.size();
  world.AdvanceWithoutHeartbeat(milliseconds(30), { orphan });
  REQUIRE(world.mRunner.mPolls.size() > polls);
  CHECK(world.mRunner.mPolls.back().mLeaseUntilMs == 0);
  CHECK(world.mRunner.mStarts.size() == 1);
  world.mExecutor.OnStopReply(orphan.mTask, 1, true, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(30), {});
  CHECK(world.mRunner.mPolls.back().mLeaseUntilMs > 0);
  CHECK(world.mRunner.mStarts.size() == 2);
}

TEST_CASE("a stop without a reply is logged once in each lease time")
{
  // Guards against a task that runs on here for reasons that no log shows.
  started_task world;
  world.ReplyToStart(start_result::Started);
  const running_task held{ { 7, 0, 0 }, 1, 50 };
  wire::stop_tasks_msg stop;
  stop.job = 7;
  stop.indexes.push_back(0);
  world.mExecutor.OnStopTasks(1, stop, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(60), { held });
  CHECK(world.mEvents.mCounts[event_code::StopUnconfirmed] == 0);
  world.AdvanceWithoutHeartbeat(2 * kLeaseTime, { held });
  CHECK(world.mEvents.mCounts[event_code::StopUnconfirmed] == 2);
}

TEST_CASE("the lease of an orphaned task expires before its entry places it")
{
  // Guards against constants that no longer fit together.
  CHECK(kOrphanStopTime + kLeaseTime + kLeaseMargin <= kMaxOrphanLifetime);
}

TEST_CASE(
  "an executor that is back within a second has a greater fencing token")
{
  // Guards against starts of its predecessor that are carried out afterwards.
  constexpr int64_t kKilledMs = 1796600845000;
  CHECK(FencingTokenAt(kKilledMs + 300) > FencingTokenAt(kKilledMs));
  // Earlier releases count seconds from the same day.
  CHECK(FencingTokenAt(kKilledMs) >
        uint64_t(kKilledMs - kFencingTokenEpochMs) / 1000);
}

TEST_CASE("tasks of a killed executor never run twice while stops get no reply")
{
  // Guards against tasks kept alive by the executor that follows a killed one.
  constexpr size_t kEntries = 2;
  constexpr size_t kServers = 6;
  for (uint32_t seed = 1; seed <= 20; seed++) {
    CAPTURE(seed);
    sized_world world(kEntries, kServers, seed);
    for (int i = 0; i < 150; i++) {
      world.At(milliseconds(50 * i), [&world, i] {
        world.Submit(size_t(i) % kEntries, 4, 900, 6000);
      });
    }
    for (int i = 0; i < 7; i++) {
      size_t server = size_t(i + int(seed)) % kServers;
      milliseconds down(300 + 20 * ((i + int(seed)) % 6));
      world.At(milliseconds(1000 * (i + 1)), [&world, server, down] {
        world.Server(server).mUnansweredOrders = 0.8;
        world.KillExecutor(server, down);
      });
      world.At(milliseconds(1000 * (i + 2) - 1), [&world, server] {
        world.Server(server).mUnansweredOrders = 0;
      });
    }
    world.Run(seconds(16));
    CHECK(world.Violations().empty());
  }
}

} // namespace cactusmast::testing
