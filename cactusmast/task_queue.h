// Queued tasks of one shard.
//
// Tasks wait in groups, one for each team and profile (lane), because a group
// whose workers are all busy must not hold up another. Within a group, jobs
// take turns task by task, so that a job of a thousand tasks does not hold up
// a job of one.
//
// Between teams the queue keeps weighted virtual time: every start advances
// its team's time by the expected run time over the team's quota, and the
// real run time corrects that afterwards, so a wrong guess costs only its own
// team. A team that was idle resumes at the present virtual time: idleness
// earns no credit, and unused shares go to whoever has work. Which group goes
// next is the dispatcher's decision, made from these times.
//
// The cost of a step grows with the number of groups that have work, never
// with the number of queued tasks; removing a job costs the same whether it
// has one task or a thousand.

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

// A job as its owner's table numbers it.
using job_handle = uint32_t;

class task_queue
{
public:
  // Quotas below 1 count as 1.
  void SetTeam(uint32_t aTeam, uint32_t aQuota);

  void Push(job_handle aJob,
            uint32_t aLane,
            uint32_t aTeam,
            uint32_t aCount,
            instant aNow);

  // Takes one task of the next job of the group, or returns false.
  bool Pop(uint32_t aLane, uint32_t aTeam, job_handle* aJob);

  // Puts back one task that did not start, ahead of its equals.
  void PutBack(job_handle aJob, uint32_t aLane, uint32_t aTeam, instant aNow);

  // Forgets a job's queued tasks; returns how many there were.
  uint32_t Remove(job_handle aJob);

  // Advances the team's virtual time, or moves it back.
  void Charge(uint32_t aTeam, double aSeconds);
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
    instant mSince{}; // its next job waits since then
  };
  // Replaces aOut's content with all groups that have work.
  void Groups(std::vector<group>* aOut) const;

  uint32_t Queued(uint32_t aLane) const;
  uint32_t QueuedOfTeam(uint32_t aTeam) const;
  uint32_t QueuedOfTeam(uint32_t aLane, uint32_t aTeam) const;
  uint32_t QueuedOf(job_handle aJob) const;
  uint32_t Total() const { return mTotal; }
  // Sum of the quotas of all teams with queued work, with aTeam counted in.
  uint32_t ActiveQuota(uint32_t aTeam) const;
  uint32_t Quota(uint32_t aTeam) const { return mTeams[aTeam].mQuota; }

  // Calls aVisit with the queued jobs of a group, until it returns false.
  void VisitJobs(uint32_t aLane,
                 uint32_t aTeam,
                 const std::function<bool(job_handle)>& aVisit) const;

private:
  struct job_row
  {
    uint32_t mLane;
    uint32_t mTeam;
    uint32_t mQueued;
    instant mSince;
    bool mListed; // present in its group's ring
  };

  struct group_row
  {
    std::deque<job_handle> mRing; // the front goes next
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

  job_row& RowFor(job_handle aJob,
                  uint32_t aLane,
                  uint32_t aTeam,
                  instant aNow);
  void Add(job_row& aRow, uint32_t aCount);
  void Subtract(const job_row& aRow, uint32_t aCount);
  void List(job_handle aJob, job_row& aRow, bool aFront);
  // Drops jobs without queued tasks from the ring's front.
  void Tidy(group_row& aGroup);

  std::vector<lane_row> mLanes;
  std::vector<team_row> mTeams;
  std::unordered_map<job_handle, job_row> mJobs;
  uint32_t mTotal = 0;
  double mVirtualNow = 0; // virtual time of the latest start
};

} // namespace cactusmast

#endif // CACTUSMAST_TASK_QUEUE_H_
