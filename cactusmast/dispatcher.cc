#include "cactusmast/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Held tasks use a slow slot after this multiple of the expected wait.
constexpr int kHoldPatience = 2;
// The faster slot must promise this much less than starting now.
constexpr double kHoldGain = 0.95;
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
  mWorkers[aWorker].mAccepting = aAccepting;
}

void
dispatcher::RemoveWorker(uint32_t aWorker)
{
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
dispatcher::Satisfiable(uint32_t aLane) const
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
    return; // nobody serves it at present: wait within the deadline
  }
  // What waits ahead of the newcomer is its own team's backlog, served at the
  // team's share; other teams' backlogs count through the share alone.
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
dispatcher::ShedFor(uint32_t aLane, uint32_t aPriority, uint32_t aCount) const
{
  std::vector<job_handle> victims;
  if (mLanes[aLane].mProfile.mShedding != shedding_order::LowestPriority) {
    return victims;
  }
  uint32_t freed = 0;
  mQueue.VisitBelow(aLane, aPriority, [&](job_handle aJob) {
    victims.push_back(aJob);
    freed += mQueue.QueuedOf(aJob);
    return freed < aCount;
  });
  if (freed < aCount) {
    victims.clear(); // dropping them would not make enough room
  }
  return victims;
}

void
dispatcher::Enqueue(job_handle aJob,
                    uint32_t aLane,
                    uint32_t aTeam,
                    uint32_t aPriority,
                    uint32_t aCount)
{
  mQueue.Push(aJob, aLane, aTeam, aPriority, aCount);
}

bool
dispatcher::HasFreeSlot(uint32_t aLane, uint32_t aWorker, instant aNow) const
{
  const worker_row& row = mWorkers[aWorker];
  if (!row.mAccepting) {
    return false;
  }
  uint32_t limit = mHealth.Limit(aWorker, row.mTraits.mSlots, aNow);
  uint32_t laneLimit = mLanes[aLane].mProfile.mWorkerConcurrency;
  return row.mRunning < limit &&
         (laneLimit == 0 || row.mRunningByLane[aLane] < laneLimit);
}

bool
dispatcher::BetterToWait(uint32_t aLane, duration aBest, duration* aWait) const
{
  const lane_row& lane = mLanes[aLane];
  double rate = 0;
  double expected = 0;
  for (uint32_t worker = 0; worker < lane.mEligible.size(); worker++) {
    const worker_row& row = mWorkers[worker];
    if (!lane.mEligible[worker] || !row.mAccepting || row.mRunning == 0) {
      continue;
    }
    duration here = mEstimator.Expected(aLane, worker) + row.mTraits.mLatency;
    if (double(here.count()) >= double(aBest.count()) * kHoldGain) {
      continue;
    }
    double freeing = row.mRunning / std::max(1e-6, Seconds(here));
    rate += freeing;
    expected += freeing * Seconds(here);
  }
  if (rate <= 0) {
    return false;
  }
  double wait = mQueue.Total() / rate;
  *aWait = duration(int64_t(wait * 1e6));
  return wait + expected / rate < Seconds(aBest) * kHoldGain;
}

dispatcher::choice
dispatcher::Choose(uint32_t aLane, instant aNow)
{
  lane_row& lane = mLanes[aLane];
  choice best;
  for (uint32_t worker = 0; worker < lane.mEligible.size(); worker++) {
    if (!lane.mEligible[worker] || !HasFreeSlot(aLane, worker, aNow)) {
      continue;
    }
    duration expected =
      mEstimator.Expected(aLane, worker) + mWorkers[worker].mTraits.mLatency;
    if (!best.mFound || expected < best.mExpected) {
      best.mFound = true;
      best.mWorker = worker;
      best.mExpected = expected;
    }
  }
  duration wait{};
  if (!best.mFound || !mOptions.mHoldForFaster ||
      !BetterToWait(aLane, best.mExpected, &wait)) {
    lane.mHeld = false;
    return best;
  }
  if (!lane.mHeld) {
    lane.mHeld = true;
    lane.mHeldSince = aNow;
  }
  best.mHold = aNow - lane.mHeldSince < wait * kHoldPatience;
  if (!best.mHold) {
    lane.mHeld = false;
  }
  return best;
}

bool
dispatcher::Next(instant aNow, assignment* aOut)
{
  if (mQueue.Total() == 0) {
    return false;
  }
  // Lanes in the order of their next team's virtual time; a lane that cannot
  // start, or should wait, gives way to the next.
  std::vector<std::pair<double, uint32_t>> order;
  for (uint32_t lane = 0; lane < mLanes.size(); lane++) {
    const profile& limits = mLanes[lane].mProfile;
    bool capped =
      limits.mConcurrency > 0 && mLanes[lane].mRunning >= limits.mConcurrency;
    if (mQueue.Queued(lane) > 0 && !capped) {
      order.emplace_back(mQueue.NextTime(lane), lane);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& [time, lane] : order) {
    choice chosen = Choose(lane, aNow);
    if (!chosen.mFound || chosen.mHold) {
      continue;
    }
    aOut->mLane = lane;
    aOut->mWorker = chosen.mWorker;
    aOut->mExpected = mEstimator.Expected(lane, chosen.mWorker);
    mQueue.Pop(lane, &aOut->mJob, &aOut->mTeam);
    mQueue.Charge(aOut->mTeam, Seconds(aOut->mExpected));
    mWorkers[chosen.mWorker].mRunning++;
    mWorkers[chosen.mWorker].mRunningByLane[lane]++;
    mLanes[lane].mRunning++;
    mFirstDispatches++;
    return true;
  }
  return false;
}

void
dispatcher::Release(uint32_t aWorker, uint32_t aLane)
{
  worker_row& row = mWorkers[aWorker];
  if (row.mRunning > 0 && row.mRunningByLane[aLane] > 0) {
    row.mRunning--;
    row.mRunningByLane[aLane]--;
    mLanes[aLane].mRunning--;
  }
}

void
dispatcher::Finished(const completion& aDone, instant aNow)
{
  Release(aDone.mWorker, aDone.mLane);
  mQueue.Charge(aDone.mTeam, Seconds(aDone.mRun) - Seconds(aDone.mExpected));
  if (aDone.mFailed) {
    mHealth.RecordFailure(aDone.mWorker, aNow);
    return;
  }
  mHealth.RecordSuccess(aDone.mWorker, aNow);
  mEstimator.Observe(aDone.mLane, aDone.mWorker, aDone.mRun);
}

void
dispatcher::NotStarted(uint32_t aWorker,
                       uint32_t aLane,
                       uint32_t aTeam,
                       duration aExpected)
{
  Release(aWorker, aLane);
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
                    uint32_t aPriority)
{
  mQueue.PutBack(aJob, aLane, aTeam, aPriority);
}

} // namespace cactusmast
