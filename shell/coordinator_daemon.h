// The process at an entry: callers' HTTP in front, executors and the other
// entries behind, the store for the configuration and the list of entries.

#ifndef SHELL_COORDINATOR_DAEMON_H_
#define SHELL_COORDINATOR_DAEMON_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "cactusmast/caller_codec.h"
#include "cactusmast/job_coordinator.h"
#include "cactusmast/route_config.h"
#include "cactusmast/startup_queue.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/table_watcher.h"
#include "shell/instance_daemon.h"

namespace cactusmast {

// Where the store keeps what the entries share.
struct store_layout
{
  std::string mConfigTable; // of operators: configuration and evacuations
  std::string mConfigKey;
  std::string mEntryTable; // a row for each entry; its key is the address
  std::string mTimeoutModelTable; // one row, of the wait model
};

// What the adapter of a platform brings. All must outlive the daemon.
struct coordinator_adapter
{
  const caller_codec& mCallers;
  metadata_store& mStore;
  config_holder::decoder mDecodeConfig;
  const evacuation_codec& mEvacuations;
  store_layout mLayout;
};

class coordinator_daemon
  : public instance_daemon
  , public coordinator_links
  , public job_answers
  , public random_source
{
public:
  static result<std::unique_ptr<coordinator_daemon>> Create(
    const coordinator_settings& aSettings,
    const coordinator_adapter& aAdapter);

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void Start(peer_id aExecutor, wire::start_tasks_msg aOrder) override;
  void Stop(peer_id aExecutor, wire::stop_tasks_msg aOrder) override;
  void Subscribe(peer_id aExecutor, bool aWanted) override;
  void SendEvacuations(peer_id aExecutor) override;
  void Close(peer_id aExecutor) override;
  void Answer(caller_id aCaller, const job_outcome& aOutcome) override;
  double NextUniform() override;

protected:
  void OnTick() override;
  uint32_t TickIntervalMs() const override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;
  void AddMetrics(metrics_page* aPage) override;
  result<instance_settings> ReadSettings() const override;

private:
  struct entry_peer
  {
    std::string mAddress;
    instant mLastHeard{};
    uint64_t mConfigVersion = 0;
    uint64_t mSentVersion = 0;  // of the configuration, to this peer
    uint64_t mSentRevision = 0; // of the directory
  };

  struct executor_peer
  {
    uint64_t mSentRevision = 0; // of the directory
    instant mSentAt{};          // when it was last shown that this entry lives
  };

  coordinator_daemon(const coordinator_settings& aSettings,
                     const coordinator_adapter& aAdapter);
  void Open();
  void OnRequest(http_exchange& aExchange);
  // Before the first configuration.
  void HoldRequest(http_exchange& aExchange);
  void RefuseUnconfigured(uint64_t aExchange);
  void ServeHeld();
  void RefuseOverdue(instant aNow);
  // In the later part of a planned stop.
  void CloseIdleConnections(instant aNow);
  void OnSubmission(http_exchange& aExchange,
                    const std::shared_ptr<const route_table>& aTable,
                    const route& aRoute,
                    uint64_t aJob);
  // Errors: what the caller is refused with.
  result<job_submission> ReadSubmission(const http_exchange& aExchange,
                                        const route_table& aTable,
                                        const route& aRoute) const;
  void Reply(uint64_t aExchange, int aStatus, const std::string& aBody);
  void Refuse(uint64_t aExchange, const failure& aWhy);
  failure NotRun(error_code aCode,
                 const std::string& aStep,
                 const std::string& aReason,
                 milliseconds aRetryAfter) const;

  bool IsDraining() const { return mDrainingSince.count() != 0; }
  // Zero while no planned stop is under way.
  duration DrainingFor() const
  {
    return IsDraining() ? Now() - mDrainingSince : duration{};
  }
  // False in the later part of a planned stop.
  bool AcceptsJobs() const;
  // Always true while no planned stop is under way.
  bool EndsBeforeStop(const job_submission& aJob) const;
  bool IsReady() const;
  void UpdateConfig(const std::string& aText, const std::string& aSource);
  // Of what was learned about callers.
  void ForgetOldRoutes();
  void OnOperatorRows(const table_change& aChange);
  void OnEntryRows(const table_change& aChange);
  void RegisterSelf(instant aNow);
  void StoreTimeoutModel(instant aNow);
  // aToldRevision: of the directory, at the receiver.
  wire::entry_pulse_msg MakeHeartbeat(uint64_t* aToldRevision,
                                      instant aNow) const;
  void SendHeartbeats(instant aNow);
  void SendExecutorHeartbeats(instant aNow);
  void SendExecutorHeartbeat(peer_id aPeer, executor_peer& aAt, instant aNow);
  void SendEntryList(instant aNow);
  void SendToExecutor(peer_id aExecutor, message aMessage);
  void SendConfigTo(peer_id aPeer, entry_peer& aAt, instant aNow);
  void DropSilentEntries(instant aNow);

  coordinator_settings mSettings;
  coordinator_adapter mAdapter;
  job_coordinator mCoordinator;
  config_holder mConfig;
  instant mConfigAt{};
  startup_queue mHeld;
  evacuation_reader mEvacuationRows;
  stored_row mTimeoutModelRow;
  // Pairs learned when the row was last written.
  uint64_t mStoredObservations = 0;
  instant mNextTimeoutModelWrite{};
  table_watcher mConfigWatcher;
  table_watcher mEntryWatcher;
  std::unique_ptr<http_server> mFront;
  std::unique_ptr<http_server> mReadiness;
  std::map<peer_id, entry_peer> mEntryPeers;
  std::map<peer_id, executor_peer> mExecutorPeers;
  uint64_t mSentRevision = 0; // of the directory, to all executors
  instant mNextHeartbeat{};
  instant mNextExecutorCheck{};
  bool mRegistered = false;
  bool mRegistering = false;
  instant mNextRegistration{};
  instant mDrainingSince{};
  instant mNextIdleClose{};
};

} // namespace cactusmast

#endif // SHELL_COORDINATOR_DAEMON_H_
