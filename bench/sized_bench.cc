// Coordinators and executors on a virtual clock: ratio of response time to the
// ideal, bounced attempts, messages, and share of jobs in time, by fleet size
// and with and without executor subsets. Prints a table; --json FILE also
// writes the figures as JSON. testing/sized_load.h describes the load.

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "cactusmast/testing/sized_load.h"

namespace {

using namespace cactusmast;
using cactusmast::testing::load_result;
using cactusmast::testing::sized_world;
using nlohmann::json;
using std::chrono::seconds;

constexpr double kSpeeds[] = { 0.6, 1.0, 1.6 };
constexpr duration kLoadDuration = seconds(6);
constexpr uint32_t kSeed = 17;

struct trial
{
  size_t mEntries;
  size_t mExecutors;
  double mLoad; // over the capacity of all backend servers
  bool mSubsets;
};

constexpr trial kTrials[] = {
  { 4, 10, 0.7, true },    { 4, 10, 1.0, true },   { 4, 10, 2.0, true },
  { 4, 10, 5.0, true },    { 9, 57, 0.7, true },   { 9, 57, 0.7, false },
  { 9, 57, 1.0, true },    { 9, 57, 1.2, true },   { 9, 57, 1.5, true },
  { 9, 57, 2.0, true },    { 35, 160, 0.7, true }, { 35, 160, 0.7, false },
  { 35, 160, 0.9, true },  { 35, 160, 2.0, true }, { 40, 550, 0.7, true },
  { 40, 550, 0.7, false },
};

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  return aSorted.empty() ? 0
                         : aSorted[size_t(aShare * double(aSorted.size() - 1))];
}

json
Measure(const trial& aTrial)
{
  mechanism_set mechanisms;
  if (!aTrial.mSubsets) {
    mechanisms = mechanism_set::AllBut({ "executor_subset" }).Value();
  }
  sized_world world(aTrial.mEntries, aTrial.mExecutors, kSeed, mechanisms);
  for (size_t i = 0; i < aTrial.mExecutors; i++) {
    world.Server(i).mSpeed = kSpeeds[i % std::size(kSpeeds)];
  }
  world.Run(seconds(1));
  size_t before = world.MessagesOut() + world.MessagesIn();
  size_t messagesInBefore = world.MessagesIn();
  instant startedAt = world.Now();
  load_result result = PlayLoad(&world, aTrial.mLoad, kLoadDuration, kSeed);
  double durationS = double((world.Now() - startedAt).count()) / 1e6;
  std::sort(result.mRatios.begin(), result.mRatios.end());
  uint64_t attempts = 0;
  uint64_t bounced = 0;
  for (size_t i = 0; i < aTrial.mEntries; i++) {
    attempts += world.Coordinator(i).Counters().mAttempts;
    bounced += world.Coordinator(i).Counters().mNotStarted;
  }
  auto started = double(std::max<uint64_t>(1, attempts - bounced));
  size_t messages = world.MessagesOut() + world.MessagesIn() - before;
  double messagesInPerS =
    double(world.MessagesIn() - messagesInBefore) / durationS;
  auto jobs = double(result.mJobs);
  return { { "entries", aTrial.mEntries },
           { "executors", aTrial.mExecutors },
           { "load", aTrial.mLoad },
           { "subsets", aTrial.mSubsets },
           { "jobs", result.mJobs },
           { "timely", double(result.mInTime) / jobs },
           { "late", double(result.mLate) / jobs },
           { "refused", double(result.mRefused) / jobs },
           { "ratio_p50", Quantile(result.mRatios, 0.5) },
           { "ratio_p99", Quantile(result.mRatios, 0.99) },
           { "bounced_per_task", double(bounced) / started },
           { "messages_per_task", double(messages) / started },
           { "heard_per_entry_s", messagesInPerS / double(aTrial.mEntries) },
           { "violations", world.Violations().size() } };
}

void
Print(const json& aRow)
{
  std::printf("%7zu %9zu %4.1f %7s %6zu  %.3f %.3f   %.3f %4.2f %5.2f   %.4f   "
              "%6.2f %7.0f %6zu\n",
              aRow["entries"].get<size_t>(),
              aRow["executors"].get<size_t>(),
              aRow["load"].get<double>(),
              aRow["subsets"].get<bool>() ? "yes" : "no",
              aRow["jobs"].get<size_t>(),
              aRow["timely"].get<double>(),
              aRow["late"].get<double>(),
              aRow["refused"].get<double>(),
              aRow["ratio_p50"].get<double>(),
              aRow["ratio_p99"].get<double>(),
              aRow["bounced_per_task"].get<double>(),
              aRow["messages_per_task"].get<double>(),
              aRow["heard_per_entry_s"].get<double>(),
              aRow["violations"].get<size_t>());
  std::fflush(stdout);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  json rows = json::array();
  std::printf("entries executors load subsets   jobs timely  late refused  p50 "
              "  p99  bounced messages heard/s broken\n");
  for (const trial& trialOptions : kTrials) {
    rows.push_back(Measure(trialOptions));
    Print(rows.back());
  }
  if (aArgc == 3 && std::strcmp(aArgv[1], "--json") == 0) {
    std::ofstream(aArgv[2]) << rows.dump(1) << '\n';
  }
  return 0;
}
