// Failures of entries, executors, backend servers and the network while jobs
// of sized tasks run, and random schedules of all of them.

#include <doctest/doctest.h>

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

void
CheckNothingBroken(const sized_world& aWorld)
{
  for (const std::string& text : aWorld.Violations()) {
    FAIL_CHECK(text);
  }
}

} // namespace

TEST_CASE("a calm second: every job is completed within its objective")
{
  sized_world world(2, 4, 1);
  for (int i = 0; i < 100; i++) {
    world.At(milliseconds(10 * i), [&world, i] { world.Submit(i % 2, 4, 60); });
  }
  world.Run(seconds(2));
  CHECK(world.CountEnding(job_ending::Completed) == 100);
  CHECK(world.CountInTime(milliseconds(156)) == 100);
  CheckNothingBroken(world);
}

TEST_CASE("a caller that waits longer than its route's timeout is answered")
{
  // A route has a timeout of 1.5 s and some of its tasks run for two. Their
  // callers say that they wait for eight. If the timeout ended these jobs, a
  // guest's tray would never get its route plan, although the backend server
  // was half a second from the end.
  sized_world world(1, 2, 30);
  world.SetRouteTimeout(1500);
  uint64_t job = world.Submit(0, 4, 2000, 8000);
  world.Run(seconds(3));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE(
  "an entry that ends with jobs open answers them and stops their tasks")
{
  // A planned stop has a limit, and a task may outlast it. A connection that
  // just closed would leave the caller to guess; it would send the job again
  // while the first tasks still run.
  sized_world world(1, 1, 31);
  uint64_t running = world.Submit(0, 10, 5000, 9000);
  world.Run(milliseconds(200));
  uint64_t waiting = world.Submit(0, 4, 5000, 9000);
  world.Run(milliseconds(20));
  world.Coordinator(0).EndAll("this process ends", world.Now());
  world.Run(milliseconds(300));
  CHECK(world.LastOf(running).mEnding == job_ending::Expired);
  CHECK(world.LastOf(waiting).mEnding == job_ending::Refused);
  CHECK(world.Server(0).Running() == 0);
  CheckNothingBroken(world);
}

TEST_CASE("an entry that is killed: its job runs again, never twice at a time")
{
  // An entry dies while its tasks run. The caller's connection breaks and it
  // sends the job again 1.3 s later, elsewhere. If the first tasks still ran
  // by then, a user's order would be carried out by two servers at once.
  sized_world world(2, 3, 2);
  uint64_t job = world.Submit(0, 6, 3000, 5000);
  world.Run(milliseconds(200));
  world.KillEntry(0, seconds(1));
  world.Run(seconds(7));
  CHECK(world.LastOf(job).mAnswered);
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE("an entry without a path to its executors loses its tasks in time")
{
  // The network between an entry and all backend servers goes, and the caller
  // gives up and sends the job to another entry 1.3 s later. The executors
  // must have stopped the first tasks by then without hearing from anybody.
  sized_world world(2, 2, 3);
  uint64_t job = world.Submit(0, 2, 4000, 6000);
  world.Run(milliseconds(200));
  world.Cut(0, 0, seconds(5));
  world.Cut(0, 1, seconds(5));
  world.HangUp(job);
  world.At(milliseconds(1300), [&] { world.SubmitAgain(job, 1); });
  world.Run(seconds(7));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE(
  "an executor that is killed: its tasks start elsewhere after the lease")
{
  // An executor dies and its backend server goes on with what it runs until
  // the lease ends. The entry must not place the tasks again before that.
  sized_world world(1, 2, 4);
  world.Server(1).mDown = true;
  world.Run(milliseconds(400));
  uint64_t job = world.Submit(0, 3, 900, 4000);
  world.Run(milliseconds(100));
  REQUIRE(world.Server(0).Running() == 3);
  world.Server(1).mDown = false;
  world.KillExecutor(0, seconds(3));
  world.Run(seconds(4));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE("an executor that restarts ends what it finds running")
{
  // The process beside a backend server is replaced in an instant. What runs
  // there belongs to nobody any more and its size is unknown; new work started
  // beside it could bring the backend server over its capacity.
  sized_world world(1, 1, 5);
  world.Submit(0, 10, 2000, 1500);
  world.Run(milliseconds(100));
  REQUIRE(world.Server(0).Running() == 10);
  world.KillExecutor(0, milliseconds(20));
  for (int i = 0; i < 20; i++) {
    world.At(milliseconds(30 + 50 * i), [&] { world.Submit(0, 8, 50); });
  }
  world.Run(seconds(3));
  CHECK(world.CountEnding(job_ending::Completed) > 10);
  CheckNothingBroken(world);
}

TEST_CASE("a paused executor: a task that it still holds is not run elsewhere")
{
  // An executor stands still for two seconds and does not know. Its backend
  // server ends the tasks when the lease is over; the entry notices the
  // silence earlier and must wait for that.
  sized_world world(1, 2, 6);
  uint64_t job = world.Submit(0, 12, 900, 5000);
  world.Run(milliseconds(100));
  world.PauseExecutor(0, seconds(2));
  world.Run(seconds(6));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE("a paused entry answers its jobs or lets them go when it wakes")
{
  // An entry stands still for a second and a half. Its tasks are stopped as
  // orphans; when it wakes, the callers' time is over. They hear that, and no
  // task is started for them any more.
  sized_world world(2, 2, 7);
  uint64_t job = world.Submit(0, 4, 900, 1500);
  world.Run(milliseconds(100));
  world.PauseEntry(0, milliseconds(1600));
  world.Run(seconds(4));
  CHECK(world.LastOf(job).mAnswered);
  CHECK(world.LastOf(job).mEnding == job_ending::Expired);
  CHECK(world.Server(0).Running() + world.Server(1).Running() == 0);
  CheckNothingBroken(world);
}

TEST_CASE("orders that are carried out seconds late start nothing twice")
{
  // A backend server leaves one order in ten unanswered and carries it out
  // seconds later. A start that was given up on must not run beside the one
  // that took its place, and users should hardly notice.
  sized_world world(2, 4, 8);
  for (size_t i = 0; i < 4; i++) {
    world.Server(i).mUnansweredShare = 0.1;
  }
  for (int i = 0; i < 200; i++) {
    world.At(milliseconds(20 * i), [&world, i] { world.Submit(i % 2, 4, 60); });
  }
  world.Run(seconds(9));
  CHECK(world.CountEnding(job_ending::Completed) >= 198);
  CHECK(world.CountInTime(milliseconds(156)) >= 150);
  CheckNothingBroken(world);
}

TEST_CASE("a backend server that crashes: its tasks run elsewhere at once")
{
  // A backend server dies with what it runs and is back 300 ms later under a
  // new life. Its executor sees the new life and says what is lost, so that
  // users wait for a new start and not for a deadline.
  sized_world world(1, 2, 9);
  uint64_t job = world.Submit(0, 12, 500, 5000);
  world.Run(milliseconds(100));
  world.Server(0).mDown = true;
  world.Server(0).Crash();
  world.At(milliseconds(150), [&] { world.Server(0).mDown = false; });
  world.Run(seconds(4));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CHECK(world.LastOf(job).mAnsweredAt - world.LastOf(job).mSentAt <
        milliseconds(1800));
  CheckNothingBroken(world);
}

TEST_CASE("a backend server that fails everything is set aside")
{
  // A backend server fails whatever it starts, and fast, so that it always has
  // room. It would draw in and fail most of the jobs.
  sized_world world(1, 4, 10);
  world.Server(2).mFailsAll = true;
  for (int i = 0; i < 100; i++) {
    world.At(milliseconds(20 * i), [&world] { world.Submit(0, 4, 60); });
  }
  world.Run(seconds(4));
  CHECK(world.CountEnding(job_ending::Completed) == 100);
  CHECK(world.Server(2).mStarts < 40);
  CheckNothingBroken(world);
}

TEST_CASE("a draining backend server gets nothing new")
{
  // A backend server says that it is leaving. What runs there ends; a task
  // started after that would be cut off with it.
  sized_world world(1, 2, 11);
  world.Submit(0, 8, 400);
  world.Run(milliseconds(100));
  world.DrainServer(0);
  world.Run(milliseconds(50));
  uint32_t before = world.Server(0).mStarts;
  for (int i = 0; i < 40; i++) {
    world.At(milliseconds(20 * i), [&world] { world.Submit(0, 2, 60); });
  }
  world.Run(seconds(2));
  CHECK(world.Server(0).mStarts == before);
  CHECK(world.CountEnding(job_ending::Completed) == 41);
  CheckNothingBroken(world);
}

TEST_CASE("a planned stop of an executor cuts nothing off")
{
  // An executor is replaced. Its running tasks end first; what is queued goes
  // to the others; the users of both notice nothing.
  sized_world world(1, 2, 12);
  for (int i = 0; i < 20; i++) {
    world.At(milliseconds(40 * i), [&world] { world.Submit(0, 2, 150); });
  }
  world.Run(milliseconds(200));
  REQUIRE(world.Server(0).Running() > 0);
  world.DrainExecutor(0);
  world.Run(milliseconds(1400));
  CHECK(world.Executor(0).IsDrained());
  CHECK(world.CountEnding(job_ending::Completed) == 20);
  CheckNothingBroken(world);
}

TEST_CASE("a caller that leaves takes its tasks along")
{
  // Callers give up. Work that nobody waits for would keep others waiting.
  sized_world world(1, 1, 13);
  uint64_t job = world.Submit(0, 8, 1000);
  world.Run(milliseconds(100));
  REQUIRE(world.Server(0).Running() == 8);
  world.HangUp(job);
  world.Run(milliseconds(30));
  CHECK(world.Server(0).Running() == 0);
  CheckNothingBroken(world);
}

TEST_CASE("a job sent twice at a time is one job with two answers")
{
  // A caller believes its job lost and sends it again while it runs. Both
  // requests get the whole answer, and each task runs once.
  sized_world world(1, 2, 14);
  uint64_t job = world.Submit(0, 4, 200);
  world.At(milliseconds(50), [&] { world.SubmitAgain(job, 0); });
  world.Run(seconds(1));
  CHECK(world.CountEnding(job_ending::Completed) == 2);
  CHECK(world.Server(0).mStarts + world.Server(1).mStarts == 4);
  CheckNothingBroken(world);
}

TEST_CASE("twice the load: those served are in time, the others hear at once")
{
  // More work comes than the backend servers can do. If all of it was queued,
  // every user's answer would be late. Half of the users can be served in
  // time; the others are told at once that nothing was run, and when to come
  // back.
  sized_world world(2, 4, 15);
  // 40 tasks fit; jobs of 4 tasks of 200 ms: 50 jobs a second is all.
  for (int i = 0; i < 400; i++) {
    world.At(milliseconds(10 * i),
             [&world, i] { world.Submit(i % 2, 4, 200); });
  }
  world.Run(seconds(6));
  size_t inTime = world.CountInTime(milliseconds(380));
  size_t completed = world.CountEnding(job_ending::Completed);
  MESSAGE("in time ", inTime, " of 400, late ", completed - inTime);
  CHECK(inTime >= 150);
  CHECK(completed - inTime <= 60);
  size_t slowRefusals = 0;
  for (const caller_record& one : world.Callers()) {
    bool refused = one.mAnswered && one.mEnding == job_ending::Refused;
    slowRefusals +=
      refused && one.mAnsweredAt - one.mSentAt > milliseconds(400) ? 1 : 0;
  }
  CHECK(slowRefusals == 0);
  CheckNothingBroken(world);
}

TEST_CASE("a task of far greater size than declared moves to a faster server")
{
  // A job says 300 ms and takes 1800 on a slow backend server, beyond its
  // deadline; a fast one is free. The user should still get the answer.
  sized_world world(1, 2, 16);
  world.Server(0).mSpeed = 0.6;
  world.Server(1).mSpeed = 1.8;
  for (int i = 0; i < 40; i++) {
    world.At(milliseconds(25 * i), [&world] { world.Submit(0, 2, 100); });
  }
  world.Run(seconds(2));
  // Fill the fast one briefly, so that the long job starts on the slow one.
  world.Submit(0, 10, 150);
  world.Run(milliseconds(5));
  uint64_t job = world.Submit(0, 1, 1100, 1500);
  world.Run(seconds(3));
  CHECK(world.LastOf(job).mEnding == job_ending::Completed);
  CheckNothingBroken(world);
}

TEST_CASE("random schedules break nothing")
{
  // Kills, pauses, cuts, crashes, drains and late orders at random moments,
  // several at a time, under load.
  for (uint32_t seed = 1; seed <= 60; seed++) {
    CAPTURE(seed);
    sized_world world(3, 5, seed);
    std::mt19937 random(seed * 7919);
    auto pick = [&random](uint32_t aBelow) { return random() % aBelow; };
    for (int i = 0; i < 300; i++) {
      uint32_t tasks = 1 + pick(8);
      uint32_t work = pick(4) == 0 ? 900 : 60 + pick(200);
      world.At(milliseconds(pick(8000)), [&world, i, tasks, work] {
        world.Submit(size_t(i) % 3, tasks, work);
      });
    }
    for (int i = 0; i < 8; i++) {
      size_t server = pick(5);
      size_t entry = pick(3);
      uint32_t kind = pick(7);
      auto span = milliseconds(50 + pick(2500));
      world.At(milliseconds(pick(8000)), [&world, server, entry, kind, span] {
        switch (kind) {
          case 0:
            world.KillEntry(entry, span);
            break;
          case 1:
            world.KillExecutor(server, span);
            break;
          case 2:
            world.PauseEntry(entry, span);
            break;
          case 3:
            world.PauseExecutor(server, span);
            break;
          case 4:
            world.Cut(entry, server, span);
            break;
          case 5:
            world.Server(server).mUnansweredShare = 0.08;
            break;
          default:
            world.Server(server).mDown = true;
            world.Server(server).Crash();
            world.At(span,
                     [&world, server] { world.Server(server).mDown = false; });
            break;
        }
      });
    }
    world.Run(seconds(13));
    CheckNothingBroken(world);
    if (!world.Violations().empty()) {
      return;
    }
  }
}

} // namespace cactusmast::testing
