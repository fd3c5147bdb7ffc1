#include "shell/testing/loopback.h"

#include <doctest/doctest.h>
#include <glib.h>
#include <unistd.h>

namespace cactusmast::testing {

loopback_server
ServeOnLoopback(http_server::handler aHandler,
                http_server::disconnect_handler aGone)
{
  constexpr size_t kMaxBody = 1u << 20;
  loopback_server made;
  for (int i = 0; i < 50 && made.mServer == nullptr; i++) {
    made.mPort = uint16_t(20000 + (getpid() * 7 + i * 331) % 20000);
    result<std::unique_ptr<http_server>> server =
      http_server::Create(made.Address(), kMaxBody, aHandler, aGone);
    if (server.Ok()) {
      made.mServer = std::move(server.Value());
    }
  }
  REQUIRE(made.mServer != nullptr);
  return made;
}

void
TurnUntil(const bool& aDone)
{
  gint64 end = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
  while (!aDone && g_get_monotonic_time() < end) {
    if (!g_main_context_iteration(nullptr, FALSE)) {
      g_usleep(200);
    }
  }
  REQUIRE(aDone);
}

} // namespace cactusmast::testing
