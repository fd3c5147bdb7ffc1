#include "cactusmast/job_table.h"

#include <algorithm>

namespace cactusmast {
namespace {

constexpr uint64_t kBytesPerResult = sizeof(wire::task_result_msg);

uint64_t
ResultBytes(const job_row& aRow)
{
  uint64_t sum = 0;
  for (const wire::task_result_msg& result : aRow.mResults) {
    sum += kBytesPerResult + result.output.size();
  }
  return sum;
}

} // namespace

uint64_t
submission::Fingerprint() const
{
  uint64_t hash = Hash64(mProfile, mPayloads.size());
  for (const std::string& payload : mPayloads) {
    hash = Hash64(payload, hash);
  }
  return hash;
}

job_handle
job_table::Add(submission aSubmission, instant aNow)
{
  if (mRows.size() >= mOptions.mMaxJobs) {
    throw failure(error_code::Overloaded,
                  "accept",
                  "",
                  "the job table is full",
                  run_state::NotRun,
                  std::chrono::seconds(1));
  }
  job_handle handle = mNextHandle++;
  job_row& row = mRows[handle];
  row.mFingerprint = aSubmission.Fingerprint();
  row.mDeadline = aNow + aSubmission.mDeadline;
  row.mTasks.resize(aSubmission.mPayloads.size());
  row.mResults.resize(aSubmission.mPayloads.size());
  row.mSubmission = std::move(aSubmission);
  mHandleById[row.mSubmission.mId] = handle;
  mDeadlines.emplace(row.mDeadline, handle);
  mUndecided++;
  return handle;
}

job_handle
job_table::AddInherited(const wire::decided_job_msg& aJob, instant aNow)
{
  job_handle handle = mNextHandle++;
  job_row& row = mRows[handle];
  row.mSubmission.mId = { aJob.job_hi, aJob.job_lo };
  row.mSubmission.mTeam = aJob.team;
  row.mFingerprint = aJob.fingerprint;
  row.mState = job_state(aJob.state);
  row.mResults = aJob.tasks;
  row.mTasks.resize(aJob.tasks.size(), { task_state::Finished, 0 });
  row.mFinishedTasks = uint32_t(aJob.tasks.size());
  row.mDecidedAt = aNow;
  row.mResultBytes = ResultBytes(row);
  mAnswerBytes += row.mResultBytes;
  mHandleById[row.mSubmission.mId] = handle;
  mDecidedOrder.push_back(handle);
  mOutputOrder.push_back(handle);
  TrimOutputs();
  return handle;
}

bool
job_table::Find(const job_id& aId, job_handle* aOut) const
{
  auto found = mHandleById.find(aId);
  if (found == mHandleById.end()) {
    return false;
  }
  *aOut = found->second;
  return true;
}

bool
job_table::FinishTask(job_handle aHandle,
                      wire::task_result_msg aResult,
                      instant aNow,
                      bool* aDecided)
{
  *aDecided = false;
  auto found = mRows.find(aHandle);
  if (found == mRows.end()) {
    return false;
  }
  job_row& row = found->second;
  uint32_t index = aResult.ref.index();
  if (index >= row.mTasks.size() ||
      row.mTasks[index].mState == task_state::Finished) {
    return false;
  }
  row.mTasks[index].mState = task_state::Finished;
  row.mResults[index] = std::move(aResult);
  row.mFinishedTasks++;
  if (row.mFinishedTasks == row.mTasks.size()) {
    Decide(aHandle, row, aNow);
    *aDecided = true;
  }
  return true;
}

void
job_table::Decide(job_handle aHandle, job_row& aRow, instant aNow)
{
  bool complete = std::all_of(
    aRow.mResults.begin(), aRow.mResults.end(), [](const auto& aResult) {
      return aResult.outcome == uint8_t(task_outcome::Succeeded);
    });
  aRow.mState = complete ? job_state::Complete : job_state::Failed;
  aRow.mDecidedAt = aNow;
  std::vector<std::string>().swap(aRow.mSubmission.mPayloads);
  std::vector<uint32_t>().swap(aRow.mRequeued);
  aRow.mResultBytes = ResultBytes(aRow);
  mAnswerBytes += aRow.mResultBytes;
  mUndecided--;
  mDecidedOrder.push_back(aHandle);
  mOutputOrder.push_back(aHandle);
  TrimOutputs();
}

void
job_table::TrimOutputs()
{
  // The newest answer is kept whatever its size, because its callers are about
  // to read it.
  while (mAnswerBytes > mOptions.mMaxResultBytes && mOutputOrder.size() > 1) {
    auto oldest = mRows.find(mOutputOrder.front());
    mOutputOrder.pop_front();
    if (oldest == mRows.end()) {
      continue;
    }
    job_row& row = oldest->second;
    mAnswerBytes -= row.mResultBytes;
    row.mResultBytes = 0;
    row.mOutputsDropped = true;
    std::vector<wire::task_result_msg>().swap(row.mResults);
    std::vector<task_progress>().swap(row.mTasks);
  }
}

bool
job_table::TakeQueued(job_row& aRow, uint32_t* aIndex)
{
  while (!aRow.mRequeued.empty()) {
    uint32_t index = aRow.mRequeued.back();
    aRow.mRequeued.pop_back();
    if (aRow.mTasks[index].mState == task_state::Queued) {
      *aIndex = index;
      return true;
    }
  }
  while (aRow.mNextIndex < aRow.mTasks.size()) {
    uint32_t index = aRow.mNextIndex++;
    if (aRow.mTasks[index].mState == task_state::Queued) {
      *aIndex = index;
      return true;
    }
  }
  return false;
}

void
job_table::WatchDeadline(job_handle aHandle, instant aWhen)
{
  mDeadlines.emplace(aWhen, aHandle);
}

std::vector<job_handle>
job_table::TakeOverdue(instant aNow)
{
  std::vector<job_handle> overdue;
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    job_handle handle = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    auto found = mRows.find(handle);
    if (found != mRows.end() && found->second.mState == job_state::Running) {
      overdue.push_back(handle);
    }
  }
  return overdue;
}

void
job_table::Expire(instant aNow, uint32_t aMax)
{
  for (uint32_t i = 0; i < aMax && !mDecidedOrder.empty(); i++) {
    job_handle handle = mDecidedOrder.front();
    auto found = mRows.find(handle);
    if (found != mRows.end()) {
      job_row& row = found->second;
      if (row.mDecidedAt + mOptions.mRetention > aNow) {
        return;
      }
      mAnswerBytes -= row.mResultBytes;
      mHandleById.erase(row.mSubmission.mId);
      mRows.erase(found);
    }
    mDecidedOrder.pop_front();
  }
}

} // namespace cactusmast
