#include "cactusmast/task_queue.h"

#include <algorithm>
#include <limits>

namespace cactusmast {
namespace {

constexpr uint32_t kLowestTurn = 8;

} // namespace

void
task_queue::SetTeam(uint32_t aTeam, uint32_t aQuota)
{
  if (aTeam >= mTeams.size()) {
    mTeams.resize(aTeam + 1);
  }
  mTeams[aTeam].mQuota = std::max(1u, aQuota);
}

void
task_queue::Activate(uint32_t aTeam)
{
  if (aTeam >= mTeams.size()) {
    mTeams.resize(aTeam + 1);
  }
  team_row& row = mTeams[aTeam];
  if (row.mQueued == 0) {
    row.mTime = std::max(row.mTime, mNow);
  }
}

void
task_queue::Add(job_row& aRow, uint32_t aCount)
{
  aRow.mQueued += aCount;
  mTeams[aRow.mTeam].mQueued += aCount;
  mLanes[aRow.mLane].mQueued += aCount;
  mLanes[aRow.mLane].mTeams[aRow.mTeam].mQueued += aCount;
  mTotal += aCount;
}

void
task_queue::Subtract(job_row& aRow, uint32_t aCount)
{
  aRow.mQueued -= aCount;
  mTeams[aRow.mTeam].mQueued -= aCount;
  mTotal -= aCount;
  lane_row& lane = mLanes[aRow.mLane];
  lane.mQueued -= aCount;
  auto entry = lane.mTeams.find(aRow.mTeam);
  entry->second.mQueued -= aCount;
  if (entry->second.mQueued == 0) {
    // Only removed or exhausted jobs are left in its rings.
    for (auto& [priority, jobs] : entry->second.mLevels) {
      for (job_handle job : jobs) {
        auto listed = mJobs.find(job);
        if (listed != mJobs.end()) {
          listed->second.mListed = false;
        }
      }
    }
    lane.mTeams.erase(entry);
  }
}

void
task_queue::List(job_handle aJob, job_row& aRow, bool aFront)
{
  if (aRow.mListed) {
    return;
  }
  ring& jobs = mLanes[aRow.mLane].mTeams[aRow.mTeam].mLevels[aRow.mPriority];
  if (aFront) {
    jobs.push_front(aJob);
  } else {
    jobs.push_back(aJob);
  }
  aRow.mListed = true;
}

void
task_queue::Push(job_handle aJob,
                 uint32_t aLane,
                 uint32_t aTeam,
                 uint32_t aPriority,
                 uint32_t aCount)
{
  if (aCount == 0) {
    return;
  }
  if (aLane >= mLanes.size()) {
    mLanes.resize(aLane + 1);
  }
  Activate(aTeam);
  job_row& row =
    mJobs.try_emplace(aJob, job_row{ aLane, aTeam, aPriority, 0, false })
      .first->second;
  Add(row, aCount);
  List(aJob, row, false);
}

void
task_queue::PutBack(job_handle aJob,
                    uint32_t aLane,
                    uint32_t aTeam,
                    uint32_t aPriority)
{
  Activate(aTeam);
  job_row& row =
    mJobs.try_emplace(aJob, job_row{ aLane, aTeam, aPriority, 0, false })
      .first->second;
  Add(row, 1);
  List(aJob, row, true);
}

uint32_t
task_queue::Remove(job_handle aJob)
{
  auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return 0;
  }
  uint32_t count = found->second.mQueued;
  job_row row = found->second;
  mJobs.erase(found);
  if (count > 0) {
    Subtract(row, count);
  }
  return count;
}

void
task_queue::Tidy(lane_team& aTeam)
{
  for (auto level = aTeam.mLevels.begin(); level != aTeam.mLevels.end();) {
    ring& jobs = level->second;
    while (!jobs.empty()) {
      auto front = mJobs.find(jobs.front());
      if (front != mJobs.end() && front->second.mQueued > 0) {
        break;
      }
      if (front != mJobs.end()) {
        front->second.mListed = false;
      }
      jobs.pop_front();
    }
    level = jobs.empty() ? aTeam.mLevels.erase(level) : std::next(level);
  }
}

std::map<uint32_t, task_queue::lane_team>::const_iterator
task_queue::NextTeam(const lane_row& aLane) const
{
  auto best = aLane.mTeams.end();
  for (auto entry = aLane.mTeams.begin(); entry != aLane.mTeams.end();
       ++entry) {
    if (best == aLane.mTeams.end() ||
        mTeams[entry->first].mTime < mTeams[best->first].mTime) {
      best = entry;
    }
  }
  return best;
}

bool
task_queue::Pop(uint32_t aLane, job_handle* aJob, uint32_t* aTeam)
{
  if (aLane >= mLanes.size()) {
    return false;
  }
  lane_row& lane = mLanes[aLane];
  auto next = NextTeam(lane);
  if (next == lane.mTeams.end()) {
    return false;
  }
  uint32_t teamIndex = next->first;
  lane_team& chosen = lane.mTeams[teamIndex];
  Tidy(chosen);
  bool lowest = ++chosen.mPops % kLowestTurn == 0;
  auto level =
    lowest ? chosen.mLevels.begin() : std::prev(chosen.mLevels.end());
  ring& jobs = level->second;
  *aJob = jobs.front();
  *aTeam = teamIndex;
  jobs.pop_front();
  job_row& row = mJobs[*aJob];
  row.mListed = false;
  mNow = std::max(mNow, mTeams[teamIndex].mTime);
  bool more = row.mQueued > 1;
  if (more) {
    List(*aJob, row, false);
    Subtract(row, 1);
  } else {
    Subtract(row, 1);
    mJobs.erase(*aJob);
  }
  return true;
}

void
task_queue::Charge(uint32_t aTeam, double aSeconds)
{
  mTeams[aTeam].mTime += aSeconds / mTeams[aTeam].mQuota;
}

double
task_queue::NextTime(uint32_t aLane) const
{
  if (aLane >= mLanes.size() || mLanes[aLane].mQueued == 0) {
    return std::numeric_limits<double>::infinity();
  }
  return mTeams[NextTeam(mLanes[aLane])->first].mTime;
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
  auto entry = mLanes[aLane].mTeams.find(aTeam);
  return entry == mLanes[aLane].mTeams.end() ? 0 : entry->second.mQueued;
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
task_queue::VisitBelow(uint32_t aLane,
                       uint32_t aPriority,
                       const std::function<bool(job_handle)>& aVisit) const
{
  if (aLane >= mLanes.size()) {
    return;
  }
  for (uint32_t priority = 0; priority < aPriority; priority++) {
    for (const auto& [teamIndex, queued] : mLanes[aLane].mTeams) {
      auto level = queued.mLevels.find(priority);
      if (level == queued.mLevels.end()) {
        continue;
      }
      for (job_handle job : level->second) {
        if (QueuedOf(job) > 0 && !aVisit(job)) {
          return;
        }
      }
    }
  }
}

} // namespace cactusmast
