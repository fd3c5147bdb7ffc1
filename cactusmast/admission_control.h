// Which new jobs an entry refuses because its processor cannot keep up with its
// callers.
//
// Load addressed: callers are assigned to entries regardless of their size, and
// may send more than one entry can read and place while backend servers are
// free. An entry that accepts all of it answers nearly everything late.
//
//   admission_control admission;
//   if (!admission.Admits(waited, now)) {  // for each new job
//     ... // refuse it, as not run
//   }
//
// A job is refused if its request has waited too long to be read, and requests
// wait too long in the mean. This needs no knowledge of how fast the processor
// is or what a job costs: a refusal costs less than a job, so that under
// overload the wait settles at kMaxWait, and the processor has no idle time.
//
// Invariants:
// - A job whose request waited for at most kMaxWait is admitted.
// - A rush that is short against kMeanTime causes no refusal.
// - Jobs are admitted at least each kMinAdmissionInterval, so that an entry
//   which is late with everything still serves some.

#ifndef CACTUSMAST_ADMISSION_CONTROL_H_
#define CACTUSMAST_ADMISSION_CONTROL_H_

#include <chrono>

#include "cactusmast/ids.h"

namespace cactusmast {

class admission_control
{
public:
  // Short against the time that callers allow beyond the run time of their
  // tasks.
  static constexpr duration kMaxWait = std::chrono::milliseconds(30);
  // Time constant of the mean wait.
  static constexpr duration kMeanTime = std::chrono::milliseconds(200);
  static constexpr duration kMinAdmissionInterval =
    std::chrono::milliseconds(100);

  // Whether a request that waited for aWaited is refused unless an admission is
  // due.
  bool IsOverloaded(duration aWaited) const;
  // Whether the next job is admitted, however long its request waited.
  bool IsAdmissionDue(instant aNow) const
  {
    return aNow - mLastAdmittedAt >= kMinAdmissionInterval;
  }
  // Decides on a job. aWaited: how long its request waited to be read.
  bool Admits(duration aWaited, instant aNow);

  // Jobs refused since the start.
  uint64_t Refused() const { return mRefused; }

private:
  void AddToMean(duration aWaited, instant aNow);

  double mMeanWait = 0; // in units of duration
  instant mLastRequestAt{};
  instant mLastAdmittedAt{};
  uint64_t mRefused = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_ADMISSION_CONTROL_H_
