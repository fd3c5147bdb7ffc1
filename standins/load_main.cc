// Open-loop load generator for entries: requests are sent at their scheduled
// times whether or not earlier ones have been answered. Reports response times
// and their ratio to the ideal response time. Sends only to loopback addresses,
// and the number of jobs and the time of resubmissions are bounded.

#include <algorithm>
#include <cmath>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "shell/daemon.h"
#include "shell/http_client.h"

namespace {

using namespace cactusmast;
using nlohmann::json;

constexpr char kUsage[] = R"(cactusmast-load: open-loop load on loopback.

Usage:
  cactusmast-load jobs --entries=URLS --profile=NAME [options]
  cactusmast-load bare --entries=URLS [options]

Options:
  --entries=URLS     URLs separated by commas, used in turn.
  --profile=NAME     Profile that the jobs are submitted to.
  --jobs=N           Number of jobs or requests [default: 200].
  --rate=X           Mean number of jobs a second [default: 20].
  --tasks=N          Tasks in a job [default: 1].
  --min-ms=X         Shortest run time on a server of speed 1 [default: 50].
  --max-ms=X         Longest run time [default: 300].
  --best-speed=X     Speed of the fastest server, for the ideal [default: 1].
  --concurrency=N    Bare requests in flight [default: 16].
  --seed=N           Seed of the random numbers [default: 1].
  --prefix=TEXT      Prefix of the idempotency keys [default: load].
  --patience-ms=N    Time after which a job is not resubmitted any more
                     [default: 100000].
  --history=FILE     Append a line for each answer: key and JSON body.

bare requests /healthz as fast as the concurrency allows, to measure the cost of
HTTP alone. The result is one JSON object.
)";

constexpr long kMaxJobs = 200000;

struct job_plan
{
  std::string mBody;
  // Run time of the longest task on the fastest server.
  double mIdealMs = 0;
};

class load_run
{
public:
  explicit load_run(std::map<std::string, docopt::value> aArguments)
    : mArguments(std::move(aArguments))
    , mClient(1024, 0)
    , mRandom(uint64_t(mArguments["--seed"].asLong()))
    , mLoop(g_main_loop_new(nullptr, FALSE))
  {
    std::string list = mArguments["--entries"].asString();
    for (size_t start = 0; start <= list.size();) {
      size_t comma = std::min(list.find(',', start), list.size());
      mEntries.push_back(list.substr(start, comma - start));
      if (mEntries.back().rfind("http://127.", 0) != 0) {
        throw failure(error_code::BadRequest,
                      "read arguments",
                      mEntries.back(),
                      "load goes to loopback addresses only");
      }
      start = comma + 1;
    }
    mJobs = std::min(kMaxJobs, mArguments["--jobs"].asLong());
    mCallerTimeout =
      std::chrono::milliseconds(mArguments["--patience-ms"].asLong());
    if (mArguments["--history"].isString()) {
      mHistory.open(mArguments["--history"].asString(), std::ios::app);
    }
  }

  ~load_run() { g_main_loop_unref(mLoop); }

  int Run()
  {
    mStarted = Now();
    if (mArguments["bare"].asBool()) {
      long concurrency = mArguments["--concurrency"].asLong();
      for (long i = 0; i < concurrency; i++) {
        SendBare();
      }
    } else {
      ScheduleNextJob();
    }
    g_main_loop_run(mLoop);
    Report();
    return mNotComplete == 0 ? 0 : 1;
  }

private:
  double NumberOption(const char* aName)
  {
    return std::stod(mArguments[aName].asString());
  }

  const std::string& NextEntry()
  {
    return mEntries[mNextEntry++ % mEntries.size()];
  }

  void SendBare()
  {
    if (mSent >= mJobs) {
      return;
    }
    mSent++;
    http_request request;
    request.mMethod = "GET";
    request.mUrl = NextEntry() + "/healthz";
    mClient.Send(request, [this](const http_response& aResponse) {
      mNotComplete += aResponse.mStatus == 200 ? 0 : 1;
      SendBare();
      OnFinished();
    });
  }

  job_plan PlanJob()
  {
    double minLog = std::log(std::max(0.01, NumberOption("--min-ms")));
    double maxLog = std::log(std::max(0.01, NumberOption("--max-ms")));
    std::uniform_real_distribution<double> run(minLog, maxLog);
    job_plan plan;
    json body = { { "profile", mArguments["--profile"].asString() },
                  { "tasks", json::array() } };
    for (long i = 0; i < mArguments["--tasks"].asLong(); i++) {
      double ms = std::exp(run(mRandom));
      plan.mIdealMs =
        std::max(plan.mIdealMs, ms / NumberOption("--best-speed"));
      body["tasks"].push_back({ { "sleep_ms", ms } });
    }
    plan.mBody = body.dump();
    return plan;
  }

  // Only the next job has a timer, since the main loop visits every timer on
  // each turn.
  void ScheduleNextJob()
  {
    if (mSent >= mJobs) {
      return;
    }
    mNextSendS +=
      std::exponential_distribution<double>(NumberOption("--rate"))(mRandom);
    double wait = mNextSendS - double((Now() - mStarted).count()) / 1e6;
    g_timeout_add_full(
      G_PRIORITY_HIGH,
      guint(std::max(0.0, wait) * 1000),
      [](gpointer aData) -> gboolean {
        auto* self = static_cast<load_run*>(aData);
        self->SendJob(self->mSent++);
        self->ScheduleNextJob();
        return G_SOURCE_REMOVE;
      },
      this,
      nullptr);
  }

