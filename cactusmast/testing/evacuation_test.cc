// Tests how evacuations of data centres become known, and which tasks start
// during them.

#include <doctest/doctest.h>

#include "cactusmast/evacuation.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

// Reads rows "out/NAME"; any value but "?" is readable.
class test_codec : public evacuation_codec
{
public:
  key_range Keys() const override { return { "out/", "out0" }; }
  std::optional<std::string> DataCenterOf(
    const std::string& aKey) const override
  {
    return aKey.rfind("out/", 0) == 0 ? std::optional(aKey.substr(4))
                                      : std::nullopt;
  }
  bool IsReadable(const std::string& aValue) const override
  {
    return aValue != "?";
  }
};

// An evacuation_reader with its codec and event sink.
struct reader_fixture
{
  std::string Apply(const std::vector<store_row>& aRows,
                    uint64_t aVersion,
                    bool aWhole)
  {
    return FormatDataCenters(mReader.Apply({ aRows, aVersion, aWhole }));
  }

  test_codec mCodec;
  no_events mEvents;
  evacuation_reader mReader{ mCodec, mEvents };
};

store_row
Row(const std::string& aKey, const std::string& aValue = "{}")
{
  return { aKey, aValue, false, "" };
}

constexpr size_t kServers = 12;

// Submits jobs at all entries for aSpan, well within the capacity of two of
// three data centres.
void
SubmitJobs(sized_world* aWorld, duration aSpan)
{
  constexpr duration kInterval = milliseconds(10);
  size_t number = 0;
  for (duration at{}; at < aSpan; at += kInterval) {
    size_t entry = number++ % aWorld->Entries();
    aWorld->At(at, [aWorld, entry] { aWorld->Submit(entry, 4, 100, 3000); });
  }
  aWorld->Run(aSpan + seconds(3));
}

void
CheckNoViolations(const sized_world& aWorld)
{
  for (const std::string& text : aWorld.Violations()) {
    FAIL_CHECK(text);
  }
}

uint32_t
StartsIn(sized_world& aWorld, const std::string& aDataCenter)
{
  uint32_t starts = 0;
  for (size_t i = 0; i < aWorld.Servers(); i++) {
    starts +=
      aWorld.DataCenterOf(i) == aDataCenter ? aWorld.Server(i).mStarts : 0;
  }
  return starts;
}

} // namespace

TEST_CASE("evacuations follow changes of rows and snapshots of the table")
{
  reader_fixture reader;
  CHECK(reader.Apply({ Row("config"), Row("out/a") }, 5, true) == "a");
  CHECK(reader.Apply({ Row("out/b") }, 6, false) == "a,b");
  CHECK(reader.Apply({ { "out/a", "", true, "" } }, 7, false) == "b");
  CHECK(reader.Apply({}, 8, false) == "b");
  // Guards against an evacuation that never ends because the deletion of its
  // row was missed: the store no longer had the history of that time.
  CHECK(reader.Apply({ Row("config") }, 9, true) == "");
}

TEST_CASE("an unreadable row does not change the state of its data centre")
{
  // Guards against invalid rows of another writer that begin or end an
  // evacuation.
  reader_fixture reader;
  CHECK(reader.Apply({ Row("out/a", "?"), Row("wave/1", "?") }, 5, true) == "");
  CHECK(reader.Apply({ Row("out/a") }, 6, false) == "a");
  CHECK(reader.Apply({ Row("out/a", "?") }, 7, false) == "a");
  CHECK(reader.Apply({ Row("out/a", "?"), Row("out/b", "?") }, 8, true) == "a");
}

TEST_CASE("a tracker never goes back to an older version")
{
  // Guards against an entry that is disconnected from the store and sends an
  // earlier state.
  evacuation_tracker tracker;
  CHECK(tracker.Update({ { 10, { "a" } }, seconds(10) }));
  CHECK(tracker.Update({ { 12, {} }, seconds(12) }));
  CHECK(!tracker.Update({ { 11, { "a" } }, seconds(13) }));
  CHECK(!tracker.Has("a"));
  CHECK(tracker.Age(seconds(14)) == seconds(2));
  CHECK(!tracker.Update({ { 12, {} }, seconds(13) }));
  CHECK(tracker.Age(seconds(14)) == seconds(1));
}

