#include "cactusmast/admission_control.h"

#include <algorithm>
#include <cmath>

namespace cactusmast {
namespace {

// Share of the mean that is left after aElapsed.
double
KeptAfter(duration aElapsed)
{
  return std::exp(-double(aElapsed.count()) /
                  double(admission_control::kMeanTime.count()));
}

} // namespace

void
admission_control::AddToMean(duration aWaited, instant aNow)
{
  duration elapsed = aNow - mLastRequestAt;
  // Before the time for which this request waited, nothing may have waited.
  double weight = 1 - KeptAfter(std::min(elapsed, aWaited));
  mMeanWait = mMeanWait * KeptAfter(elapsed) + double(aWaited.count()) * weight;
  mLastRequestAt = aNow;
}

bool
admission_control::IsOverloaded(duration aWaited) const
{
  return aWaited > kMaxWait && mMeanWait > double(kMaxWait.count());
}

bool
admission_control::Admits(duration aWaited, instant aNow)
{
  AddToMean(aWaited, aNow);
  bool admits = !IsOverloaded(aWaited) || IsAdmissionDue(aNow);
  if (admits) {
    mLastAdmittedAt = aNow;
  } else {
    mRefused++;
  }
  return admits;
}

} // namespace cactusmast
