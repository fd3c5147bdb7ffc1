// How an executor reacts to single messages, replies and timeouts.

#include <cmath>
#include <doctest/doctest.h>

#include "cactusmast/task_executor.h"
#include "cactusmast/testing/known_server.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

const start_result kNotStarted[] = { start_result::Unreachable,
                                     start_result::Unhealthy,
                                     start_result::OtherIncarnation,
                                     start_result::NoRoom,
                                     start_result::Malformed };

} // namespace

TEST_CASE(
  "a dispatch that is read together with the stop of its tasks starts nothing")
{
  // An executor is paused for two seconds. Meanwhile its entry gives the job up
  // and the caller resubmits it elsewhere. When the executor resumes, it reads
  // the old dispatch and right after it the stop or the end of the connection.
  // If it started the task in between, the task would run on two backend
  // servers at a time.
  known_server withdrawn;
  withdrawn.Dispatch();
  wire::stop_tasks_msg stop;
  stop.job = 7;
  stop.indexes.push_back(0);
  withdrawn.mExecutor.OnStopTasks(1, stop, withdrawn.mNow);
  withdrawn.Advance(milliseconds(1));
  CHECK(withdrawn.mRunner.mStarts.empty());

  known_server closed;
  closed.Dispatch();
  closed.mExecutor.OnEntryDown(1, closed.mNow);
  closed.Advance(milliseconds(1));
  CHECK(closed.mRunner.mStarts.empty());
}

TEST_CASE("a poll reply read between a dispatch and its stop starts nothing")
{
  // An executor is paused as in the test above, but with a poll outstanding:
  // its reply has arrived as well, and the executor reads it before the stop.
  known_server world;
  world.Advance(milliseconds(20)); // a poll is outstanding
  world.Dispatch();
  world.ReplyToPoll({}, {});
  wire::stop_tasks_msg stop;
  stop.job = 7;
  stop.indexes.push_back(0);
  world.mExecutor.OnStopTasks(1, stop, world.mNow);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.empty());
}

TEST_CASE("a start refused at the first request counts as never started")
{
  for (start_result result : kNotStarted) {
    CAPTURE(int(result));
    if (result == start_result::Malformed) {
      continue;
    }
    started_task world;
    world.ReplyToStart(result);
    REQUIRE(world.mLinks.mOutcomes.size() == 1);
    CHECK(NeverStarted(world.mLinks.mOutcomes[0]));
  }
}

TEST_CASE(
  "a start without a reply may have run, whatever the reply to its resend")
{
  // A backend server starts a task and crashes before it replies. The request
  // is sent again, and now the connection is refused. If the attempt counted as
  // never started, the user would be told that the task did not run although it
  // did, and would submit it again.
  for (start_result result : kNotStarted) {
    CAPTURE(int(result));
    started_task world;
    world.ReplyToStart(start_result::NoAnswer);
    REQUIRE(world.mRunner.mStarts.size() == 2);
    CHECK(world.mRunner.mStarts[1].mRunNumber ==
          world.mRunner.mStarts[0].mRunNumber);
    world.ReplyToStart(result);
    CHECK(world.mLinks.mOutcomes.empty());
    CHECK(world.mRunner.mStops.size() == 1);
    // Nothing replies any more: every lease that was requested expires.
    for (int i = 0; i < 100; i++) {
      world.Advance(milliseconds(10));
    }
    REQUIRE(world.mLinks.mOutcomes.size() == 1);
    CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Lost);
  }
}

TEST_CASE(
  "a resend that arrives after the task has ended does not start it again")
{
  // The first request was carried out but its reply was lost, and the task has
  // ended when the resend arrives. A new start with another run number would
  // run the user's task twice; instead the outcome is that of the first start.
  started_task world;
  world.ReplyToStart(start_result::NoAnswer);
  world.ReplyToStart(start_result::OldRun);
  CHECK(world.mRunner.mStarts.size() == 2);
  world.Advance(milliseconds(20)); // a poll is outstanding by then
  ended_task end;
  end.mNumber = 1;
  end.mTask = world.mRunner.mStarts[0].mTask;
  end.mRunNumber = world.mRunner.mStarts[0].mRunNumber;
  end.mKind = end_kind::Done;
  world.ReplyToPoll({}, { end });
  world.Advance(milliseconds(1));
  REQUIRE(world.mLinks.mOutcomes.size() == 1);
  CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Done);
}

