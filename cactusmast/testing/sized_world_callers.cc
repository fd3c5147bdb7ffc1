// The callers of a sized_world.

#include <algorithm>

#include "cactusmast/testing/sized_world_parts.h"

namespace cactusmast::testing {

uint64_t
sized_world::Submit(size_t aEntry,
                    uint32_t aTasks,
                    uint32_t aWorkMs,
                    uint32_t aDeadlineMs,
                    uint32_t aDeclaredMs,
                    size_t aRoute)
{
  uint64_t job = mJobs.size() + 1;
  job_submission submission;
  submission.mSpec = std::to_string(aWorkMs);
  job_step step;
  step.mCount = aTasks;
  step.mSize = { 3000, 64, 0 };
  step.mDeclaredMs = aDeclaredMs > 0 ? aDeclaredMs : aWorkMs;
  submission.mSteps.push_back(step);
  mJobs[job] = submission;
  mJobRoutes[job] = aRoute;
  mDeadlines[job] = aDeadlineMs;
  mFirstSentAt[job] = mNow;
  Resubmit(job, aEntry);
  return job;
}

void
sized_world::SetLongTasks(double aShare, double aFactor)
{
  mLongShare = aShare;
  mLongFactor = aFactor;
}

double
sized_world::WorkFactor(const task_key& aTask) const
{
  std::seed_seq seed{ uint32_t(aTask.mJob), aTask.mStep, aTask.mIndex };
  std::mt19937 random(seed);
  bool isLong = std::uniform_real_distribution<>(0, 1)(random) < mLongShare;
  return isLong ? mLongFactor : 1;
}

double
sized_world::LongestWorkFactor(uint64_t aJob) const
{
  double longest = 1;
  for (uint32_t i = 0; i < mJobs.at(aJob).mSteps[0].mCount; i++) {
    longest = std::max(longest, WorkFactor({ aJob, 0, i }));
  }
  return longest;
}

uint32_t
sized_world::RemainingTimeoutMs(uint64_t aJob) const
{
  uint32_t whole = mDeadlines.at(aJob);
  auto passed = uint32_t(ToMs(mNow - mFirstSentAt.at(aJob)));
  if (!mCountDownTimeouts) {
    return whole;
  }
  return passed < whole ? whole - passed : 0;
}

void
sized_world::Resubmit(uint64_t aJob, size_t aEntry)
{
  if (RemainingTimeoutMs(aJob) == 0) {
    return;
  }
  caller_record record;
  record.mJob = aJob;
  record.mEntry = aEntry;
  record.mSentAt = mNow;
  mCallers.push_back(record);
  if (!mEntries[aEntry]->mUp) {
    mCallers.back().mLost = true;
    return;
  }
  job_request request;
  request.mCaller = mCallers.size() - 1;
  request.mJob = aJob;
  request.mSubmission = mJobs[aJob];
  request.mTable = mTable;
  request.mRoute = &mTable->Config().mRoutes[mJobRoutes[aJob]];
  request.mCallerTimeoutMs = RemainingTimeoutMs(aJob);
  SubmitTo(request, aEntry);
}

void
sized_world::SubmitTo(const job_request& aRequest, size_t aEntry)
{
  Deliver(false, aEntry, [this, aRequest, aEntry] {
    if (mCallers[aRequest.mCaller].mLost) {
      return;
    }
    uint64_t heard = Coordinator(aEntry).Evacuations().State().mVersion;
    if (mRefusesUnconfigured && heard == 0) {
      OnAnswer(aRequest.mCaller, { job_ending::Refused, "unconfigured", {} });
    } else {
      Coordinator(aEntry).Submit(aRequest, mNow);
    }
  });
}

void
sized_world::DisconnectCaller(uint64_t aJob)
{
  for (size_t i = 0; i < mCallers.size(); i++) {
    caller_record& caller = mCallers[i];
    if (caller.mJob == aJob && !caller.mAnswered && !caller.mLost) {
      caller.mLost = true;
      ResubmitLater(i);
      Deliver(false, caller.mEntry, [this, i, entry = caller.mEntry] {
        Coordinator(entry).OnCallerDisconnected(i, mNow);
      });
    }
  }
}

void
sized_world::ResubmitLater(caller_id aCaller)
{
  const caller_record& failed = mCallers[aCaller];
  auto submissions = std::count_if(
    mCallers.begin(), mCallers.end(), [&](const caller_record& aOther) {
      return aOther.mJob == failed.mJob;
    });
  if (!mResubmitsExpired || submissions > 1) {
    return;
  }
  size_t other = (failed.mEntry + 1) % mEntries.size();
  At(kResubmitDelay,
     [this, job = failed.mJob, other] { Resubmit(job, other); });
}

void
sized_world::OnAnswer(caller_id aCaller, const job_outcome& aOutcome)
{
  caller_record& caller = mCallers[aCaller];
  if (caller.mAnswered) {
    AddViolation("caller " + std::to_string(aCaller) + " was answered twice");
  }
  caller.mAnswered = true;
  caller.mEnding = aOutcome.mEnding;
  caller.mAnsweredAt = mNow;
  if (aOutcome.mEnding == job_ending::Expired) {
    ResubmitLater(aCaller);
  }
  const job_submission& job = mJobs[caller.mJob];
  if (aOutcome.mEnding == job_ending::Completed &&
      mDone[caller.mJob].size() < job.mSteps[0].mCount) {
    AddViolation("job " + std::to_string(caller.mJob) +
                 " is called complete with tasks left");
  }
  bool neverStarted = mStartedJobs.count(caller.mJob) == 0;
  if (aOutcome.mEnding == job_ending::Refused && !neverStarted) {
    // Allowed if an earlier submission, which was not refused, has started it.
    bool earlier = std::any_of(
      mCallers.begin(), mCallers.end(), [&](const caller_record& aOther) {
        bool expired =
          aOther.mAnswered && aOther.mEnding == job_ending::Expired;
        return aOther.mJob == caller.mJob && (aOther.mLost || expired);
      });
    if (!earlier) {
      AddViolation("job " + std::to_string(caller.mJob) +
                   " ran and was refused");
    }
  }
}

const caller_record&
sized_world::LastSubmission(uint64_t aJob) const
{
  auto found =
    std::find_if(mCallers.rbegin(),
                 mCallers.rend(),
                 [&](const caller_record& aOne) { return aOne.mJob == aJob; });
  return *found;
}

size_t
sized_world::CountEnding(job_ending aEnding) const
{
  return size_t(std::count_if(
    mCallers.begin(), mCallers.end(), [&](const caller_record& aOne) {
      return aOne.mAnswered && aOne.mEnding == aEnding;
    }));
}

size_t
sized_world::CountInTime(duration aWithin) const
{
  return size_t(std::count_if(
    mCallers.begin(), mCallers.end(), [&](const caller_record& aOne) {
      return aOne.mAnswered && aOne.mEnding == job_ending::Completed &&
             aOne.mAnsweredAt - aOne.mSentAt <= aWithin;
    }));
}

} // namespace cactusmast::testing
