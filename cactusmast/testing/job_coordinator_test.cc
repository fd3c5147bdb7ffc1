// A job_coordinator whose executors connect one after the other.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSmallMillis = 8000;
constexpr uint32_t kLargeMillis = 32000;

class recorded_dispatches
  : public coordinator_links
  , public job_answers
  , public random_source
{
public:
  void SendDispatch(peer_id aExecutor, wire::start_tasks_msg aDispatch) override
  {
    mDispatches[aExecutor]++;
    mServerStartMs = aDispatch.server_start_ms;
    if (mOnDispatch) {
      mOnDispatch(aExecutor);
    }
  }
  void SendStop(peer_id, wire::stop_tasks_msg) override {}
  void Subscribe(peer_id, bool) override {}
  void SendEvacuations(peer_id) override {}
  void Close(peer_id) override {}
  void Answer(caller_id, const job_outcome& aOutcome) override
  {
    mOutcomes.push_back(aOutcome);
  }
  double NextUniform() override { return 0.5; }

  std::map<peer_id, uint32_t> mDispatches; // by executor
  int64_t mServerStartMs = 0;              // in the last dispatch
  std::function<void(peer_id)> mOnDispatch;
  std::vector<job_outcome> mOutcomes;
};

// An entry that has just started.
struct new_entry
{
  new_entry()
    : mCoordinator("entry", "a", mPorts, mPorts, mPorts, mEvents)
  {
    route_config config;
    route jobs;
    jobs.mName = "jobs";
    jobs.mService = "s";
    jobs.mTimeoutMs = 5000;
    jobs.mObjectiveBaseMs = 1000;
    jobs.mObjectiveStretch = 2;
    config.mRoutes.push_back(jobs);
    mTable = std::make_shared<const route_table>(config);
  }

  void AddExecutor(peer_id aPeer, uint32_t aCpuMillis)
  {
    peer_identity who;
    who.mName = "executor-" + std::to_string(aPeer);
    who.mDataCenter = "a";
    mCoordinator.OnExecutorUp(aPeer, who, mNow);
    mCpuMillis[aPeer] = aCpuMillis;
    Report(aPeer, aCpuMillis);
  }
  // aRunMs: of the job's task, which has ended; 0: it has not.
  void Report(peer_id aPeer, uint32_t aCpuMillis, uint32_t aRunMs = 0)
  {
    uint32_t used = std::min(mUsedMillis, aCpuMillis);
    wire::server_report_msg report;
    report.state = uint8_t(server_state::Ready);
    report.service = "s";
    report.cpu_millis = aCpuMillis;
    report.free_cpu_millis = int32_t(aCpuMillis - used);
    report.memory_mb = 1024;
    report.free_memory_mb = 1024;
    report.room_in_ms = used > 0 ? 500 : 0;
    report.slowness_permille = 2000;
    report.server_start_ms = mServerStartMs;
    if (aRunMs > 0) {
      report.ends.emplace_back(
        0, 7, 0, 0, 1, aRunMs, uint8_t(attempt_outcome::Done));
    }
    mCoordinator.OnReport(aPeer, report, mNow);
  }
  void SubmitLarge()
  {
    job_step step;
    step.mCount = 1;
    step.mSize.mCpuMillis = kLargeMillis;
    step.mDeclaredMs = 100;
    Submit({ step });
  }
  void Submit(const std::vector<job_step>& aSteps)
  {
    job_request request;
    request.mCaller = 1;
    request.mJob = 7;
    request.mSubmission.mSteps = aSteps;
    request.mTable = mTable;
    request.mRoute = &mTable->Config().mRoutes[0];
    mCoordinator.Submit(std::move(request), mNow);
  }
  // Every 20 ms, all executors report.
  void Pass(milliseconds aTime)
  {
    for (instant until = mNow + aTime; mNow < until; mNow += milliseconds(20)) {
      for (const auto& [peer, millis] : mCpuMillis) {
        Report(peer, millis);
      }
      mCoordinator.Tick(mNow);
    }
  }

  instant mNow = milliseconds(1000);
  no_events mEvents;
  recorded_dispatches mPorts;
  std::map<peer_id, uint32_t> mCpuMillis; // of the executors' servers
  uint32_t mUsedMillis = 0;               // on each server, by other entries
  int64_t mServerStartMs = 5;             // of the servers' incarnations
  std::shared_ptr<const route_table> mTable;
  job_coordinator mCoordinator;
};

} // namespace

TEST_CASE("a job waits for a server that can hold it while executors connect")
{
  // Guards against an entry that fails a job for good as soon as it starts.
  new_entry entry;
  entry.AddExecutor(1, kSmallMillis);
  entry.SubmitLarge();
  CHECK(entry.mPorts.mOutcomes.empty());
  entry.Pass(milliseconds(300));
  entry.AddExecutor(2, kLargeMillis);
  entry.Pass(milliseconds(100));
  CHECK(entry.mPorts.mDispatches[2] == 1);
}

