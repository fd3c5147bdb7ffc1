// Jobs of one shard, from acceptance until the end of their retention.
//
// The table is where a job's answer is decided, once: every task settles at
// most one time, and with the last of them the job becomes complete or
// failed. Whatever arrives afterwards, late or twice, finds the task settled
// and changes nothing.
//
// A decided job keeps its results for the retention time, so that a
// resubmission gets the same whole answer. Outputs are bounded by a byte
// budget: beyond it the oldest decided jobs keep their outcome and lose their
// outputs, and say so when asked.

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

// What a caller submits, checked against budgets by the API layer.
struct submission
{
  job_id mId;
  std::string mTeam;
  std::string mKey;
  std::string mProfile;
  duration mDeadline{};
  std::vector<std::string> mPayloads;

  // Detects a key that is reused with other content.
  uint64_t Fingerprint() const;
};

// Where to send the answer. Tokens are the entry's.
struct waiter
{
  uint64_t mToken = 0;
  instant mUntil{};
};

enum class task_state : uint8_t
{
  Queued,
  Dispatched, // sent to a worker, no end known
  Finished,
  Count
};

struct task_progress
{
  task_state mState = task_state::Queued;
  uint8_t mAttempts = 0;
};

struct job_row
{
  submission mSubmission;
  uint64_t mFingerprint = 0;
  job_state mState = job_state::Running;
  uint32_t mLane = 0;
  uint32_t mTeam = 0;
  uint32_t mPriority = 0;
  instant mDeadline{};
  instant mDecidedAt{};
  bool mCancelled = false;
  bool mOutputsGone = false;
  std::vector<task_progress> mTasks;
  std::vector<wire::task_result_msg> mResults;
  uint32_t mFinishedTasks = 0;
  uint32_t mNextIndex = 0;
  std::vector<uint32_t> mReturned; // indices to dispatch again
  std::vector<waiter> mWaiters;
  uint64_t mBytes = 0; // of results, once decided
};

struct job_table_options
{
  duration mRetention = std::chrono::minutes(5);
  uint64_t mMaxAnswerBytes = 24u << 20;
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
  // A job whose answer another owner decided or began.
  job_handle AddInherited(const wire::decided_job_msg& aJob, instant aNow);

  bool Find(const job_id& aId, job_handle* aOut) const;
  bool Has(job_handle aHandle) const { return mRows.count(aHandle) > 0; }
  job_row& At(job_handle aHandle) { return mRows.at(aHandle); }
  const job_row& At(job_handle aHandle) const { return mRows.at(aHandle); }

  // Settles one task; false when it was settled before. The second result is
  // true when this decided the job.
  bool FinishTask(job_handle aHandle,
                  wire::task_result_msg aResult,
                  instant aNow,
                  bool* aDecided);

  // The next task to dispatch; false when none is queued.
  static bool TakeQueued(job_row& aRow, uint32_t* aIndex);

  // Jobs that ran over their deadline since the last call.
  std::vector<job_handle> TakeOverdue(instant aNow);
  // Asks for aHandle to be reported overdue at aWhen as well.
  void WatchDeadline(job_handle aHandle, instant aWhen);

  // Drops what is older than the retention; at most aMax rows, so that a
  // wave of expiries does not stall the loop.
  void Expire(instant aNow, uint32_t aMax);

  uint64_t AnswerBytes() const { return mAnswerBytes; }
  uint32_t Undecided() const { return mUndecided; }
  std::unordered_map<job_handle, job_row>& Rows() { return mRows; }

private:
  void Decide(job_handle aHandle, job_row& aRow, instant aNow);
  void TrimOutputs();

  job_table_options mOptions;
  std::unordered_map<job_handle, job_row> mRows;
  std::unordered_map<job_id, job_handle, job_id_hash> mIndex;
  std::multimap<instant, job_handle> mDeadlines;
  std::deque<job_handle> mDecidedOrder; // for retention
  std::deque<job_handle> mOutputOrder;  // for the byte budget
  job_handle mNextHandle = 1;
  uint64_t mAnswerBytes = 0;
  uint32_t mUndecided = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_JOB_TABLE_H_
