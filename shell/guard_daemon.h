// The guard as a process: guard_node on the main loop, connected to entries,
// the table service and the backend server beside it.

#ifndef SHELL_GUARD_DAEMON_H_
#define SHELL_GUARD_DAEMON_H_

#include <memory>

#include "cactusmast/guard_node.h"
#include "cactusmast/settings.h"
#include "shell/backend_client.h"
#include "shell/connection_log.h"
#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/peer_transport.h"
#include "shell/table_client.h"

namespace cactusmast {

// Connects the guard_node to entries, the table and the backend server, and
// serves status, metrics and drain requests over HTTP.
class guard_daemon
  : public daemon_loop
  , public transport_listener
{
public:
  // Errors: an address that cannot be listened on.
  static result<std::unique_ptr<guard_daemon>> Create(
    const guard_settings& aSettings);

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

protected:
  void OnTick() override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;
  void OnBeforeExit() override;
  bool OutputPending() const override;
  event_sink* Events() override { return &mLog; }
  void OnExit(std::vector<event_field>* aFields) override;

private:
  explicit guard_daemon(const guard_settings& aSettings);
  void Open();
  void OnRequest(http_exchange& aExchange);
  void OnAnnounce(http_exchange& aExchange);
  http_answer Status() const;
  http_answer Metrics() const;

  guard_settings mSettings;
  log_sink mLog;
  std::unique_ptr<peer_transport> mTransport;
  table_client mTable;
  backend_client mBackend;
  connection_log mConnectionLog;
  std::unique_ptr<http_server> mHttp;
  std::unique_ptr<guard_node> mNode;
};

} // namespace cactusmast

#endif // SHELL_GUARD_DAEMON_H_
