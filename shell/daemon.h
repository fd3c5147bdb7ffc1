// What every daemon of the system shares: the GLib main loop, the clock, and
// the two-stage planned stop.

#ifndef SHELL_DAEMON_H_
#define SHELL_DAEMON_H_

#include <glib.h>
#include <string>

#include "cactusmast/ids.h"
#include "cactusmast/settings.h"

namespace cactusmast {

// A steady clock that also counts the time in which the process was stopped or
// its machine suspended. The steady clock that leaves the latter out would let
// a process wake up and act on leases and deadlines that passed long ago.
instant
Now();

int64_t
WallSeconds();

// Different for every process start.
uint64_t
MakeIncarnation();

// Throws failure when aPath cannot be read.
std::string
ReadFile(const std::string& aPath);

// Runs a node on the main loop: a tick soon after every input, and at least
// every interval.
class daemon_loop
{
public:
  virtual ~daemon_loop();

  // Returns when the process should exit: drained, or out of time. The
  // result is the exit code.
  int Run(uint32_t aDrainTimeoutMs);

protected:
  daemon_loop() = default;

  // One turn of the node's work.
  virtual void OnTick() = 0;
  // The longest time between turns. Each turn costs processor time, which is
  // short on small machines. Asked anew after each turn of the timer.
  virtual uint32_t TickIntervalMs() const { return 10; }
  virtual void OnDrain() = 0;
  virtual bool IsDrained() = 0;
  // The planned stop ran out of time, or a second signal came.
  virtual void OnAbort() = 0;
  // SIGHUP: the settings file may have changed.
  virtual void OnReload() {}

  // Input arrived: tick once this turn of the loop is over.
  void TickSoon();
  void BeginDrain();

private:
  static gboolean OnTimer(gpointer aData);
  static gboolean OnIdle(gpointer aData);
  static gboolean OnSignal(gpointer aData);
  static gboolean OnHangup(gpointer aData);
  static gboolean OnDeadline(gpointer aData);
  void RunTick();
  void ArmTimer(duration aAfter);
  void CheckDrained();
  void QuitSoon(gint aPriority);

  GMainLoop* mLoop = nullptr;
  guint mIdle = 0;
  instant mTickedAt{};
  guint mDeadline = 0;
  uint32_t mDrainTimeoutMs = 0;
  bool mDraining = false;
  bool mAborted = false;
  bool mLeaving = false;
};

} // namespace cactusmast

#endif // SHELL_DAEMON_H_
