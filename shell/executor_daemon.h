// The executor as a process: task_executor on the main loop. The backend server
// beside it announces itself on the control address and gets its tasks through
// an adapter; entries connect to it as peers.

#ifndef SHELL_EXECUTOR_DAEMON_H_
#define SHELL_EXECUTOR_DAEMON_H_

#include <map>
#include <memory>

#include "cactusmast/announcement_codec.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/task_executor.h"
#include "shell/instance_daemon.h"

namespace cactusmast {

// What a platform's adapter provides. The objects that it refers to must
// outlive the daemon.
struct executor_adapter
{
  const announcement_codec& mAnnouncements;
  backend_runner& mRunner;
  metadata_store& mStore;
  std::string mEntryTable;  // as in store_layout
  std::string mServerTable; // for server records
  std::string mConfigTable; // as in store_layout
  const evacuation_codec& mEvacuations;
};

// Connects the task_executor to its backend server, the entries and the store.
class executor_daemon
  : public instance_daemon
  , public executor_links
{
public:
  // Errors: an address that cannot be listened on.
  static result<std::unique_ptr<executor_daemon>> Create(
    const executor_settings& aSettings,
    const executor_adapter& aAdapter);

  // The adapter passes the backend server's replies to the executor, then calls
  // Wake.
  task_executor& Executor() { return mExecutor; }
  void Wake() { TickSoon(); }

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void Report(peer_id aEntry, const wire::server_report_msg& aReport) override;
  void Close(peer_id aEntry) override;

protected:
  void OnTick() override;
  uint32_t TickIntervalMs() const override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;
  void OnExit(std::vector<event_field>* aFields) override;
  void AddMetrics(metrics_page* aPage) override;
  result<instance_settings> ReadSettings() const override;

private:
  executor_daemon(const executor_settings& aSettings,
                  const executor_adapter& aAdapter);
  void Open();
  void OnControlRequest(http_exchange& aExchange);
  // Reads the addresses of entries from the store while none is connected.
  void ReadEntries(instant aNow);
  // Reads the evacuations from the store when the executor needs them.
  void ReadEvacuations(instant aNow);
  // Takes over the server record that an earlier process of this executor
  // stored.
  void RefuseAnnouncement(const http_exchange& aExchange, const failure& aWhy);
  void OnServerRecord(const std::string& aBytes);
  // Stores the record of the announced backend server; removes it once that one
  // drains.
  void StoreServerRecord();

  executor_settings mSettings;
  executor_adapter mAdapter;
  task_executor mExecutor;
  stored_row mServerRecord; // of the backend server
  std::unique_ptr<http_server> mControl;
  std::map<peer_id, std::string> mEntryPeers; // their addresses
  bool mReadingEntries = false;
  instant mNextEntriesRead{};
  evacuation_reader mEvacuationRows;
  bool mReadingEvacuations = false;
  instant mNextEvacuationsRead{};
};

} // namespace cactusmast

#endif // SHELL_EXECUTOR_DAEMON_H_
