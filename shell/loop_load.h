// The busy share of the main loop: the share of the time in which it was not
// waiting for events.
//
//   loop_load& load = loop_load::OfMainContext(); // measures from now on
//   double busy = load.BusyShare();
//
// GLib's poll function of the main context is wrapped; the time that passes
// inside a call counts as waiting, all other time as busy. Nested contexts
// (nested_context.h) are dispatched from the main context and poll without
// waiting, so their time is busy time. Time in which the process was stopped
// counts as what the loop was doing then.

#ifndef SHELL_LOOP_LOAD_H_
#define SHELL_LOOP_LOAD_H_

#include "cactusmast/ids.h"

namespace cactusmast {

// What tells how busy this process is.
class busy_source
{
public:
  virtual ~busy_source() = default;
  // From 0 to 1, as an exponential mean over kBusyMeanTime.
  virtual double BusyShare() const = 0;
};

class loop_load : public busy_source
{
public:
  // The load of the default main context. The first call wraps its poll
  // function.
  static loop_load& OfMainContext();

  double BusyShare() const override { return mMean; }

  // The longest time between two waits since the last call.
  duration TakeLongestTurn();

  // The loop begins and ends to wait.
  void OnPollBegin(instant aNow);
  void OnPollEnd(instant aNow);

private:
  void Add(duration* aTime, instant aNow);

  instant mLastChange{}; // zero: the first poll has not begun
  // Not yet part of mMean.
  duration mBusyTime{};
  duration mWaitTime{};
  double mMean = 0;
  duration mLongestTurn{};
};

} // namespace cactusmast

#endif // SHELL_LOOP_LOAD_H_