TEST_CASE("a message carries the state of its sender and its age")
{
  evacuation_tracker sender;
  CHECK(EncodeEvacuations(sender, seconds(1)) == nullptr);
  sender.Update({ { 10, { "a", "b" } }, seconds(10) });
  std::string frame;
  wire::entry_pulse_msg pulse;
  pulse.evacuating = EncodeEvacuations(sender, seconds(13));
  EncodeFrame(MakeMessage(std::move(pulse)), &frame);
  message read = std::move(DecodeFrame(frame, "entry").Value());
  evacuation_tracker receiver;
  auto update =
    DecodeEvacuations(read.Asentry_pulse()->evacuating.get(), seconds(20));
  REQUIRE(update);
  CHECK(receiver.Update(*update));
  CHECK(FormatDataCenters(receiver.State()) == "a,b");
  CHECK(receiver.Age(seconds(20)) == seconds(3));
  CHECK(!DecodeEvacuations(nullptr, seconds(21)));
}

TEST_CASE("no task starts in an evacuated data centre and no job is lost")
{
  // Guards against tasks on backend servers that operators are about to switch
  // off.
  sized_world world(3, kServers, 1, {}, 3);
  world.At(seconds(1), [&] { world.Evacuate("b"); });
  SubmitJobs(&world, seconds(3));
  CHECK(world.CountEnding(job_ending::Completed) == world.Callers().size());
  CHECK(world.CountInTime(milliseconds(220)) >=
        world.Callers().size() * 9 / 10);
  CheckNoViolations(world);
}

TEST_CASE("tasks queued in a data centre move elsewhere when it is evacuated")
{
  // Guards against tasks that stay queued in the evacuated data centre until
  // the time within which they have to start is over.
  sized_world world(1, 2, 2, {}, 2);
  world.Submit(0, 20, 300, 3000);
  world.Run(milliseconds(280));
  uint64_t queued = world.Submit(0, 20, 100, 3000);
  world.Run(milliseconds(5));
  CHECK(world.Executor(0).Queued() > 0);
  world.Coordinator(0).OnEvacuations(
    evacuation_update{ { 2, { "a" } }, world.Now() }, world.Now());
  world.Run(seconds(2));
  CHECK(world.LastSubmission(queued).mEnding == job_ending::Completed);
  CHECK(world.LastSubmission(queued).mAnsweredAt -
          world.LastSubmission(queued).mSentAt <=
        milliseconds(300));
  CHECK(world.Server(1).mStarts == 30);
  CheckNoViolations(world);
}

TEST_CASE("tasks running in a data centre when it is evacuated end there")
{
  // Guards against stopping running tasks, which may end where they are.
  sized_world world(2, 4, 3, {}, 2);
  uint64_t job = world.Submit(0, 40, 800, 5000);
  world.Run(milliseconds(300));
  world.Evacuate("a");
  world.Run(seconds(2));
  CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  CHECK(StartsIn(world, "a") + StartsIn(world, "b") == 40);
  CheckNoViolations(world);
}

TEST_CASE("jobs are refused at once while all data centres are evacuated")
{
  // Guards against callers that wait although no backend server can run their
  // job.
  sized_world world(2, 4, 4, {}, 2);
  world.Evacuate("a");
  world.Evacuate("b");
  world.Run(seconds(1));
  uint64_t job = world.Submit(1, 2, 100);
  world.Run(milliseconds(10));
  CHECK(world.LastSubmission(job).mAnswered);
  CHECK(world.LastSubmission(job).mEnding == job_ending::Refused);
  world.EndEvacuation("b");
  world.Run(milliseconds(300));
  uint64_t later = world.Submit(1, 2, 100);
  world.Run(seconds(1));
  CHECK(world.LastSubmission(later).mEnding == job_ending::Completed);
  CheckNoViolations(world);
}

TEST_CASE("a data centre gets tasks again after its evacuation, without a rush")
{
  // Guards against free capacity that stays unused, and against entries that
  // all dispatch to the same idle backend servers.
  sized_world world(6, kServers, 5, {}, 3);
  world.Evacuate("c");
  world.At(seconds(1), [&] { world.EndEvacuation("c"); });
  SubmitJobs(&world, seconds(3));
  CHECK(StartsIn(world, "c") > 100);
  CHECK(world.CountEnding(job_ending::Completed) == world.Callers().size());
  uint64_t attempts = 0;
  uint64_t bounced = 0;
  for (size_t i = 0; i < world.Entries(); i++) {
    attempts += world.Coordinator(i).Counters().mAttempts;
    bounced += world.Coordinator(i).Counters().mNotStarted;
  }
  CHECK(bounced * 20 < attempts);
  CheckNoViolations(world);
}

