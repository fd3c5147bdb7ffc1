// Requests of callers to shard_owner: submissions of new jobs and of jobs of
// earlier owners, watching and cancelling.

#include <algorithm>
#include <string>

#include "cactusmast/shard_owner.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInDoubtRetryAfter{ 1500 };

} // namespace

void
shard_owner::Submit(submission aSubmission, const waiter& aWaiter, instant aNow)
{
  job_handle known = 0;
  if (mSafeguards.mDeduplicateJobs && mJobs.Find(aSubmission.mId, &known)) {
    const job_row& row = mJobs.At(known);
    if (row.mFingerprint != aSubmission.Fingerprint()) {
      Refuse(aWaiter,
             failure(error_code::Conflict,
                     "accept",
                     "caller",
                     "the key was used for a submission with other content"));
      return;
    }
    if (row.mState != job_state::Running) {
      AnswerFrom(row, aWaiter);
    } else {
      AddWaiter(known, aWaiter);
    }
    return;
  }
  if (!IsComplete()) {
    if (mHeld.size() >= mOptions.mMaxHeldSubmissions) {
      Refuse(aWaiter,
             failure(error_code::Overloaded,
                     "accept",
                     "",
                     "too many submissions wait for start records",
                     run_state::Unknown,
                     std::chrono::seconds(2)));
      return;
    }
    instant until = std::max(aNow, mClaimedAt + mOptions.mMaxHoldTime);
    mHeld.push_back({ std::move(aSubmission), aWaiter, until });
    return;
  }
  Accept(std::move(aSubmission), aWaiter, aNow);
}

void
shard_owner::ReleaseHeld(instant aNow)
{
  while (!mHeld.empty()) {
    held_submission& front = mHeld.front();
    bool ready = IsComplete();
    if (!ready && aNow < front.mUntil) {
      return;
    }
    held_submission held = std::move(front);
    mHeld.pop_front();
    if (ready) {
      Submit(std::move(held.mSubmission), held.mWaiter, aNow);
      continue;
    }
    // An earlier owner may have accepted this job and started its tasks on a
    // worker that cannot be asked. Starting them again could run them twice.
    AddInDoubt(held.mSubmission.mId, aNow);
    // The worker may return at any moment, so the caller may retry soon.
    auto spread = milliseconds(
      int64_t(double(kInDoubtRetryAfter.count()) * mRandom.NextUniform()));
    Refuse(held.mWaiter,
           failure(error_code::InDoubt,
                   "accept",
                   mMissing.front().mName,
                   "an earlier submission under this key may have started on "
                   "a worker that does not answer",
                   run_state::Unknown,
                   kInDoubtRetryAfter + spread));
  }
}

void
shard_owner::AddInDoubt(const job_id& aId, instant aNow)
{
  constexpr size_t kMaxInDoubt = 100000;
  if (mInDoubt.size() >= kMaxInDoubt) {
    // Removes the jobs that were not submitted again for the retention time.
    for (auto item = mInDoubt.begin(); item != mInDoubt.end();) {
      bool isOld = item->second + mOptions.mJobs.mRetention <= aNow;
      item = isOld ? mInDoubt.erase(item) : std::next(item);
    }
  }
  mInDoubt[aId] = aNow;
}

bool
shard_owner::IsInDoubt(const job_id& aId) const
{
  return mInDoubtExpired && mInDoubt.count(aId) > 0;
}

// The workers whose records could have resolved the doubt are lost. A task
// without a record on another worker may have started there and must not start
// again.
void
shard_owner::FailInDoubt(job_handle aJob, instant aNow)
{
  mInDoubt.erase(mJobs.At(aJob).mSubmission.mId);
  uint32_t count = uint32_t(mJobs.At(aJob).mTasks.size());
  for (uint32_t i = 0; i < count; i++) {
    if (mJobs.At(aJob).mTasks[i].mState == task_state::Queued) {
      FinishTask(aJob, i, run_state::Unknown, task_reason::WorkerLost, aNow);
    }
  }
}

