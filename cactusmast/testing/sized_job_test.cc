// Tests jobs of sized tasks under failures of entries, executors, backend
// servers and the network, one by one and at random.

#include <doctest/doctest.h>

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

void
CheckNoViolations(const sized_world& aWorld)
{
  for (const std::string& text : aWorld.Violations()) {
    FAIL_CHECK(text);
  }
}

// Faults of kinds below this concern processes, backend servers and the links
// between them; kind kFaultsOfMachines is a cut between two entries.
constexpr uint32_t kFaultsOfMachines = 7;

void
InjectFault(sized_world* aWorld,
            uint32_t aKind,
            size_t aEntry,
            size_t aServer,
            duration aSpan)
{
  switch (aKind) {
    case 0:
      aWorld->KillEntry(aEntry, aSpan);
      break;
    case 1:
      aWorld->KillExecutor(aServer, aSpan);
      break;
    case 2:
      aWorld->PauseEntry(aEntry, aSpan);
      break;
    case 3:
      aWorld->PauseExecutor(aServer, aSpan);
      break;
    case 4:
      aWorld->Cut(aEntry, aServer, aSpan);
      break;
    case 5:
      aWorld->Server(aServer).mUnansweredShare = 0.08;
      break;
    case 6:
      aWorld->Server(aServer).mDown = true;
      aWorld->Server(aServer).Crash();
      aWorld->At(aSpan,
                 [aWorld, aServer] { aWorld->Server(aServer).mDown = false; });
      break;
    default:
      aWorld->CutEntries(aEntry, (aEntry + 1) % aWorld->Entries(), aSpan);
      break;
  }
}

// Runs a world of 3 entries and 5 backend servers for 13 s, with load on
// aRoutes routes and faults of kinds below aFaultKinds in the first 8 s.
void
PlayRandomFailures(sized_world* aWorld,
                   uint32_t aSeed,
                   size_t aRoutes,
                   uint32_t aFaultKinds)
{
  std::mt19937 random(aSeed * 7919);
  auto randomBelow = [&random](uint32_t aLimit) { return random() % aLimit; };
  for (size_t i = 0; i < 300; i++) {
    uint32_t tasks = 1 + randomBelow(8);
    uint32_t runMs = randomBelow(4) == 0 ? 900 : 60 + randomBelow(200);
    aWorld->At(milliseconds(randomBelow(8000)),
               [aWorld, i, tasks, runMs, aRoutes] {
                 aWorld->Submit(i % 3, tasks, runMs, 1500, 0, i / 3 % aRoutes);
               });
  }
  for (int i = 0; i < 8; i++) {
    size_t server = randomBelow(5);
    size_t entry = randomBelow(3);
    uint32_t kind = randomBelow(aFaultKinds);
    auto faultDuration = milliseconds(50 + randomBelow(2500));
    aWorld->At(milliseconds(randomBelow(8000)),
               [aWorld, kind, entry, server, faultDuration] {
                 InjectFault(aWorld, kind, entry, server, faultDuration);
               });
  }
  aWorld->Run(seconds(13));
}

} // namespace

TEST_CASE("without faults every job completes within its objective")
{
  sized_world world(2, 4, 1);
  for (int i = 0; i < 100; i++) {
    world.At(milliseconds(10 * i), [&world, i] { world.Submit(i % 2, 4, 60); });
  }
  world.Run(seconds(2));
  CHECK(world.CountEnding(job_ending::Completed) == 100);
  CHECK(world.CountInTime(milliseconds(156)) == 100);
  CheckNoViolations(world);
}

