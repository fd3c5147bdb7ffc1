// Tests of the main loop of the daemons.

#include <doctest/doctest.h>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

#include "shell/daemon.h"
#include "shell/daemon_main.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;

// A daemon that never finishes draining and whose main loop always has work.
class busy_daemon : public daemon_loop
{
public:
  busy_daemon()
    : mWorkSource(g_idle_add(&busy_daemon::OnWork, this))
  {
  }
  ~busy_daemon() override
  {
    if (mWorkSource != 0) {
      g_source_remove(mWorkSource);
    }
  }
  bool Aborted() const { return mWasAborted; }

protected:
  void OnTick() override {}
  void OnDrain() override {}
  bool IsDrained() override { return false; }
  void OnAbort() override { mWasAborted = true; }

private:
  // Stops after a while, so that the test fails instead of hanging.
  static gboolean OnWork(gpointer aData)
  {
    auto* self = static_cast<busy_daemon*>(aData);
    if (Now() < self->mStopWorkAt) {
      return G_SOURCE_CONTINUE;
    }
    self->mWorkSource = 0;
    return G_SOURCE_REMOVE;
  }

  guint mWorkSource; // 0 once it ended

  instant mStopWorkAt = Now() + milliseconds(4000);
  bool mWasAborted = false;
};

// A daemon whose drain takes a given time, and whose last answers are written
// a given time after that.
class draining_daemon : public daemon_loop
{
public:
  explicit draining_daemon(milliseconds aDrainTime)
    : mDrainTime(aDrainTime)
  {
  }
  bool Aborted() const { return mWasAborted; }
  bool OutputPending() const override
  {
    return Now() < mDrainedAt + mWritesFor;
  }

  milliseconds mWritesFor{ 0 };

protected:
  void OnTick() override {}
  void OnDrain() override { mDrainedAt = Now() + mDrainTime; }
  bool IsDrained() override { return Now() >= mDrainedAt; }
  void OnAbort() override { mWasAborted = true; }

private:
  milliseconds mDrainTime;
  instant mDrainedAt{};
  bool mWasAborted = false;
};

gboolean
RaiseTerminate(gpointer /*aData*/)
{
  std::raise(SIGTERM);
  return G_SOURCE_REMOVE;
}

} // namespace

TEST_CASE("a stop signal that is repeated does not cut a drain short")
{
  // Guards against overlapping planned stops that break off open requests.
  draining_daemon daemon(milliseconds(400));
  for (guint delayMs : { 20, 100, 200 }) {
    g_timeout_add(delayMs, &RaiseTerminate, nullptr);
  }
  instant startedAt = Now();
  int code = daemon.Run(5000);
  CHECK(code == 0);
  CHECK_FALSE(daemon.Aborted());
  CHECK(Now() - startedAt >= milliseconds(400));
}

TEST_CASE("a signal that arrives while a program exits does not end it")
{
  // Guards against a drained process whose exit code says that it was killed.
  draining_daemon daemon(milliseconds(0));
  g_timeout_add(1, &RaiseTerminate, nullptr);
  REQUIRE(daemon.Run(5000) == 0);
  for (int signal : { SIGHUP, SIGINT, SIGTERM }) {
    struct sigaction action
    {};
    REQUIRE(sigaction(signal, nullptr, &action) == 0);
    bool ends = action.sa_handler == SIG_DFL;
    REQUIRE_FALSE(ends);
    std::raise(signal);
  }
}

TEST_CASE("a signal that arrives while a program starts does not end it")
{
  // Guards against a process that dies when it is told to reload as it starts.
  for (int signal : { SIGHUP, SIGTERM }) {
    pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      std::signal(signal, SIG_DFL);
      _exit(RunOrReport([signal] {
        std::raise(signal);
        return 0;
      }));
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
  }
}

TEST_CASE("a stop signal that arrives while a program starts begins a drain")
{
  // Guards against a stop that is forgotten, so that the process is killed.
  draining_daemon daemon(milliseconds(0));
  guint fallback = g_timeout_add(2000, &RaiseTerminate, nullptr);
  HoldSignals();
  std::raise(SIGTERM);
  instant startedAt = Now();
  CHECK(daemon.Run(5000) == 0);
  CHECK(Now() - startedAt < milliseconds(2000));
  g_source_remove(fallback);
}

TEST_CASE("a process does not exit before its last answers are written")
{
  // Guards against callers whose answers are still in buffers at the exit.
  draining_daemon daemon(milliseconds(0));
  daemon.mWritesFor = milliseconds(400);
  g_timeout_add(20, &RaiseTerminate, nullptr);
  CHECK(daemon.Run(5000) == 0);
  CHECK_FALSE(daemon.OutputPending());
}

TEST_CASE("a process exits in time when its last answers cannot be written")
{
  // Guards against a process that is killed because a caller does not read.
  draining_daemon daemon(milliseconds(0));
  daemon.mWritesFor = milliseconds(5000);
  g_timeout_add(20, &RaiseTerminate, nullptr);
  instant startedAt = Now();
  CHECK(daemon.Run(5000) == 0);
  CHECK(Now() - startedAt < milliseconds(2000));
}

TEST_CASE("a deadline that passes after a complete drain does not break it off")
{
  // Guards against a stop that counts as failed although nobody was cut off.
  draining_daemon daemon(milliseconds(200));
  g_timeout_add(20, &RaiseTerminate, nullptr);
  CHECK(daemon.Run(350) == 0);
  CHECK_FALSE(daemon.Aborted());
}

TEST_CASE("a drain ends at its deadline even if the loop always has work")
{
  // Guards against a main loop under constant load that never checks the drain
  // deadline: small entries would be killed at the end of the grace period.
  constexpr uint32_t kDrainMs = 200;
  busy_daemon daemon;
  g_timeout_add(50, &RaiseTerminate, nullptr);
  instant startedAt = Now();
  int code = daemon.Run(kDrainMs);
  CHECK(code == 1);
  CHECK(daemon.Aborted());
  CHECK(Now() - startedAt < milliseconds(2000));
}

} // namespace cactusmast::testing
