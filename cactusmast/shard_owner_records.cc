// Start records in shard_owner: which workers may hold them, what a new owner
// restores from them, and what is passed on when a guard drains or this owner
// steps down.

#include <algorithm>
#include <string>

#include "cactusmast/shard_owner.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Jobs and tasks in one part of a handover.
constexpr size_t kHandoverTasks = 5000;
// Number of guards that get a copy of a record of a start elsewhere, or of an
// abandoned job.
constexpr uint32_t kRecordReplicas = 2;

} // namespace

void
shard_owner::OnRecords(peer_id aPeer,
                       const wire::records_msg& aRecords,
                       instant aNow)
{
  worker_row* row = FindByPeer(aPeer);
  if (row == nullptr || aRecords.epoch != mEpoch) {
    return;
  }
  row->mLastHeard = aNow;
  if (aRecords.clean_stop) {
    ReplicateRecords(*row, aRecords);
    if (aRecords.last) {
      AwaitReplicas(*row, aNow);
    }
    return;
  }
  for (const wire::record_summary& item : aRecords.items) {
    auto state = record_state(item.state());
    if (state == record_state::Tombstone ||
        row->mInFlight.count(item.ref()) > 0) {
      continue;
    }
    if (mSafeguards.mUseRecords && !MergeRecord(item, *row, aNow)) {
      mRecovered[JobOf(item.ref())].push_back(
        { item.ref().index(), state, item.has_result(), row->mIdentity.mName });
    }
    if (state == record_state::Running && !row->mRecordsReceived) {
      row->mAdopted[item.ref()] = true;
      mDispatcher.AdoptRunning(row->mHandle);
    }
  }
  if (!aRecords.last) {
    return;
  }
  row->mRecordsReceived = true;
  auto isThisWorker = [row](const known_worker& aKnown) {
    return aKnown.mName == row->mIdentity.mName &&
           aKnown.mIncarnation == row->mIdentity.mIncarnation;
  };
  mMissing.erase(std::remove_if(mMissing.begin(), mMissing.end(), isThisWorker),
                 mMissing.end());
  UpdateAccepting(*row, aNow);
  CheckComplete(aNow);
}

// Handles the record of a task whose job was submitted here before the record
// came. A task that is queued here is restored from it. False when the job is
// not present.
bool
shard_owner::MergeRecord(const wire::record_summary& aRecord,
                         const worker_row& aFrom,
                         instant aNow)
{
  job_handle job = 0;
  if (!mJobs.Find(JobOf(aRecord.ref()), &job)) {
    return false;
  }
  job_row& present = mJobs.At(job);
  uint32_t index = aRecord.ref().index();
  if (index < present.mTasks.size() &&
      present.mTasks[index].mState == task_state::Queued) {
    RestoreTask(job,
                { index,
                  record_state(aRecord.state()),
                  aRecord.has_result(),
                  aFrom.mIdentity.mName },
                aNow);
    FetchRestored(job);
  }
  return true;
}

// A guard that drains has no running tasks, and its results have been
// received. Its start records must outlive it, because if this process fails
// before their retention ends, the next owner would not find those starts. So
// other guards store copies and report them with their own records.
void
shard_owner::ReplicateRecords(const worker_row& aFrom,
                              const wire::records_msg& aRecords)
{
  for (const std::string& replica : ReplicaTargets(aFrom)) {
    mNetwork.Send(mWorkers[replica].mPeer,
                  MakeMessage(wire::records_msg(aRecords)));
  }
}

std::vector<std::string>
shard_owner::ReplicaTargets(const worker_row& aFrom) const
{
  std::vector<std::string> replicas;
  for (const auto& [name, row] : mWorkers) {
    bool eligible = &row != &aFrom && row.mPeer != 0 && row.mLeased &&
                    !row.mDraining && replicas.size() < kRecordReplicas;
    if (eligible) {
      replicas.push_back(name);
    }
  }
  return replicas;
}