const profile&
shard_owner::ProfileFor(const submission& aSubmission, bool aKnownJob)
{
  auto found = mConfig.mProfiles.find(aSubmission.mProfile);
  if (found == mConfig.mProfiles.end()) {
    throw failure(error_code::NotFound,
                  "accept",
                  "caller",
                  "no profile " + aSubmission.mProfile);
  }
  if (found->second.mRetired && !aKnownJob) {
    throw failure(error_code::NotFound,
                  "accept",
                  "caller",
                  "profile " + aSubmission.mProfile + " is retired");
  }
  return found->second;
}

uint32_t
shard_owner::TeamFor(const std::string& aName)
{
  auto found = mConfig.mTeams.find(aName);
  if (found != mConfig.mTeams.end()) {
    return mDispatcher.SetTeam(found->second);
  }
  team unlisted;
  unlisted.mName = aName;
  return mDispatcher.SetTeam(unlisted);
}

void
shard_owner::CheckSatisfiable(uint32_t aLane, instant aNow)
{
  if (mDispatcher.IsSatisfiable(aLane)) {
    return;
  }
  const profile& required = mDispatcher.LaneProfile(aLane);
  for (const auto& [name, absent] : mAbsent) {
    bool recent = aNow - absent.second < mOptions.mJobs.mRetention;
    if (recent && dispatcher::Fits(absent.first, required)) {
      return; // it may come back within the deadline
    }
  }
  throw failure(error_code::Unsatisfiable,
                "accept",
                "",
                "no known backend server runs service " + required.mService +
                  " with " + std::to_string(required.mCpus) + " cpus, " +
                  std::to_string(required.mMemoryMb) + " MB and " +
                  std::to_string(required.mAccelerators) + " accelerators");
}

void
shard_owner::Accept(submission aSubmission, const waiter& aWaiter, instant aNow)
{
  job_id id = aSubmission.mId;
  bool inDoubt = IsInDoubt(id);
  bool recovered =
    inDoubt || mRecovered.count(id) > 0 || mInherited.count(id) > 0;
  uint32_t count = uint32_t(aSubmission.mPayloads.size());
  try {
    const profile& jobProfile = ProfileFor(aSubmission, recovered);
    uint32_t lane = mDispatcher.SetLane(jobProfile);
    uint32_t teamIndex = TeamFor(aSubmission.mTeam);
    duration deadline = milliseconds(jobProfile.mDeadlineMs);
    if (aSubmission.mDeadline.count() > 0) {
      deadline = std::min(deadline, aSubmission.mDeadline);
    }
    aSubmission.mDeadline = deadline;
    bool discovering = aNow - mClaimedAt < mOptions.mDiscoveryTime;
    if (!recovered) {
      if (!discovering) {
        CheckSatisfiable(lane, aNow);
      }
      ShedJobs(lane, teamIndex, count, aNow);
      mDispatcher.Admit(
        lane, teamIndex, count, deadline, mRandom.NextUniform());
    }
    job_handle job = mJobs.Add(std::move(aSubmission), aNow);
    job_row& row = mJobs.At(job);
    row.mLane = lane;
    row.mTeam = teamIndex;
    row.mPriority = jobProfile.mPriority;
    mCounters.mJobsAccepted++;
    AddWaiter(job, aWaiter);
    if (recovered && RestoreTasks(job, aNow)) {
      return; // all tasks have finished
    }
    if (inDoubt) {
      FailInDoubt(job, aNow);
    }
    uint32_t queued = 0;
    for (const task_progress& task : row.mTasks) {
      queued += task.mState == task_state::Queued ? 1 : 0;
    }
    mDispatcher.Enqueue(job, lane, teamIndex, queued, aNow);
    if (!mDispatcher.IsSatisfiable(lane)) {
      mUnsatisfiable.push_back(job);
    }
  } catch (const failure& error) {
    // Some tasks of a job that an earlier owner accepted may have run.
    run_state run = recovered ? run_state::Unknown : error.RunState();
    Refuse(aWaiter,
           failure(error.Code(),
                   error.Step(),
                   error.Peer(),
                   error.what(),
                   run,
                   error.RetryAfter()));
  }
}