TEST_CASE("a job that no server can hold fails once all had time to connect")
{
  // Guards against a job that can never run and waits until its deadline.
  new_entry entry;
  entry.AddExecutor(1, kSmallMillis);
  SUBCASE("submitted at the start")
  {
    entry.SubmitLarge();
    entry.Pass(milliseconds(2000));
  }
  SUBCASE("submitted later")
  {
    entry.Pass(milliseconds(2000));
    entry.SubmitLarge();
  }
  REQUIRE(entry.mPorts.mOutcomes.size() == 1);
  CHECK(entry.mPorts.mOutcomes[0].mEnding == job_ending::Failed);
}

TEST_CASE("a completed job is late by its longest task, not by its forecast")
{
  // Guards against jobs counted as late whose task took far longer than
  // declared, since the objective grows with it, and against jobs counted as in
  // time whose task took less. Objective: 1000 ms and twice the run time.
  for (auto [runMs, inTime] : { std::pair{ 1300u, true }, { 900u, false } }) {
    new_entry entry;
    entry.AddExecutor(1, kLargeMillis);
    entry.SubmitLarge(); // declares 100 ms
    entry.Pass(milliseconds(2200));
    entry.Report(1, kLargeMillis, runMs);
    CHECK(entry.mCoordinator.Counters().mCompleted == 1);
    CHECK(entry.mCoordinator.Counters().mInObjective == (inTime ? 1 : 0));
    CHECK(entry.mCoordinator.Counters().mLate == (inTime ? 0 : 1));
  }
}

TEST_CASE("a job is refused as a whole when one of its parallel steps is late")
{
  // Guards against an entry that ends when it places the job's other step.
  new_entry entry;
  entry.mUsedMillis = kLargeMillis;
  entry.AddExecutor(1, kLargeMillis);
  job_step longer;
  longer.mCount = 2;
  longer.mSize.mCpuMillis = 3000;
  longer.mDeclaredMs = 800;
  job_step shorter = longer;
  shorter.mDeclaredMs = 60;
  SUBCASE("the longer step comes first")
  {
    entry.Submit({ longer, shorter });
  }
  SUBCASE("the shorter step comes first")
  {
    entry.Submit({ shorter, longer });
  }
  // The objective passes after 1000 ms and twice the longer run time.
  entry.Pass(milliseconds(2600));
  REQUIRE(entry.mPorts.mOutcomes.size() == 1);
  CHECK(entry.mPorts.mOutcomes[0].mEnding == job_ending::Refused);
  CHECK(entry.mPorts.mDispatches.empty());
  CHECK(entry.mCoordinator.OpenJobs() == 0);
  CHECK(entry.mCoordinator.WaitingTasks() == 0);
}

TEST_CASE("a dispatch names the incarnation that the entry placed it for")
{
  // Guards against starts on an incarnation without the label they require.
  new_entry entry;
  entry.AddExecutor(1, kLargeMillis);
  job_step step;
  step.mCount = 1;
  step.mSize.mCpuMillis = 1000;
  step.mDeclaredMs = 100;
  entry.Submit({ step });
  CHECK(entry.mPorts.mServerStartMs == 5);
  entry.mServerStartMs = 6;
  entry.Report(1, kLargeMillis, 100); // the first job has ended
  entry.Submit({ step });
  CHECK(entry.mPorts.mServerStartMs == 6);
}

TEST_CASE("a dispatch that closes the connection loses no other task")
{
  // Guards against a task placed at an executor that is not connected any more.
  new_entry entry;
  entry.AddExecutor(1, kLargeMillis);
  entry.mPorts.mOnDispatch = [&](peer_id aPeer) {
    entry.mCpuMillis.erase(aPeer);
    entry.mCoordinator.OnExecutorDown(aPeer, entry.mNow);
  };
  job_step step;
  step.mCount = 1;
  step.mSize.mCpuMillis = 1000;
  step.mDeclaredMs = 100;
  entry.Submit({ step, step }); // a dispatch each
  CHECK(entry.mPorts.mDispatches[1] == 1);
  CHECK(entry.mCoordinator.BusyExecutors().empty());
  CHECK(entry.mCoordinator.WaitingTasks() == 1);
  entry.mPorts.mOnDispatch = nullptr;
  entry.AddExecutor(2, kLargeMillis);
  entry.Pass(milliseconds(100));
  CHECK(entry.mPorts.mDispatches[2] == 1);
  entry.Pass(milliseconds(1000)); // the first one may have run for a while
  CHECK(entry.mPorts.mDispatches[2] == 2);
}

} // namespace cactusmast::testing
