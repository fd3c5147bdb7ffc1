// The busy share of the main loop.

#include <doctest/doctest.h>
#include <glib.h>

#include "shell/loop_load.h"
#include "shell/nested_context.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

constexpr gulong kUsInMs = 1000;

// Iterates the main context for this time.
void
RunMainContext(guint aMs)
{
  bool ended = false;
  g_timeout_add(
    aMs,
    [](gpointer aEnded) -> gboolean {
      *static_cast<bool*>(aEnded) = true;
      return G_SOURCE_REMOVE;
    },
    &ended);
  while (!ended) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

} // namespace

TEST_CASE("the busy share is a mean over half a second")
{
  // Guards against forwarding for a single long turn of the loop.
  loop_load load;
  instant now = milliseconds(1000);
  auto turns = [&](int aCount, int aBusyMs) {
    for (int i = 0; i < aCount; i++) {
      load.OnPollBegin(now += milliseconds(aBusyMs));
      load.OnPollEnd(now += milliseconds(20 - aBusyMs));
    }
  };
  turns(100, 5);
  CHECK(load.BusyShare() == doctest::Approx(0.25).epsilon(0.05));
  turns(25, 20);
  CHECK(load.BusyShare() == doctest::Approx(0.72).epsilon(0.05));
  turns(100, 0);
  CHECK(load.BusyShare() < 0.05);
}

TEST_CASE("the longest turn of the loop is told once")
{
  // Guards against a log that hides a loop which stood still for a moment.
  loop_load load;
  instant now = milliseconds(1000);
  for (int busyMs : { 3, 40, 5 }) {
    load.OnPollBegin(now += milliseconds(busyMs));
    load.OnPollEnd(now += milliseconds(10));
  }
  CHECK(load.TakeLongestTurn() == milliseconds(40));
  CHECK(load.TakeLongestTurn() == duration{});
}

TEST_CASE("work in a nested context is busy time, waiting in it is not")
{
  // Guards against an entry that seems busy while its connections are idle, or
  // idle while it serves them.
  loop_load& load = loop_load::OfMainContext();
  auto nested = std::move(nested_context::Create().Value());
  RunMainContext(1500);
  CHECK(load.BusyShare() < 0.3);
  nested->Invoke([] {
    GSource* timer = g_timeout_source_new(20);
    g_source_set_callback(
      timer,
      [](gpointer) -> gboolean {
        g_usleep(16 * kUsInMs);
        return G_SOURCE_CONTINUE;
      },
      nullptr,
      nullptr);
    g_source_attach(timer, g_main_context_get_thread_default());
    g_source_unref(timer);
  });
  RunMainContext(1000);
  CHECK(load.BusyShare() > 0.6);
}

} // namespace cactusmast
