// The smaller parts of coordinators and executors: table watcher, directory of
// entries, placement, settings.

#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

#include "cactusmast/entry_directory.h"
#include "cactusmast/instance_settings.h"
#include "cactusmast/latency_histogram.h"
#include "cactusmast/normal_tail.h"
#include "cactusmast/placement.h"
#include "cactusmast/startup_queue.h"
#include "cactusmast/table_watcher.h"
#include "shell/metrics_page.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class fake_store : public metadata_store
{
public:
  void ReadPartition(const std::string&,
                     const std::string&,
                     const key_range&,
                     callback aDone) override
  {
    mReads++;
    mCallback = std::move(aDone);
  }
  void WaitForChange(const std::string&,
                     uint64_t aVersion,
                     uint32_t,
                     callback aDone) override
  {
    mWatchedVersion = aVersion;
    mWatches++;
    mCallback = std::move(aDone);
  }
  void PutRow(const std::string&, const store_row&, callback) override {}

  void Reply(store_status aStatus, uint64_t aVersion, const std::string& aKey)
  {
    store_reply reply;
    reply.mStatus = aStatus;
    reply.mVersion = aVersion;
    if (!aKey.empty()) {
      reply.mRows.push_back({ aKey, "value", false, "" });
    }
    callback done = std::move(mCallback);
    done(reply);
  }

  int mReads = 0;
  int mWatches = 0;
  uint64_t mWatchedVersion = 0;
  callback mCallback;
};

class event_list : public event_sink
{
public:
  void Emit(event_code aCode, std::vector<event_field>) override
  {
    mCodes.push_back(aCode);
  }
  std::vector<event_code> mCodes;
};

class fixed_random : public random_source
{
public:
  double NextUniform() override { return 0.5; }
};

server_view
ViewOf(peer_id aPeer, double aSlowness, int64_t aFreeMillis)
{
  server_view view;
  view.mPeer = aPeer;
  view.mService = "s";
  view.mDataCenter = "a";
  view.mState = server_state::Ready;
  view.mCapacity = { 32000, 100000, 0 };
  view.mFree = { aFreeMillis, 100000, 0 };
  view.mSlowness = aSlowness;
  view.mMeanRunMs = 300;
  view.mStartDelayMs = 100;
  return view;
}

placement_request
RequestOf(const job_step& aStep, double aDeadlineMs)
{
  placement_request request;
  request.mStep = &aStep;
  request.mEstimateMs = aStep.mDeclaredMs;
  request.mEstimateSigma = kDeclaredSigma;
  request.mService = "s";
  request.mDataCenter = "a";
  request.mDeadlineMs = aDeadlineMs;
  request.mObjectiveBaseMs = 60;
  request.mObjectiveStretch = 1.6;
  return request;
}

job_step
StepOf(uint32_t aDeclaredMs)
{
  job_step step;
  step.mCount = 1;
  step.mSize = { 3000, 64, 0 };
  step.mDeclaredMs = aDeclaredMs;
  return step;
}

} // namespace

TEST_CASE("the normal tail from the lookup table agrees with the exact one")
{
  for (double x = -6; x <= 6; x += 0.0037) {
    double exact = 0.5 * std::erfc(x / std::sqrt(2.0));
    CHECK(std::abs(NormalTail(x) - exact) < 1e-4);
  }
}

TEST_CASE("a watcher reads the whole table again when the history is gone")
{
  // The store discards its history while no change reaches the watcher. A
  // watcher that continued from its old version would miss the changes in
  // between, and users would be served with a configuration that is no longer
  // in force.
  fake_store store;
  event_list events;
  std::vector<std::string> keys;
  table_watcher watcher(
    "t",
    1000,
    store,
    [&](const table_change& aChange) {
      for (const store_row& row : aChange.mRows) {
        keys.push_back(row.mKey);
      }
    },
    events);
  watcher.Tick(seconds(1));
  CHECK(store.mReads == 1);
  store.Reply(store_status::Ok, 10, "a");
  watcher.Tick(seconds(1));
  CHECK(store.mWatchedVersion == 10);
  store.Reply(store_status::Ok, 12, "b");
  watcher.Tick(seconds(1));
  CHECK(store.mWatchedVersion == 12);
  store.Reply(store_status::HistoryGone, 0, "");
  watcher.Tick(seconds(1) + milliseconds(60));
  CHECK(store.mReads == 2);
  store.Reply(store_status::Ok, 20, "c");
  CHECK(keys == std::vector<std::string>{ "a", "b", "c" });
}

TEST_CASE(
  "an unavailable store is retried with backoff, and its return is reported")
{
  fake_store store;
  event_list events;
  table_watcher watcher(
    "t", 1000, store, [](const table_change&) {}, events);
  instant now = seconds(1);
  for (int i = 0; i < 100; i++) {
    watcher.Tick(now);
    if (store.mCallback) {
      store.Reply(store_status::Unavailable, 0, "");
    }
    now += milliseconds(100);
  }
  CHECK(store.mReads >= 20);
  CHECK(store.mReads <= 30);
  CHECK(!watcher.Available());
  watcher.Tick(now + seconds(1));
  store.Reply(store_status::Ok, 5, "");
  CHECK(watcher.Available());
  CHECK(events.mCodes == std::vector<event_code>{ event_code::TableUnavailable,
                                                  event_code::TableAvailable });
}