TEST_CASE("an entry without open tasks never times out")
{
  known_server world;
  world.AdvanceWithoutHeartbeat(seconds(20), {});
  CHECK(world.mLinks.mClosedLinks == 0);
}

TEST_CASE("the task of an entry that has timed out is stopped in time")
{
  // Guards against a task that runs on while its caller resubmits the job.
  started_task world;
  world.ReplyToStart(start_result::Started);
  running_task run{ { 7, 0, 0 }, 1, 10 };
  world.AdvanceWithoutHeartbeat(kEntryTimeout - milliseconds(20), { run });
  CHECK(world.mLinks.mClosedLinks == 0);
  CHECK(world.mRunner.mStops.empty());
  world.AdvanceWithoutHeartbeat(milliseconds(40), { run });
  CHECK(world.mLinks.mClosedLinks == 1);
  CHECK(world.mRunner.mStops.size() == 1);
}

TEST_CASE(
  "an entry without open tasks gets periodic reports only if subscribed")
{
  known_server world;
  world.mExecutor.Tick(world.mNow);
  uint32_t atFirst = world.mLinks.mReports;
  CHECK(atFirst > 0);
  world.AdvanceWithoutHeartbeat(seconds(5), {});
  CHECK(world.mLinks.mReports == atFirst);
  world.mExecutor.OnSubscription(1, true);
  world.AdvanceWithoutHeartbeat(milliseconds(10), {});
  CHECK(world.mLinks.mReports == atFirst + 1);
  world.AdvanceWithoutHeartbeat(milliseconds(10050), {});
  CHECK(world.mLinks.mReports == atFirst + 11);
}

TEST_CASE(
  "queued tasks are returned at once when their data centre is evacuated")
{
  // Guards against tasks that wait here while they could run elsewhere.
  known_server evacuated;
  evacuated.Dispatch();
  evacuated.mExecutor.OnEvacuations(
    evacuation_update{ { 2, { "a" } }, evacuated.mNow }, evacuated.mNow);
  evacuated.Advance(milliseconds(1));
  CHECK(evacuated.mRunner.mStarts.empty());
  REQUIRE(evacuated.mLinks.mOutcomes.size() == 1);
  CHECK(evacuated.mLinks.mOutcomes[0] == attempt_outcome::Draining);
}

TEST_CASE(
  "a dispatch that carries the evacuation of this data centre starts nothing")
{
  // Guards against an evacuation that only becomes known after the dispatch.
  known_server world;
  evacuation_tracker sender;
  sender.Update({ { 2, { "a" } }, world.mNow });
  world.Dispatch(&sender);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.empty());
  REQUIRE(world.mLinks.mOutcomes.size() == 1);
  CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Draining);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Evacuated);
}

TEST_CASE(
  "a start without a reply is not sent again in an evacuated data centre")
{
  // Guards against a resend that starts the task long after the evacuation.
  started_task world;
  world.mExecutor.OnEvacuations(evacuation_update{ { 2, { "a" } }, world.mNow },
                                world.mNow);
  world.ReplyToStart(start_result::NoAnswer);
  CHECK(world.mRunner.mStarts.size() == 1);
  CHECK(world.mRunner.mStops.size() == 1);

  started_task refused;
  refused.mExecutor.OnEvacuations(
    evacuation_update{ { 2, { "a" } }, refused.mNow }, refused.mNow);
  refused.ReplyToStart(start_result::FencedOff);
  CHECK(refused.mRunner.mStarts.size() == 1);
  REQUIRE(refused.mLinks.mOutcomes.size() == 1);
  CHECK(refused.mLinks.mOutcomes[0] == attempt_outcome::Draining);
}

