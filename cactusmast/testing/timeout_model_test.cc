// Tests forecasts of run times from caller timeouts, the detection of
// resubmitted jobs, and their effect on placement.

#include <cmath>
#include <doctest/doctest.h>
#include <random>

#include "cactusmast/placement.h"
#include "cactusmast/testing/sized_world.h"
#include "cactusmast/timeout_model.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

// Generates jobs of callers whose timeout depends on the run time.
class job_generator
{
public:
  explicit job_generator(uint32_t aSeed)
    : mRandom(aSeed)
  {
  }

  struct job
  {
    double mRunMs = 0;
    double mDeclaredMs = 0;
    double mTimeoutMs = 0;
  };

  job Next()
  {
    job next;
    next.mRunMs = 200 * std::exp(mRunSpread(mRandom));
    next.mDeclaredMs = next.mRunMs * std::exp(mDeclaredError(mRandom));
    next.mTimeoutMs = mTimeoutBaseMs + mTimeoutPerRunMs * next.mRunMs;
    if (mLongShare > 0 && mUniform(mRandom) < mLongShare) {
      next.mRunMs *= 7;
    }
    return next;
  }

  double mTimeoutBaseMs = 1600;
  double mTimeoutPerRunMs = 5;
  double mLongShare = 0; // of tasks that take seven times as long

private:
  std::mt19937 mRandom;
  std::normal_distribution<> mRunSpread{ 0, 0.4 };
  std::normal_distribution<> mDeclaredError{ 0, 0.4 };
  std::uniform_real_distribution<> mUniform{ 0, 1 };
};

// The objective by the route of sized_world.
duration
ObjectiveOf(const job_generator::job& aJob)
{
  return milliseconds(int64_t(1.6 * aJob.mRunMs + 60));
}

void
ObserveJobs(timeout_model* aModel, job_generator* aGenerator, int aJobs)
{
  for (int i = 0; i < aJobs; i++) {
    job_generator::job job = aGenerator->Next();
    aModel->Observe("r", job.mDeclaredMs, job.mTimeoutMs, job.mRunMs);
  }
}

// Mean absolute logarithm of forecast over run time for new jobs.
double
MeanError(const timeout_model& aModel, job_generator* aGenerator)
{
  double sum = 0;
  for (int i = 0; i < 500; i++) {
    job_generator::job job = aGenerator->Next();
    double forecastMs =
      aModel.Forecast("r", job.mDeclaredMs, job.mTimeoutMs).mRunMs;
    sum += std::abs(std::log(forecastMs / job.mRunMs));
  }
  return sum / 500;
}

} // namespace

TEST_CASE(
  "caller timeouts forecast run times better than declared run times do")
{
  job_generator generator(1);
  timeout_model model;
  CHECK(MeanError(model, &generator) > 0.25); // declared run times
  ObserveJobs(&model, &generator, 100);
  CHECK(MeanError(model, &generator) < 0.05);
  run_forecast forecast = model.Forecast("r", 100, 2600);
  CHECK(forecast.mRunMs == doctest::Approx(200).epsilon(0.05));
  CHECK(forecast.mSigma < 0.2);
  CHECK(model.Forecast("other", 100, 2600).mRunMs == 100);
  CHECK(model.Forecast("r", 100, 0).mRunMs == 100);   // no timeout given
  CHECK(model.Forecast("r", 100, 1e9).mRunMs < 2000); // bounded
}

TEST_CASE("a few tasks that run far longer leave forecasts as good as before")
{
  // Guards against a few long tasks that outweigh all others in the sums of
  // squares, so that declared run times are used instead of timeouts.
  for (uint32_t seed : { 1u, 2u, 3u }) {
    CAPTURE(seed);
    double errors[2];
    for (bool fitsOutliers : { false, true }) {
      job_generator generator(seed);
      generator.mLongShare = 0.03;
      timeout_model model(fitsOutliers);
      ObserveJobs(&model, &generator, 600);
      generator.mLongShare = 0;
      errors[fitsOutliers ? 1 : 0] = MeanError(model, &generator);
    }
    MESSAGE("mean error ", errors[0], ", with long tasks fitted ", errors[1]);
    CHECK(errors[0] < 0.05);
    CHECK(errors[1] > 0.1);
  }
}

