// The callers of a sized_world.

#include <algorithm>

#include "cactusmast/testing/sized_world_parts.h"

namespace cactusmast::testing {

uint64_t
sized_world::Submit(size_t aEntry,
                    uint32_t aTasks,
                    uint32_t aWorkMs,
                    uint32_t aDeadlineMs,
                    uint32_t aDeclaredMs)
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
  mDeadlines[job] = aDeadlineMs;
  mFirstSentAt[job] = mNow;
  SubmitAgain(job, aEntry);
  return job;
}

uint32_t
sized_world::RemainingWaitMs(uint64_t aJob) const
{
  uint32_t whole = mDeadlines.at(aJob);
  auto passed = uint32_t(ToMs(mNow - mFirstSentAt.at(aJob)));
  if (!mCountDownWaits) {
    return whole;
  }
  return passed < whole ? whole - passed : 0;
}

void
sized_world::SubmitAgain(uint64_t aJob, size_t aEntry)
{
  if (RemainingWaitMs(aJob) == 0) {
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
  request.mRoute = &mTable->Config().mRoutes[0];
  request.mCallerTimeoutMs = RemainingWaitMs(aJob);
  Hand(request, aEntry);
}

void
sized_world::Hand(const job_request& aRequest, size_t aEntry)
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
sized_world::HangUp(uint64_t aJob)
{
  for (size_t i = 0; i < mCallers.size(); i++) {
    caller_record& one = mCallers[i];
    if (one.mJob == aJob && !one.mAnswered && !one.mLost) {
      one.mLost = true;
      Deliver(false, one.mEntry, [this, i, entry = one.mEntry] {
        Coordinator(entry).OnCallerDisconnected(i);
      });
    }
  }
}

void
sized_world::OnAnswer(caller_id aCaller, const job_outcome& aOutcome)
{
  caller_record& one = mCallers[aCaller];
  if (one.mAnswered) {
    Violate("caller " + std::to_string(aCaller) + " was answered twice");
  }
  one.mAnswered = true;
  one.mEnding = aOutcome.mEnding;
  one.mAnsweredAt = mNow;
  const job_submission& job = mJobs[one.mJob];
  if (aOutcome.mEnding == job_ending::Completed &&
      mDone[one.mJob].size() < job.mSteps[0].mCount) {
    Violate("job " + std::to_string(one.mJob) +
            " is called complete with tasks left");
  }
  bool first = mStartedJobs.count(one.mJob) == 0;
  if (aOutcome.mEnding == job_ending::Refused && !first) {
    // Started by an earlier submission is allowed; that one was not refused.
    bool earlier = std::any_of(
      mCallers.begin(), mCallers.end(), [&](const caller_record& aOther) {
        return aOther.mJob == one.mJob && aOther.mLost;
      });
    if (!earlier) {
      Violate("job " + std::to_string(one.mJob) + " ran and was refused");
    }
  }
}

const caller_record&
sized_world::LastOf(uint64_t aJob) const
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