void
shard_owner::ShedJobs(uint32_t aLane,
                      uint32_t aTeam,
                      uint32_t aCount,
                      instant aNow)
{
  uint32_t queued = mDispatcher.Queue().QueuedOfTeam(aTeam);
  uint32_t limit = mDispatcher.TeamQueueLimit(aTeam);
  if (queued + aCount <= limit) {
    return;
  }
  uint32_t missing = queued + aCount - limit;
  for (job_handle victim : mDispatcher.ShedFor(aLane, aTeam, missing)) {
    FinishQueued(victim, task_reason::Shed, aNow);
  }
}

// Restores the tasks that are known from an earlier submission of the job.
// True when that decided the job.
bool
shard_owner::RestoreTasks(job_handle aJob, instant aNow)
{
  job_id id = mJobs.At(aJob).mSubmission.mId;
  auto inherited = mInherited.find(id);
  if (inherited != mInherited.end()) {
    for (wire::task_result_msg& result : inherited->second.tasks) {
      FinishWithResult(aJob, std::move(result), aNow);
    }
    mInherited.erase(inherited);
  }
  auto recovered = mRecovered.find(id);
  if (recovered != mRecovered.end()) {
    std::vector<recovered_task> tasks = std::move(recovered->second);
    mRecovered.erase(recovered);
    bool abandoned = false;
    for (const recovered_task& task : tasks) {
      if (task.mState == record_state::Abandoned) {
        abandoned = true;
      } else {
        RestoreTask(aJob, task, aNow);
      }
    }
    FetchRestored(aJob);
    if (abandoned) {
      FinishQueued(aJob, task_reason::Cancelled, aNow);
    }
  }
  return mJobs.At(aJob).mState != job_state::Running;
}

void
shard_owner::RestoreTask(job_handle aJob,
                         const recovered_task& aTask,
                         instant aNow)
{
  job_row& row = mJobs.At(aJob);
  if (aTask.mIndex >= row.mTasks.size() ||
      row.mTasks[aTask.mIndex].mState == task_state::Finished) {
    return;
  }
  auto worker = mWorkers.find(aTask.mWorker);
  if (worker == mWorkers.end()) {
    bool finished = aTask.mState == record_state::Finished;
    FinishTask(aJob,
               aTask.mIndex,
               finished ? run_state::Run : run_state::Unknown,
               finished ? task_reason::ResultDropped : task_reason::WorkerLost,
               aNow);
    return;
  }
  row.mTasks[aTask.mIndex].mState = task_state::Dispatched;
  task_ref ref = RefOf(row.mSubmission.mId, aTask.mIndex);
  worker->second.mRestored[ref] = aJob;
}

std::vector<task_ref>
shard_owner::RestoredOf(const worker_row& aRow, job_handle aJob)
{
  std::vector<task_ref> refs;
  for (const auto& [ref, job] : aRow.mRestored) {
    if (job == aJob) {
      refs.push_back(ref);
    }
  }
  return refs;
}

// Asks the guards for the results of the job's restored tasks. A result that
// came before the job was submitted here was not stored. The guard sends it
// again, or sends it when the task ends.
void
shard_owner::FetchRestored(job_handle aJob)
{
  for (auto& [name, row] : mWorkers) {
    wire::fetch_msg fetch;
    fetch.refs = RestoredOf(row, aJob);
    if (!fetch.refs.empty() && row.mPeer != 0) {
      mCounters.mFetchMessages++;
      mNetwork.Send(row.mPeer, MakeMessage(std::move(fetch)));
    }
  }
}