TEST_CASE("a route whose tasks all run far longer than declared is fitted")
{
  // Guards against a filter that takes every task of a route for an outlier.
  job_generator generator(8);
  timeout_model model;
  for (int i = 0; i < 100; i++) {
    job_generator::job job = generator.Next();
    model.Observe("r", job.mDeclaredMs / 8, job.mTimeoutMs, job.mRunMs);
  }
  CHECK(model.Forecast("r", 25, 2600).mRunMs ==
        doctest::Approx(200).epsilon(0.05));
}

TEST_CASE("timeouts unrelated to run times leave declared run times in use")
{
  // All callers of a route have the same timeout, or timeouts that are
  // unrelated to run times. A regression over them would forecast the same run
  // time for every job, and long ones would be placed where they end too late.
  std::mt19937 random(2);
  for (double spreadMs : { 0.0, 400.0 }) {
    CAPTURE(spreadMs);
    job_generator generator(3);
    timeout_model model;
    for (int i = 0; i < 300; i++) {
      job_generator::job job = generator.Next();
      double timeoutMs = 1500 + spreadMs * double(random() % 1000) / 1000;
      model.Observe("r", job.mDeclaredMs, timeoutMs, job.mRunMs);
      run_forecast forecast = model.Forecast("r", job.mDeclaredMs, timeoutMs);
      // A declared run time that is a far outlier may be forecast as shorter,
      // but not by half.
      bool aboveHalfOfDeclared = forecast.mRunMs > 0.5 * job.mDeclaredMs;
      CHECK(aboveHalfOfDeclared);
      CHECK(forecast.mElapsedMs == 0);
    }
  }
}

TEST_CASE("a route whose callers change their timeouts is fitted anew")
{
  job_generator generator(4);
  timeout_model model;
  ObserveJobs(&model, &generator, 400);
  generator.mTimeoutBaseMs = 3000;
  generator.mTimeoutPerRunMs = 2;
  ObserveJobs(&model, &generator, 1000);
  CHECK(MeanError(model, &generator) < 0.15);

  // All timeouts become much shorter, so that all jobs look resubmitted.
  generator.mTimeoutBaseMs = 300;
  ObserveJobs(&model, &generator, 1000);
  CHECK(MeanError(model, &generator) < 0.15);
}

TEST_CASE("a resubmitted job is not taken for a job with a short run time")
{
  // A caller loses its connection and resubmits its job 1.3 s later with the
  // rest of its timeout. If this short timeout were taken for a short run time,
  // the job would take the place of one that can still meet its objective.
  job_generator generator(5);
  timeout_model model;
  ObserveJobs(&model, &generator, 300);
  int resubmitted = 0;
  int falsePositives = 0;
  for (int i = 0; i < 1000; i++) {
    job_generator::job job = generator.Next();
    run_forecast first = model.Forecast("r", job.mDeclaredMs, job.mTimeoutMs);
    falsePositives += first.mElapsedMs > 0 ? 1 : 0;
    run_forecast resubmission =
      model.Forecast("r", job.mDeclaredMs, job.mTimeoutMs - 1300);
    resubmitted += resubmission.mElapsedMs > 300 ? 1 : 0;
  }
  CHECK(resubmitted > 850);
  CHECK(falsePositives < 20);
}

