// Forwarding of jobs between entries: whether and to whom, and the tables of
// both sides.

#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

#include "cactusmast/forwarded_jobs.h"
#include "cactusmast/forwarding_policy.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

class cycling_random : public random_source
{
public:
  double NextUniform() override
  {
    mNext = std::fmod(mNext + 0.618, 1);
    return mNext;
  }

private:
  double mNext = 0;
};

constexpr uint32_t kSmallMillis = 120;
constexpr uint32_t kLargeMillis = 500;
// What a job costs the entry that decodes and serves it, and the one that
// forwards it.
constexpr double kServeCoreMs = 1;
constexpr double kForwardCoreMs = 0.25;

struct played_entry
{
  played_entry(uint32_t aMillis, double aJobsPerMs, random_source& aRandom)
    : mMillis(aMillis)
    , mJobsPerMs(aJobsPerMs)
    , mPolicy(aMillis, aRandom)
  {
  }

  uint32_t mMillis;
  double mJobsPerMs;
  forwarding_policy mPolicy;
  double mDueJobs = 0;
  double mCoreMs = 0; // of work in the current step
  double mBusy = 0;
  uint32_t mForwarded = 0;
  uint32_t mReversals = 0; // changes of direction of the forwarded fraction
  int mDirection = 0;
};

// Two small entries beside four large ones. Loads are sent every 2.4 s.
class played_entries
{
public:
  played_entries(double aSmallJobsPerMs, double aLargeJobsPerMs)
  {
    for (uint32_t i = 0; i < 6; i++) {
      bool small = i < 2;
      mEntries.push_back(std::make_unique<played_entry>(
        small ? kSmallMillis : kLargeMillis,
        small ? aSmallJobsPerMs : aLargeJobsPerMs,
        mRandom));
    }
  }

  void Run(milliseconds aTime)
  {
    for (instant end = mNow + aTime; mNow < end; mNow += kStep) {
      for (auto& one : mEntries) {
        SubmitJobs(*one);
      }
      for (auto& one : mEntries) {
        MeasureAndUpdate(*one);
      }
      if (mNow % kMaxAge == duration{}) {
        SendLoads();
      }
    }
  }

  void ResetReversals()
  {
    for (auto& one : mEntries) {
      one->mReversals = 0;
      one->mForwarded = 0;
    }
  }

  played_entry& operator[](size_t aIndex) { return *mEntries[aIndex]; }
  bool mSendLoads = true;

private:
  static constexpr duration kStep = milliseconds(10);
  static constexpr duration kMaxAge = milliseconds(2400);

  void SubmitJobs(played_entry& aEntry)
  {
    aEntry.mDueJobs += aEntry.mJobsPerMs * double(kStep.count()) / 1000;
    for (; aEntry.mDueJobs >= 1; aEntry.mDueJobs--) {
      std::optional<peer_id> target = aEntry.mPolicy.ChooseTarget(mNow);
      if (!target) {
        aEntry.mCoreMs += kServeCoreMs;
        continue;
      }
      aEntry.mPolicy.OnForwarded(*target);
      aEntry.mPolicy.OnEnded(*target);
      aEntry.mForwarded++;
      aEntry.mCoreMs += kForwardCoreMs;
      mEntries[*target]->mCoreMs += kServeCoreMs;
    }
  }

  void MeasureAndUpdate(played_entry& aEntry)
  {
    double stepCoreMs = aEntry.mMillis / 1e6 * double(kStep.count());
    double share = std::min(1.0, aEntry.mCoreMs / stepCoreMs);
    // Work that exceeds the step waits; callers give it up after a while.
    aEntry.mCoreMs =
      std::clamp(aEntry.mCoreMs - stepCoreMs, 0.0, 20 * stepCoreMs);
    double kept =
      std::exp(-double(kStep.count()) / double(kBusyMeanTime.count()));
    aEntry.mBusy = aEntry.mBusy * kept + share * (1 - kept);
    double before = aEntry.mPolicy.Fraction();
    if (aEntry.mPolicy.Update(aEntry.mBusy, mNow)) {
      int direction = aEntry.mPolicy.Fraction() > before ? 1 : -1;
      aEntry.mReversals += direction != aEntry.mDirection ? 1 : 0;
      aEntry.mDirection = direction;
    }
  }