void
shard_owner::AddAbandoned(const job_row& aRow)
{
  bool anyNotRun = std::any_of(
    aRow.mResults.begin(), aRow.mResults.end(), [](const auto& aResult) {
      return aResult.outcome != uint8_t(task_outcome::Succeeded) &&
             aResult.run == uint8_t(run_state::NotRun);
    });
  if (anyNotRun && mSafeguards.mRecordAbandoned) {
    mAbandoned.push_back(RefOf(aRow.mSubmission.mId, kWholeJob));
  }
}

// An answer that says that tasks did not run must remain true. If this owner
// were lost and the job submitted again, the next owner would find no record
// of these tasks and start them. So guards record such jobs; one message
// covers any number of them.
void
shard_owner::SendAbandoned()
{
  if (mAbandoned.empty()) {
    return;
  }
  uint32_t sent = 0;
  for (const auto& [name, row] : mWorkers) {
    if (row.mPeer == 0 || !row.mLeased || sent == kRecordReplicas) {
      continue;
    }
    wire::abandon_msg abandon;
    abandon.epoch = mEpoch;
    abandon.refs = mAbandoned;
    mCounters.mAbandonMessages++;
    mNetwork.Send(row.mPeer, MakeMessage(std::move(abandon)));
    sent++;
  }
  mAbandoned.clear();
}

void
shard_owner::ForgetRecordsAt(const std::string& aWorker)
{
  for (auto& [id, tasks] : mRecovered) {
    for (recovered_task& task : tasks) {
      if (task.mWorker == aWorker) {
        task.mWorker.clear();
      }
    }
  }
}

void
shard_owner::AwaitReplicas(worker_row& aRow, instant aNow)
{
  aRow.mReplicating = true;
  aRow.mPendingReplicas.clear();
  for (const std::string& replica : ReplicaTargets(aRow)) {
    // This request follows the records on the same link, so its confirmation
    // confirms them as well.
    worker_row& replicaRow = mWorkers[replica];
    RequestLease(replicaRow, aNow);
    aRow.mPendingReplicas[replica] = replicaRow.mSequence;
  }
  if (aRow.mPendingReplicas.empty()) {
    FinishDrain(std::string(aRow.mIdentity.mName), false, aNow);
  }
}

void
shard_owner::OnReplicaConfirmed(const std::string& aReplica,
                                uint64_t aSequence,
                                instant aNow)
{
  std::vector<std::string> replicated;
  std::vector<std::string> unreplicated;
  for (auto& [name, row] : mWorkers) {
    auto awaited = row.mPendingReplicas.find(aReplica);
    if (!row.mReplicating || awaited == row.mPendingReplicas.end()) {
      continue;
    }
    if (aSequence >= awaited->second) {
      replicated.push_back(name);
    } else if (aSequence == 0) {
      row.mPendingReplicas.erase(awaited);
      if (row.mPendingReplicas.empty()) {
        unreplicated.push_back(name);
      }
    }
  }
  for (const std::string& name : replicated) {
    FinishDrain(name, true, aNow);
  }
  for (const std::string& name : unreplicated) {
    FinishDrain(name, false, aNow);
  }
}

void
shard_owner::FinishDrain(const std::string& aName,
                         bool aReplicated,
                         instant aNow)
{
  worker_row& row = mWorkers[aName];
  wire::lease_release_msg release;
  release.shard = mOptions.mShard;
  release.epoch = mEpoch;
  release.records_kept = aReplicated;
  mNetwork.Send(row.mPeer, MakeMessage(std::move(release)));
  if (!aReplicated) {
    // No other guard has the records. If this owner fails, nobody can tell what
    // ran there, and the next owner must know that.
    mLostWorkers.push_back({ aName, row.mIdentity.mIncarnation, aNow });
  }
  ForgetRecordsAt(aName);
  mEvents.Emit(
    event_code::WorkerLeft,
    { { "worker", aName }, { "kept", aReplicated ? "true" : "false" } });
  mAbsent[aName] = { row.mTraits, aNow };
  RemoveWorker(aName);
}

