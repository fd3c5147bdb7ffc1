#include "cactusmast/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// A running task is expected to take at least this share of its mean run time
// from now, however long it has run, because run times vary about their mean.
constexpr double kLeastRest = 0.4;
// A task waits for a faster slot only while more than this share of the usable
// slots is free, and only if it then finishes within this fraction of the time
// that it would take on a free slot.
constexpr double kHoldFreeShare = 0.1;
constexpr double kHoldGain = 0.9;
// A group that has waited for half of its deadline goes before all that have
// not, so that no priority starves another until its deadline.
constexpr double kOverdueShare = 2;
constexpr double kOverdueWeight = 1e6;
constexpr milliseconds kMinRetryAfter{ 50 };

double
Seconds(duration aValue)
{
  return double(aValue.count()) / 1e6;
}

milliseconds
SpreadRetry(duration aExcess, double aRandom)
{
  auto base = std::chrono::duration_cast<milliseconds>(aExcess);
  auto spread = milliseconds(int64_t(double(base.count()) * aRandom));
  return std::max(kMinRetryAfter, base) + spread +
         milliseconds(int64_t(double(kMinRetryAfter.count()) * aRandom));
}

} // namespace

dispatcher::dispatcher(const dispatcher_options& aOptions)
  : mOptions(aOptions)
  , mHealth(aOptions.mHealth)
{
}

bool
dispatcher::Fits(const worker_traits& aTraits, const profile& aProfile)
{
  bool serves = std::find(aTraits.mServices.begin(),
                          aTraits.mServices.end(),
                          aProfile.mService) != aTraits.mServices.end();
  return serves && aTraits.mCpus >= aProfile.mCpus &&
         aTraits.mMemoryMb >= aProfile.mMemoryMb &&
         aTraits.mAccelerators >= aProfile.mAccelerators;
}

void
dispatcher::RefreshEligible(lane_row& aLane, uint32_t aWorker)
{
  if (aWorker >= aLane.mEligible.size()) {
    aLane.mEligible.resize(aWorker + 1);
  }
  const worker_row& row = mWorkers[aWorker];
  aLane.mEligible[aWorker] = row.mPresent && Fits(row.mTraits, aLane.mProfile);
}

uint32_t
dispatcher::SetLane(const profile& aProfile)
{
  uint32_t lane = 0;
  while (lane < mLanes.size() &&
         mLanes[lane].mProfile.mName != aProfile.mName) {
    lane++;
  }
  if (lane == mLanes.size()) {
    mLanes.emplace_back();
  }
  mLanes[lane].mProfile = aProfile;
  for (uint32_t worker = 0; worker < mWorkers.size(); worker++) {
    RefreshEligible(mLanes[lane], worker);
    mWorkers[worker].mRunningByLane.resize(mLanes.size());
  }
  return lane;
}

uint32_t
dispatcher::SetTeam(const team& aTeam)
{
  uint32_t index = 0;
  while (index < mTeams.size() && mTeams[index].mName != aTeam.mName) {
    index++;
  }
  if (index == mTeams.size()) {
    mTeams.emplace_back();
  }
  mTeams[index] = aTeam;
  mQueue.SetTeam(index, aTeam.mQuota);
  return index;
}

uint32_t
dispatcher::AddWorker(const worker_traits& aTraits)
{
  uint32_t worker = 0;
  while (worker < mWorkers.size() && mWorkers[worker].mPresent) {
    worker++;
  }
  if (worker == mWorkers.size()) {
    mWorkers.emplace_back();
  }
  mWorkers[worker] = worker_row();
  mWorkers[worker].mPresent = true;
  mWorkers[worker].mRunningByLane.resize(mLanes.size());
  mEstimator.ForgetWorker(worker);
  mHealth.Reset(worker);
  UpdateWorker(worker, aTraits);
  return worker;
}

void
dispatcher::UpdateWorker(uint32_t aWorker, const worker_traits& aTraits)
{
  mPlanValid = false;
  bool returns = mWorkers[aWorker].mTraits.mSlots == 0 && aTraits.mSlots > 0;
  mWorkers[aWorker].mTraits = aTraits;
  if (returns) {
    // The backend server behind the guard may be another one than before.
    mHealth.Reset(aWorker);
  }
  for (lane_row& lane : mLanes) {
    RefreshEligible(lane, aWorker);
  }
}

void
dispatcher::SetAccepting(uint32_t aWorker, bool aAccepting)
{
  mPlanValid = mPlanValid && mWorkers[aWorker].mAccepting == aAccepting;
  mWorkers[aWorker].mAccepting = aAccepting;
}

