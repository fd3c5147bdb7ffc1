#include "shell/daemon.h"

#include <array>
#include <chrono>
#include <csignal>
#include <ctime>
#include <fstream>
#include <glib-unix.h>
#include <sstream>
#include <unistd.h>
#include <vector>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

// Time between the end of the drain and the last part of the exit, in which the
// last answers are sent.
constexpr guint kExitFlushMs = 250;
// The last part of the exit: some round trips of clients.
constexpr guint kExitCloseMs = 50;
// How long the exit takes at most if output is still pending. A process that
// takes longer than its time to stop is killed.
constexpr duration kMaxExitTime = milliseconds(400);
// Interval of the check for pending output.
constexpr guint kExitCheckMs = 10;

void
ChangeSignalMask(int aHow)
{
  sigset_t handled;
  sigemptyset(&handled);
  for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&handled, signal);
  }
  pthread_sigmask(aHow, &handled, nullptr);
}

// GLib restores the default action of a signal, which ends the process, when
// the last source for it is removed. These sources do nothing and stay until
// the process exits or runs another loop.
class ignored_signals
{
public:
  void Begin()
  {
    auto ignore = [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; };
    for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
      mSources.push_back(g_unix_signal_add(signal, ignore, nullptr));
    }
  }
  void End()
  {
    for (guint source : mSources) {
      g_source_remove(source);
    }
    mSources.clear();
  }

private:
  std::vector<guint> mSources;
};

ignored_signals sIgnoredSignals;

// Removes a source if there is one.
void
RemoveSource(guint* aId)
{
  if (*aId != 0) {
    g_source_remove(*aId);
    *aId = 0;
  }
}

} // namespace

instant
Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(int64_t(now.tv_sec) * G_USEC_PER_SEC + now.tv_nsec / 1000);
}

int64_t
WallSeconds()
{
  return g_get_real_time() / G_USEC_PER_SEC;
}

int64_t
WallMilliseconds()
{
  return g_get_real_time() / (G_USEC_PER_SEC / 1000);
}

