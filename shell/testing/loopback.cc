#include "shell/testing/loopback.h"

#include <doctest/doctest.h>
#include <glib.h>
#include <unistd.h>

namespace cactusmast::testing {

loopback_server
ServeOnLoopback(http_server::handler aHandler,
                http_server::disconnect_handler aOnDisconnect)
{
  constexpr size_t kMaxBody = 1u << 20;
  loopback_server running;
  for (int i = 0; i < 50 && running.mServer == nullptr; i++) {
    running.mPort = uint16_t(20000 + (getpid() * 7 + i * 331) % 20000);
    result<std::unique_ptr<http_server>> server =
      http_server::Create(running.Address(), kMaxBody, aHandler, aOnDisconnect);
    if (server.Ok()) {
      running.mServer = std::move(server.Value());
    }
  }
  REQUIRE(running.mServer != nullptr);
  return running;
}

void
RunLoopUntil(const std::function<bool()>& aDone, int64_t aMaxMs)
{
  gint64 deadline = g_get_monotonic_time() + aMaxMs * 1000;
  bool done = aDone();
  while (!done && g_get_monotonic_time() < deadline) {
    if (!g_main_context_iteration(nullptr, FALSE)) {
      g_usleep(200);
    }
    done = aDone();
  }
  REQUIRE(done);
}

void
RunLoopUntil(const bool& aDone)
{
  RunLoopUntil([&aDone] { return aDone; });
}

void
RunLoopFor(int64_t aMs)
{
  gint64 end = g_get_monotonic_time() + aMs * 1000;
  while (g_get_monotonic_time() < end) {
    g_main_context_iteration(nullptr, FALSE);
  }
}

} // namespace cactusmast::testing
