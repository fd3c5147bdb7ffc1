// Whether an entry forwards a new job, and to which other entry.
//
// Load addressed: callers are assigned to entries regardless of their size, so
// a small entry's main loop cannot keep up while others are half idle.
//
//   forwarding_policy policy(ownProcessorMillis, random);
//   policy.OnLoad(peer, { 500, 0.2, true }, now);
//   policy.Update(busyShare, now);              // in each turn of the loop
//   if (auto target = policy.ChooseTarget(now)) {
//     policy.OnForwarded(*target); // and OnEnded later
//   }
//
// While this entry is too busy, the fraction of new jobs that it forwards grows
// by steps; once it is little busy, the fraction shrinks by smaller steps. A
// small entry may be offered several times what it can serve, and with steps
// back as large as those forward it would swing between too much and too
// little.
//
// Invariants:
// - A target is at least as large as this entry, takes jobs, has recently said
//   so, and would not become more than kMaxTargetBusy busy by what it is known
//   to have been sent from here.
// - While there is no target, nothing is forwarded and the fraction shrinks.

#ifndef CACTUSMAST_FORWARDING_POLICY_H_
#define CACTUSMAST_FORWARDING_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "cactusmast/ids.h"
#include "cactusmast/ports.h"

namespace cactusmast {

// Busy share of the main loop above which an entry forwards more jobs, and
// takes none.
constexpr double kForwardAboveBusy = 0.6;
constexpr double kForwardBelowBusy = 0.45;
constexpr double kMaxTargetBusy = 0.5;
// Time constant of the mean of the busy share.
constexpr duration kBusyMeanTime = std::chrono::milliseconds(500);
// Jobs in flight to one entry.
constexpr uint32_t kMaxForwardedToEntry = 64;
// Loads come every 2.4 s at most. A draining entry accepts jobs for longer than
// this, so that none is sent to one that has exited.
constexpr duration kMaxTargetLoadAge = std::chrono::milliseconds(2500);

// What another entry last said of itself.
struct entry_capacity
{
  uint32_t mProcessorMillis = 0; // thousandths of a core; 0: not known
  double mBusy = 0;              // share of time, 0 to 1
  bool mTakesJobs = false;
};

class forwarding_policy
{
public:
  // aOwnMillis: thousandths of a core that this entry has. With 0 it is not
  // known which entries are larger, and nothing is forwarded.
  forwarding_policy(uint32_t aOwnMillis, random_source& aRandom);

  void OnLoad(peer_id aPeer, const entry_capacity& aLoad, instant aNow);
  void Remove(peer_id aPeer) { mTargets.erase(aPeer); }
  // aBusy: share of the time in which this entry's loop did not wait, as an
  // exponential mean over kBusyMeanTime. Returns whether the fraction has
  // changed.
  bool Update(double aBusy, instant aNow);
  // A new job has come. The entry that it is forwarded to, if any.
  std::optional<peer_id> ChooseTarget(instant aNow);
  void OnForwarded(peer_id aPeer);
  void OnEnded(peer_id aPeer);
  // The entry takes no more jobs until it says so again.
  void OnDeclined(peer_id aPeer);

  // Fraction of the new jobs that are forwarded, 0 to 1.
  double Fraction() const { return mFraction; }
  // Since the last load of aPeer; zero if there is none.
  duration LoadAge(peer_id aPeer, instant aNow) const;

private:
  struct target
  {
    entry_capacity mLoad;
    instant mLoadAt{};
    uint32_t mInFlight = 0;
    uint32_t mSinceLoad = 0; // jobs forwarded since mLoadAt
    double mRateBefore = 0;  // jobs forwarded per ms when mLoad was measured
  };

  // Processors that the target has left for jobs, in thousandths of a core; not
  // positive if it must not be sent any.
  double SpareMillis(const target& aTarget, instant aNow) const;
  bool HasTarget(instant aNow) const;
  void MeasureJobCost(double aBusy);

  uint32_t mOwnMillis;
  random_source& mRandom;
  std::map<peer_id, target> mTargets;
  double mFraction = 0;
  double mDue = 0; // fractions of new jobs that have not been forwarded
  double mLastBusy = 0;
  instant mNextStep{};
  // Means over some seconds, of which the quotient is the cost of a job.
  double mCoreMs = 0;
  double mJobs = 0;
  uint32_t mNewJobs = 0; // since the last step
};

} // namespace cactusmast

#endif // CACTUSMAST_FORWARDING_POLICY_H_
