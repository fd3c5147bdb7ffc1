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
constexpr double kMinRemainingShare = 0.4;
// A task waits for a faster slot only while more than this share of the usable
// slots is free, and only if it then finishes within this fraction of the time
// that it would take on a free slot.
constexpr double kMinFreeShareToWait = 0.1;
constexpr double kMaxWaitFinishRatio = 0.9;
// A group that has waited for half of its deadline goes before all that have
// not, so that no priority starves another until its deadline.
constexpr double kAgedWaitFactor = 2;
constexpr double kAgedPriorityFactor = 1e6;
constexpr milliseconds kMinRetryAfter{ 50 };

double
Seconds(duration aValue)
{
  return double(aValue.count()) / 1e6;
}

milliseconds
JitteredRetryAfter(duration aExcess, double aRandom)
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
dispatcher::UpdateEligible(lane_row& aLane, uint32_t aWorker)
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
    UpdateEligible(mLanes[lane], worker);
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
  bool regainsSlots =
    mWorkers[aWorker].mTraits.mSlots == 0 && aTraits.mSlots > 0;
  mWorkers[aWorker].mTraits = aTraits;
  if (regainsSlots) {
    // The backend server behind the guard may be another one than before.
    mHealth.Reset(aWorker);
  }
  for (lane_row& lane : mLanes) {
    UpdateEligible(lane, aWorker);
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
    UpdateEligible(lane, aWorker);
  }
}

bool
dispatcher::IsSatisfiable(uint32_t aLane) const
{
  const std::vector<bool>& eligible = mLanes[aLane].mEligible;
  return std::find(eligible.begin(), eligible.end(), true) != eligible.end();
}

