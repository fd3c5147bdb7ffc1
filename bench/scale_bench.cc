// Costs for docs/CAPACITY.md, measured on the decision core with fakes: control
// traffic of guards and entries and requests to the table by the number of
// guards; the dispatcher's time per start by queue length; the memory of
// decided jobs. Prints tables; --json FILE also writes the figures as JSON.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "cactusmast/dispatcher.h"
#include "cactusmast/job_table.h"
#include "cactusmast/testing/world.h"

namespace {

using namespace cactusmast;
using nlohmann::json;
using std::chrono::seconds;

constexpr uint32_t kGuardsPerShard = 32;

double
NowSeconds()
{
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

double
HeapBytes()
{
  struct mallinfo2 info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

// Measures one idle minute, after two minutes for start-up.
void
MeasureControlTraffic(uint32_t aEntries, uint32_t aGuards, json* aOut)
{
  testing::world_options options;
  options.mEntries = aEntries;
  options.mGuards = aGuards;
  options.mShards = (aGuards + kGuardsPerShard - 1) / kGuardsPerShard;
  options.mCountBytes = true;
  options.mTick = std::chrono::milliseconds(50);
  testing::world world(options);
  world.RunUntil(world.Now() + seconds(120));
  auto total = [&world](const char* aKind, uint32_t aCount) {
    uint64_t sum = 0;
    for (uint32_t i = 1; i <= aCount; i++) {
      std::string name = std::string(aKind) + "-" + std::to_string(i);
      sum += world.BytesSent(name) + world.BytesReceived(name);
    }
    return double(sum);
  };
  double guards = total("guard", aGuards);
  double entries = total("entry", aEntries);
  uint64_t reads = world.TableReads();
  uint64_t writes = world.TableWrites();
  world.RunUntil(world.Now() + seconds(60));
  double perGuard = (total("guard", aGuards) - guards) / 60 / aGuards;
  double perEntry = (total("entry", aEntries) - entries) / 60 / aEntries;
  double readRate = double(world.TableReads() - reads) / 60;
  double writeRate = double(world.TableWrites() - writes) / 60;
  std::printf("%8u %8u %8u %14.0f %14.0f %10.2f %10.2f\n",
              aEntries,
              aGuards,
              options.mShards,
              perGuard,
              perEntry,
              readRate,
              writeRate);
  aOut->push_back({ { "entries", aEntries },
                    { "guards", aGuards },
                    { "shards", options.mShards },
                    { "bytes_per_guard_s", perGuard },
                    { "bytes_per_entry_s", perEntry },
                    { "table_reads_s", readRate },
                    { "table_writes_s", writeRate } });
}

// Measures the time of one start and one end while aQueued tasks are queued.
void
MeasureDispatch(uint32_t aWorkers, uint32_t aQueued, json* aOut)
{
  dispatcher placement((dispatcher_options()));
  constexpr uint32_t kLanes = 8;
  constexpr uint32_t kTeams = 38;
  constexpr uint32_t kJobTasks = 1000;
  for (uint32_t i = 0; i < kLanes; i++) {
    profile one;
    one.mName = "profile-" + std::to_string(i);
    one.mService = "service";
    placement.SetLane(one);
  }
  for (uint32_t i = 0; i < kTeams; i++) {
    team one;
    one.mName = "team-" + std::to_string(i);
    placement.SetTeam(one);
  }
  worker_traits traits;
  traits.mServices = { "service" };
  traits.mSlots = 8;
  for (uint32_t i = 0; i < aWorkers; i++) {
    placement.SetAccepting(placement.AddWorker(traits), true);
  }
  instant now = seconds(1);
  uint32_t job = 1;
  auto push = [&](uint32_t aCount) {
    placement.Enqueue(job, job % kLanes, job % kTeams, aCount, now);
    job++;
  };
  for (uint32_t queued = 0; queued < aQueued; queued += kJobTasks) {
    push(std::min(kJobTasks, aQueued - queued));
  }
  std::vector<assignment> running;
  assignment next;
  auto runTurns = [&](uint32_t aTurns) {
    for (uint32_t i = 0; i < aTurns; i++) {
      now += std::chrono::microseconds(100);
      if (!running.empty()) {
        assignment done = running[i % running.size()];
        running[i % running.size()] = running.back();
        running.pop_back();
        placement.OnFinished({ done.mWorker,
                               done.mLane,
                               done.mTeam,
                               done.mExpected,
                               std::chrono::milliseconds(200),
                               false },
                             now);
      }
      while (placement.Next(now, &next)) {
        running.push_back(next);
        push(1);
      }
    }
  };
  runTurns(3000); // warm-up, so that every worker has run tasks
  constexpr uint32_t kTurns = 20000;
  double start = NowSeconds();
  runTurns(kTurns);
  double perStart = (NowSeconds() - start) / kTurns * 1e6;
  std::printf("%8u %10u %12.2f\n", aWorkers, aQueued, perStart);
  aOut->push_back({ { "workers", aWorkers },
                    { "queued", aQueued },
                    { "us_per_start", perStart } });
}

// Measures the heap memory of decided jobs that are retained.
void
MeasureJobMemory(uint32_t aTasks, json* aOut)
{
  job_table_options options;
  options.mMaxResultBytes = 1u << 30;
  job_table table(options);
  constexpr uint32_t kJobs = 2000;
  double before = HeapBytes();
  for (uint32_t i = 0; i < kJobs; i++) {
    submission request;
    request.mId = job_id::FromKey("team", std::to_string(i), 1);
    request.mTeam = "team";
    request.mKey = "order-" + std::to_string(i);
    request.mProfile = "quote";
    request.mPayloads.assign(aTasks, "{\"kit\":\"spinet\",\"sleep_ms\":100}");
    job_handle job = table.Add(std::move(request), seconds(1));
    for (uint32_t t = 0; t < aTasks; t++) {
      wire::task_result_msg result;
      result.ref = RefOf(table.At(job).mSubmission.mId, t);
      result.outcome = uint8_t(task_outcome::Succeeded);
      result.output = std::string(50, 'x');
      bool decided = false;
      table.FinishTask(job, std::move(result), seconds(1), &decided);
    }
  }
  double perJob = (HeapBytes() - before) / kJobs;
  std::printf("%8u %12.0f %12.0f\n", aTasks, perJob, perJob / aTasks);
  aOut->push_back({ { "tasks", aTasks },
                    { "bytes_per_job", perJob },
                    { "bytes_per_task", perJob / aTasks } });
}

} // namespace

int
main(int argc, char** argv)
{
  json out = { { "control", json::array() },
               { "dispatch", json::array() },
               { "memory", json::array() } };
  std::printf("control traffic, idle\n%8s %8s %8s %14s %14s %10s %10s\n",
              "entries",
              "guards",
              "shards",
              "B/s a guard",
              "B/s an entry",
              "reads/s",
              "writes/s");
  for (uint32_t guards : { 10u, 50u, 200u, 550u }) {
    MeasureControlTraffic(3, guards, &out["control"]);
  }
  MeasureControlTraffic(6, 550, &out["control"]);
  MeasureControlTraffic(18, 550, &out["control"]);
  std::printf(
    "\none start and one end\n%8s %10s %12s\n", "workers", "queued", "us");
  for (uint32_t queued : { 100u, 1000u, 10000u, 100000u }) {
    MeasureDispatch(32, queued, &out["dispatch"]);
  }
  for (uint32_t workers : { 10u, 64u, 128u }) {
    MeasureDispatch(workers, 10000, &out["dispatch"]);
  }
  std::printf("\nmemory of decided jobs\n%8s %12s %12s\n",
              "tasks",
              "B a job",
              "B a task");
  for (uint32_t tasks : { 1u, 10u, 100u, 1000u }) {
    MeasureJobMemory(tasks, &out["memory"]);
  }
  if (argc == 3 && std::strcmp(argv[1], "--json") == 0) {
    std::ofstream(argv[2]) << out.dump(1) << "\n";
  }
  return 0;
}
