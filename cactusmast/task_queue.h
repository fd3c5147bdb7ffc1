// Queued tasks of one shard, in the order in which they are to start.
//
// Three levels decide the order:
//   - between teams, weighted fair sharing by virtual time: every start
//     advances its team's time by the expected run time over the team's quota,
//     and the team that is furthest behind goes next. The real run time
//     corrects the charge afterwards, so a wrong guess costs only its own
//     team. A team that was idle starts at the present virtual time: idleness
//     earns no credit, and unused shares go to whoever has work.
//   - within a team, the greater priority first; but every eighth start goes
//     to the lowest level that waits, so that no priority starves.
//   - within a priority, jobs take turns task by task, so a job of a thousand
//     tasks does not hold up a job of one.
//
// Tasks wait in lanes, one for each profile, because a lane whose workers are
// all busy must not hold up another. The cost of a step grows with the number
// of lanes and active teams, never with the number of queued tasks; removing
// a job costs the same whether it has one task or a thousand.

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
            uint32_t aPriority,
            uint32_t aCount);

  // Takes one task of the next job of aLane, or returns false.
  bool Pop(uint32_t aLane, job_handle* aJob, uint32_t* aTeam);

  // Puts back one task that did not start, ahead of its equals.
  void PutBack(job_handle aJob,
               uint32_t aLane,
               uint32_t aTeam,
               uint32_t aPriority);

  // Forgets a job's queued tasks; returns how many there were.
  uint32_t Remove(job_handle aJob);

  // Charges a start's expected cost, and later the difference to the real
  // one, to the team's virtual time.
  void Charge(uint32_t aTeam, double aSeconds);

  // Virtual time of the team that would be next in aLane; the lane with the
  // smallest goes first. Infinite when nothing waits.
  double NextTime(uint32_t aLane) const;

  uint32_t Queued(uint32_t aLane) const;
  uint32_t QueuedOfTeam(uint32_t aTeam) const;
  uint32_t QueuedOfTeam(uint32_t aLane, uint32_t aTeam) const;
  uint32_t QueuedOf(job_handle aJob) const;
  uint32_t Total() const { return mTotal; }
  // Sum of the quotas of all teams with queued work, with aTeam counted in.
  uint32_t ActiveQuota(uint32_t aTeam) const;
  uint32_t Quota(uint32_t aTeam) const { return mTeams[aTeam].mQuota; }

  // Calls aVisit with the jobs of aLane whose priority is below aPriority,
  // lowest first, until it returns false.
  void VisitBelow(uint32_t aLane,
                  uint32_t aPriority,
                  const std::function<bool(job_handle)>& aVisit) const;

private:
  struct job_row
  {
    uint32_t mLane;
    uint32_t mTeam;
    uint32_t mPriority;
    uint32_t mQueued;
    bool mListed; // present in its level's ring
  };

  // Jobs of equal priority; the front goes next.
  using ring = std::deque<job_handle>;

  struct lane_team
  {
    std::map<uint32_t, ring> mLevels; // by priority, lowest first
    uint32_t mQueued = 0;
    uint32_t mPops = 0;
  };

  struct lane_row
  {
    std::map<uint32_t, lane_team> mTeams; // those with queued work only
    uint32_t mQueued = 0;
  };

  struct team_row
  {
    uint32_t mQuota = 1;
    double mTime = 0;
    uint32_t mQueued = 0;
  };

  void Add(job_row& aRow, uint32_t aCount);
  void Subtract(job_row& aRow, uint32_t aCount);
  void Activate(uint32_t aTeam);
  void List(job_handle aJob, job_row& aRow, bool aFront);
  // Drops rings that are empty or hold only removed jobs at the front.
  void Tidy(lane_team& aTeam);
  std::map<uint32_t, lane_team>::const_iterator NextTeam(
    const lane_row& aLane) const;

  std::vector<lane_row> mLanes;
  std::vector<team_row> mTeams;
  std::unordered_map<job_handle, job_row> mJobs;
  uint32_t mTotal = 0;
  double mNow = 0; // virtual time of the latest start
};

} // namespace cactusmast

#endif // CACTUSMAST_TASK_QUEUE_H_