TEST_CASE(
  "the slowness of a cold backend server does not count once it is warm")
{
  // Guards against a backend server that still counts as slow once it is warm,
  // and against forecasts that are far too short while it is cold.
  known_server world;
  world.RunTasks(10, milliseconds(60));
  double warm = world.mExecutor.Slowness();
  CHECK(warm < 1.2);
  world.Announce(1500);
  CHECK(world.mExecutor.Slowness() == doctest::Approx(warm));
  world.RunTasks(5, milliseconds(240));
  CHECK(world.mExecutor.Slowness() > 2);
  world.AdvanceWithoutHeartbeat(milliseconds(500), {});
  CHECK(world.mExecutor.Slowness() == doctest::Approx(warm));
  world.RunTasks(10, milliseconds(60));
  CHECK(world.mExecutor.Slowness() < 1.2);
}

TEST_CASE("a task that makes no progress is stopped and its entry is told")
{
  // Guards against a backend server that replies to polls while its tasks stand
  // still until their callers give up.
  started_task world;
  world.mExecutor.DetectStalls();
  const start_request started = world.mRunner.mStarts.back();
  world.ReplyToStart(start_result::Started);
  std::vector<running_task> running{ { started.mTask, started.mRunNumber, 0 } };
  world.AdvanceWithoutHeartbeat(milliseconds(200), running);
  CHECK(world.mRunner.mStops.empty());
  world.AdvanceWithoutHeartbeat(milliseconds(100), running);
  REQUIRE(!world.mRunner.mStops.empty());
  CHECK(world.mExecutor.StalledTasks() == 1);
  // It counts as running until the backend server lists its end.
  CHECK(world.mLinks.mOutcomes.empty());
  world.mRunner.mPolls.clear();
  world.Advance(milliseconds(150));
  world.ReplyToPoll(
    {}, { { 1, started.mTask, started.mRunNumber, end_kind::Stopped } });
  world.Advance(milliseconds(1));
  CHECK(world.mLinks.mOutcomes ==
        std::vector<attempt_outcome>{ attempt_outcome::Stopped });
}

TEST_CASE("a pause of the executor does not make tasks look stalled")
{
  // Guards against stops of tasks whose backend server was paused together with
  // its executor.
  started_task world;
  world.mExecutor.DetectStalls();
  const start_request started = world.mRunner.mStarts.back();
  world.ReplyToStart(start_result::Started);
  std::vector<running_task> running{ { started.mTask, started.mRunNumber, 1 } };
  world.AdvanceWithoutHeartbeat(milliseconds(20), running);
  world.mNow += milliseconds(400);
  world.ReplyToPoll(running, {});
  CHECK(world.mRunner.mStops.empty());
}

TEST_CASE("a task that makes slow progress is not stopped")
{
  // Guards against restarts of long tasks, which would lose their work.
  started_task world;
  world.mExecutor.DetectStalls();
  const start_request started = world.mRunner.mStarts.back();
  world.ReplyToStart(start_result::Started);
  for (uint32_t percent = 0; percent < 5; percent++) {
    world.AdvanceWithoutHeartbeat(
      milliseconds(90), { { started.mTask, started.mRunNumber, percent } });
  }
  CHECK(world.mRunner.mStops.empty());
}

TEST_CASE("a single long task counts neither for the slowness nor for the mean "
          "run time")
{
  // Guards against entries that avoid a backend server, or wait for it too
  // long, because of one task.
  for (bool enabled : { true, false }) {
    CAPTURE(enabled);
    known_server world(enabled
                         ? mechanism_set()
                         : mechanism_set::AllBut({ "outlier_speeds" }).Value());
    world.RunTasks(10, milliseconds(60));
    double before = world.mExecutor.Slowness();
    uint32_t meanBeforeMs = world.mLinks.mMeanRunMs;
    world.RunTasks(1, milliseconds(420));
    world.RunTasks(1, milliseconds(60));
    bool same = std::abs(world.mExecutor.Slowness() / before - 1) < 0.1 &&
                world.mLinks.mMeanRunMs < 1.1 * meanBeforeMs;
    CHECK(same == enabled);
    CHECK(world.mExecutor.SlowOutliers() == (enabled ? 1 : 0));
    CHECK(world.mEvents.mCounts[event_code::ServerSpeedChanged] == 0);
  }
}

