// What every daemon of the system shares: the GLib main loop, the clock, and
// the drain on SIGTERM or SIGINT, which a timeout or a second SIGINT cuts
// short.

#ifndef SHELL_DAEMON_H_
#define SHELL_DAEMON_H_

#include <glib.h>
#include <string>
#include <string_view>
#include <vector>

#include "cactusmast/events.h"
#include "cactusmast/ids.h"
#include "cactusmast/settings.h"

namespace cactusmast {

// A monotonic clock that also counts time in which the process was stopped or
// the machine suspended. With CLOCK_MONOTONIC, which leaves out the latter, a
// process would resume and act on leases and deadlines that passed long ago.
instant
Now();

// Seconds since 1970; jumps when the system time is set.
int64_t
WallSeconds();

// The same in milliseconds.
int64_t
WallMilliseconds();

// Differs between any two starts of processes and is greater for later ones.
uint64_t
MakeIncarnation();

// Throws failure when aPath cannot be read.
std::string
ReadFile(const std::string& aPath);

// Why a daemon ends.
enum class exit_reason : uint8_t
{
  Drained,
  Deadline,    // the drain did not finish in time
  Interrupted, // a second SIGINT cut the drain short
  Count
};

// The name of aReason in logs.
std::string_view
Name(exit_reason aReason);

// Blocks the signals that daemon_loop handles until its Run. Without this, one
// that arrives while the process starts would end it.
void
HoldSignals();

// Runs the main loop: a tick follows every input and comes at least once every
// TickIntervalMs.
class daemon_loop
{
public:
  virtual ~daemon_loop();

  // Returns the exit code when the process should exit: 0 after a complete
  // drain, 1 when it was cut short after aDrainTimeoutMs or by a second SIGINT.
  int Run(uint32_t aDrainTimeoutMs);

protected:
  daemon_loop() = default;

  // Receives each signal and the exit. Null: they are not logged.
  virtual event_sink* Events() { return nullptr; }
  // The process exits now: adds to the fields of its last line.
  virtual void OnExit(std::vector<event_field>* /*aFields*/) {}
  // Adds the time since the drain began; nothing unless draining.
  void AddDrainTime(std::vector<event_field>* aFields) const;

  // One turn of the daemon's work.
  virtual void OnTick() = 0;
  // The longest time between ticks. Each tick costs processor time, which is
  // scarce on small machines. Called again whenever the timer fires.
  virtual uint32_t TickIntervalMs() const { return 10; }
  virtual void OnDrain() = 0;
  virtual bool IsDrained() = 0;
  // The drain was cut short.
  virtual void OnAbort() = 0;
  // Called some turns of the loop before the process exits.
  virtual void OnBeforeExit() {}
  // Whether answers or messages are not written yet. The process then exits a
  // little later.
  virtual bool OutputPending() const { return false; }
  // SIGHUP: the settings file may have changed.
  virtual void OnReload() {}

  // Schedules a tick for when the sources that are ready have been handled.
  void TickSoon();
  // Does nothing when already draining.
  void BeginDrain();
  // Whether the drain was cut short. The process exits in some hundred ms and
  // cannot finish what it takes on now.
  bool IsAborted() const { return mAborted; }

private:
  static gboolean OnTimer(gpointer aData);
  static gboolean OnIdle(gpointer aData);
  static gboolean OnTerminate(gpointer aData);
  static gboolean OnInterrupt(gpointer aData);
  static gboolean OnHangup(gpointer aData);
  static gboolean OnDeadline(gpointer aData);
  void LogSignal(std::string_view aName);
  void LogExit();
  // Cuts the drain short.
  void Abort(exit_reason aReason);
  void RunTick();
  void ArmTimer(duration aDelay);
  void CheckDrained();
  // Ends the main loop once the last answers are sent.
  void QuitSoon(gint aPriority);
  void ArmQuitTimer(guint aDelayMs);
  static gboolean OnFlushTimer(gpointer aData);
  static gboolean OnQuitTimer(gpointer aData);

  GMainLoop* mLoop = nullptr;
  // Ids of sources; 0 for none.
  guint mTickSource = 0; // of the tick that is scheduled
  guint mTimerSource = 0;
  guint mDeadlineSource = 0;
  guint mQuitSource = 0;
  instant mLastTick{};
  uint32_t mDrainTimeoutMs = 0;
  instant mStartedAt{};
  instant mDrainBegan{}; // zero: not draining
  instant mQuitBy{};     // the loop ends then even if output is pending
  exit_reason mExitReason = exit_reason::Drained;
  bool mDraining = false;
  bool mAborted = false;
  bool mQuitting = false;
};

} // namespace cactusmast

#endif // SHELL_DAEMON_H_
