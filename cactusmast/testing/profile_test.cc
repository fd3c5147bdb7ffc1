// Tests that the fields of a profile have the effect that docs/OPERATIONS.md
// describes. Deadlines, idempotence, queue limits, priority, shedding and
// accelerators are covered by the scenarios, queue_test.cc and
// scripts/tests/api_examples.sh.

#include <doctest/doctest.h>

#include "cactusmast/testing/scenario.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns a world in which aJobs jobs with one task each are scheduled for
// submission, one per millisecond, under aProfile. The tasks run for aRunTime.
std::unique_ptr<world>
PrepareJobs(profile aProfile, uint32_t aJobs, milliseconds aRunTime)
{
  world_options options;
  options.mGuards = 1;
  options.mSlots = 8;
  std::unique_ptr<world> prepared = PrepareWorld(options);
  caller_request warmUp;
  warmUp.mKey = "warm";
  warmUp.mTasks = 50;
  warmUp.mRunTime = milliseconds(20);
  prepared->Submit(warmUp);
  prepared->RunUntil(prepared->Now() + seconds(3));
  aProfile.mName = "tested";
  aProfile.mService = "ordering";
  aProfile.mMaxWaitMs = 60000;
  prepared->PutProfile(1, aProfile, 0);
  prepared->RunUntil(prepared->Now() + seconds(2));
  for (uint32_t i = 0; i < aJobs; i++) {
    caller_request request;
    request.mKey = "job-" + std::to_string(i);
    request.mProfile = "tested";
    request.mRunTime = aRunTime;
    request.mResubmit = false;
    prepared->At(prepared->Now() + milliseconds(i),
                 [&world = *prepared, request] { world.Submit(request); });
  }
  return prepared;
}

uint64_t
DispatchMessages(world& aWorld)
{
  return aWorld.Entry(1)->Counters().mDispatchMessages +
         aWorld.Entry(2)->Counters().mDispatchMessages;
}

// The number of dispatch messages for eight jobs under aPreference.
uint64_t
DispatchMessagesFor(cost_preference aPreference)
{
  profile tested;
  tested.mPreference = aPreference;
  std::unique_ptr<world> run = PrepareJobs(tested, 8, milliseconds(500));
  uint64_t before = DispatchMessages(*run);
  run->RunUntil(run->Now() + seconds(2));
  for (uint32_t i = 0; i < 8; i++) {
    REQUIRE(run->Answers("job-" + std::to_string(i)).back() == "complete");
  }
  return DispatchMessages(*run) - before;
}

// The number of tasks that run 300 ms after the submission of eight tasks that
// run for a second each.
uint32_t
RunningTasksUnder(const profile& aProfile)
{
  std::unique_ptr<world> run = PrepareJobs(aProfile, 8, seconds(1));
  run->RunUntil(run->Now() + milliseconds(300));
  return run->Guard(1)->Running();
}

} // namespace

TEST_CASE(
  "the preference \"messages\" batches tasks into fewer dispatch messages")
{
  uint64_t unbatched = DispatchMessagesFor(cost_preference::ResponseTime);
  uint64_t batched = DispatchMessagesFor(cost_preference::Messages);
  CHECK(unbatched == 8);
  CHECK(batched <= 4);
}

TEST_CASE("worker_concurrency and concurrency limit the tasks that run at once")
{
  profile unlimited;
  CHECK(RunningTasksUnder(unlimited) == 8);
  profile perWorker;
  perWorker.mWorkerConcurrency = 3;
  CHECK(RunningTasksUnder(perWorker) == 3);
  profile perShard;
  perShard.mConcurrency = 2;
  CHECK(RunningTasksUnder(perShard) == 2);
}

TEST_CASE("a task that runs longer than task_timeout_ms is cancelled")
{
  profile shortTimeout;
  shortTimeout.mTaskTimeoutMs = 200;
  std::unique_ptr<world> run = PrepareJobs(shortTimeout, 1, seconds(5));
  run->RunUntil(run->Now() + seconds(1));
  CHECK(run->Answers("job-0") == std::vector<std::string>{ "failed" });
}

TEST_CASE("a worker with too few cpus, memory_mb or accelerators does not fit")
{
  worker_traits traits;
  traits.mServices = { "ordering" };
  traits.mCpus = 32;
  traits.mMemoryMb = 1000;
  traits.mAccelerators = 2;
  profile required;
  required.mService = "ordering";
  required.mCpus = 32;
  required.mMemoryMb = 1000;
  required.mAccelerators = 2;
  CHECK(dispatcher::Fits(traits, required));
  for (uint32_t profile::*field :
       { &profile::mCpus, &profile::mMemoryMb, &profile::mAccelerators }) {
    profile more = required;
    (more.*field)++;
    CHECK(!dispatcher::Fits(traits, more));
  }
  required.mService = "dispatch";
  CHECK(!dispatcher::Fits(traits, required));
}

} // namespace cactusmast::testing
