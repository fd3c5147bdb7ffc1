// What the processes of coordinators and executors share: connections to
// entries, the directory of entries, metrics, and reloading of the settings
// file.

#ifndef SHELL_INSTANCE_DAEMON_H_
#define SHELL_INSTANCE_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "cactusmast/entry_directory.h"
#include "cactusmast/instance_settings.h"
#include "cactusmast/table_watcher.h"
#include "shell/connection_log.h"
#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/metrics_page.h"
#include "shell/peer_transport.h"

namespace cactusmast {

// Base of the daemons of a platform's entries and executors.
class instance_daemon
  : public daemon_loop
  , public transport_listener
{
public:
  // How long a drain may take.
  uint32_t DrainTimeMs() const;

protected:
  // aOwnAddress: the address of this process in the list of entries; empty when
  // it is not an entry.
  instance_daemon(const instance_settings& aSettings,
                  process_role aRole,
                  const std::string& aOwnAddress);

  // Opens the peer port and the metrics page; throws failure.
  void OpenInstance();
  event_sink* Events() override { return &mLog; }
  bool OutputPending() const override { return mTransport->OutputPending(); }
  // Adds the metrics of the derived daemon.
  virtual void AddMetrics(metrics_page* aPage) = 0;

  // Reads the settings file again; only changes of the seeds take effect while
  // the process runs.
  virtual result<instance_settings> ReadSettings() const = 0;
  void OnReload() override;
  // Reloads a settings file that was changed without a signal.
  void CheckSettingsFile(instant aNow);

  // Dials entries that are due; aIsDialled(address) is whether this side dials
  // it.
  void DialEntries(instant aNow,
                   const std::function<bool(const std::string&)>& aIsDialled);
  // Adds addresses that aSource has sent: the address of an entry, or "store".
  void AddEntries(const std::vector<std::string>& aAddresses,
                  const std::string& aSource,
                  instant aNow);
  // Ignores an address that nothing can be connected to.
  void AddEntry(const std::string& aAddress,
                bool aPinned,
                const std::string& aSource,
                instant aNow);

  instance_settings mInstance;
  process_role mRole;
  log_sink mLog;
  uint64_t mIncarnation;
  entry_directory mDirectory;
  std::unique_ptr<peer_transport> mTransport;
  connection_log mConnectionLog;

private:
  std::unique_ptr<http_server> mMetricsServer;
  instant mNextDial{};
  // Modification time of the settings file in microseconds since 1970; 0: not
  // read yet.
  int64_t mFileChangedAt = 0;
  instant mNextFileCheck{};
};

} // namespace cactusmast

#endif // SHELL_INSTANCE_DAEMON_H_
