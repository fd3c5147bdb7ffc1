// Tests of the task queue against a simple model of it, of the dispatcher's
// decisions, and of the estimates and the health checks of workers behind them.

#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <random>

#include "cactusmast/dispatcher.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

profile
MakeProfile(const char* aName, uint32_t aPriority = 5)
{
  profile made;
  made.mName = aName;
  made.mService = "service";
  made.mPriority = aPriority;
  made.mMaxWaitMs = 3600000;
  return made;
}

worker_traits
MakeTraits(uint32_t aSlots)
{
  worker_traits traits;
  traits.mServices = { "service" };
  traits.mSlots = aSlots;
  return traits;
}

// A dispatcher with two profiles, two teams whose quotas are 1 and 3, and
// workers of equal size.
struct dispatch_fixture
{
  explicit dispatch_fixture(uint32_t aWorkers,
                            uint32_t aSlots = 4,
                            dispatcher_options aOptions = {})
    : mDispatcher(aOptions)
  {
    mDispatcher.SetLane(MakeProfile("a"));
    mDispatcher.SetLane(MakeProfile("b"));
    mDispatcher.SetTeam(team{ "one", 1, 1000000 });
    mDispatcher.SetTeam(team{ "two", 3, 1000000 });
    for (uint32_t i = 0; i < aWorkers; i++) {
      mDispatcher.SetAccepting(mDispatcher.AddWorker(MakeTraits(aSlots)), true);
    }
  }

  // Starts one task; false when none can start.
  bool Next()
  {
    assignment next;
    if (!mDispatcher.Next(mNow, &next)) {
      return false;
    }
    mRunning.push_back(next);
    return true;
  }

  // Ends the task that has run longest.
  void Finish(bool aFailed = false, duration aRun = milliseconds(100))
  {
    assignment done = mRunning.front();
    mRunning.erase(mRunning.begin());
    mDispatcher.OnFinished(
      { done.mWorker, done.mLane, done.mTeam, done.mExpected, aRun, aFailed },
      mNow);
  }

  // Runs enough tasks that every worker may use all its slots and that run
  // times are known.
  void WarmUp()
  {
    for (int i = 0; i < 200; i++) {
      mDispatcher.Enqueue(1000000 + uint32_t(i), 0, 0, 1, mNow);
      while (Next()) {
      }
      mNow += milliseconds(100);
      while (!mRunning.empty()) {
        Finish();
      }
    }
  }

  instant mNow = seconds(10);
  dispatcher mDispatcher;
  std::vector<assignment> mRunning;
};

} // namespace

TEST_CASE("the queue loses no task and counts none twice")
{
  std::mt19937 random(5);
  for (int round = 0; round < 200; round++) {
    task_queue queue;
    std::map<job_handle, uint32_t> model; // queued tasks by job
    std::map<job_handle, std::pair<uint32_t, uint32_t>> groups;
    job_handle next = 1;
    for (int step = 0; step < 200; step++) {
      uint32_t lane = random() % 3;
      uint32_t teamIndex = random() % 4;
      switch (random() % 4) {
        case 0: {
          uint32_t count = 1 + random() % 5;
          queue.Push(next, lane, teamIndex, count, seconds(step));
          model[next] = count;
          groups[next] = { lane, teamIndex };
          next++;
          break;
        }
        case 1: {
          job_handle job = 0;
          if (queue.Pop(lane, teamIndex, &job)) {
            REQUIRE(model[job] > 0);
            CHECK(groups[job] == std::make_pair(lane, teamIndex));
            model[job]--;
          }
          break;
        }
        case 2: {
          job_handle job = 1 + random() % next;
          uint32_t expected = model[job];
          CHECK(queue.Remove(job) == expected);
          model[job] = 0;
          break;
        }
        default: {
          job_handle job = 1 + random() % next;
          if (groups.count(job) > 0) {
            auto [jobLane, jobTeam] = groups[job];
            queue.PutBack(job, jobLane, jobTeam, seconds(step));
            model[job]++;
          }
          break;
        }
      }
      uint32_t total = 0;
      for (const auto& [job, count] : model) {
        total += count;
        CHECK(queue.QueuedOf(job) == count);
      }
      REQUIRE(queue.Total() == total);
      std::vector<task_queue::group> listed;
      queue.Groups(&listed);
      uint32_t inGroups = 0;
      for (const task_queue::group& one : listed) {
        inGroups += one.mQueued;
      }
      REQUIRE(inGroups == total);
    }
  }
}