void
dispatcher::RemoveWorker(uint32_t aWorker)
{
  mPlanValid = false;
  worker_row& row = mWorkers[aWorker];
  for (uint32_t lane = 0; lane < row.mRunningByLane.size(); lane++) {
    mLanes[lane].mRunning -= row.mRunningByLane[lane];
  }
  row = worker_row();
  mHealth.Remove(aWorker);
  for (lane_row& lane : mLanes) {
    RefreshEligible(lane, aWorker);
  }
}

bool
dispatcher::IsSatisfiable(uint32_t aLane) const
{
  const std::vector<bool>& eligible = mLanes[aLane].mEligible;
  return std::find(eligible.begin(), eligible.end(), true) != eligible.end();
}

void
dispatcher::Capacity(uint32_t aLane, double* aSlots, duration* aRun) const
{
  const lane_row& lane = mLanes[aLane];
  double slots = 0;
  double rate = 0;
  for (uint32_t worker = 0; worker < lane.mEligible.size(); worker++) {
    const worker_row& row = mWorkers[worker];
    if (!lane.mEligible[worker] || !row.mAccepting) {
      continue;
    }
    double run = std::max(1e-6, Seconds(mEstimator.Expected(aLane, worker)));
    slots += row.mTraits.mSlots;
    rate += row.mTraits.mSlots / run;
  }
  *aSlots = slots;
  *aRun = rate > 0 ? duration(int64_t(slots / rate * 1e6))
                   : run_time_estimator::kInitialRun;
}

void
dispatcher::Admit(uint32_t aLane,
                  uint32_t aTeam,
                  uint32_t aCount,
                  duration aDeadline,
                  double aRandom)
{
  const profile& limits = mLanes[aLane].mProfile;
  double slots = 0;
  duration run{};
  Capacity(aLane, &slots, &run);
  auto refuse = [&](const std::string& aText, duration aExcess) {
    throw failure(error_code::Overloaded,
                  "admit",
                  "",
                  aText,
                  run_state::NotRun,
                  SpreadRetry(aExcess, aRandom));
  };
  if (mQueue.Queued(aLane) + aCount > limits.mQueueLimit) {
    refuse("the queue of profile " + limits.mName + " is full", run);
  }
  if (mQueue.QueuedOfTeam(aTeam) + aCount > mTeams[aTeam].mQueueLimit) {
    refuse("the queue of team " + mTeams[aTeam].mName + " is full", run);
  }
  if (slots <= 0) {
    return; // no worker serves it at present: it waits within its deadline
  }
  // The tasks ahead of a new job are the backlog of its own team, which is
  // served at the team's share. The backlogs of other teams matter only
  // through that share.
  double share = double(mQueue.Quota(aTeam)) / mQueue.ActiveQuota(aTeam);
  double backlog = 0;
  for (uint32_t lane = 0; lane < mLanes.size(); lane++) {
    uint32_t queued = mQueue.QueuedOfTeam(lane, aTeam);
    if (queued > 0) {
      double ownSlots = 0;
      duration ownRun{};
      Capacity(lane, &ownSlots, &ownRun);
      backlog += queued * Seconds(ownRun);
    }
  }
  duration wait(int64_t(backlog / (slots * share) * 1e6));
  duration bound = milliseconds(limits.mMaxWaitMs);
  if (wait > bound) {
    refuse("the expected wait is over the profile's bound", wait - bound);
  }
  if (wait + run > aDeadline) {
    refuse("the deadline cannot be met", wait + run - aDeadline);
  }
}

std::vector<job_handle>
dispatcher::ShedFor(uint32_t aLane, uint32_t aTeam, uint32_t aCount) const
{
  std::vector<job_handle> victims;
  const profile& newcomer = mLanes[aLane].mProfile;
  if (newcomer.mShedding != shedding_order::LowestPriority) {
    return victims;
  }
  std::vector<uint32_t> lower;
  for (uint32_t lane = 0; lane < mLanes.size(); lane++) {
    if (mLanes[lane].mProfile.mPriority < newcomer.mPriority) {
      lower.push_back(lane);
    }
  }
  std::sort(lower.begin(), lower.end(), [this](uint32_t aOne, uint32_t aTwo) {
    return mLanes[aOne].mProfile.mPriority < mLanes[aTwo].mProfile.mPriority;
  });
  uint32_t freed = 0;
  for (uint32_t lane : lower) {
    mQueue.VisitJobs(lane, aTeam, [&](job_handle aJob) {
      if (freed >= aCount) {
        return false;
      }
      victims.push_back(aJob);
      freed += mQueue.QueuedOf(aJob);
      return true;
    });
  }
  if (freed < aCount) {
    victims.clear(); // shedding them would not make enough place
  }
  return victims;
}

void
dispatcher::Enqueue(job_handle aJob,
                    uint32_t aLane,
                    uint32_t aTeam,
                    uint32_t aCount,
                    instant aNow)
{
  mPlanValid = false;
  mQueue.Push(aJob, aLane, aTeam, aCount, aNow);
}

