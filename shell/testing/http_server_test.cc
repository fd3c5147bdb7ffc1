// What the HTTP server knows of a client that leaves.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

constexpr char kRequest[] =
  "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}";

// A connection over which the request was sent.
int
SendRequest(uint16_t aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aPort);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  REQUIRE(write(fd, kRequest, sizeof kRequest - 1) ==
          ssize_t(sizeof kRequest - 1));
  return fd;
}

} // namespace

TEST_CASE("a request whose client has left is told from one that waits")
{
  // A process stands still while requests arrive. Their clients give up, close
  // their connections and send the requests elsewhere. The process wakes and
  // reads them; if it took them for live ones, a user's order would run twice.
  bool handled = false;
  bool left = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aOne) {
    left = aOne.ClientLeft();
    handled = true;
  });

  int waiting = SendRequest(server.mPort);
  TurnUntil(handled);
  CHECK_FALSE(left);
  close(waiting);

  handled = false;
  close(SendRequest(server.mPort));
  TurnUntil(handled);
  CHECK(left);
}

TEST_CASE("a client that leaves while it waits for its answer is noticed")
{
  // A caller hangs up while its job runs and sends the job to another entry
  // 1300 ms later. If the first entry did not notice, its tasks would go on
  // beside the second ones, and an order would be carried out twice.
  bool handled = false;
  bool gone = false;
  uint64_t held = 0;
  loopback_server server = ServeOnLoopback(
    [&](http_exchange& aOne) {
      held = aOne.Id();
      handled = true;
    },
    [&](uint64_t aId) { gone = aId == held; });
  int client = SendRequest(server.mPort);
  TurnUntil(handled);
  CHECK_FALSE(gone);
  gint64 closed = g_get_monotonic_time();
  close(client);
  TurnUntil(gone);
  CHECK(g_get_monotonic_time() - closed < G_USEC_PER_SEC);
  CHECK(server.mServer->Open() == 0);
}

} // namespace cactusmast::testing