TEST_CASE("a caller timeout holds if it is longer than the route's timeout")
{
  // The route's timeout is 1.5 s, a task runs for 2 s, and its caller has a
  // timeout of 8 s. Guards against ending the job by the route's timeout while
  // its caller waits and the backend server is half a second from the end.
  sized_world world(1, 2, 30);
  world.SetRouteTimeout(1500);
  uint64_t job = world.Submit(0, 4, 2000, 8000);
  world.Run(seconds(3));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE(
  "an entry that exits with open jobs answers them and stops their tasks")
{
  // A task may outlast the time limit of a drain. If the connection just
  // closed, the caller would resubmit the job while the first tasks still run.
  sized_world world(1, 1, 31);
  uint64_t running = world.Submit(0, 10, 5000, 9000);
  world.Run(milliseconds(200));
  uint64_t waiting = world.Submit(0, 4, 5000, 9000);
  world.Run(milliseconds(20));
  world.Coordinator(0).EndAll("this process ends", world.Now());
  world.Run(milliseconds(300));
  CHECK(world.LastSubmission(running).mEnding == job_ending::Expired);
  CHECK(world.LastSubmission(waiting).mEnding == job_ending::Refused);
  CHECK(world.Server(0).Running() == 0);
  CheckNoViolations(world);
}

TEST_CASE("a job resubmitted after its entry was killed never runs twice at "
          "the same time")
{
  // An entry is killed while its tasks run, and the caller resubmits the job to
  // another entry 1.3 s later. Guards against running a task on two backend
  // servers at the same time.
  sized_world world(2, 3, 2);
  uint64_t job = world.Submit(0, 6, 3000, 5000);
  world.Run(milliseconds(200));
  world.KillEntry(0, seconds(1));
  world.Run(seconds(7));
  CHECK(world.LastSubmission(job).mAnswered);
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("tasks of a disconnected entry are stopped before a resubmission")
{
  // An entry loses its connections to all executors, and the caller resubmits
  // the job to another entry 1.3 s later. The executors must have stopped the
  // first tasks by then without receiving a message.
  sized_world world(2, 2, 3);
  uint64_t job = world.Submit(0, 2, 4000, 6000);
  world.Run(milliseconds(200));
  world.Cut(0, 0, seconds(5));
  world.Cut(0, 1, seconds(5));
  world.DisconnectCaller(job);
  world.At(milliseconds(1300), [&] { world.Resubmit(job, 1); });
  world.Run(seconds(7));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("tasks of a killed executor start elsewhere only after the lease")
{
  // After its executor is killed, a backend server runs its tasks until the
  // lease expires. The entry must not place the tasks again before that.
  sized_world world(1, 2, 4);
  world.Server(1).mDown = true;
  world.Run(milliseconds(400));
  uint64_t job = world.Submit(0, 3, 900, 4000);
  world.Run(milliseconds(100));
  REQUIRE(world.Server(0).Running() == 3);
  world.Server(1).mDown = false;
  world.KillExecutor(0, seconds(3));
  world.Run(seconds(4));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("a restarted executor stops the tasks that it finds running")
{
  // An executor restarts within milliseconds. The tasks that still run on its
  // backend server belong to no entry and their sizes are unknown; new tasks
  // beside them could exceed the capacity of the backend server.
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
  CheckNoViolations(world);
}

TEST_CASE("a task of a paused executor never runs elsewhere at the same time")
{
  // An executor is paused for two seconds without noticing. Its backend server
  // ends the tasks when the lease expires. The entry finds that the executor
  // has timed out before that, and must not place the tasks again until then.
  sized_world world(1, 2, 6);
  uint64_t job = world.Submit(0, 12, 900, 5000);
  world.Run(milliseconds(100));
  world.PauseExecutor(0, seconds(2));
  world.Run(seconds(6));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("a paused entry answers overdue jobs as expired when it resumes")
{
  // An entry is paused for 1.6 s. Its executors stop its tasks, and when it
  // resumes, the deadlines of its jobs have passed. It must answer them as
  // expired and start no task for them.
  sized_world world(2, 2, 7);
  uint64_t job = world.Submit(0, 4, 900, 1500);
  world.Run(milliseconds(100));
  world.PauseEntry(0, milliseconds(1600));
  world.Run(seconds(4));
  CHECK(world.LastSubmission(job).mAnswered);
  CHECK(world.LastSubmission(job).mEnding == job_ending::Expired);
  CHECK(world.Server(0).Running() + world.Server(1).Running() == 0);
  CheckNoViolations(world);
}

TEST_CASE("requests that are carried out seconds late start no task twice")
{
  // The backend servers leave one request in ten unanswered and carry it out
  // seconds later. A start that was given up must not run at the same time as
  // its retry, and most jobs should still meet their objective.
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
  CheckNoViolations(world);
}

TEST_CASE("tasks of a crashed backend server are restarted at once")
{
  // A backend server crashes and is back 150 ms later. Its executor sees the
  // new incarnation and reports the tasks that are lost, so that callers wait
  // for a restart of the tasks and not for a deadline.
  sized_world world(1, 2, 9);
  uint64_t job = world.Submit(0, 12, 500, 5000);
  world.Run(milliseconds(100));
  world.Server(0).mDown = true;
  world.Server(0).Crash();
  world.At(milliseconds(150), [&] { world.Server(0).mDown = false; });
  world.Run(seconds(4));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CHECK(world.LastSubmission(job).mAnsweredAt -
          world.LastSubmission(job).mSentAt <
        milliseconds(1800));
  CheckNoViolations(world);
}

TEST_CASE("a backend server that fails every task is quarantined")
{
  // A backend server fails every task quickly and therefore always has free
  // capacity. Guards against placing most tasks there, where they fail.
  sized_world world(1, 4, 10);
  world.Server(2).mFailsAll = true;
  for (int i = 0; i < 100; i++) {
    world.At(milliseconds(20 * i), [&world] { world.Submit(0, 4, 60); });
  }
  world.Run(seconds(4));
  CHECK(world.CountEnding(job_ending::Completed) == 100);
  CHECK(world.Server(2).mStarts < 40);
  CheckNoViolations(world);
}

TEST_CASE("a draining backend server gets no new tasks")
{
  // A backend server announces that it drains. Running tasks end there; a task
  // started afterwards would be interrupted when it stops.
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
  CheckNoViolations(world);
}

TEST_CASE("draining an executor interrupts no task")
{
  // An executor drains. Its running tasks end first and its queued tasks go to
  // other executors; every job completes.
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
  CheckNoViolations(world);
}

TEST_CASE("the tasks of a job are stopped when its caller disconnects")
{
  // Tasks whose answer nobody waits for would take capacity from others.
  sized_world world(1, 1, 13);
  uint64_t job = world.Submit(0, 8, 1000);
  world.Run(milliseconds(100));
  REQUIRE(world.Server(0).Running() == 8);
  world.DisconnectCaller(job);
  world.Run(milliseconds(30));
  CHECK(world.Server(0).Running() == 0);
  CheckNoViolations(world);
}

TEST_CASE(
  "a job submitted twice at the same time runs once and is answered twice")
{
  // A caller resubmits its job while it runs. Both requests get the answer, and
  // each task runs once.
  sized_world world(1, 2, 14);
  uint64_t job = world.Submit(0, 4, 200);
  world.At(milliseconds(50), [&] { world.Resubmit(job, 0); });
  world.Run(seconds(1));
  CHECK(world.CountEnding(job_ending::Completed) == 2);
  CHECK(world.Server(0).mStarts + world.Server(1).mStarts == 4);
  CheckNoViolations(world);
}

TEST_CASE("at twice the capacity, jobs are answered in time or refused at once")
{
  // Twice as many jobs arrive as the backend servers can run. If all of them
  // were queued, every answer would be late. Half of the jobs can be in time;
  // the others must be refused at once with a time to retry.
  sized_world world(2, 4, 15);
  // 40 tasks fit. With jobs of 4 tasks of 200 ms, that is 50 jobs per second.
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
  for (const caller_record& record : world.Callers()) {
    bool refused = record.mAnswered && record.mEnding == job_ending::Refused;
    slowRefusals +=
      refused && record.mAnsweredAt - record.mSentAt > milliseconds(400) ? 1
                                                                         : 0;
  }
  CHECK(slowRefusals == 0);
  CheckNoViolations(world);
}

TEST_CASE("a task that is too slow moves to a faster backend server")
{
  // A task takes 1.8 s on a slow backend server, beyond its deadline of 1.5 s,
  // and a fast one becomes free. The job should still complete.
  sized_world world(1, 2, 16);
  world.Server(0).mSpeed = 0.6;
  world.Server(1).mSpeed = 1.8;
  for (int i = 0; i < 40; i++) {
    world.At(milliseconds(25 * i), [&world] { world.Submit(0, 2, 100); });
  }
  world.Run(seconds(2));
  // Fills the fast backend server briefly, so that the long task starts on the
  // slow one.
  world.Submit(0, 10, 150);
  world.Run(milliseconds(5));
  uint64_t job = world.Submit(0, 1, 1100, 1500);
  world.Run(seconds(3));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("random failures under load violate no invariant")
{
  // Kills, pauses, lost connections, crashes and late requests at random times,
  // several of them at the same time, under load.
  for (uint32_t seed = 1; seed <= 60; seed++) {
    CAPTURE(seed);
    sized_world world(3, 5, seed);
    PlayRandomFailures(&world, seed, 1, kFaultsOfMachines);
    CheckNoViolations(world);
    if (!world.Violations().empty()) {
      return;
    }
  }
}

TEST_CASE("random failures with route shares and late deferral violate no "
          "invariant")
{
  // Guards against a task that is held back or deferred and then started twice,
  // or after its job was refused. Links between entries fail too.
  overload_settings settings;
  settings.mRouteShares = true;
  settings.mGuaranteedPercent = 10;
  settings.mLateDeferral = true;
  for (uint32_t seed = 1; seed <= 60; seed++) {
    CAPTURE(seed);
    sized_world world(3, 5, seed, {}, 1, settings);
    world.SetRoutes({ { "urgent", 0 }, { "middle", 1 }, { "long", 2 } });
    PlayRandomFailures(&world, seed, 3, kFaultsOfMachines + 1);
    CheckNoViolations(world);
    if (!world.Violations().empty()) {
      return;
    }
  }
}

} // namespace cactusmast::testing