uint64_t
MakeIncarnation()
{
  // The time is in the high bits, so that later starts compare greater; the
  // process number distinguishes starts within one microsecond.
  return uint64_t(g_get_real_time()) * 4096 + uint64_t(getpid()) % 4096;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw failure(
      error_code::BadRequest, "read file", aPath, aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string_view
Name(exit_reason aReason)
{
  static constexpr std::array<std::string_view, size_t(exit_reason::Count)>
    kNames = { "drained", "deadline", "interrupted" };
  return kNames[size_t(aReason) % kNames.size()];
}

void
HoldSignals()
{
  ChangeSignalMask(SIG_BLOCK);
}

daemon_loop::~daemon_loop()
{
  for (guint* id :
       { &mTickSource, &mTimerSource, &mDeadlineSource, &mQuitSource }) {
    RemoveSource(id);
  }
  if (mLoop != nullptr) {
    g_main_loop_unref(mLoop);
  }
}

int
daemon_loop::Run(uint32_t aDrainTimeoutMs)
{
  std::signal(SIGPIPE, SIG_IGN);
  mDrainTimeoutMs = aDrainTimeoutMs;
  mLoop = g_main_loop_new(nullptr, FALSE);
  mStartedAt = Now();
  sIgnoredSignals.End();
  const guint signalSources[] = {
    g_unix_signal_add(SIGTERM, &daemon_loop::OnTerminate, this),
    g_unix_signal_add(SIGINT, &daemon_loop::OnInterrupt, this),
    g_unix_signal_add(SIGHUP, &daemon_loop::OnHangup, this)
  };
  ChangeSignalMask(SIG_UNBLOCK);
  ArmTimer(milliseconds(TickIntervalMs()));
  TickSoon();
  g_main_loop_run(mLoop);
  sIgnoredSignals.Begin();
  for (guint source : signalSources) {
    g_source_remove(source);
  }
  LogExit();
  return mAborted ? 1 : 0;
}

void
daemon_loop::TickSoon()
{
  if (mTickSource == 0) {
    mTickSource = g_idle_add_full(
      G_PRIORITY_HIGH_IDLE, &daemon_loop::OnIdle, this, nullptr);
  }
}

void
daemon_loop::RunTick()
{
  mLastTick = Now();
  OnTick();
  CheckDrained();
}

void
daemon_loop::ArmTimer(duration aDelay)
{
  auto delayMs = std::chrono::ceil<milliseconds>(aDelay).count();
  mTimerSource = g_timeout_add(guint(delayMs), &daemon_loop::OnTimer, this);
}

gboolean
daemon_loop::OnIdle(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->mTickSource = 0;
  self->RunTick();
  return G_SOURCE_REMOVE;
}

// Input may have caused a tick since the timer was armed; the next one is
// then due an interval after that tick.
gboolean
daemon_loop::OnTimer(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  duration interval = milliseconds(self->TickIntervalMs());
  duration sinceTick = Now() - self->mLastTick;
  if (sinceTick < interval) {
    self->ArmTimer(interval - sinceTick);
    return G_SOURCE_REMOVE;
  }
  self->RunTick();
  self->ArmTimer(interval);
  return G_SOURCE_REMOVE;
}

void
daemon_loop::CheckDrained()
{
  if (mDraining && !mAborted && !mQuitting && IsDrained()) {
    mQuitting = true;
    QuitSoon(G_PRIORITY_LOW);
  }
}

// Waits before it quits, because the last answers may still be in buffers when
// the drain is complete.
void
daemon_loop::QuitSoon(gint aPriority)
{
  RemoveSource(&mQuitSource);
  mQuitBy = Now() + kMaxExitTime;
  mQuitSource = g_timeout_add_full(
    aPriority, kExitFlushMs, &daemon_loop::OnFlushTimer, this, nullptr);
}

void
daemon_loop::ArmQuitTimer(guint aDelayMs)
{
  mQuitSource = g_timeout_add_full(
    G_PRIORITY_HIGH, aDelayMs, &daemon_loop::OnQuitTimer, this, nullptr);
}

gboolean
daemon_loop::OnFlushTimer(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->OnBeforeExit();
  self->ArmQuitTimer(kExitCloseMs);
  return G_SOURCE_REMOVE;
}

gboolean
daemon_loop::OnQuitTimer(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  if (self->OutputPending() && Now() < self->mQuitBy) {
    self->ArmQuitTimer(kExitCheckMs);
  } else {
    self->mQuitSource = 0;
    g_main_loop_quit(self->mLoop);
  }
  return G_SOURCE_REMOVE;
}

void
daemon_loop::BeginDrain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainBegan = Now();
  mDeadlineSource =
    g_timeout_add(mDrainTimeoutMs, &daemon_loop::OnDeadline, this);
  OnDrain();
  TickSoon();
}

void
daemon_loop::AddDrainTime(std::vector<event_field>* aFields) const
{
  if (mDraining) {
    aFields->push_back(
      { "drain_ms", std::to_string(ToMs(Now() - mDrainBegan)) });
  }
}

void
daemon_loop::LogSignal(std::string_view aName)
{
  if (Events() == nullptr) {
    return;
  }
  std::vector<event_field> fields = { { "signal", std::string(aName) } };
  AddDrainTime(&fields);
  Events()->Emit(event_code::SignalReceived, std::move(fields));
}

void
daemon_loop::LogExit()
{
  if (Events() == nullptr) {
    return;
  }
  std::vector<event_field> fields = {
    { "reason", std::string(Name(mExitReason)) },
    { "exit_code", mAborted ? "1" : "0" },
    { "uptime_ms", std::to_string(ToMs(Now() - mStartedAt)) }
  };
  AddDrainTime(&fields);
  OnExit(&fields);
  Events()->Emit(event_code::ProcessStopped, std::move(fields));
}

// Planned stops come in series that may overlap, so a process that drains may
// be told to stop again.
gboolean
daemon_loop::OnTerminate(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->LogSignal("SIGTERM");
  self->BeginDrain();
  return G_SOURCE_CONTINUE;
}

// The second one is from a person at a terminal who does not want to wait.
gboolean
daemon_loop::OnInterrupt(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->LogSignal("SIGINT");
  if (!self->mDraining) {
    self->BeginDrain();
  } else {
    self->Abort(exit_reason::Interrupted);
  }
  return G_SOURCE_CONTINUE;
}

gboolean
daemon_loop::OnHangup(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->LogSignal("SIGHUP");
  self->OnReload();
  self->TickSoon();
  return G_SOURCE_CONTINUE;
}

gboolean
daemon_loop::OnDeadline(gpointer aData)
{
  auto* self = static_cast<daemon_loop*>(aData);
  self->mDeadlineSource = 0;
  if (self->mQuitting) {
    // The drain is complete; only the exit waits, perhaps for an idle loop.
    self->QuitSoon(G_PRIORITY_HIGH);
  } else {
    self->Abort(exit_reason::Deadline);
  }
  return G_SOURCE_REMOVE;
}

void
daemon_loop::Abort(exit_reason aReason)
{
  if (mAborted) {
    return;
  }
  mAborted = true;
  mExitReason = aReason;
  OnAbort();
  // A loop that always has work never runs sources of low priority, and the
  // process would be killed before it has sent its last answers.
  QuitSoon(G_PRIORITY_HIGH);
}

} // namespace cactusmast