TEST_CASE("a restarted executor knows of an evacuation before it starts tasks")
{
  // Guards against a restarted executor that starts dispatched tasks before it
  // knows of the evacuation, and against one that loses the state.
  sized_world world(2, 6, 6, {}, 3);
  world.Evacuate("a");
  world.At(milliseconds(1500),
           [&] { world.KillExecutor(0, milliseconds(300)); });
  world.At(milliseconds(1500), [&] { world.KillEntry(0, milliseconds(300)); });
  world.At(milliseconds(1900),
           [&] { world.KillExecutor(3, milliseconds(200)); });
  SubmitJobs(&world, seconds(3));
  CheckNoViolations(world);
}

TEST_CASE("an evacuation holds when all processes and the store are lost")
{
  // Guards against processes that restart while the store is unreachable and
  // start tasks although they know of no evacuation state.
  sized_world world(2, 6, 7, {}, 3);
  world.RefuseUntilStoreIsRead();
  world.Evacuate("a");
  world.Run(seconds(2));
  for (size_t i = 0; i < world.Entries(); i++) {
    world.KillEntry(i, milliseconds(500));
  }
  for (size_t i = 0; i < world.Servers(); i++) {
    world.KillExecutor(i, milliseconds(500));
  }
  world.StopStore(seconds(2));
  world.Run(milliseconds(600));
  SubmitJobs(&world, seconds(3));
  CHECK(world.CountEnding(job_ending::Refused) > 50);
  CHECK(world.CountEnding(job_ending::Completed) > 100);
  CheckNoViolations(world);
}

TEST_CASE("entries without the store get evacuations from other processes")
{
  // Guards against an entry that goes on placing tasks by an outdated state.
  sized_world world(3, kServers, 8, {}, 3);
  world.CutFromStore(0, seconds(20));
  world.CutFromStore(1, seconds(20));
  world.At(seconds(1), [&] { world.Evacuate("b"); });
  SubmitJobs(&world, seconds(3));
  CHECK(world.CountEnding(job_ending::Completed) == world.Callers().size());
  CheckNoViolations(world);
}

TEST_CASE("executors read the store when no entry can reach it")
{
  // Guards against executors that rely on the outdated state of entries
  // although they can reach the store themselves.
  constexpr duration kMaxStateAge = seconds(5);
  sized_world world(1, 6, 9, {}, 3);
  world.SetMaxEvacuationAge(kMaxStateAge);
  world.Run(seconds(1));
  world.CutFromStore(0, seconds(30));
  world.At(seconds(1), [&] { world.Evacuate("b"); });
  SubmitJobs(&world, seconds(9));
  CHECK(world.CountEnding(job_ending::Completed) == world.Callers().size());
  CheckNoViolations(world);
}

TEST_CASE("an evacuation during an outage of the store holds once it is back")
{
  // Guards against a change that is missed because it was made during the
  // outage.
  sized_world world(2, kServers, 10, {}, 3);
  world.SetMaxEvacuationAge(seconds(4));
  world.At(seconds(1), [&] {
    world.StopStore(seconds(3));
    world.Evacuate("b");
  });
  world.At(milliseconds(1500), [&] { world.KillEntry(1, milliseconds(400)); });
  SubmitJobs(&world, seconds(6));
  CheckNoViolations(world);
}

TEST_CASE("an evacuation holds within a second at high load in a large fleet")
{
  // Guards against updates that are delayed behind dispatches and reports.
  sized_world world(35, 160, 11, {}, 6);
  world.At(milliseconds(500), [&] { world.Evacuate("d"); });
  // Three jobs of 0.4 s of work per ms, for the 133 backend servers of ten
  // tasks each that are left: nine tenths of their capacity.
  for (int i = 0; i < 6000; i++) {
    world.At(milliseconds(i / 3), [&world, i] {
      world.Submit(size_t(i) % world.Entries(), 4, 100, 3000);
    });
  }
  world.Run(seconds(5));
  CHECK(world.CountEnding(job_ending::Completed) >= 5400);
  CheckNoViolations(world);
}

TEST_CASE("executors do not read the store while entries can reach it")
{
  // Guards against a request per executor and second to the shared store.
  sized_world world(2, 6, 12, {}, 3);
  SubmitJobs(&world, seconds(6));
  CHECK(world.StoreReads() == 0);
  CheckNoViolations(world);
}

} // namespace cactusmast::testing