void
dispatcher::LaneCapacity(uint32_t aLane, double* aSlots, duration* aRun) const
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
                   : run_time_estimator::kInitialRunTime;
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
  LaneCapacity(aLane, &slots, &run);
  auto refuse = [&](const std::string& aText, duration aExcess) {
    throw failure(error_code::Overloaded,
                  "admit",
                  "",
                  aText,
                  run_state::NotRun,
                  JitteredRetryAfter(aExcess, aRandom));
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
      LaneCapacity(lane, &ownSlots, &ownRun);
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
  const profile& newProfile = mLanes[aLane].mProfile;
  if (newProfile.mShedding != shedding_order::LowestPriority) {
    return victims;
  }
  std::vector<uint32_t> lowerLanes;
  for (uint32_t lane = 0; lane < mLanes.size(); lane++) {
    if (mLanes[lane].mProfile.mPriority < newProfile.mPriority) {
      lowerLanes.push_back(lane);
    }
  }
  std::sort(
    lowerLanes.begin(), lowerLanes.end(), [this](uint32_t aOne, uint32_t aTwo) {
      return mLanes[aOne].mProfile.mPriority < mLanes[aTwo].mProfile.mPriority;
    });
  uint32_t freed = 0;
  for (uint32_t lane : lowerLanes) {
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
dispatcher::IsAtConcurrencyLimit(uint32_t aLane) const
{
  uint32_t limit = mLanes[aLane].mProfile.mConcurrency;
  return limit > 0 && mLanes[aLane].mRunning >= limit;
}

void
dispatcher::AddWorkerToPlan(uint32_t aWorker, instant aNow)
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
  std::vector<double> remainingTimes;
  for (const running_task& task : row.mTasks) {
    double expected = Seconds(mEstimator.Expected(task.mLane, aWorker));
    double remaining = expected - Seconds(aNow - task.mStarted);
    remainingTimes.push_back(
      std::max(remaining, expected * kMinRemainingShare));
  }
  // Of tasks that an earlier owner started only the number is known.
  remainingTimes.resize(row.mRunning,
                        Seconds(run_time_estimator::kInitialRunTime));
  if (excess > 0) {
    // A slot above the limit is not used again when it becomes free.
    std::sort(remainingTimes.begin(), remainingTimes.end());
    remainingTimes.erase(remainingTimes.begin(),
                         remainingTimes.begin() + excess);
  }
  for (double remaining : remainingTimes) {
    mPlan.AddSlot(aWorker, remaining);
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
  mPlannedTasks = 0;
  for (uint32_t worker = 0; worker < mWorkers.size(); worker++) {
    AddWorkerToPlan(worker, aNow);
  }
  if (mFreeSlots == 0) {
    return false;
  }
  mQueue.Groups(&mGroups);
  mPlannedTeamTimes.assign(mTeams.size(), 0);
  for (uint32_t i = 0; i < mTeams.size(); i++) {
    mPlannedTeamTimes[i] = mQueue.VirtualTime(i);
  }
  mPlanTime = aNow;
  mPlanValid = true;
  return true;
}

double
dispatcher::Score(const task_queue::group& aGroup, instant aNow) const
{
  double expected = std::max(1e-4, Seconds(mEstimator.Mean(aGroup.mLane)));
  double waited = Seconds(aNow - aGroup.mWaitingSince);
  const profile& laneProfile = mLanes[aGroup.mLane].mProfile;
  double priority = std::exp2(laneProfile.mPriority);
  if (waited * kAgedWaitFactor > laneProfile.mDeadlineMs / 1000.0) {
    priority *= kAgedPriorityFactor;
  }
  return priority * (waited + expected) / (expected * expected);
}

bool
dispatcher::NextGroup(instant aNow, size_t* aIndex)
{
  double minTime = std::numeric_limits<double>::infinity();
  for (const task_queue::group& candidate : mGroups) {
    if (candidate.mQueued > 0) {
      minTime = std::min(minTime, mPlannedTeamTimes[candidate.mTeam]);
    }
  }
  bool found = false;
  double bestScore = 0;
  for (size_t i = 0; i < mGroups.size(); i++) {
    const task_queue::group& candidate = mGroups[i];
    double ahead = (mPlannedTeamTimes[candidate.mTeam] - minTime) *
                   mQueue.Quota(candidate.mTeam);
    bool isLevel = ahead <= mOptions.mTeamSlack * mUsableSlots;
    if (candidate.mQueued == 0 || !isLevel) {
      continue;
    }
    double score = Score(candidate, aNow);
    if (!found || score > bestScore) {
      found = true;
      bestScore = score;
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
    bool isFull = laneLimit > 0 && row.mRunningByLane[aLane] >= laneLimit;
    double freeIn = mPlan.FirstFree(worker);
    if (isFull || (aFreeOnly && freeIn > 0)) {
      continue;
    }
    double end = freeIn + Seconds(mEstimator.Expected(aLane, worker) +
                                  row.mTraits.mLatency);
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
  while (mFreeSlots > 0 && mPlannedTasks < mOptions.mMaxPlannedTasks &&
         NextGroup(aNow, &index)) {
    task_queue::group& next = mGroups[index];
    uint32_t worker = 0;
    uint32_t freeWorker = 0;
    double end = 0;
    double freeEnd = 0;
    bool canStart = !IsAtConcurrencyLimit(next.mLane) &&
                    EarliestFinish(next.mLane, true, &freeWorker, &freeEnd);
    if (IsAtConcurrencyLimit(next.mLane) ||
        !EarliestFinish(next.mLane, false, &worker, &end)) {
      next.mQueued = 0; // no worker can take it; go on with other groups
      continue;
    }
    bool waitForFaster = mOptions.mWaitForFaster &&
                         mFreeSlots > mUsableSlots * kMinFreeShareToWait &&
                         end < freeEnd * kMaxWaitFinishRatio &&
                         Seconds(aNow - next.mWaitingSince) < freeEnd;
    if (canStart && !waitForFaster) {
      worker = freeWorker;
      end = freeEnd;
    }
    double freeIn = mPlan.FirstFree(worker);
    double slotTime = end - freeIn;
    mPlan.Reserve(worker, slotTime);
    mPlannedTeamTimes[next.mTeam] += slotTime / mQueue.Quota(next.mTeam);
    mPlannedTasks++;
    next.mQueued--;
    if (freeIn <= 0) {
      Start(next, worker, aNow, aOut);
      return true;
    }
  }
  return false;
}

void
dispatcher::ReleaseSlot(uint32_t aWorker, uint32_t aLane, instant aStarted)
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
dispatcher::OnFinished(const completion& aCompletion, instant aNow)
{
  mPlanValid = false;
  ReleaseSlot(
    aCompletion.mWorker, aCompletion.mLane, aNow - aCompletion.mRunTime);
  mQueue.Charge(aCompletion.mTeam,
                Seconds(aCompletion.mRunTime) - Seconds(aCompletion.mExpected));
  if (aCompletion.mFailed) {
    mHealth.RecordFailure(aCompletion.mWorker, aNow);
    return;
  }
  mHealth.RecordSuccess(aCompletion.mWorker, aNow - aCompletion.mRunTime);
  mEstimator.Observe(
    aCompletion.mLane, aCompletion.mWorker, aCompletion.mRunTime);
}

void
dispatcher::OnNotStarted(uint32_t aWorker,
                         uint32_t aLane,
                         uint32_t aTeam,
                         duration aExpected)
{
  mPlanValid = false;
  ReleaseSlot(aWorker, aLane, instant::max() / 2);
  mQueue.Charge(aTeam, -Seconds(aExpected));
}

bool
dispatcher::TakeRetry()
{
  double allowed =
    mOptions.mMinRetryBudget + mOptions.mRetryShare * double(mFirstDispatches);
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
