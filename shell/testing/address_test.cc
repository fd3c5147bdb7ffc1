// Addresses of other processes.

#include <doctest/doctest.h>
#include <netinet/in.h>

#include "shell/peer_transport.h"

namespace cactusmast::testing {

TEST_CASE("an address with a port out of range is not an address")
{
  // Guards against connections to a port that nobody named.
  for (const char* odd : { "",
                           "10.1.0.9",
                           ":80",
                           "10.1.0.9:",
                           "10.1.0.9:99999",
                           "10.1.0.9:65536",
                           "10.1.0.9:18446744073709551617",
                           "10.1.0.9:-1",
                           "10.1.0.9:80x",
                           "10.1.0.300:80" }) {
    CAPTURE(odd);
    CHECK(ParseAddress(odd) == nullptr);
  }
  gobject_ptr<GSocketAddress> valid = ParseAddress("10.1.0.9:65535");
  REQUIRE(valid != nullptr);
  CHECK(g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(valid.get())) ==
        65535);
}

} // namespace cactusmast::testing