TEST_CASE(
  "entries that stay down are removed from the directory, seeds are not")
{
  // Entries are replaced under new addresses all day. Connecting to all
  // previous addresses for ever would cost more each day.
  entry_directory directory("own:1");
  instant now = seconds(1);
  CHECK(!directory.Add("own:1", false, now));
  CHECK(directory.Add("seed:1", true, now));
  CHECK(directory.Add("old:1", false, now));
  CHECK(directory.AddressesToDial(now).size() == 2);
  CHECK(directory.AddressesToDial(now).empty());
  directory.OnConnected("old:1", now);
  CHECK(directory.ConnectedCount() == 1);
  now += seconds(100);
  CHECK(directory.AddressesToDial(now) == std::vector<std::string>{ "seed:1" });
  directory.OnDisconnected("old:1", now);
  CHECK(directory.AddressesToDial(now) == std::vector<std::string>{ "old:1" });
  now += seconds(61);
  CHECK(directory.AddressesToDial(now) == std::vector<std::string>{ "seed:1" });
}

TEST_CASE("a long task goes to a fast server even if it must wait for one")
{
  // If a task of 900 ms takes any longer than declared, it cannot end within
  // 1500 ms on a server that takes 1.67 times as long. It is more likely to end
  // in time if it waits 100 ms for a fast one.
  fixed_random random;
  job_step step = StepOf(900);
  std::vector<server_view> views = { ViewOf(1, 1.67, 32000),
                                     ViewOf(2, 0.6, 32000) };
  placement_decision decision =
    ChooseServer(views, RequestOf(step, 1500), random);
  CHECK(decision.mVerdict == placement_verdict::Place);
  CHECK(decision.mChoice.mViewIndex == 1);
  views[1].mFree.mCpuMillis = 0;
  CHECK(ChooseServer(views, RequestOf(step, 1500), random).mVerdict ==
        placement_verdict::Wait);
}

TEST_CASE(
  "short tasks leave the last free capacity of fast servers to long ones")
{
  fixed_random random;
  job_step step = StepOf(60);
  std::vector<server_view> views = { ViewOf(1, 1.0, 32000),
                                     ViewOf(2, 0.6, 4000),
                                     ViewOf(3, 1.0, 0) };
  placement_decision decision =
    ChooseServer(views, RequestOf(step, 400), random);
  CHECK(decision.mVerdict == placement_verdict::Place);
  CHECK(decision.mChoice.mViewIndex == 0);
  views[1].mFree.mCpuMillis = 30000;
  CHECK(ChooseServer(views, RequestOf(step, 400), random).mChoice.mViewIndex ==
        1);
}

TEST_CASE("a task that no server can end in time is infeasible at once")
{
  fixed_random random;
  job_step step = StepOf(900);
  std::vector<server_view> views = { ViewOf(1, 1.0, 32000) };
  CHECK(ChooseServer(views, RequestOf(step, 300), random).mVerdict ==
        placement_verdict::Infeasible);
  CHECK(ChooseServer({}, RequestOf(step, 1500), random).mVerdict ==
        placement_verdict::NoCandidate);
}

TEST_CASE(
  "a job is unsatisfiable only if the capacity of every server is known")
{
  // An entry that has just started knows the capacity of no server. If it took
  // an unknown capacity for too small, jobs would fail that any server can run.
  job_step step = StepOf(60);
  step.mSize.mCpuMillis = 64000;
  std::vector<server_view> views = { ViewOf(1, 1, 0), ViewOf(2, 1, 0) };
  CHECK(IsUnsatisfiable(views, "s", step));
  views[1].mService.clear();
  CHECK(!IsUnsatisfiable(views, "s", step));
  CHECK(!IsUnsatisfiable({}, "s", step));
}

TEST_CASE("latencies are served as a cumulative histogram with count and sum")
{
  latency_histogram histogram;
  for (int ms : { 0, 10, 11, 160, 161, 3000 }) {
    histogram.Observe(milliseconds(ms));
  }
  metrics_page page;
  page.Latency("job_seconds", "help", histogram);
  std::string text = page.Render();
  for (const char* line : { "job_seconds_bucket{le=\"0.01\"} 2",
                            "job_seconds_bucket{le=\"0.02\"} 3",
                            "job_seconds_bucket{le=\"0.16\"} 4",
                            "job_seconds_bucket{le=\"2.56\"} 5",
                            "job_seconds_bucket{le=\"+Inf\"} 6",
                            "job_seconds_count 6",
                            "job_seconds_sum 3.342" }) {
    CHECK_MESSAGE(text.find(line) != std::string::npos, text);
  }
}

