#include "cactusmast/task_queue.h"

#include <algorithm>

namespace cactusmast {

void
task_queue::SetTeam(uint32_t aTeam, uint32_t aQuota)
{
  if (aTeam >= mTeams.size()) {
    mTeams.resize(aTeam + 1);
  }
  mTeams[aTeam].mQuota = std::max(1u, aQuota);
}

task_queue::job_row&
task_queue::FindOrAddRow(job_handle aJob,
                         uint32_t aLane,
                         uint32_t aTeam,
                         instant aNow)
{
  if (aLane >= mLanes.size()) {
    mLanes.resize(aLane + 1);
  }
  if (aTeam >= mTeams.size()) {
    mTeams.resize(aTeam + 1);
  }
  team_row& teamRow = mTeams[aTeam];
  if (teamRow.mQueued == 0) {
    teamRow.mVirtualTime = std::max(teamRow.mVirtualTime, mVirtualNow);
  }
  return mJobs.try_emplace(aJob, job_row{ aLane, aTeam, 0, aNow, false })
    .first->second;
}

void
task_queue::AddTasks(job_row& aRow, uint32_t aCount)
{
  aRow.mQueued += aCount;
  mTeams[aRow.mTeam].mQueued += aCount;
  mLanes[aRow.mLane].mQueued += aCount;
  mLanes[aRow.mLane].mGroups[aRow.mTeam].mQueued += aCount;
  mTotal += aCount;
}

void
task_queue::RemoveTasks(const job_row& aRow, uint32_t aCount)
{
  mTeams[aRow.mTeam].mQueued -= aCount;
  mTotal -= aCount;
  lane_row& lane = mLanes[aRow.mLane];
  lane.mQueued -= aCount;
  auto found = lane.mGroups.find(aRow.mTeam);
  found->second.mQueued -= aCount;
  if (found->second.mQueued > 0) {
    TrimRing(found->second);
    return;
  }
  for (job_handle job : found->second.mRing) {
    auto row = mJobs.find(job);
    if (row != mJobs.end()) {
      row->second.mInRing = false;
    }
  }
  lane.mGroups.erase(found);
}

void
task_queue::TrimRing(group_row& aGroup)
{
  while (!aGroup.mRing.empty()) {
    auto front = mJobs.find(aGroup.mRing.front());
    if (front != mJobs.end() && front->second.mQueued > 0) {
      return;
    }
    if (front != mJobs.end()) {
      front->second.mInRing = false;
    }
    aGroup.mRing.pop_front();
  }
}

void
task_queue::AddToRing(job_handle aJob, job_row& aRow, bool aFront)
{
  if (aRow.mInRing) {
    return;
  }
  std::deque<job_handle>& ring = mLanes[aRow.mLane].mGroups[aRow.mTeam].mRing;
  if (aFront) {
    ring.push_front(aJob);
  } else {
    ring.push_back(aJob);
  }
  aRow.mInRing = true;
}

void
task_queue::Push(job_handle aJob,
                 uint32_t aLane,
                 uint32_t aTeam,
                 uint32_t aCount,
                 instant aNow)
{
  if (aCount == 0) {
    return;
  }
  job_row& row = FindOrAddRow(aJob, aLane, aTeam, aNow);
  AddTasks(row, aCount);
  AddToRing(aJob, row, false);
}

void
task_queue::PutBack(job_handle aJob,
                    uint32_t aLane,
                    uint32_t aTeam,
                    instant aNow)
{
  job_row& row = FindOrAddRow(aJob, aLane, aTeam, aNow);
  AddTasks(row, 1);
  AddToRing(aJob, row, true);
}

uint32_t
task_queue::Remove(job_handle aJob)
{
  auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return 0;
  }
  job_row row = found->second;
  mJobs.erase(found);
  if (row.mQueued > 0) {
    RemoveTasks(row, row.mQueued);
  }
  return row.mQueued;
}

bool
task_queue::Pop(uint32_t aLane, uint32_t aTeam, job_handle* aJob)
{
  if (aLane >= mLanes.size()) {
    return false;
  }
  auto found = mLanes[aLane].mGroups.find(aTeam);
  if (found == mLanes[aLane].mGroups.end()) {
    return false;
  }
  std::deque<job_handle>& ring = found->second.mRing;
  *aJob = ring.front();
  ring.pop_front();
  job_row& row = mJobs[*aJob];
  row.mInRing = false;
  row.mQueued--;
  mVirtualNow = std::max(mVirtualNow, mTeams[aTeam].mVirtualTime);
  if (row.mQueued > 0) {
    AddToRing(*aJob, row, false);
    RemoveTasks(row, 1);
  } else {
    job_row removed = row;
    mJobs.erase(*aJob);
    RemoveTasks(removed, 1);
  }
  return true;
}

void
task_queue::Charge(uint32_t aTeam, double aSeconds)
{
  mTeams[aTeam].mVirtualTime += aSeconds / mTeams[aTeam].mQuota;
}

void
task_queue::Groups(std::vector<group>* aOut) const
{
  aOut->clear();
  for (uint32_t lane = 0; lane < mLanes.size(); lane++) {
    for (const auto& [teamIndex, row] : mLanes[lane].mGroups) {
      instant since = mJobs.at(row.mRing.front()).mQueuedAt;
      aOut->push_back({ lane, teamIndex, row.mQueued, since });
    }
  }
}

uint32_t
task_queue::Queued(uint32_t aLane) const
{
  return aLane < mLanes.size() ? mLanes[aLane].mQueued : 0;
}

uint32_t
task_queue::QueuedOfTeam(uint32_t aTeam) const
{
  return aTeam < mTeams.size() ? mTeams[aTeam].mQueued : 0;
}

uint32_t
task_queue::QueuedOfTeam(uint32_t aLane, uint32_t aTeam) const
{
  if (aLane >= mLanes.size()) {
    return 0;
  }
  auto found = mLanes[aLane].mGroups.find(aTeam);
  return found == mLanes[aLane].mGroups.end() ? 0 : found->second.mQueued;
}

uint32_t
task_queue::QueuedOf(job_handle aJob) const
{
  auto found = mJobs.find(aJob);
  return found == mJobs.end() ? 0 : found->second.mQueued;
}

uint32_t
task_queue::ActiveQuota(uint32_t aTeam) const
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < mTeams.size(); i++) {
    if (mTeams[i].mQueued > 0 || i == aTeam) {
      sum += mTeams[i].mQuota;
    }
  }
  return std::max(1u, sum);
}

void
task_queue::VisitJobs(uint32_t aLane,
                      uint32_t aTeam,
                      const std::function<bool(job_handle)>& aVisit) const
{
  if (aLane >= mLanes.size()) {
    return;
  }
  auto found = mLanes[aLane].mGroups.find(aTeam);
  if (found == mLanes[aLane].mGroups.end()) {
    return;
  }
  for (job_handle job : found->second.mRing) {
    if (QueuedOf(job) > 0 && !aVisit(job)) {
      return;
    }
  }
}

} // namespace cactusmast
