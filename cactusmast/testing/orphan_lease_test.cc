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
const running_task kHeld{ { 7, 0, 0 }, 1, 50 };

// An executor with kHeld running for a connected entry, and two entries.
struct held_task : started_task
{
  held_task()
  {
    ReplyToStart(start_result::Started);
    Advance(milliseconds(10));
    ReplyToPoll({ kHeld }, {});
    mExecutor.OnEntryUp(2, "other entry", mNow);
  }

  // Its entry stops kHeld.
  void Stop(bool aJobOpen, instant aSentAt)
  {
    wire::stop_tasks_msg stop;
    stop.job = kHeld.mTask.mJob;
    stop.indexes.push_back(kHeld.mTask.mIndex);
    stop.receiver_clock_ms = uint64_t(ToMs(aSentAt));
    stop.job_open = aJobOpen;
    mExecutor.OnStopTasks(1, stop, mNow);
  }

  // The backend server confirms no stop; the first entry sends heartbeats.
  void AdvanceUnconfirmed(duration aSpan)
  {
    instant end = mNow + aSpan;
    while (mNow < end) {
      mExecutor.OnHeartbeat(1, 0, mNow);
      AdvanceWithoutHeartbeat(milliseconds(10), { kHeld });
    }
  }

  void DispatchFromOther()
  {
    wire::start_tasks_msg other = MakeDispatch(1);
    other.job = 8;
    mExecutor.OnStartTasks(2, other, mNow);
  }

  int64_t LastLease() const { return mRunner.mPolls.back().mLeaseUntilMs; }
};

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

TEST_CASE("the lease is not extended while the stop of an ended job's task "
          "gets no reply")
{
  // Guards against a task that runs on here while its job, sent again, runs at
  // another backend server.
  held_task world;
  world.Stop(false, world.mNow);
  world.AdvanceUnconfirmed(kEndedJobStopTime - milliseconds(10));
  CHECK(world.LastLease() > 0); // a stop request may get lost
  CHECK(world.mExecutor.OverdueStops() == 0);
  world.AdvanceUnconfirmed(milliseconds(20));
  CHECK(world.LastLease() == 0);
  CHECK(world.mExecutor.OverdueStops() == 1);
  world.DispatchFromOther();
  world.AdvanceUnconfirmed(milliseconds(20));
  CHECK(world.LastLease() == 0);
  CHECK(world.mRunner.mStarts.size() == 1); // a start extends the lease too
  world.mExecutor.OnStopReply(kHeld.mTask, 1, true, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(10), {});
  CHECK(world.LastLease() > 0);
  CHECK(world.mRunner.mStarts.size() == 2);
}

TEST_CASE("a stop that was held up on its way is overdue earlier")
{
  // Guards against a bound that counts from reading; callers do not.
  held_task world;
  world.Stop(false, world.mNow - kEndedJobStopTime);
  world.AdvanceUnconfirmed(kStopRetryInterval + milliseconds(10));
  CHECK(world.LastLease() == 0);
}

TEST_CASE("the lease is not extended while the stop at a task's deadline gets "
          "no reply")
{
  // Guards against a task that runs on here after its caller has left, if its
  // entry does not say so.
  held_task world;
  world.AdvanceUnconfirmed(milliseconds(1500) + kEndedJobStopTime);
  CHECK(world.LastLease() == 0);
}

TEST_CASE("the lease is extended while a task of an open job is being stopped")
{
  // Guards against the needless loss of all other tasks there.
  held_task world;
  world.Stop(true, world.mNow);
  world.AdvanceUnconfirmed(milliseconds(500));
  CHECK(world.LastLease() > 0);
  world.Stop(false, world.mNow); // its job ends meanwhile
  world.AdvanceUnconfirmed(kEndedJobStopTime + milliseconds(10));
  CHECK(world.LastLease() == 0);
}

TEST_CASE(
  "the tasks of an entry that falls silent while the executor stops them "
  "are orphans")
{
  // Guards against a lease that is extended for a stalled or slow task without
  // end, while its caller submits the job again because its entry was lost.
  held_task world;
  world.Stop(true, world.mNow); // as for a stalled task: the entry waits
  world.AdvanceWithoutHeartbeat(
    kEntryTimeout + kOrphanStopTime + milliseconds(20), { kHeld });
  CHECK(world.mLinks.mClosedLinks == 1);
  CHECK(world.LastLease() == 0);
}

TEST_CASE("a stop without a reply is logged once in each lease time")
{
  // Guards against a task that runs on here for reasons that no log shows.
  held_task world;
  world.Stop(false, world.mNow);
  world.AdvanceUnconfirmed(milliseconds(60));
  CHECK(world.mEvents.mCounts[event_code::StopUnconfirmed] == 0);
  world.AdvanceUnconfirmed(2 * kLeaseTime);
  CHECK(world.mEvents.mCounts[event_code::StopUnconfirmed] == 2);
}

TEST_CASE("the lease of an orphaned task expires before its entry places it")
{
  // Guards against constants that no longer fit together.
  CHECK(kOrphanStopTime + kLeaseTime + kLeaseMargin <= kMaxOrphanLifetime);
  CHECK(kEntryTimeout + kMaxStopTime <= kMaxOrphanLifetime);
  CHECK(kMaxOrphanLifetime == milliseconds(650)); // as in the design pages
}

TEST_CASE("the lease of an ended job's task expires before its caller submits "
          "it again")
{
  // Guards against constants that no longer fit together. The stop is read
  // kEntryTimeout late at most, and then allows for one request without reply.
  CHECK(kEntryTimeout + kEndedJobStopTime + kLeaseTime + kLeaseMargin <=
        kResubmitDelay);
  CHECK(kStopRetryInterval <= kEndedJobStopTime);
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

TEST_CASE("tasks of ended jobs never run twice while stops get no reply")
{
  // Guards against tasks kept alive although their job comes again elsewhere.
  constexpr size_t kEntries = 2;
  constexpr size_t kServers = 4;
  for (uint32_t seed = 1; seed <= 20; seed++) {
    CAPTURE(seed);
    sized_world world(kEntries, kServers, seed);
    world.ResubmitExpired();
    for (int i = 0; i < 300; i++) {
      world.At(milliseconds(20 * i),
               [&world, i] { world.Submit(size_t(i) % kEntries, 2, 200); });
    }
    for (int i = 0; i < 14; i++) {
      world.At(milliseconds(1000 + 250 * i), [&world, i] {
        // Declared far too short, so that its deadline cannot be met.
        uint64_t job = world.Submit(size_t(i) % kEntries, 2, 3600, 1500, 900);
        if (i % 3 == 0) {
          world.At(milliseconds(90),
                   [&world, job] { world.DisconnectCaller(job); });
        }
      });
    }
    size_t server = seed % kServers;
    world.At(milliseconds(1000),
             [&world, server] { world.Server(server).mUnansweredStops = 1; });
    world.At(milliseconds(6500),
             [&world, server] { world.Server(server).mUnansweredStops = 0; });
    world.Run(seconds(10));
    CHECK(world.Violations().empty());
  }
}

} // namespace cactusmast::testing