TEST_CASE("the deployment templates contain all keys of the settings")
{
  // A key that is missing or misspelt in a template would keep the process from
  // starting on every machine at once.
  auto fillTemplate = [](const std::string& aPath) {
    std::ifstream file(aPath);
    std::ostringstream text;
    text << file.rdbuf();
    std::string out = text.str();
    auto substitute = [&out](const std::string& aFrom, const std::string& aTo) {
      for (size_t at = out.find(aFrom); at != std::string::npos;
           at = out.find(aFrom)) {
        out.replace(at, aFrom.size(), aTo);
      }
    };
    substitute("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"10.1.0.13:8166\"");
    substitute("{{portRange.0}}", "7720");
    substitute("{{bounds.graceS}}", "6");
    substitute("{{limits.cpuShare}}", "0.25");
    for (const char* address : { "platform.address",
                                 "listen.front",
                                 "listen.readiness",
                                 "listen.control",
                                 "app" }) {
      substitute("{{" + std::string(address) + "}}", "10.1.0.1:80");
    }
    for (const char* name : { "nodeName", "zone", "region", "ip", "service" }) {
      substitute("{{" + std::string(name) + "}}", "10.1.0.1");
    }
    return out;
  };
  auto coordinator = ReadCoordinatorSettings(
    fillTemplate("deploy/coordinator.yaml"), "coordinator.yaml");
  REQUIRE(coordinator.Ok());
  CHECK(coordinator.Value().mInstance.SeedAddresses() ==
        std::vector<std::string>{ "10.1.0.13:7720" });
  CHECK(coordinator.Value().mInstance.mStopWithinMs == 6000);
  CHECK(coordinator.Value().mProcessorMillis == 250);
  auto executor =
    ReadExecutorSettings(fillTemplate("deploy/executor.yaml"), "executor.yaml");
  REQUIRE(executor.Ok());
  CHECK(!ReadExecutorSettings("role: executor\nname: x\n", "f").Ok());

  // The settings of overload are read, and refused where they are not valid.
  std::string entry = fillTemplate("deploy/coordinator.yaml");
  auto overload = ReadCoordinatorSettings(
    entry + "late_deferral: on\noutlier_speeds: on\n", "f");
  REQUIRE(overload.Ok());
  CHECK(overload.Value().mOverload.mRouteShares);
  CHECK(overload.Value().mOverload.mGuaranteedPercent == 10);
  CHECK(overload.Value().mOverload.mLateDeferral);
  CHECK(overload.Value().mInstance.mMechanisms.Has(mechanism::OutlierSpeeds));
  for (const char* invalid :
       { "route_shares: yes please\n", "guaranteed_percent: 31\n" }) {
    CHECK(!ReadCoordinatorSettings(entry + invalid, "f").Ok());
  }

  std::string text = fillTemplate("deploy/executor.yaml");
  auto reduced = ReadExecutorSettings(
    text + "switched_off: [early_return, learned_speed]\n", "f");
  REQUIRE(reduced.Ok());
  const mechanism_set& mechanisms = reduced.Value().mInstance.mMechanisms;
  CHECK(executor.Value().mStallDetection);
  CHECK_FALSE(mechanisms.Has(mechanism::OutlierSpeeds));
  CHECK_FALSE(mechanisms.Has(mechanism::EarlyReturn));
  CHECK_FALSE(mechanisms.Has(mechanism::LearnedSpeed));
  CHECK(mechanisms.Has(mechanism::ServerRecall));
  CHECK(executor.Value().mInstance.mMechanisms.Has(mechanism::EarlyReturn));
  CHECK(!ReadExecutorSettings(text + "switched_off: [hope]\n", "f").Ok());
  CHECK(!ReadExecutorSettings(text + "switched_off: hope\n", "f").Ok());
}

TEST_CASE("requests before the first configuration wait for a limited time")
{
  // All entries lose power and restart together. Each accepts requests some
  // tens of milliseconds before it has read its configuration. A refusal in
  // that time would lose a request that the entry could serve a moment later.
  startup_queue queue;
  instant start = seconds(5);
  CHECK(queue.Add(1, 100, start));
  CHECK(queue.Add(2, 100, start + milliseconds(10)));
  CHECK(queue.TakeOverdue(start + milliseconds(20)).empty());
  CHECK(queue.TakeAll() == std::vector<caller_id>{ 1, 2 });
  CHECK(queue.IsEmpty());

  // The store stays unavailable: requests that have waited too long are
  // returned, the others wait on.
  CHECK(queue.Add(3, 100, start));
  CHECK(queue.Add(4, 100, start + milliseconds(50)));
  CHECK(queue.TakeOverdue(start + kMaxStartupHold) ==
        std::vector<caller_id>{ 3 });
  CHECK(queue.TakeAll() == std::vector<caller_id>{ 4 });

  // Large bodies must not fill the memory; requests that are taken free it.
  CHECK(queue.Add(5, kMaxStartupBytes, start));
  CHECK_FALSE(queue.Add(6, 1, start));
  queue.TakeAll();
  CHECK(queue.Add(7, 1, start));
}

} // namespace cactusmast::testing