  void SendLoads()
  {
    for (size_t from = 0; from < mEntries.size() && mSendLoads; from++) {
      entry_capacity load{ mEntries[from]->mMillis,
                           mEntries[from]->mBusy,
                           true };
      for (size_t to = 0; to < mEntries.size(); to++) {
        if (to != from) {
          mEntries[to]->mPolicy.OnLoad(peer_id(from), load, mNow);
        }
      }
    }
  }

  cycling_random mRandom;
  std::vector<std::unique_ptr<played_entry>> mEntries;
  instant mNow{};
};

} // namespace

TEST_CASE("overloaded small entries forward what they can't serve, steadily")
{
  // Guards against small entries that swing between too much and too little.
  played_entries entries(0.2, 0.1);
  entries.Run(milliseconds(10000));
  entries.ResetReversals();
  entries.Run(milliseconds(20000));
  for (size_t small : { 0, 1 }) {
    CHECK(entries[small].mBusy < kForwardAboveBusy + 0.1);
    CHECK(entries[small].mForwarded > 0);
    CHECK(entries[small].mReversals <= 2);
  }
  for (size_t large : { 2, 3, 4, 5 }) {
    CHECK(entries[large].mBusy <= kMaxTargetBusy);
    CHECK(entries[large].mForwarded == 0);
  }
}

TEST_CASE("entries that are little busy forward nothing")
{
  played_entries entries(0.05, 0.1);
  entries.Run(milliseconds(20000));
  CHECK(entries[0].mForwarded == 0);
}

TEST_CASE("an entry stops forwarding after the overload")
{
  // Guards against jobs that take the way over another entry for nothing.
  played_entries entries(0.2, 0.1);
  entries.Run(milliseconds(10000));
  CHECK(entries[0].mPolicy.Fraction() > 0.5);
  entries[0].mJobsPerMs = 0.03;
  entries.Run(milliseconds(10000));
  CHECK(entries[0].mPolicy.Fraction() == doctest::Approx(0));
}

TEST_CASE("nothing is forwarded while no larger entry has spare capacity")
{
  // Guards against a service whose overload only travels between entries.
  played_entries entries(0.2, 0.3);
  entries.Run(milliseconds(3000));
  entries.ResetReversals();
  entries.Run(milliseconds(20000));
  CHECK(entries[0].mForwarded == 0);
  CHECK(entries[0].mPolicy.Fraction() == doctest::Approx(0));
}

TEST_CASE("nothing is forwarded on loads that are old")
{
  // Guards against jobs for an entry that has drained since.
  played_entries entries(0.2, 0.1);
  entries.Run(milliseconds(10000));
  entries.mSendLoads = false;
  entries.Run(milliseconds(2500));
  entries.ResetReversals();
  entries.Run(milliseconds(5000));
  CHECK(entries[0].mForwarded == 0);
}

TEST_CASE("a target is not smaller, takes jobs and has few of them in flight")
{
  // Guards against jobs that an entry would decline or be overloaded by.
  cycling_random random;
  forwarding_policy policy(kLargeMillis, random);
  instant now(0);
  auto overload = [&] {
    for (int i = 0; i < 20; i++) {
      now += milliseconds(200);
      policy.Update(1, now);
    }
  };
  auto offer = [&](entry_capacity aLoad) {
    policy.OnLoad(1, aLoad, now);
    return policy.ChooseTarget(now);
  };
  policy.OnLoad(1, { kLargeMillis, 0, true }, now + milliseconds(1500));
  overload();
  CHECK(!offer({ kSmallMillis, 0, true }));
  CHECK(!offer({ kLargeMillis, 0, false }));
  CHECK(!offer({ kLargeMillis, kMaxTargetBusy + 0.01, true }));
  CHECK(offer({ kLargeMillis, 0, true }));
  policy.OnDeclined(1);
  CHECK(!policy.ChooseTarget(now));
  CHECK(offer({ kLargeMillis, 0, true }));
  for (uint32_t i = 0; i < kMaxForwardedToEntry; i++) {
    policy.OnForwarded(1);
  }
  CHECK(!offer({ kLargeMillis, 0, true }));
  policy.OnEnded(1);
  CHECK(offer({ kLargeMillis, 0, true }));
}