bool
dispatcher::Capped(uint32_t aLane) const
{
  uint32_t limit = mLanes[aLane].mProfile.mConcurrency;
  return limit > 0 && mLanes[aLane].mRunning >= limit;
}

void
dispatcher::PlanWorker(uint32_t aWorker, instant aNow)
{
  const worker_row& row = mWorkers[aWorker];
  if (!row.mPresent || !row.mAccepting) {
    return;
  }
  uint32_t limit = mHealth.Limit(aWorker, row.mTraits.mSlots, aNow);
  if (limit == 0) {
    return;
  }
  mUsableSlots += limit;
  uint32_t excess = row.mRunning > limit ? row.mRunning - limit : 0;
  std::vector<double> rests;
  for (const running_task& task : row.mTasks) {
    double expected = Seconds(mEstimator.Expected(task.mLane, aWorker));
    double rest = expected - Seconds(aNow - task.mStarted);
    rests.push_back(std::max(rest, expected * kLeastRest));
  }
  // Of tasks that an earlier owner started only the number is known.
  rests.resize(row.mRunning, Seconds(run_time_estimator::kInitialRun));
  if (excess > 0) {
    // A slot above the limit is not used again when it becomes free.
    std::sort(rests.begin(), rests.end());
    rests.erase(rests.begin(), rests.begin() + excess);
  }
  for (double rest : rests) {
    mPlan.AddSlot(aWorker, rest);
  }
  for (uint32_t i = row.mRunning; i < limit; i++) {
    mPlan.AddSlot(aWorker, 0);
    mFreeSlots++;
  }
}

bool
dispatcher::MakePlan(instant aNow)
{
  mPlan.Clear(mWorkers.size());
  mFreeSlots = 0;
  mUsableSlots = 0;
  mPlanned = 0;
  for (uint32_t worker = 0; worker < mWorkers.size(); worker++) {
    PlanWorker(worker, aNow);
  }
  if (mFreeSlots == 0) {
    return false;
  }
  mQueue.Groups(&mGroups);
  mTeamTimes.assign(mTeams.size(), 0);
  for (uint32_t i = 0; i < mTeams.size(); i++) {
    mTeamTimes[i] = mQueue.VirtualTime(i);
  }
  mPlanTime = aNow;
  mPlanValid = true;
  return true;
}

double
dispatcher::Score(const task_queue::group& aGroup, instant aNow) const
{
  double expected = std::max(1e-4, Seconds(mEstimator.Mean(aGroup.mLane)));
  double waited = Seconds(aNow - aGroup.mSince);
  const profile& rules = mLanes[aGroup.mLane].mProfile;
  double priority = std::exp2(rules.mPriority);
  if (waited * kOverdueShare > rules.mDeadlineMs / 1000.0) {
    priority *= kOverdueWeight;
  }
  return priority * (waited + expected) / (expected * expected);
}

bool
dispatcher::NextGroup(instant aNow, size_t* aIndex)
{
  double least = std::numeric_limits<double>::infinity();
  for (const task_queue::group& one : mGroups) {
    if (one.mQueued > 0) {
      least = std::min(least, mTeamTimes[one.mTeam]);
    }
  }
  bool found = false;
  double best = 0;
  for (size_t i = 0; i < mGroups.size(); i++) {
    const task_queue::group& one = mGroups[i];
    double ahead = (mTeamTimes[one.mTeam] - least) * mQueue.Quota(one.mTeam);
    bool level = ahead <= mOptions.mTeamSlack * mUsableSlots;
    if (one.mQueued == 0 || !level) {
      continue;
    }
    double score = Score(one, aNow);
    if (!found || score > best) {
      found = true;
      best = score;
      *aIndex = i;
    }
  }
  return found;
}

bool
dispatcher::EarliestFinish(uint32_t aLane,
                           bool aFreeOnly,
                           uint32_t* aWorker,
                           double* aEnd) const
{
  const lane_row& lane = mLanes[aLane];
  uint32_t laneLimit = lane.mProfile.mWorkerConcurrency;
  bool found = false;
  for (uint32_t worker = 0; worker < lane.mEligible.size(); worker++) {
    if (!lane.mEligible[worker] || !mPlan.HasSlot(worker)) {
      continue;
    }
    const worker_row& row = mWorkers[worker];
    bool full = laneLimit > 0 && row.mRunningByLane[aLane] >= laneLimit;
    double free = mPlan.FirstFree(worker);
    if (full || (aFreeOnly && free > 0)) {
      continue;
    }
    double end =
      free + Seconds(mEstimator.Expected(aLane, worker) + row.mTraits.mLatency);
    if (!found || end < *aEnd) {
      found = true;
      *aWorker = worker;
      *aEnd = end;
    }
  }
  return found;
}

