// The guard as a process: guard_node on the main loop, connected to entries,
// the table service and the backend server beside it.

#ifndef SHELL_GUARD_DAEMON_H_
#define SHELL_GUARD_DAEMON_H_

#include <memory>

#include "cactusmast/guard_node.h"
#include "cactusmast/settings.h"
#include "shell/backend_client.h"
#include "shell/product_daemon.h"
#include "shell/table_client.h"

namespace cactusmast {

// Connects the guard_node to entries, the table and the backend server, and
// serves status, metrics and drain requests over HTTP.
class guard_daemon : public product_daemon
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

private:
  explicit guard_daemon(const guard_settings& aSettings);
  void Open();
  void OnRequest(http_exchange& aExchange);
  void OnAnnounce(http_exchange& aExchange);
  http_answer Status() const;
  http_answer Metrics() const;

  guard_settings mSettings;
  table_client mTable;
  backend_client mBackend;
  std::unique_ptr<guard_node> mNode;
};

} // namespace cactusmast

#endif // SHELL_GUARD_DAEMON_H_
