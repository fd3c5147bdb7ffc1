// Jobs of one shard, from acceptance until the end of their retention.
//
// The table decides the answer of a job exactly once: every task finishes at
// most once, and with the last of them the job becomes complete or failed. A
// result that arrives later or a second time finds its task finished and
// changes nothing.
//
// A decided job keeps its results for the retention time, so that a
// resubmission gets the same whole answer. A byte budget bounds the outputs:
// above it the jobs that were decided first keep their ending and lose their
// outputs, and an answer from them says so.

#ifndef CACTUSMAST_JOB_TABLE_H_
#define CACTUSMAST_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/ids.h"
#include "cactusmast/message.h"
#include "cactusmast/task_queue.h"

namespace cactusmast {

// A job as its caller submits it. The API layer has checked it against the
// size limits.
struct submission
{
  job_id mId;
  std::string mTeam;
  std::string mKey; // idempotency key
  std::string mProfile;
  duration mDeadline{}; // from acceptance; 0: as long as the profile allows
  std::vector<std::string> mPayloads; // one for each task

  // Hash of the profile and the payloads. Detects a key that is reused with
  // other content.
  uint64_t Fingerprint() const;
};

// A caller that waits for the answer of a job.
struct waiter
{
  uint64_t mToken = 0; // by which the entry finds the caller
  instant mReplyDue{}; // when it gets an answer at the latest
};

enum class task_state : uint8_t
{
  Queued,
  Dispatched, // sent to a worker, no result yet
  Finished,   // has its final result
  Count
};

struct task_progress
{
  task_state mState = task_state::Queued;
  uint8_t mRetries = 0; // refusals by workers that count as retries
};

struct job_row
{
  submission mSubmission; // without payloads once decided
  uint64_t mFingerprint = 0;
  job_state mState = job_state::Running;
  uint32_t mLane = 0;
  uint32_t mTeam = 0;
  uint32_t mPriority = 0;
  instant mDeadline{};
  instant mDecidedAt{}; // only valid once decided
  bool mCancelled = false;
  // The results were dropped to stay within the byte budget; mTasks and
  // mResults are empty.
  bool mOutputsDropped = false;
  std::vector<task_progress> mTasks;
  std::vector<wire::task_result_msg> mResults; // by index, as mTasks
  uint32_t mFinishedTasks = 0;
  uint32_t mNextIndex = 0;         // first task that was never taken
  std::vector<uint32_t> mRequeued; // indices of tasks to dispatch again
  std::vector<waiter> mWaiters;
  uint64_t mResultBytes = 0; // of the results; 0 until decided
};

struct job_table_options
{
  // How long a decided job is kept.
  duration mRetention = std::chrono::minutes(5);
  // Bound of the results of all decided jobs together.
  uint64_t mMaxResultBytes = 24u << 20;
  // Accepted jobs, undecided and decided ones.
  uint32_t mMaxJobs = 200000;
};

class job_table
{
public:
  explicit job_table(job_table_options aOptions)
    : mOptions(aOptions)
  {
  }

  // Throws failure(Overloaded) when the table is full.
  job_handle Add(submission aSubmission, instant aNow);
  // Adds a job that an earlier owner decided, with its results.
  job_handle AddInherited(const wire::decided_job_msg& aJob, instant aNow);

  bool Find(const job_id& aId, job_handle* aOut) const;
  bool Has(job_handle aHandle) const { return mRows.count(aHandle) > 0; }
  job_row& At(job_handle aHandle) { return mRows.at(aHandle); }
  const job_row& At(job_handle aHandle) const { return mRows.at(aHandle); }

  // Stores the final result of one task. False when the task is unknown or had
  // finished before. Sets aDecided to whether this decided the job.
  bool FinishTask(job_handle aHandle,
                  wire::task_result_msg aResult,
                  instant aNow,
                  bool* aDecided);

  // Takes the index of the next task to dispatch; false when none is queued.
  static bool TakeQueued(job_row& aRow, uint32_t* aIndex);

  // Running jobs whose deadline, or time given to WatchDeadline, has passed
  // since the last call.
  std::vector<job_handle> TakeOverdue(instant aNow);
  // Makes TakeOverdue return aHandle at aWhen as well.
  void WatchDeadline(job_handle aHandle, instant aWhen);

  // Removes jobs that were decided longer ago than the retention; at most
  // aMax, so that many at once do not block the main loop.
  void Expire(instant aNow, uint32_t aMax);

  // Size of the results of all decided jobs.
  uint64_t AnswerBytes() const { return mAnswerBytes; }
  // Number of jobs that are not decided yet.
  uint32_t UndecidedJobs() const { return mUndecided; }
  std::unordered_map<job_handle, job_row>& Rows() { return mRows; }

private:
  void Decide(job_handle aHandle, job_row& aRow, instant aNow);
  // Drops the oldest outputs while they exceed the byte budget.
  void TrimOutputs();

  job_table_options mOptions;
  std::unordered_map<job_handle, job_row> mRows;
  std::unordered_map<job_id, job_handle, job_id_hash> mHandleById;
  std::multimap<instant, job_handle> mDeadlines;
  // Decided jobs, the oldest first.
  std::deque<job_handle> mDecidedOrder; // for retention
  std::deque<job_handle> mOutputOrder;  // those with outputs, for the budget
  job_handle mNextHandle = 1;
  uint64_t mAnswerBytes = 0;
  uint32_t mUndecided = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_JOB_TABLE_H_