void
shard_owner::CheckComplete(instant aNow)
{
  auto expired = [&](const known_worker& aKnown) {
    return aKnown.mLastAlive + mOptions.mJobs.mRetention <= aNow;
  };
  bool wasComplete = mMissing.empty();
  size_t missingBefore = mMissing.size();
  mMissing.erase(std::remove_if(mMissing.begin(), mMissing.end(), expired),
                 mMissing.end());
  mInDoubtExpired = mInDoubtExpired || mMissing.size() < missingBefore;
  mLostWorkers.erase(
    std::remove_if(mLostWorkers.begin(), mLostWorkers.end(), expired),
    mLostWorkers.end());
  if (!wasComplete && mMissing.empty()) {
    mEvents.Emit(event_code::ShardComplete,
                 { { "shard", std::to_string(mOptions.mShard) } });
  }
  if (mMissing.empty() && !mInDoubtExpired) {
    mInDoubt.clear();
  }
  if (!mMissing.empty() && !mInDoubtReported &&
      aNow - mClaimedAt >= mOptions.mMaxHoldTime) {
    mInDoubtReported = true;
    mEvents.Emit(event_code::ShardInDoubt,
                 { { "shard", std::to_string(mOptions.mShard) },
                   { "worker", mMissing.front().mName } });
  }
}

std::vector<known_worker>
shard_owner::Roster() const
{
  std::vector<known_worker> roster = mLostWorkers;
  for (const known_worker& missing : mMissing) {
    if (missing.mName != kUnknownWorker) {
      roster.push_back(missing);
    }
  }
  for (const auto& [name, row] : mWorkers) {
    roster.push_back({ name, row.mIdentity.mIncarnation, row.mLastHeard });
  }
  return roster;
}

void
shard_owner::OnRosterRead(const std::vector<known_worker>& aListed,
                          instant aNow)
{
  auto unlisted = std::find_if(
    mMissing.begin(), mMissing.end(), [](const known_worker& aOne) {
      return aOne.mName == kUnknownWorker;
    });
  if (unlisted == mMissing.end()) {
    return;
  }
  mMissing.erase(unlisted);
  for (const known_worker& listed : aListed) {
    auto present = mWorkers.find(listed.mName);
    bool reported =
      present != mWorkers.end() && present->second.mRecordsReceived &&
      present->second.mIdentity.mIncarnation == listed.mIncarnation;
    bool known = std::any_of(
      mMissing.begin(), mMissing.end(), [&](const known_worker& aOne) {
        return aOne.mName == listed.mName &&
               aOne.mIncarnation == listed.mIncarnation;
      });
    if (!reported && !known) {
      mMissing.push_back(listed);
    }
  }
  CheckComplete(aNow);
}

void
shard_owner::OnRosterStored(uint64_t aVersion)
{
  mStoredRosterVersion = std::max(mStoredRosterVersion, aVersion);
}

void
shard_owner::OnHandover(const wire::handover_msg& aPart, instant aNow)
{
  for (const wire::decided_job_msg& job : aPart.answers) {
    job_id id{ job.job_hi, job.job_lo };
    job_handle present = 0;
    if (mJobs.Find(id, &present)) {
      continue;
    }
    if (job.state == uint8_t(job_state::Running)) {
      mInherited[id] = job;
    } else {
      mJobs.AddInherited(job, aNow);
    }
  }
  for (const wire::record_summary& item : aPart.starts) {
    mRecovered[JobOf(item.ref())].push_back(
      { item.ref().index(), record_state(item.state()), false, "" });
  }
  if (!aPart.last) {
    return;
  }
  if (aPart.epoch + 1 != mEpoch || mEverLeased) {
    // The sender is not the direct predecessor of this owner: it was paused,
    // and does not know what the owners in between started.
    return;
  }
  // The previous owner knew all starts, so only the workers that it lists as
  // needed are missing.
  mMissing.clear();
  for (const wire::listed_worker_msg& listed : aPart.workers) {
    known_worker worker{ listed.name,
                         listed.incarnation,
                         aNow - milliseconds(listed.age_ms) };
    auto present = mWorkers.find(listed.name);
    bool reported =
      present != mWorkers.end() && present->second.mRecordsReceived &&
      present->second.mIdentity.mIncarnation == listed.incarnation;
    if (!listed.needed) {
      mLostWorkers.push_back(std::move(worker));
    } else if (!reported) {
      mMissing.push_back(std::move(worker));
    }
  }
  CheckComplete(aNow);
}