TEST_CASE("jobs of one group take turns, so that a large one delays no other")
{
  task_queue queue;
  queue.Push(1, 0, 0, 1000, seconds(1));
  queue.Push(2, 0, 0, 1, seconds(1));
  job_handle job = 0;
  REQUIRE(queue.Pop(0, 0, &job));
  REQUIRE(queue.Pop(0, 0, &job));
  CHECK(job == 2);
}

TEST_CASE("no worker ever holds more tasks than it has slots")
{
  std::mt19937 random(9);
  dispatch_fixture fixture(5, 4);
  uint32_t job = 1;
  for (int i = 0; i < 3000; i++) {
    if (random() % 2 == 0) {
      fixture.mDispatcher.Enqueue(
        job++, random() % 2, random() % 2, 1 + random() % 3, fixture.mNow);
    }
    while (fixture.Next()) {
    }
    for (uint32_t w = 0; w < 5; w++) {
      REQUIRE(fixture.mDispatcher.Running(w) <= 4);
    }
    fixture.mNow += milliseconds(10);
    if (!fixture.mRunning.empty()) {
      fixture.Finish(random() % 10 == 0);
    }
  }
}

TEST_CASE("teams with queued work share the slots by their quotas")
{
  dispatch_fixture fixture(4, 4);
  fixture.WarmUp();
  fixture.mDispatcher.Enqueue(1, 0, 0, 20000, fixture.mNow);
  fixture.mDispatcher.Enqueue(2, 0, 1, 20000, fixture.mNow);
  std::map<uint32_t, int> started;
  for (int i = 0; i < 4000; i++) {
    while (fixture.Next()) {
      started[fixture.mRunning.back().mTeam]++;
    }
    fixture.mNow += milliseconds(6);
    fixture.Finish();
  }
  double share = double(started[1]) / (started[0] + started[1]);
  CHECK(std::fabs(share - 0.75) < 0.02);
}

TEST_CASE("a team that was idle earns no credit")
{
  // One team works alone for long. When the other one gets work, it must get
  // its share from then on, and not all slots until it has caught up.
  dispatch_fixture fixture(4, 4);
  fixture.WarmUp();
  fixture.mDispatcher.Enqueue(1, 0, 0, 20000, fixture.mNow);
  for (int i = 0; i < 4000; i++) {
    while (fixture.Next()) {
    }
    fixture.mNow += milliseconds(6);
    fixture.Finish();
  }
  fixture.mDispatcher.Enqueue(2, 0, 1, 20000, fixture.mNow);
  std::map<uint32_t, int> started;
  for (int i = 0; i < 1000; i++) {
    while (fixture.Next()) {
      started[fixture.mRunning.back().mTeam]++;
    }
    fixture.mNow += milliseconds(6);
    fixture.Finish();
  }
  CHECK(started[0] > 150);
}

TEST_CASE("an urgent task does not wait for a job of a thousand tasks")
{
  dispatch_fixture fixture(2, 4);
  fixture.mDispatcher.SetLane(MakeProfile("door", 9));
  fixture.WarmUp();
  fixture.mDispatcher.Enqueue(1, 0, 0, 1000, fixture.mNow);
  while (fixture.Next()) {
  }
  fixture.mDispatcher.Enqueue(2, 2, 0, 1, fixture.mNow);
  fixture.mNow += milliseconds(100);
  fixture.Finish();
  REQUIRE(fixture.Next());
  CHECK(fixture.mRunning.back().mJob == 2);
}

TEST_CASE("a job that would wait too long is refused with a time to retry")
{
  dispatch_fixture fixture(1, 4);
  fixture.WarmUp();
  profile strict = MakeProfile("a");
  strict.mMaxWaitMs = 200;
  fixture.mDispatcher.SetLane(strict);
  fixture.mDispatcher.Enqueue(1, 0, 0, 100, fixture.mNow);
  try {
    fixture.mDispatcher.Admit(0, 0, 1, seconds(10), 0.5);
    FAIL("it was admitted");
  } catch (const failure& error) {
    CHECK(error.Code() == error_code::Overloaded);
    CHECK(error.RunState() == run_state::NotRun);
    CHECK(error.RetryAfter() >= milliseconds(50));
  }
  // The share of the other team is unused, so its job is admitted.
  fixture.mDispatcher.Admit(0, 1, 1, seconds(10), 0.5);
}

