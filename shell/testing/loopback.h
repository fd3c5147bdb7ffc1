// Test helpers: HTTP servers on the loopback interface, and running the main
// loop until a condition holds.

#ifndef SHELL_TESTING_LOOPBACK_H_
#define SHELL_TESTING_LOOPBACK_H_

#include <functional>
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

// Starts a server on a free port. The test fails if none is found.
loopback_server
ServeOnLoopback(
  http_server::handler aHandler,
  http_server::disconnect_handler aOnDisconnect = [](uint64_t) {});

// Runs the main loop until aDone() is true. The test fails after aMaxMs.
void
RunLoopUntil(const std::function<bool()>& aDone, int64_t aMaxMs = 5000);

// The same for a variable.
void
RunLoopUntil(const bool& aDone);

// Runs the main loop for aMs.
void
RunLoopFor(int64_t aMs);

} // namespace cactusmast::testing

#endif // SHELL_TESTING_LOOPBACK_H_