TEST_CASE("a forwarded job ends once, for all of its callers")
{
  // Guards against callers without an answer or with two.
  sent_jobs sent;
  uint64_t number = sent.Add(1, 0xa, 7, instant{});
  CHECK(sent.AddCaller(0xa, 8));
  CHECK(!sent.AddCaller(0xb, 9));
  CHECK(!sent.OnAnswer(2, number));
  std::optional<sent_job> ended = sent.OnAnswer(1, number);
  REQUIRE(ended);
  CHECK(ended->mCallers == std::vector<caller_id>{ 7, 8 });
  CHECK(!sent.OnAnswer(1, number));
  CHECK(!sent.AddCaller(0xa, 8));
}

TEST_CASE("a closed connection ends the jobs that were sent over it only")
{
  // Guards against a job that waits for an entry that has died.
  sent_jobs sent;
  sent.Add(1, 0xa, 7, instant{});
  sent.Add(2, 0xb, 8, instant{});
  sent.Add(1, 0xc, 9, instant{});
  std::vector<sent_job> lost = sent.OnPeerGone(1);
  REQUIRE(lost.size() == 2);
  CHECK(lost[0].mJob == 0xa);
  CHECK(lost[1].mJob == 0xc);
  CHECK(sent.Size() == 1);
  CHECK(!sent.OnCallerGone(7));
}

TEST_CASE("a job is cancelled when its last caller leaves, and stays known")
{
  // Guards against a job that is run here while it is being stopped elsewhere.
  sent_jobs sent;
  uint64_t number = sent.Add(1, 0xa, 7, instant{});
  sent.AddCaller(0xa, 8);
  CHECK(!sent.OnCallerGone(7));
  CHECK(sent.OnCallerGone(8) == forward_key{ 1, number });
  CHECK(sent.AddCaller(0xa, 9));
  std::optional<sent_job> ended = sent.OnAnswer(1, number);
  REQUIRE(ended);
  CHECK(ended->mCallers == std::vector<caller_id>{ 9 });
  wire::forward_answer_msg answer;
  answer.ending = uint8_t(job_ending::Failed);
  CHECK(EndingOf(*ended, answer).mOutcome.mEnding == job_ending::Expired);
}

TEST_CASE("a declined job is served here unless it was cancelled")
{
  // Guards against a job that is lost because nobody serves it.
  wire::forward_answer_msg answer;
  answer.declined = true;
  sent_job job;
  CHECK(EndingOf(job, answer).mServeHere);
  job.mCancellation = forward_cancellation::Requested;
  CHECK(!EndingOf(job, answer).mServeHere);
  CHECK(EndingOf(job, answer).mOutcome.mEnding == job_ending::Failed);
  answer.declined = false;
  answer.ending = uint8_t(job_ending::Count);
  CHECK(EndingOf(job, answer).mOutcome.mEnding == job_ending::Expired);
}

TEST_CASE("a taken job is answered once, and not after its sender has left")
{
  // Guards against answers to the wrong connection and tasks for nobody.
  taken_jobs taken;
  caller_id first = taken.Add(1, 1);
  caller_id second = taken.Add(1, 2);
  caller_id other = taken.Add(2, 1);
  CHECK(IsTakenCaller(first));
  CHECK(taken.Add(1, 2) == 0);
  CHECK(taken.OnAnswered(first) == forward_key{ 1, 1 });
  CHECK(!taken.OnAnswered(first));
  CHECK(taken.OnCancel(1, 1) == 0);
  CHECK(taken.OnPeerGone(1) == std::vector<caller_id>{ second });
  CHECK(!taken.OnAnswered(second));
  CHECK(taken.OnCancel(2, 1) == other);
  CHECK(taken.Size() == 0);
}

} // namespace cactusmast
