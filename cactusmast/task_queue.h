// Queued tasks of one shard.
//
// Tasks wait in groups, one for each team and lane, because a group whose
// workers are all busy must not hold up another. Within a group, jobs take
// turns task by task, so that a job of a thousand tasks does not hold up a job
// of one.
//
// For fairness between teams the queue keeps weighted virtual time: every
// start advances its team's time by the expected run time divided by the
// team's quota, and the actual run time corrects that afterwards, so that a
// wrong estimate affects only the team itself. A team that was idle continues
// at the current virtual time: idle time earns no credit, and unused shares
// go to the teams that have work. The dispatcher decides from these times
// which group is next.
//
// The cost of an operation grows with the number of groups that have work,
// never with the number of queued tasks; removing a job costs the same whether
// it has one task or a thousand.

#ifndef CACTUSMAST_TASK_QUEUE_H_
#define CACTUSMAST_TASK_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "cactusmast/ids.h"

namespace cactusmast {

// Number of a job in the job_table of its shard's owner; never 0 there.
using job_handle = uint32_t;

class task_queue
{
public:
  // Adds a team or changes its quota. Quotas below 1 count as 1.
  void SetTeam(uint32_t aTeam, uint32_t aQuota);

  // Adds aCount tasks of a job behind the other jobs of its group.
  void Push(job_handle aJob,
            uint32_t aLane,
            uint32_t aTeam,
            uint32_t aCount,
            instant aNow);

  // Takes one task of the group's next job; false when the group has none.
  bool Pop(uint32_t aLane, uint32_t aTeam, job_handle* aJob);

  // Puts back one task that was taken and did not start. A job that has no
  // other queued tasks becomes the next of its group.
  void PutBack(job_handle aJob, uint32_t aLane, uint32_t aTeam, instant aNow);

  // Removes all queued tasks of a job and returns their number.
  uint32_t Remove(job_handle aJob);

  // Adds aSeconds of run time, divided by the team's quota, to its virtual
  // time. A negative value takes an earlier charge back.
  void Charge(uint32_t aTeam, double aSeconds);
  // In seconds of run time per unit of quota.
  double VirtualTime(uint32_t aTeam) const
  {
    return mTeams[aTeam].mVirtualTime;
  }

  // A group with queued work.
  struct group
  {
    uint32_t mLane = 0;
    uint32_t mTeam = 0;
    uint32_t mQueued = 0;
    instant mWaitingSince{}; // when its next job was queued
  };
  // Replaces the content of aOut by all groups that have work.
  void Groups(std::vector<group>* aOut) const;

  // Numbers of queued tasks; 0 for an unknown lane, team or job.
  uint32_t Queued(uint32_t aLane) const;
  uint32_t QueuedOfTeam(uint32_t aTeam) const;
  uint32_t QueuedOfTeam(uint32_t aLane, uint32_t aTeam) const;
  uint32_t QueuedOf(job_handle aJob) const;
  uint32_t Total() const { return mTotal; }
  // Sum of the quotas of aTeam and of all other teams with queued work; at
  // least 1.
  uint32_t ActiveQuota(uint32_t aTeam) const;
  uint32_t Quota(uint32_t aTeam) const { return mTeams[aTeam].mQuota; }

  // Calls aVisit for each job of a group, the next one first, until it returns
  // false.
  void VisitJobs(uint32_t aLane,
                 uint32_t aTeam,
                 const std::function<bool(job_handle)>& aVisit) const;

private:
  struct job_row
  {
    uint32_t mLane;
    uint32_t mTeam;
    uint32_t mQueued;
    instant mQueuedAt;
    bool mInRing;
  };

  struct group_row
  {
    // Jobs in the order of their turns; the front is next. Removed jobs may
    // remain in it until they come to the front.
    std::deque<job_handle> mRing;
    uint32_t mQueued = 0;
  };

  struct lane_row
  {
    std::map<uint32_t, group_row> mGroups; // by team; with queued work only
    uint32_t mQueued = 0;
  };

  struct team_row
  {
    uint32_t mQuota = 1;
    double mVirtualTime = 0;
    uint32_t mQueued = 0;
  };

  job_row& FindOrAddRow(job_handle aJob,
                        uint32_t aLane,
                        uint32_t aTeam,
                        instant aNow);
  void AddTasks(job_row& aRow, uint32_t aCount);
  void RemoveTasks(const job_row& aRow, uint32_t aCount);
  // Adds a job to the ring of its group unless it is there already.
  void AddToRing(job_handle aJob, job_row& aRow, bool aFront);
  // Removes jobs without queued tasks from the front of the ring.
  void TrimRing(group_row& aGroup);

  std::vector<lane_row> mLanes;
  std::vector<team_row> mTeams;
  std::unordered_map<job_handle, job_row> mJobs;
  uint32_t mTotal = 0;
  // The greatest virtual time that a team had when a task of it was taken.
  double mVirtualNow = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_TASK_QUEUE_H_