  void SendJob(long aNumber)
  {
    job_plan plan = PlanJob();
    std::string key =
      mArguments["--prefix"].asString() + "-" + std::to_string(aNumber);
    Post(key, plan, Now());
  }

  // After a lost connection or a retryable error OnReply resubmits the job with
  // the same key, which goes to the next entry.
  void Post(const std::string& aKey,
            const job_plan& aPlan,
            instant aFirstSentAt)
  {
    http_request request;
    request.mUrl = NextEntry() + "/v1/jobs?wait_ms=60000";
    request.mBody = aPlan.mBody;
    request.mHeaders = { { "Idempotency-Key", aKey } };
    mClient.Send(request, [=](const http_response& aResponse) {
      OnReply(aKey, aPlan, aFirstSentAt, aResponse);
    });
  }

  void OnReply(const std::string& aKey,
               const job_plan& aPlan,
               instant aFirstSentAt,
               const http_response& aResponse)
  {
    json body = json::parse(aResponse.mBody, nullptr, false);
    std::string state = body.is_object() ? body.value("state", "") : "";
    bool decided = state == "complete" || state == "failed";
    if (!decided && Now() - aFirstSentAt < mCallerTimeout) {
      mResubmissions++;
      json error =
        body.is_object() ? body.value("error", json::object()) : json::object();
      Resubmit(aKey, aPlan, aFirstSentAt, error.value("retry_after_ms", 0u));
      return;
    }
    if (mHistory.is_open()) {
      mHistory << aKey << " " << aResponse.mBody << std::endl;
    }
    mNotComplete += state == "complete" ? 0 : 1;
    double ms = double((Now() - aFirstSentAt).count()) / 1000;
    mResponseTimesMs.push_back(ms);
    if (aPlan.mIdealMs > 0) {
      mRatios.push_back(ms / aPlan.mIdealMs);
    }
    OnFinished();
  }

  void Resubmit(const std::string& aKey,
                const job_plan& aPlan,
                instant aFirstSentAt,
                uint32_t aDelayMs)
  {
    struct resubmission
    {
      load_run* mSelf;
      std::string mKey;
      job_plan mPlan;
      instant mFirstSentAt;
    };
    constexpr guint kMinDelayMs = 250;
    g_timeout_add(
      std::max(kMinDelayMs, guint(aDelayMs)),
      [](gpointer aData) -> gboolean {
        std::unique_ptr<resubmission> resubmit(
          static_cast<resubmission*>(aData));
        resubmit->mSelf->Post(
          resubmit->mKey, resubmit->mPlan, resubmit->mFirstSentAt);
        return G_SOURCE_REMOVE;
      },
      new resubmission{ this, aKey, aPlan, aFirstSentAt });
  }

  void OnFinished()
  {
    if (++mFinished == mJobs) {
      g_main_loop_quit(mLoop);
    }
  }

  static double Quantile(std::vector<double> aValues, double aShare)
  {
    if (aValues.empty()) {
      return 0;
    }
    std::sort(aValues.begin(), aValues.end());
    return aValues[size_t(aShare * double(aValues.size() - 1))];
  }

  void Report()
  {
    double seconds = double((Now() - mStarted).count()) / 1e6;
    double sum = 0;
    for (double ratio : mRatios) {
      sum += ratio;
    }
    json report = { { "jobs", mJobs },
                    { "seconds", seconds },
                    { "per_second", double(mJobs) / seconds },
                    { "not_complete", mNotComplete },
                    { "repeated", mResubmissions },
                    { "response_p50_ms", Quantile(mResponseTimesMs, 0.5) },
                    { "response_p99_ms", Quantile(mResponseTimesMs, 0.99) },
                    { "ratio_mean",
                      mRatios.empty() ? 0 : sum / double(mRatios.size()) },
                    { "ratio_p50", Quantile(mRatios, 0.5) },
                    { "ratio_p99", Quantile(mRatios, 0.99) } };
    std::cout << report.dump() << "\n";
  }

  std::map<std::string, docopt::value> mArguments;
  http_client mClient;
  std::mt19937_64 mRandom;
  GMainLoop* mLoop;
  std::ofstream mHistory; // closed without --history
  std::vector<std::string> mEntries;
  size_t mNextEntry = 0;
  long mJobs = 0;
  duration mCallerTimeout{};
  long mSent = 0;
  double mNextSendS = 0; // seconds from the start
  long mFinished = 0;
  long mNotComplete = 0; // requests without success, jobs that are not complete
  long mResubmissions = 0;
  instant mStarted{};
  std::vector<double> mResponseTimesMs; // response times in ms
  std::vector<double> mRatios;          // response time over ideal
};

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "");
  try {
    return load_run(arguments).Run();
  } catch (const failure& error) {
    std::cerr << error.Step() << " (" << error.Peer() << "): " << error.what()
              << "\n";
    return 2;
  }
}
