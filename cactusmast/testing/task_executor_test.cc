// Single answers of a backend server that an executor must not misread.

#include <doctest/doctest.h>

#include "cactusmast/task_executor.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

// Keeps the orders; the test answers them.
class scripted_runner : public backend_runner
{
public:
  void Start(const start_request& aRequest) override
  {
    mStarts.push_back(aRequest);
  }
  void Stop(const stop_request& aRequest) override
  {
    mStops.push_back(aRequest);
  }
  void Poll(const poll_request& aRequest) override
  {
    mPolls.push_back(aRequest);
  }
  void ExpectInstance(const std::string&) override {}

  std::vector<start_request> mStarts;
  std::vector<stop_request> mStops;
  std::vector<poll_request> mPolls;
};

class recorded_links : public executor_links
{
public:
  void Report(peer_id, const wire::server_report_msg& aReport) override
  {
    mReports++;
    for (const wire::task_end& end : aReport.ends) {
      mOutcomes.push_back(attempt_outcome(end.outcome()));
    }
  }
  void Close(peer_id) override { mClosedLinks++; }

  std::vector<attempt_outcome> mOutcomes;
  uint32_t mReports = 0;
  uint32_t mClosedLinks = 0;
};

// An executor whose backend server is known.
struct known_server
{
  known_server()
    : mExecutor(1, "s", "a", mLinks, mRunner, mEvents)
  {
    mExecutor.OnEntryUp(1, "entry", mNow);
    Announce(0);
    mExecutor.Tick(mNow);
    ReplyToPoll({}, {});
  }

  void Announce(uint32_t aColdLeftMs)
  {
    server_announcement announcement;
    announcement.mId = "i-1";
    announcement.mService = "s";
    announcement.mStartTimeMs = 5;
    announcement.mSequence = ++mSequence;
    announcement.mColdLeftMs = aColdLeftMs;
    announcement.mCapacity = { 32000, 1000, 0 };
    mExecutor.OnAnnouncement(announcement, mNow);
  }

  // Tasks one after the other, each declared at 60 ms.
  void RunTasks(int aCount, duration aRunTime)
  {
    for (int i = 0; i < aCount; i++) {
      Dispatch();
      Advance(milliseconds(1));
      const start_request started = mRunner.mStarts.back();
      ReplyToStart(start_result::Started);
      AdvanceWithoutHeartbeat(aRunTime,
                              { { started.mTask, started.mRunNumber, 50 } });
      ended_task end{
        ++mEnds, started.mTask, started.mRunNumber, end_kind::Done
      };
      mNow += milliseconds(1);
      mExecutor.Tick(mNow);
      ReplyToPoll({}, { end });
    }
  }

  // One task, ordered by the entry. aKnown: what it says of evacuations.
  void Dispatch(const evacuation_tracker* aEvacuations = nullptr)
  {
    wire::start_tasks_msg dispatch;
    if (aEvacuations != nullptr) {
      dispatch.evacuating = EncodeEvacuations(*aEvacuations, mNow);
    }
    dispatch.offer = 1;
    dispatch.job = 7;
    dispatch.cpu_millis = 3000;
    dispatch.estimate_ms = 60;
    dispatch.start_within_ms = 40;
    dispatch.stop_after_ms = 1500;
    dispatch.tasks.emplace_back(0, 1);
    mExecutor.OnStartTasks(1, dispatch, mNow);
  }

  void ReplyToStart(start_result aResult)
  {
    const start_request request = mRunner.mStarts.back();
    mExecutor.OnStartReply(request.mTask, request.mRunNumber, aResult, 0, mNow);
    Advance(milliseconds(1));
  }

  void ReplyToPoll(std::vector<running_task> aRunning,
                   std::vector<ended_task> aEnded)
  {
    REQUIRE(!mRunner.mPolls.empty());
    server_snapshot snapshot;
    snapshot.mClockMs = 1000;
    snapshot.mStartTimeMs = 5;
    snapshot.mRunning = std::move(aRunning);
    snapshot.mEnded = std::move(aEnded);
    mExecutor.OnPollReply(
      mRunner.mPolls.back().mNumber, poll_result::Ok, snapshot, mNow);
  }

  void Advance(duration aSpan)
  {
    mNow += aSpan;
    mExecutor.OnHeartbeat(1, mNow);
    mExecutor.Tick(mNow);
  }

  // The entry says nothing; looks are answered.
  void AdvanceWithoutHeartbeat(duration aSpan,
                               const std::vector<running_task>& aRunning)
  {
    instant end = mNow + aSpan;
    while (mNow < end) {
      mNow += milliseconds(10);
      mExecutor.Tick(mNow);
      ReplyToPoll(aRunning, {});
    }
  }

  instant mNow = seconds(50);
  uint64_t mSequence = 0;
  uint64_t mEnds = 0;
  silent_events mEvents;
  recorded_links mLinks;
  scripted_runner mRunner;
  task_executor mExecutor;
};

// With one task started there.
struct started_task : known_server
{
  started_task()
  {
    Dispatch();
    mExecutor.Tick(mNow);
    REQUIRE(mRunner.mStarts.size() == 1);
  }
};

const start_result kNotStarted[] = { start_result::Unreachable,
                                     start_result::Unhealthy,
                                     start_result::OtherIncarnation,
                                     start_result::NoRoom,
                                     start_result::Malformed };

} // namespace