TEST_CASE(
  "a full queue sheds jobs of the same team and lower priority, if that "
  "suffices and the profile allows it")
{
  dispatch_fixture fixture(1, 4);
  profile urgent = MakeProfile("urgent", 9);
  urgent.mShedding = shedding_order::LowestPriority;
  uint32_t lane = fixture.mDispatcher.SetLane(urgent);
  fixture.mDispatcher.Enqueue(1, 0, 0, 50, fixture.mNow);
  fixture.mDispatcher.Enqueue(2, 0, 1, 50, fixture.mNow);
  CHECK(fixture.mDispatcher.ShedFor(lane, 0, 10) ==
        std::vector<job_handle>{ 1 });
  CHECK(fixture.mDispatcher.ShedFor(lane, 0, 60).empty());
  CHECK(fixture.mDispatcher.ShedFor(0, 0, 10).empty());
}

TEST_CASE("retries use up their budget and never exceed it")
{
  dispatch_fixture fixture(4, 8);
  fixture.mDispatcher.Enqueue(1, 0, 0, 1000, fixture.mNow);
  int retries = 0;
  for (int i = 0; i < 1000; i++) {
    while (fixture.Next()) {
    }
    fixture.mNow += milliseconds(10);
    if (fixture.mRunning.empty()) {
      break;
    }
    fixture.Finish();
    retries += fixture.mDispatcher.TakeRetry() ? 1 : 0;
  }
  CHECK(retries <= 10 + 100);
  CHECK(retries >= 100);
}

TEST_CASE("a worker that fails what others complete is quarantined")
{
  worker_health health((health_options()));
  for (uint32_t w = 0; w < 4; w++) {
    health.Reset(w);
    for (int i = 0; i < 20; i++) {
      health.RecordSuccess(w, seconds(10));
    }
  }
  health.RecordFailure(0, seconds(20));
  CHECK(health.Limit(0, 8, seconds(20)) == 1);
  health.RecordFailure(0, seconds(21));
  CHECK(health.IsQuarantined(0, seconds(21)));
  CHECK(health.Limit(0, 8, seconds(21)) == 0);
  // The success of a task that started before the failures does not end the
  // quarantine.
  health.RecordSuccess(0, seconds(19));
  CHECK(health.IsQuarantined(0, seconds(21)));
  CHECK(health.Limit(0, 8, seconds(60)) == 1);
  health.RecordSuccess(0, seconds(60));
  CHECK(health.Limit(0, 8, seconds(61)) == 2);
}

TEST_CASE("when all workers fail, none is quarantined")
{
  worker_health health((health_options()));
  for (uint32_t w = 0; w < 4; w++) {
    health.Reset(w);
  }
  for (int i = 0; i < 50; i++) {
    for (uint32_t w = 0; w < 4; w++) {
      health.RecordFailure(w, seconds(10 + i));
    }
  }
  for (uint32_t w = 0; w < 4; w++) {
    CHECK(health.Limit(w, 8, seconds(60)) >= 1);
  }
}

TEST_CASE("estimates of run times follow the results of slow and fast workers")
{
  run_time_estimator estimator;
  std::mt19937 random(2);
  const double kSlowness[] = { 1, 2, 6 };
  const double kMeanMs[] = { 50, 400 };
  for (int i = 0; i < 3000; i++) {
    uint32_t lane = random() % 2;
    uint32_t worker = random() % 3;
    double noise = 0.5 + double(random() % 1000) / 1000;
    estimator.Observe(
      lane,
      worker,
      duration(int64_t(kMeanMs[lane] * kSlowness[worker] * noise * 1000)));
  }
  for (uint32_t lane = 0; lane < 2; lane++) {
    for (uint32_t worker = 0; worker < 3; worker++) {
      double expected = kMeanMs[lane] * kSlowness[worker] * 1000;
      double estimate = double(estimator.Expected(lane, worker).count());
      CHECK(std::fabs(estimate / expected - 1) < 0.25);
    }
  }
}

} // namespace cactusmast::testing
