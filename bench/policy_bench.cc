// Compares the library's placement with baseline policies and with a
// clairvoyant bound on a virtual clock: response ratio, makespan and wasted
// messages. Prints tables; --json FILE also writes the figures as JSON.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/runner_model.h"

namespace {

using namespace cactusmast::bench;
using nlohmann::json;

constexpr uint32_t kSeedCount = 10;

// Ratios are response time over ideal response time.
struct ratio_figures
{
  double mMean = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;
  double mMakespan = 0; // mean over the jobs, in seconds
  double mWasted = 0;   // messages per task
  double mFailed = 0;   // tasks
};

double
Quantile(std::vector<double>& aValues, double aShare)
{
  auto at = size_t(aShare * double(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + long(at), aValues.end());
  return aValues[at];
}

ratio_figures
Measure(const model_options& aOptions,
        const workload& aWorkload,
        const run_result& aResult)
{
  std::vector<double> ratios;
  ratio_figures figures;
  std::map<uint32_t, std::pair<double, double>> jobs; // start, end
  for (size_t i = 0; i < aWorkload.mTasks.size(); i++) {
    const model_task& task = aWorkload.mTasks[i];
    const task_outcome_row& row = aResult.mTasks[i];
    if (task.mArrival < aOptions.mWarmUp || !row.mDone) {
      continue;
    }
    if (row.mFailed) {
      figures.mFailed++;
      continue;
    }
    ratios.push_back(row.mResponse / row.mIdeal);
    auto& job =
      jobs.emplace(task.mJob, std::make_pair(task.mArrival, 0.0)).first->second;
    job.second = std::max(job.second, row.mEnd);
  }
  for (double ratio : ratios) {
    figures.mMean += ratio / double(ratios.size());
  }
  for (const auto& [number, job] : jobs) {
    figures.mMakespan += (job.second - job.first) / double(jobs.size());
  }
  figures.mP50 = Quantile(ratios, 0.5);
  figures.mP99 = Quantile(ratios, 0.99);
  figures.mP999 = Quantile(ratios, 0.999);
  figures.mWasted = double(aResult.mWasted) / double(aWorkload.mTasks.size());
  return figures;
}

// Prints the mean figures over all seeds for each policy, and the mean of their
// ratios to the bound on the same seed.
void
Compare(const model_options& aBase, json* aOut)
{
  std::printf("\n%s, load %.0f%%, %u seeds\n",
              aBase.mName.c_str(),
              aBase.mLoad * 100,
              kSeedCount);
  std::printf("%-12s %7s %7s %7s %7s %9s %8s | %9s %9s\n",
              "policy",
              "mean",
              "p50",
              "p99",
              "p99.9",
              "makespan",
              "wasted",
              "mean/bnd",
              "p99/bnd");
  // For each seed, the lower mean and the lower p99 of the two clairvoyant
  // runs.
  std::vector<ratio_figures> bounds(kSeedCount);
  for (uint32_t p = 0; p < uint32_t(policy::Count); p++) {
    ratio_figures sum;
    double meanToBound = 0;
    double p99ToBound = 0;
    for (uint32_t seed = 1; seed <= kSeedCount; seed++) {
      model_options options = aBase;
      options.mSeed = seed;
      workload load = MakeWorkload(options);
      ratio_figures figures =
        Measure(options, load, RunPolicy(options, load, policy(p)));
      ratio_figures& bound = bounds[seed - 1];
      if (policy(p) == policy::FifoBound) {
        bound = figures;
      } else if (policy(p) == policy::ShortestBound) {
        bound.mMean = std::min(bound.mMean, figures.mMean);
        bound.mP99 = std::min(bound.mP99, figures.mP99);
      }
      sum.mMean += figures.mMean / kSeedCount;
      sum.mP50 += figures.mP50 / kSeedCount;
      sum.mP99 += figures.mP99 / kSeedCount;
      sum.mP999 += figures.mP999 / kSeedCount;
      sum.mMakespan += figures.mMakespan / kSeedCount;
      sum.mWasted += figures.mWasted / kSeedCount;
      meanToBound += figures.mMean / bound.mMean / kSeedCount;
      p99ToBound += figures.mP99 / bound.mP99 / kSeedCount;
    }
    std::string name = Name(policy(p));
    std::printf("%-12s %7.3f %7.3f %7.2f %7.2f %8.3fs %8.4f | %9.3f %9.3f\n",
                name.c_str(),
                sum.mMean,
                sum.mP50,
                sum.mP99,
                sum.mP999,
                sum.mMakespan,
                sum.mWasted,
                meanToBound,
                p99ToBound);
    aOut->push_back({ { "deployment", aBase.mName },
                      { "load", aBase.mLoad },
                      { "policy", name },
                      { "mean", sum.mMean },
                      { "p50", sum.mP50 },
                      { "p99", sum.mP99 },
                      { "p999", sum.mP999 },
                      { "makespan_s", sum.mMakespan },
                      { "wasted_per_task", sum.mWasted },
                      { "mean_to_bound", meanToBound },
                      { "p99_to_bound", p99ToBound } });
  }
}

// One runner in ten fails every task after the warm-up. Compares the response
// ratio with a run in which the same runner leaves at that time.
void
MeasureFailingRunner(const model_options& aBase, json* aOut)
{
  double worstLost = 0;
  double ratio = 0;
  for (uint32_t seed = 1; seed <= kSeedCount; seed++) {
    model_options healthy = aBase;
    healthy.mSeed = seed;
    workload load = MakeWorkload(healthy);
    model_options failing = healthy;
    failing.mFailFrom = healthy.mWarmUp;
    model_options leaving = healthy;
    leaving.mLeaveFrom = healthy.mWarmUp;
    ratio_figures failingFigures =
      Measure(failing, load, RunPolicy(failing, load, policy::Library));
    ratio_figures leavingFigures =
      Measure(leaving, load, RunPolicy(leaving, load, policy::Library));
    worstLost = std::max(worstLost, failingFigures.mFailed);
    ratio += failingFigures.mMean / leavingFigures.mMean / kSeedCount;
  }
  std::printf(
    "\n%s, one runner in ten fails everything, load %.0f%%: at most "
    "%.0f tasks lost, mean ratio %.3f times that of a run in which it leaves\n",
    aBase.mName.c_str(),
    aBase.mLoad * 100,
    worstLost,
    ratio);
  aOut->push_back({ { "deployment", aBase.mName },
                    { "load", aBase.mLoad },
                    { "lost", worstLost },
                    { "mean_ratio", ratio } });
}

// Measures the goodput during a burst, and the time after it until the response
// ratio of new arrivals is back at its level before the burst.
void
MeasureOverload(const model_options& aBase, double aFactor, json* aOut)
{
  double goodput = 0;
  double recovery = 0;
  for (uint32_t seed = 1; seed <= kSeedCount; seed++) {
    model_options options = aBase;
    options.mSeed = seed;
    options.mAdmission = true;
    options.mLoad = 0.7;
    options.mBurstFrom = 40;
    options.mBurstUntil = 50;
    options.mBurstFactor = aFactor / 0.7;
    options.mDuration = 80;
    workload load = MakeWorkload(options);
    run_result result = RunPolicy(options, load, policy::Library);
    double done = 0;
    // Sum of ratios and number of tasks by arrival, in windows of 100 ms.
    std::map<int, std::pair<double, int>> windows;
    for (size_t i = 0; i < load.mTasks.size(); i++) {
      const task_outcome_row& row = result.mTasks[i];
      double arrival = load.mTasks[i].mArrival;
      // Work done within the burst; tasks that run across its edges count
      // only with the part inside.
      double from = std::max(row.mStart, options.mBurstFrom);
      double until = std::min(row.mStart + row.mRun, options.mBurstUntil);
      if (row.mDone && until > from) {
        done += (until - from) * load.mSpeeds[row.mRunner];
      }
      if (row.mDone && !row.mRefused) {
        auto& window = windows[int(arrival * 10)];
        window.first += row.mResponse / row.mIdeal;
        window.second++;
      }
    }
    double before = 0;
    int count = 0;
    for (int w = 200; w < 400; w++) {
      before += windows[w].first;
      count += windows[w].second;
    }
    double meanBefore = before / count;
    double recovered = 30;
    for (int w = 500; w < 790; w++) {
      // Recovered: the mean ratio of five consecutive windows is at most 1.25
      // times the mean before the burst.
      double sum = 0;
      int tasks = 0;
      for (int k = w; k < w + 5; k++) {
        sum += windows[k].first;
        tasks += windows[k].second;
      }
      if (tasks > 0 && sum / tasks <= meanBefore * 1.25) {
        recovered = (w - 500) / 10.0;
        break;
      }
    }
    goodput += done / (load.mCapacity * 10) / kSeedCount;
    recovery = std::max(recovery, recovered);
  }
  std::printf("%s, %.0fx overload for 10 s: goodput %.1f%% of capacity, "
              "steady again after at most %.1f s\n",
              aBase.mName.c_str(),
              aFactor,
              goodput * 100,
              recovery);
  aOut->push_back({ { "deployment", aBase.mName },
                    { "factor", aFactor },
                    { "goodput", goodput },
                    { "recovery_s", recovery } });
}

// All 38 teams submit more work than their share. Measures the largest
// difference between a team's share of slot time and its fair share, over any
// 10 s.
void
MeasureFairShares(const model_options& aBase, json* aOut)
{
  double worst = 0;
  for (uint32_t seed = 1; seed <= kSeedCount; seed++) {
    model_options options = aBase;
    options.mSeed = seed;
    options.mTeams = 38;
    options.mTeamsEqual = false;
    options.mLoad = 6;
    options.mDuration = 60;
    workload load = MakeWorkload(options);
    run_result result = RunPolicy(options, load, policy::Library);
    double quotas = 0;
    for (uint32_t t = 0; t < options.mTeams; t++) {
      quotas += 1 + t % 4;
    }
    for (double from = 15; from < 50; from += 1) {
      std::vector<double> shares(options.mTeams);
      double total = 0;
      for (size_t i = 0; i < load.mTasks.size(); i++) {
        const task_outcome_row& row = result.mTasks[i];
        double begin = std::max(row.mStart, from);
        double end = std::min(row.mStart + row.mRun, from + 10);
        if (row.mDone && end > begin) {
          shares[load.mTasks[i].mTeam] += end - begin;
          total += end - begin;
        }
      }
      for (uint32_t t = 0; t < options.mTeams; t++) {
        double fair = (1 + t % 4) / quotas;
        worst = std::max(worst, std::fabs(shares[t] / total - fair));
      }
    }
  }
  std::printf("%s, 38 teams with quotas 1 to 4, all with work: at most %.2f%% "
              "of capacity from the fair share in any 10 s\n",
              aBase.mName.c_str(),
              worst * 100);
  aOut->push_back(
    { { "deployment", aBase.mName }, { "worst_difference", worst } });
}

} // namespace

int
main(int argc, char** argv)
{
  model_options valley;
  valley.mName = "Soar Valley";
  model_options portier;
  portier.mName = "Portier";
  portier.mClientLatency = 0.001;
  json out = { { "loads", json::array() },
               { "failing", json::array() },
               { "overload", json::array() },
               { "fair", json::array() } };
  for (const model_options& base : { valley, portier }) {
    for (double load : { 0.3, 0.5, 0.7, 0.8, 0.9 }) {
      model_options options = base;
      options.mLoad = load;
      Compare(options, &out["loads"]);
    }
    MeasureFailingRunner(base, &out["failing"]);
    for (double factor : { 2.0, 5.0 }) {
      MeasureOverload(base, factor, &out["overload"]);
    }
    MeasureFairShares(base, &out["fair"]);
  }
  if (argc == 3 && std::strcmp(argv[1], "--json") == 0) {
    std::ofstream(argv[2]) << out.dump(1) << "\n";
  }
  return 0;
}