TEST_CASE(
  "regressions can be stored and restored, and one with more observations "
  "is not replaced")
{
  job_generator generator(6);
  timeout_model model;
  ObserveJobs(&model, &generator, 200);
  std::string bytes = model.Encode();

  timeout_model restarted;
  REQUIRE(restarted.Merge(bytes).Ok());
  CHECK(restarted.Forecast("r", 50, 2600).mRunMs ==
        doctest::Approx(model.Forecast("r", 50, 2600).mRunMs));

  timeout_model lightModel;
  ObserveJobs(&lightModel, &generator, 20);
  std::string lightBytes = lightModel.Encode();
  double before = model.Forecast("r", 50, 2600).mRunMs;
  CHECK(model.Merge(lightBytes).Ok());
  CHECK(model.Forecast("r", 50, 2600).mRunMs == before);

  // Routes that no longer exist take no space, and very many routes do not
  // exceed the size of a row.
  model.RemoveOtherRoutes({ "other" });
  CHECK(model.Forecast("r", 50, 2600).mRunMs == 50);
  for (int i = 0; i < 2000; i++) {
    model.Observe("route-" + std::to_string(i), 50, 2600, 60);
  }
  CHECK(model.Encode().size() < 48000);

  CHECK_FALSE(model.Merge("nonsense").Ok());
  CHECK_FALSE(timeout_regression::FromSums({ 1, 2, 3 }).Ok());
  CHECK_FALSE(
    timeout_regression::FromSums({ 1, 2, 3, 4, 5, 6, 7, 8, std::nan("") })
      .Ok());
}

TEST_CASE("resubmitted jobs after an outage do not make new jobs late")
{
  // The only entry is down for a second at 60% load. Callers that lost their
  // connection or could not connect resubmit with the rest of their timeout
  // while new jobs arrive as before, so that for a second there is more work
  // than capacity. The objective of most resubmitted jobs has passed. If they
  // were placed like new ones, the new ones would be late too.
  sized_world world(1, 4, 41);
  // Resubmissions carry the rest of the caller timeout.
  world.CountDownTimeouts();
  job_generator generator(7);
  // When each new job has to be answered.
  std::map<uint64_t, instant> answerBy;
  auto submit = [&world, &generator, &answerBy](bool aIsNew) {
    job_generator::job job = generator.Next();
    uint64_t id = world.Submit(0,
                               2,
                               uint32_t(job.mRunMs),
                               uint32_t(job.mTimeoutMs),
                               uint32_t(job.mDeclaredMs));
    if (aIsNew) {
      answerBy[id] = world.Now() + ObjectiveOf(job);
    }
    return id;
  };
  constexpr auto kInterval = milliseconds(17);
  constexpr auto kOutageStart = seconds(5);
  constexpr auto kRestart = kOutageStart + seconds(1);
  std::string stored;
  world.At(kOutageStart - milliseconds(1), [&] {
    stored = world.Coordinator(0).TimeoutModel().Encode();
    world.KillEntry(0, seconds(1));
  });
  world.At(kRestart + milliseconds(1), [&] {
    REQUIRE(world.Coordinator(0).TimeoutModel().Merge(stored).Ok());
  });
  for (duration at{ 0 }; at < seconds(8); at += kInterval) {
    bool down = at >= kOutageStart && at < kRestart + milliseconds(2);
    bool isNew = at >= kRestart + milliseconds(300);
    world.At(at, [&world, &submit, down, isNew] {
      uint64_t id = submit(isNew);
      if (down) {
        // A job sent just as the entry came back already has its answer.
        world.At(milliseconds(1300), [&world, id] {
          if (!world.LastSubmission(id).mAnswered) {
            world.Resubmit(id, 0);
          }
        });
      }
    });
  }
  world.Run(seconds(12));
  size_t inTime = 0;
  for (const auto& [id, until] : answerBy) {
    const caller_record& record = world.LastSubmission(id);
    bool completed =
      record.mAnswered && record.mEnding == job_ending::Completed;
    inTime += completed && record.mAnsweredAt <= until ? 1 : 0;
  }
  MESSAGE("in time ", inTime, " of ", answerBy.size());
  CHECK(inTime * 100 >= answerBy.size() * 93);
  for (const std::string& text : world.Violations()) {
    FAIL_CHECK(text);
  }
}

} // namespace cactusmast::testing