void
shard_owner::FailUnsatisfiable(instant aNow)
{
  if (mUnsatisfiable.empty() || aNow - mClaimedAt < mOptions.mDiscoveryTime) {
    return;
  }
  std::vector<job_handle> candidates = std::move(mUnsatisfiable);
  mUnsatisfiable.clear();
  for (job_handle job : candidates) {
    if (!mJobs.Has(job) || mJobs.At(job).mState != job_state::Running) {
      continue;
    }
    try {
      CheckSatisfiable(mJobs.At(job).mLane, aNow);
    } catch (const failure&) {
      FinishQueued(job, task_reason::Unsatisfiable, aNow);
    }
  }
}

bool
shard_owner::FindJobOfTeam(const std::string& aTeam,
                           const job_id& aId,
                           job_handle* aOut) const
{
  return mJobs.Find(aId, aOut) && mJobs.At(*aOut).mSubmission.mTeam == aTeam;
}

void
shard_owner::Await(const std::string& aTeam,
                   const job_id& aId,
                   const waiter& aWaiter,
                   instant aNow)
{
  job_handle job = 0;
  if (FindJobOfTeam(aTeam, aId, &job)) {
    const job_row& row = mJobs.At(job);
    if (row.mState == job_state::Running && aWaiter.mReplyDue > aNow) {
      AddWaiter(job, aWaiter);
    } else {
      AnswerFrom(row, aWaiter);
    }
    return;
  }
  bool claimedRecently = aNow - mClaimedAt < mOptions.mMaxHoldTime;
  bool handedOver = mInherited.count(aId) > 0 && claimedRecently;
  bool known = mRecovered.count(aId) > 0 || !IsComplete();
  if (known && !handedOver) {
    Refuse(aWaiter,
           failure(error_code::InDoubt,
                   "find job",
                   "",
                   "the entry that owned this job is no longer available; "
                   "submit it again under the same key to have it completed",
                   run_state::Unknown,
                   std::chrono::seconds(1)));
    return;
  }
  if (claimedRecently) {
    // The previous owner may be about to submit the job here.
    Refuse(aWaiter,
           failure(error_code::Unavailable,
                   kRouteStep,
                   "",
                   "the shard was claimed a moment ago"));
    return;
  }
  Refuse(aWaiter,
         failure(error_code::NotFound, "find job", "caller", "no such job"));
}

void
shard_owner::Cancel(const std::string& aTeam,
                    const job_id& aId,
                    const waiter& aWaiter,
                    instant aNow)
{
  job_handle job = 0;
  if (!FindJobOfTeam(aTeam, aId, &job)) {
    Await(aTeam, aId, aWaiter, aNow);
    return;
  }
  if (mJobs.At(job).mState != job_state::Running) {
    AnswerFrom(mJobs.At(job), aWaiter);
    return;
  }
  mJobs.At(job).mCancelled = true;
  AddWaiter(job, aWaiter);
  mEvents.Emit(event_code::JobCancelled, { { "job", aId.Text() } });
  FinishQueued(job, task_reason::Cancelled, aNow);
  if (mJobs.At(job).mState != job_state::Running) {
    return;
  }
  // Only dispatched tasks need messages, one to each worker.
  for (auto& [name, row] : mWorkers) {
    wire::cancel_tasks_msg cancel;
    for (const auto& [ref, task] : row.mInFlight) {
      if (task.mJob == job) {
        cancel.refs.push_back(ref);
      }
    }
    for (const task_ref& ref : RestoredOf(row, job)) {
      cancel.refs.push_back(ref);
    }
    if (!cancel.refs.empty() && row.mPeer != 0) {
      mCounters.mCancelMessages++;
      mNetwork.Send(row.mPeer, MakeMessage(std::move(cancel)));
    }
  }
}

} // namespace cactusmast
