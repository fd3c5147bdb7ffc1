// What the processes of entries and guards share: the log, the connections to
// other processes, the HTTP server, and what is still unsent when they exit.

#ifndef SHELL_PRODUCT_DAEMON_H_
#define SHELL_PRODUCT_DAEMON_H_

#include <memory>
#include <string>

#include "shell/connection_log.h"
#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/peer_transport.h"

namespace cactusmast {

// Base of the daemons that serve the product's own interface.
class product_daemon
  : public daemon_loop
  , public transport_listener
{
protected:
  // Events below aMinSeverity are not logged. The derived class opens the
  // transport and the server.
  product_daemon(const std::string& aName, severity aMinSeverity);

  event_sink* Events() override { return &mLog; }
  void OnBeforeExit() override { mHttp->StopAccepting(); }
  bool OutputPending() const override;
  void OnExit(std::vector<event_field>* aFields) override;

  log_sink mLog;
  std::unique_ptr<peer_transport> mTransport;
  connection_log mConnectionLog;
  std::unique_ptr<http_server> mHttp;
};

} // namespace cactusmast

#endif // SHELL_PRODUCT_DAEMON_H_
