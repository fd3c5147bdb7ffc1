// An executor with a backend server whose replies the test gives, one by one.

#ifndef CACTUSMAST_TESTING_KNOWN_SERVER_H_
#define CACTUSMAST_TESTING_KNOWN_SERVER_H_

#include <doctest/doctest.h>
#include <map>
#include <utility>
#include <vector>

#include "cactusmast/task_executor.h"
#include "cactusmast/time_spans.h"

namespace cactusmast::testing {

// Records the requests; the test passes the replies to the executor.
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
    mMeanRunMs = aReport.mean_run_ms;
    mServerStartMs = aReport.server_start_ms;
    for (const wire::task_end& end : aReport.ends) {
      mOutcomes.push_back(attempt_outcome(end.outcome()));
    }
  }
  void Close(peer_id) override { mClosedLinks++; }

  std::vector<attempt_outcome> mOutcomes;
  uint32_t mReports = 0;
  uint32_t mMeanRunMs = 0;    // in the last report
  int64_t mServerStartMs = 0; // in the last report
  uint32_t mClosedLinks = 0;
};

class recorded_events : public event_sink
{
public:
  void Emit(event_code aCode, std::vector<event_field>) override
  {
    mCounts[aCode]++;
  }

  std::map<event_code, uint32_t> mCounts;
};

// An executor whose backend server is announced and has replied to a poll.
struct known_server
{
  // aRunning: tasks in that reply, of an earlier executor process.
  explicit known_server(const mechanism_set& aMechanisms = {},
                        std::vector<running_task> aRunning = {})
    : mExecutor(1, "s", "a", mLinks, mRunner, mEvents, aMechanisms)
  {
    mExecutor.OnEntryUp(1, "entry", mNow);
    Announce(0);
    mExecutor.Tick(mNow);
    ReplyToPoll(std::move(aRunning), {});
  }

  void Announce(uint32_t aColdLeftMs)
  {
    server_announcement announcement;
    announcement.mId = "i-1";
    announcement.mService = "s";
    announcement.mStartTimeMs = mStartTimeMs;
    announcement.mSequence = ++mSequence;
    announcement.mColdLeftMs = aColdLeftMs;
    announcement.mCapacity = { 32000, 1000, 0 };
    mExecutor.OnAnnouncement(announcement, mNow);
  }

  // Runs tasks one after the other, each with a declared run time of 60 ms.
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

  // The entry dispatches one task. aEvacuations: sent along; null: nothing.
  void Dispatch(const evacuation_tracker* aEvacuations = nullptr,
                uint32_t aTasks = 1)
  {
    wire::start_tasks_msg dispatch = MakeDispatch(aTasks);
    if (aEvacuations != nullptr) {
      dispatch.evacuating = EncodeEvacuations(*aEvacuations, mNow);
    }
    mExecutor.OnStartTasks(1, dispatch, mNow);
  }

  // The same, placed for the incarnation that started at aServerStartMs.
  void DispatchFor(int64_t aServerStartMs)
  {
    wire::start_tasks_msg dispatch = MakeDispatch(1);
    dispatch.server_start_ms = aServerStartMs;
    mExecutor.OnStartTasks(1, dispatch, mNow);
  }

  // The same, sent at aSentAt by the executor's clock.
  void DispatchSentAt(instant aSentAt)
  {
    wire::start_tasks_msg dispatch = MakeDispatch(1);
    dispatch.receiver_clock_ms = uint64_t(ToMs(aSentAt));
    mExecutor.OnStartTasks(1, dispatch, mNow);
  }

  static wire::start_tasks_msg MakeDispatch(uint32_t aTasks)
  {
    wire::start_tasks_msg dispatch;
    dispatch.offer = 1;
    dispatch.job = 7;
    dispatch.cpu_millis = 3000;
    dispatch.estimate_ms = 60;
    dispatch.start_within_ms = 40;
    dispatch.stop_after_ms = 1500;
    for (uint32_t i = 0; i < aTasks; i++) {
      dispatch.tasks.emplace_back(i, 1);
    }
    return dispatch;
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
    snapshot.mStartTimeMs = mStartTimeMs;
    snapshot.mRunning = std::move(aRunning);
    snapshot.mEnded = std::move(aEnded);
    mExecutor.OnPollReply(
      mRunner.mPolls.back().mNumber, poll_result::Ok, snapshot, mNow);
  }

  void Advance(duration aSpan)
  {
    mNow += aSpan;
    mExecutor.OnHeartbeat(1, 0, mNow);
    mExecutor.Tick(mNow);
  }

  // The entry sends no heartbeats; polls get replies.
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

  instant mNow = std::chrono::seconds(50);
  int64_t mStartTimeMs = 5; // of the backend server
  uint64_t mSequence = 0;
  uint64_t mEnds = 0;
  recorded_events mEvents;
  recorded_links mLinks;
  scripted_runner mRunner;
  task_executor mExecutor;
};

// A known_server with one start request sent.
struct started_task : known_server
{
  started_task()
  {
    Dispatch();
    mExecutor.Tick(mNow);
    REQUIRE(mRunner.mStarts.size() == 1);
  }
};

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_KNOWN_SERVER_H_
