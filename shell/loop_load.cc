#include "shell/loop_load.h"

#include <algorithm>
#include <cmath>
#include <glib.h>
#include <utility>

#include "cactusmast/forwarding_policy.h"
#include "shell/daemon.h"

namespace cactusmast {
namespace {

// The mean is brought up to date at this interval, because short turns of the
// loop follow each other closely.
constexpr duration kUpdateInterval = std::chrono::milliseconds(10);

loop_load* measured = nullptr;
GPollFunc wrapped = nullptr;

gint
PollAndMeasure(GPollFD* aFds, guint aCount, gint aTimeoutMs)
{
  measured->OnPollBegin(Now());
  gint ready = wrapped(aFds, aCount, aTimeoutMs);
  measured->OnPollEnd(Now());
  return ready;
}

} // namespace

loop_load&
loop_load::OfMainContext()
{
  static loop_load load;
  if (measured == nullptr) {
    measured = &load;
    wrapped = g_main_context_get_poll_func(nullptr);
    g_main_context_set_poll_func(nullptr, &PollAndMeasure);
  }
  return load;
}

duration
loop_load::TakeLongestTurn()
{
  return std::exchange(mLongestTurn, duration{});
}

void
loop_load::OnPollBegin(instant aNow)
{
  if (mLastChange != instant{}) {
    mLongestTurn = std::max(mLongestTurn, aNow - mLastChange);
  }
  Add(&mBusyTime, aNow);
}

void
loop_load::OnPollEnd(instant aNow)
{
  Add(&mWaitTime, aNow);
}

void
loop_load::Add(duration* aTime, instant aNow)
{
  if (mLastChange != instant{}) {
    *aTime += aNow - mLastChange;
  }
  mLastChange = aNow;
  duration total = mBusyTime + mWaitTime;
  if (total < kUpdateInterval) {
    return;
  }
  double kept =
    std::exp(-double(total.count()) / double(kBusyMeanTime.count()));
  double share = double(mBusyTime.count()) / double(total.count());
  mMean = mMean * kept + share * (1 - kept);
  mBusyTime = {};
  mWaitTime = {};
}

} // namespace cactusmast