TEST_CASE("a backend server five times slower is known within five ends")
{
  // Guards against dispatches to a backend server as if it were fast, and
  // against learned_speed being without effect.
  known_server world;
  world.RunTasks(10, milliseconds(60));
  world.RunTasks(5, milliseconds(300));
  CHECK(world.mExecutor.Slowness() == doctest::Approx(5).epsilon(0.1));
  CHECK(world.mLinks.mMeanRunMs > 250);
  world.RunTasks(5, milliseconds(60));
  CHECK(world.mExecutor.Slowness() == doctest::Approx(1).epsilon(0.1));
  CHECK(world.mEvents.mCounts[event_code::ServerSpeedChanged] == 2);

  known_server unlearned(mechanism_set::AllBut({ "learned_speed" }).Value());
  unlearned.RunTasks(10, milliseconds(60));
  unlearned.RunTasks(5, milliseconds(300));
  CHECK(unlearned.mExecutor.Slowness() == 1);
  CHECK(unlearned.mEvents.mCounts[event_code::ServerSpeedChanged] == 0);
}

TEST_CASE("a new incarnation of a backend server starts as fast as declared")
{
  // Guards against a restarted backend server that is judged by the speed of
  // the former one.
  known_server world;
  world.RunTasks(5, milliseconds(300));
  CHECK(world.mExecutor.Slowness() > 3);
  server_announcement next;
  next.mId = "i-2";
  next.mService = "s";
  next.mStartTimeMs = 6;
  next.mCapacity = { 32000, 1000, 0 };
  world.mExecutor.OnAnnouncement(next, world.mNow);
  CHECK(world.mExecutor.Slowness() == 1);
}

TEST_CASE("a task without a run time does not count for the slowness")
{
  // Guards against lost tasks that are taken for long ones.
  started_task world;
  const start_request started = world.mRunner.mStarts.back();
  world.ReplyToStart(start_result::Started);
  world.AdvanceWithoutHeartbeat(milliseconds(500),
                                { { started.mTask, started.mRunNumber, 50 } });
  world.mExecutor.Tick(world.mNow); // sends the next poll
  world.ReplyToPoll(
    {}, { { 1, started.mTask, started.mRunNumber, end_kind::LeaseExpired } });
  CHECK(world.mExecutor.Running() == 0);
  CHECK(world.mExecutor.Slowness() == 1);
  CHECK(world.mExecutor.SlowOutliers() == 0);
}

TEST_CASE("a slow backend server is known before any of its tasks ends")
{
  // Guards against dispatches to a slow backend server until its tasks end.
  known_server world;
  world.RunTasks(10, milliseconds(60));
  double before = world.mExecutor.Slowness();
  world.Dispatch(nullptr, 4);
  world.Advance(milliseconds(1));
  std::vector<running_task> running;
  for (uint32_t i = 0; i < 4; i++) {
    running.push_back({ { 7, 0, i }, i == 0 ? 11u : 1u, 5 });
  }
  world.AdvanceWithoutHeartbeat(milliseconds(90), running);
  CHECK(world.mExecutor.Slowness() == before);
  for (running_task& task : running) {
    task.mPercent = 40; // of 60 ms, after 120 ms
  }
  world.AdvanceWithoutHeartbeat(milliseconds(30), running);
  CHECK(world.mExecutor.Slowness() == doctest::Approx(5).epsilon(0.2));
  CHECK(world.mEvents.mCounts[event_code::ServerSpeedChanged] == 1);
}

TEST_CASE(
  "a backend server that has timed out is reported to every entry at once")
{
  // Guards against entries without it in their subset, which would otherwise
  // add it to the subset as ready.
  known_server world;
  world.mExecutor.Tick(world.mNow);
  uint32_t before = world.mLinks.mReports;
  world.mNow += milliseconds(400); // no poll gets a reply
  world.mExecutor.Tick(world.mNow);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  CHECK(world.mLinks.mReports == before + 1);
}

} // namespace cactusmast::testing
