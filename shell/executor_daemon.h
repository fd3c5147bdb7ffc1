// The process beside a backend server: its announcements on the control
// address, its tasks through an adapter, entries over the peer connections.

#ifndef SHELL_EXECUTOR_DAEMON_H_
#define SHELL_EXECUTOR_DAEMON_H_

#include <map>
#include <memory>

#include "cactusmast/announcement_codec.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/task_executor.h"
#include "shell/instance_daemon.h"

namespace cactusmast {

// What the adapter of a platform brings. All must outlive the daemon.
struct executor_adapter
{
  const announcement_codec& mAnnouncements;
  backend_runner& mRunner;
  metadata_store& mStore;
  std::string mEntryTable;  // as in store_layout
  std::string mServerTable; // for server records
  std::string mConfigTable;
  const evacuation_codec& mEvacuations;
};

class executor_daemon
  : public instance_daemon
  , public executor_links
{
public:
  static result<std::unique_ptr<executor_daemon>> Create(
    const executor_settings& aSettings,
    const executor_adapter& aAdapter);

  // For the adapter's answers.
  task_executor& Executor() { return mExecutor; }
  void Wake() { TickSoon(); }

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void Report(peer_id aEntry, const wire::server_report_msg& aSaid) override;
  void Close(peer_id aEntry) override;

protected:
  void OnTick() override;
  uint32_t TickIntervalMs() const override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;
  void AddMetrics(metrics_page* aPage) override;
  result<instance_settings> ReadSettings() const override;

private:
  executor_daemon(const executor_settings& aSettings,
                  const executor_adapter& aAdapter);
  void Open();
  void OnControlRequest(http_exchange& aExchange);
  void ReadEntries(instant aNow);
  void ReadEvacuations(instant aNow);
  // What an earlier process here kept in the store.
  void OnRecord(const std::string& aBytes);
  void StoreRecord();

  executor_settings mSettings;
  executor_adapter mAdapter;
  task_executor mExecutor;
  stored_row mRecord;
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