void
shard_owner::AddWorkerList(wire::handover_msg* aPart, instant aNow) const
{
  auto add = [&](const known_worker& aWorker, bool aNeeded) {
    wire::listed_worker_msg listed;
    listed.name = aWorker.mName;
    listed.incarnation = aWorker.mIncarnation;
    auto age =
      std::chrono::duration_cast<milliseconds>(aNow - aWorker.mLastAlive);
    listed.age_ms = uint64_t(std::max<int64_t>(0, age.count()));
    listed.needed = aNeeded;
    aPart->workers.push_back(std::move(listed));
  };
  for (const known_worker& missing : mMissing) {
    add(missing, true);
  }
  for (const known_worker& lost : mLostWorkers) {
    add(lost, false);
  }
  for (const auto& [name, row] : mWorkers) {
    add({ name, row.mIdentity.mIncarnation, row.mLastHeard }, row.mPeer != 0);
  }
}

void
shard_owner::HandOver(peer_id aSuccessor, instant aNow)
{
  wire::handover_msg part;
  size_t partSize = 0;
  auto flush = [&](bool aLast) {
    part.shard = mOptions.mShard;
    part.epoch = mEpoch;
    part.last = aLast;
    mNetwork.Send(aSuccessor, MakeMessage(std::move(part)));
    part = wire::handover_msg();
    partSize = 0;
  };
  for (const auto& [handle, row] : mJobs.Rows()) {
    wire::decided_job_msg job;
    job.job_hi = row.mSubmission.mId.mHi;
    job.job_lo = row.mSubmission.mId.mLo;
    job.team = row.mSubmission.mTeam;
    job.fingerprint = row.mFingerprint;
    job.state = uint8_t(row.mState);
    for (uint32_t i = 0; i < row.mTasks.size(); i++) {
      if (row.mTasks[i].mState == task_state::Finished) {
        job.tasks.push_back(row.mResults[i]);
      }
    }
    partSize += 1 + job.tasks.size();
    part.answers.push_back(std::move(job));
    if (partSize >= kHandoverTasks) {
      flush(false);
    }
  }
  for (const auto& [id, recovered] : mRecovered) {
    for (const recovered_task& task : recovered) {
      if (task.mWorker.empty()) {
        part.starts.emplace_back(
          RefOf(id, task.mIndex), uint8_t(task.mState), false);
      }
    }
  }
  for (const auto& [name, row] : mWorkers) {
    // A worker without a link cannot be asked about these, so they count as
    // started.
    for (const auto& [ref, task] : row.mInFlight) {
      if (row.mPeer == 0) {
        part.starts.emplace_back(ref, uint8_t(record_state::Running), false);
      }
    }
  }
  AddWorkerList(&part, aNow);
  flush(true);
}

std::vector<shard_owner::moved_job>
shard_owner::StepDown(peer_id aSuccessor, instant aNow)
{
  if (aSuccessor != 0) {
    HandOver(aSuccessor, aNow);
  }
  std::vector<moved_job> moved;
  for (auto& [handle, row] : mJobs.Rows()) {
    if (row.mState != job_state::Running) {
      continue;
    }
    submission resubmission = row.mSubmission;
    resubmission.mDeadline = std::max(duration(0), row.mDeadline - aNow);
    moved.push_back({ std::move(resubmission), std::move(row.mWaiters) });
  }
  for (held_submission& held : mHeld) {
    moved.push_back({ std::move(held.mSubmission), { held.mWaiter } });
  }
  mHeld.clear();
  for (auto& [name, row] : mWorkers) {
    if (row.mPeer == 0) {
      continue;
    }
    row.mBatch.clear();
    wire::lease_release_msg release;
    release.shard = mOptions.mShard;
    release.epoch = mEpoch;
    mNetwork.Send(row.mPeer, MakeMessage(std::move(release)));
  }
  mEvents.Emit(event_code::ShardReleased,
               { { "shard", std::to_string(mOptions.mShard) },
                 { "moved_jobs", std::to_string(moved.size()) } });
  return moved;
}

} // namespace cactusmast
