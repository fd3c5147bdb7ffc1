// What coordinators and executors share as processes: connections to entries,
// the directory of entries, metrics, and the reaction to a changed settings
// file.

#ifndef SHELL_INSTANCE_DAEMON_H_
#define SHELL_INSTANCE_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "cactusmast/entry_directory.h"
#include "cactusmast/instance_settings.h"
#include "cactusmast/table_watcher.h"
#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/metrics_page.h"
#include "shell/peer_transport.h"

namespace cactusmast {

class instance_daemon
  : public daemon_loop
  , public transport_listener
{
public:
  // How long a planned stop may take.
  uint32_t DrainTimeMs() const;

protected:
  instance_daemon(const instance_settings& aSettings,
                  process_role aRole,
                  const std::string& aDirectoryOwn);

  // Opens the peer port and the metrics page. Throws failure.
  void OpenInstance();
  virtual void AddMetrics(metrics_page* aPage) = 0;

  // Reads the settings anew from aFile; only the seeds may change while the
  // process runs.
  virtual result<instance_settings> ReadSettings() const = 0;
  void OnReload() override;
  // Notices a settings file that was replaced without a signal.
  void CheckSettingsFile(instant aNow);

  // Dials entries that are due; aDialled says which addresses this side dials.
  void DialEntries(instant aNow,
                   const std::function<bool(const std::string&)>& aDialled);
  // Learns addresses that another process named.
  void AddEntries(const std::vector<std::string>& aAddresses,
                  const std::string& aSource,
                  instant aNow);

  instance_settings mInstance;
  process_role mRole;
  log_sink mLog;
  uint64_t mIncarnation;
  entry_directory mDirectory;
  std::unique_ptr<peer_transport> mTransport;

private:
  std::unique_ptr<http_server> mMetricsServer;
  instant mNextDial{};
  int64_t mFileChangedAt = 0;
  instant mNextFileCheck{};
};

} // namespace cactusmast

#endif // SHELL_INSTANCE_DAEMON_H_
