// HTTP servers on the loopback interface for tests, and turning the main loop
// until something has happened.

#ifndef SHELL_TESTING_LOOPBACK_H_
#define SHELL_TESTING_LOOPBACK_H_

#include <memory>
#include <string>

#include "shell/http_server.h"

namespace cactusmast::testing {

struct loopback_server
{
  std::unique_ptr<http_server> mServer;
  uint16_t mPort = 0;

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }
};

// On a free port. The test fails when none is found.
loopback_server
ServeOnLoopback(
  http_server::handler aHandler,
  http_server::disconnect_handler aGone = [](uint64_t) {});

// Turns the main loop until aDone. The test fails after five seconds.
void
TurnUntil(const bool& aDone);

} // namespace cactusmast::testing

#endif // SHELL_TESTING_LOOPBACK_H_