void
dispatcher::Start(const task_queue::group& aGroup,
                  uint32_t aWorker,
                  instant aNow,
                  assignment* aOut)
{
  aOut->mLane = aGroup.mLane;
  aOut->mTeam = aGroup.mTeam;
  aOut->mWorker = aWorker;
  aOut->mExpected = mEstimator.Expected(aGroup.mLane, aWorker);
  mQueue.Pop(aGroup.mLane, aGroup.mTeam, &aOut->mJob);
  mQueue.Charge(aGroup.mTeam, Seconds(aOut->mExpected));
  worker_row& row = mWorkers[aWorker];
  row.mRunning++;
  row.mRunningByLane[aGroup.mLane]++;
  row.mTasks.push_back({ aGroup.mLane, aNow });
  mLanes[aGroup.mLane].mRunning++;
  mFreeSlots--;
  mFirstDispatches++;
}

bool
dispatcher::Next(instant aNow, assignment* aOut)
{
  if (mQueue.Total() == 0) {
    return false;
  }
  if ((!mPlanValid || mPlanTime != aNow) && !MakePlan(aNow)) {
    return false;
  }
  size_t index = 0;
  while (mFreeSlots > 0 && mPlanned < mOptions.mPlanHorizon &&
         NextGroup(aNow, &index)) {
    task_queue::group& next = mGroups[index];
    uint32_t worker = 0;
    uint32_t freeWorker = 0;
    double end = 0;
    double freeEnd = 0;
    bool startable = !Capped(next.mLane) &&
                     EarliestFinish(next.mLane, true, &freeWorker, &freeEnd);
    if (Capped(next.mLane) ||
        !EarliestFinish(next.mLane, false, &worker, &end)) {
      next.mQueued = 0; // no worker can take it; go on with other groups
      continue;
    }
    bool patient =
      mOptions.mHoldForFaster && mFreeSlots > mUsableSlots * kHoldFreeShare &&
      end < freeEnd * kHoldGain && Seconds(aNow - next.mSince) < freeEnd;
    if (startable && !patient) {
      worker = freeWorker;
      end = freeEnd;
    }
    double free = mPlan.FirstFree(worker);
    double cost = end - free;
    mPlan.Take(worker, cost);
    mTeamTimes[next.mTeam] += cost / mQueue.Quota(next.mTeam);
    mPlanned++;
    next.mQueued--;
    if (free <= 0) {
      Start(next, worker, aNow, aOut);
      return true;
    }
  }
  return false;
}

void
dispatcher::Release(uint32_t aWorker, uint32_t aLane, instant aStarted)
{
  worker_row& row = mWorkers[aWorker];
  if (row.mRunning > 0 && row.mRunningByLane[aLane] > 0) {
    row.mRunning--;
    row.mRunningByLane[aLane]--;
    mLanes[aLane].mRunning--;
    // Frees, of the lane's tasks there, the one that started nearest to
    // aStarted.
    auto nearest = row.mTasks.end();
    for (auto task = row.mTasks.begin(); task != row.mTasks.end(); ++task) {
      bool closer = nearest == row.mTasks.end() ||
                    std::abs((task->mStarted - aStarted).count()) <
                      std::abs((nearest->mStarted - aStarted).count());
      if (task->mLane == aLane && closer) {
        nearest = task;
      }
    }
    row.mTasks.erase(nearest);
  }
}

void
dispatcher::Finished(const completion& aDone, instant aNow)
{
  mPlanValid = false;
  Release(aDone.mWorker, aDone.mLane, aNow - aDone.mRunTime);
  mQueue.Charge(aDone.mTeam,
                Seconds(aDone.mRunTime) - Seconds(aDone.mExpected));
  if (aDone.mFailed) {
    mHealth.RecordFailure(aDone.mWorker, aNow);
    return;
  }
  mHealth.RecordSuccess(aDone.mWorker, aNow - aDone.mRunTime);
  mEstimator.Observe(aDone.mLane, aDone.mWorker, aDone.mRunTime);
}

void
dispatcher::NotStarted(uint32_t aWorker,
                       uint32_t aLane,
                       uint32_t aTeam,
                       duration aExpected)
{
  mPlanValid = false;
  Release(aWorker, aLane, instant::max() / 2);
  mQueue.Charge(aTeam, -Seconds(aExpected));
}

bool
dispatcher::TakeRetry()
{
  double allowed =
    mOptions.mRetryFloor + mOptions.mRetryShare * double(mFirstDispatches);
  if (double(mRetries) + 1 > allowed) {
    return false;
  }
  mRetries++;
  return true;
}

void
dispatcher::PutBack(job_handle aJob,
                    uint32_t aLane,
                    uint32_t aTeam,
                    instant aNow)
{
  mPlanValid = false;
  mQueue.PutBack(aJob, aLane, aTeam, aNow);
}

} // namespace cactusmast