TEST_CASE("an order that is read together with its withdrawal starts nothing")
{
  // An executor stands still for two seconds. Meanwhile its entry gives the
  // job up and the caller sends it again elsewhere. When the executor wakes it
  // reads the old order and right behind it the withdrawal; if it started the
  // task in between, it would run on two backend servers at a time.
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

TEST_CASE("an answer read between an order and its withdrawal starts nothing")
{
  // The same standstill, but a look was under way: its answer has arrived as
  // well, and the executor reads it before it comes to the withdrawal.
  known_server world;
  world.Advance(milliseconds(20)); // a look is under way
  world.Dispatch();
  world.ReplyToPoll({}, {});
  wire::stop_tasks_msg stop;
  stop.job = 7;
  stop.indexes.push_back(0);
  world.mExecutor.OnStopTasks(1, stop, world.mNow);
  world.Advance(milliseconds(1));
  CHECK(world.mRunner.mStarts.empty());
}

TEST_CASE("a refused start never started, if it was the only order")
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

TEST_CASE("a start that got no answer may have run, whatever its repeat gets")
{
  // A backend server starts a task and dies before it answers. The order is
  // repeated, and now the connection is refused. If that counted as never
  // started, the user would hear that the order was not run although it was,
  // and would give it again.
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
    // Nothing answers any more: every lease that was asked for ends.
    for (int i = 0; i < 100; i++) {
      world.Advance(milliseconds(10));
    }
    REQUIRE(world.mLinks.mOutcomes.size() == 1);
    CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Lost);
  }
}

TEST_CASE("a repeat that comes too late for its own run takes that run's end")
{
  // The first order was carried out, only its answer was lost, and the task
  // has ended when the repeat arrives. Starting it anew under another number
  // would run a user's order twice.
  started_task world;
  world.ReplyToStart(start_result::NoAnswer);
  world.ReplyToStart(start_result::OldRun);
  CHECK(world.mRunner.mStarts.size() == 2);
  world.Advance(milliseconds(20)); // a look is under way by then
  ended_task end;
  end.mNumber = 1;
  end.mTask = world.mRunner.mStarts[0].mTask;
  end.mRunNumber = world.mRunner.mStarts[0].mRunNumber;
  end.mHow = end_kind::Done;
  world.ReplyToPoll({}, { end });
  world.Advance(milliseconds(1));
  REQUIRE(world.mLinks.mOutcomes.size() == 1);
  CHECK(world.mLinks.mOutcomes[0] == attempt_outcome::Done);
}

TEST_CASE("an entry without tasks here may be silent as long as it likes")
{
  known_server world;
  world.AdvanceWithoutHeartbeat(seconds(20), {});
  CHECK(world.mLinks.mClosedLinks == 0);
}

TEST_CASE("an entry that falls silent with a task here loses it in time")
{
  // Guards against a task that runs on while its caller sends the job again.
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

TEST_CASE("an entry hears of a quiet backend server only what it asked for")
{
  known_server world;
  world.mExecutor.Tick(world.mNow);
  uint32_t atFirst = world.mLinks.mReports;
  CHECK(atFirst > 0);
  world.AdvanceWithoutHeartbeat(seconds(5), {});
  CHECK(world.mLinks.mReports == atFirst);
  world.mExecutor.OnSubscription(1, true, world.mNow);
  world.AdvanceWithoutHeartbeat(milliseconds(10), {});
  CHECK(world.mLinks.mReports == atFirst + 1);
  world.AdvanceWithoutHeartbeat(milliseconds(10050), {});
  CHECK(world.mLinks.mReports == atFirst + 11);
}

TEST_CASE("what waits in an evacuated data centre is returned at once")
{
  // Guards against jobs that lose the time in which they could run elsewhere.
  known_server told;
  told.Dispatch();
  told.mExecutor.OnEvacuations(evacuation_update{ { 2, { "a" } }, told.mNow },
                               told.mNow);
  told.Advance(milliseconds(1));
  CHECK(told.mRunner.mStarts.empty());
  REQUIRE(told.mLinks.mOutcomes.size() == 1);
  CHECK(told.mLinks.mOutcomes[0] == attempt_outcome::Draining);
}

TEST_CASE("an order that tells of an evacuation here starts nothing")
{
  // Guards against news that only comes after the order.
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

TEST_CASE("an unanswered start is not repeated in an evacuated data centre")
{
  // Guards against a repeat that starts the task long after the evacuation.
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

TEST_CASE("what is learned of a backend server while it is cold is set aside")
{
  // Guards against one that goes on being taken for slow once it is warm, and
  // against forecasts for it that are far too short while it is cold.
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

TEST_CASE("a backend server that falls ill is reported to every entry at once")
{
  // Guards against entries outside whose subset it is, and which would take it
  // in as ready.
  known_server world;
  world.mExecutor.Tick(world.mNow);
  uint32_t before = world.mLinks.mReports;
  world.mNow += milliseconds(400); // no look is answered
  world.mExecutor.Tick(world.mNow);
  CHECK(world.mExecutor.State(world.mNow) == server_state::Absent);
  CHECK(world.mLinks.mReports == before + 1);
}

} // namespace cactusmast::testing
