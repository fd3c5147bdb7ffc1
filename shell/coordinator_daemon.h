// The coordinator as a process: job_coordinator on the main loop, with an HTTP
// server for callers, connections to executors and other entries, and the store
// for the configuration and the list of entries.

#ifndef SHELL_COORDINATOR_DAEMON_H_
#define SHELL_COORDINATOR_DAEMON_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cactusmast/admission_control.h"
#include "cactusmast/caller_codec.h"
#include "cactusmast/config_exchange.h"
#include "cactusmast/forwarded_jobs.h"
#include "cactusmast/forwarding_policy.h"
#include "cactusmast/job_coordinator.h"
#include "cactusmast/load_pacing.h"
#include "cactusmast/route_config.h"
#include "cactusmast/startup_queue.h"
#include "cactusmast/stored_row.h"
#include "cactusmast/table_watcher.h"
#include "shell/instance_daemon.h"
#include "shell/load_log.h"
#include "shell/loop_load.h"

namespace cactusmast {

// Tables and keys of the store that all entries share.
struct store_layout
{
  std::string mConfigTable; // operators write configuration and evacuations
  std::string mConfigKey;   // of the configuration in mConfigTable
  std::string mEntryTable;  // a row for each entry; its key is the address
  std::string mTimeoutModelTable; // one row, the timeout model
};

// What a platform's adapter provides. The objects that it refers to must
// outlive the daemon.
struct coordinator_adapter
{
  const caller_codec& mCallers;
  metadata_store& mStore;
  config_holder::decoder mDecodeConfig;
  const evacuation_codec& mEvacuations;
  store_layout mLayout;
  // Null: the main loop's load (loop_load).
  const busy_source* mBusySource = nullptr;
};

// Serves callers, and connects the job_coordinator to its executors, the other
// entries and the store.
class coordinator_daemon
  : public instance_daemon
  , public coordinator_links
  , public job_answers
  , public random_source
  , public request_screen
{
public:
  // Errors: an address that cannot be listened on.
  static result<std::unique_ptr<coordinator_daemon>> Create(
    const coordinator_settings& aSettings,
    const coordinator_adapter& aAdapter);

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void SendDispatch(peer_id aExecutor, wire::start_tasks_msg aMessage) override;
  void SendStop(peer_id aExecutor, wire::stop_tasks_msg aMessage) override;
  void Subscribe(peer_id aExecutor, bool aWanted) override;
  void SendEvacuations(peer_id aExecutor) override;
  void Close(peer_id aExecutor) override;
  void Answer(caller_id aCaller, const job_outcome& aOutcome) override;
  double NextUniform() override;
  bool IsActive(duration aWaited) const override;
  std::optional<http_answer> Screen(const unread_request& aRequest) override;

protected:
  void OnTick() override;
  uint32_t TickIntervalMs() const override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;
  void OnBeforeExit() override;
  bool OutputPending() const override;
  void OnExit(std::vector<event_field>* aFields) override;
  void AddMetrics(metrics_page* aPage) override;
  result<instance_settings> ReadSettings() const override;

private:
  struct entry_peer
  {
    std::string mName;
    uint64_t mIncarnation = 0;
    std::string mAddress;
    instant mLastHeard{};
    bool mHeartbeatReceived = false;
    uint64_t mConfigVersion = 0; // in force at the peer; 0: none or not known
    // Whether it asks for configurations that it lacks; false for releases
    // that are sent them unasked.
    bool mRequestsConfig = false;
    uint64_t mSentVersion = 0;  // newest document sent unasked; 0: none
    uint64_t mSentRevision = 0; // of the directory, as last sent to it
  };

  // Copies of the configuration between entries, since the start.
  struct copy_counters
  {
    uint64_t mSent = 0; // begun
    uint64_t mSentBytes = 0;
    uint64_t mReceived = 0;
    uint64_t mReceivedBytes = 0;
    uint64_t mReceivedNotNewer = 0; // among mReceived
  };

  struct executor_peer
  {
    uint64_t mSentRevision = 0; // of the directory, as last sent to it
    instant mSentAt{}; // last message to it; each counts as a heartbeat
  };

  // Jobs forwarded to and from other entries, since the start.
  struct forward_counters
  {
    uint64_t mForwarded = 0;
    uint64_t mDeclined = 0;  // among mForwarded, by their receivers
    uint64_t mLost = 0;      // among mForwarded, by a closed connection
    uint64_t mTakenOver = 0; // forwarded by others and accepted here
  };

  coordinator_daemon(const coordinator_settings& aSettings,
                     const coordinator_adapter& aAdapter);
  void Open();
  void OnRequest(http_exchange& aExchange);
  // Holds a request that arrives before the first configuration; refuses it
  // when there is no room, the mechanism is switched off or no job is accepted.
  void HoldRequest(http_exchange& aExchange);
  void RefuseUnconfigured(uint64_t aExchange);
  // Not found; unavailable if there may be a newer configuration.
  void RefuseUnknownRoute(uint64_t aExchange);
  // Whether no newer version is known, and the store has confirmed lately that
  // there is none.
  bool IsConfigCurrent() const;
  void ServeHeldRequests();
  // Refuses held requests that have waited too long for a configuration.
  void RefuseOverdueRequests(instant aNow);
  // Does so in the later part of a drain only.
  void CloseIdleConnections(instant aNow);
  void OnSubmission(http_exchange& aExchange,
                    const std::shared_ptr<const route_table>& aTable,
                    const route& aRoute,
                    uint64_t aJob);
  // Whether aJob is accepted. Another submission of an open job always is,
  // since a refusal would say that the job does not run.
  bool Admits(const http_exchange& aExchange, uint64_t aJob);
  // Whether it is open here or forwarded.
  bool IsOpen(uint64_t aJob) const;
  failure OverloadRefusal() const;
  // Errors: the refusal that is sent to the caller.
  result<job_submission> ReadSubmission(const http_exchange& aExchange,
                                        const route_table& aTable,
                                        const route& aRoute) const;
  // How long the caller still waits after aElapsed; 0: not given.
  uint32_t CallerTimeoutMs(const http_exchange& aExchange,
                           duration aElapsed) const;
  // Submits the job to this entry's coordinator. aElapsed: since the request
  // was read.
  void SubmitHere(const http_exchange& aExchange,
                  const std::shared_ptr<const route_table>& aTable,
                  const route& aRoute,
                  uint64_t aJob,
                  duration aElapsed);
  void Reply(uint64_t aExchange, int aStatus, const std::string& aBody);
  void Refuse(uint64_t aExchange, const failure& aError);
  void LogRefusal(const failure& aError, const std::string& aPath);
  // A failure of this process that says that nothing was run.
  failure MakeRefusal(error_code aCode,
                      const std::string& aStep,
                      const std::string& aReason,
                      milliseconds aRetryAfter) const;

  failure DrainingRefusal() const;

  bool IsDraining() const { return mDrainingSince.count() != 0; }
  // Zero unless draining.
  duration DrainingFor() const
  {
    return IsDraining() ? Now() - mDrainingSince : duration{};
  }
  // False in the later part of a drain, and once it was cut short.
  bool AcceptsJobs() const;
  // Whether all tasks of aJob, by their declared run times, end before the
  // drain does. Always true unless draining.
  bool EndsWithinDrain(const job_submission& aJob) const;
  bool IsReady() const;
  // False if aText cannot be read.
  bool UpdateConfig(const std::string& aText, const std::string& aSource);
  // Removes routes that are no longer configured from the timeout model.
  void RemoveOldRoutes();
  void OnOperatorRows(const table_change& aChange);
  void OnEntryRows(const table_change& aChange);
  void RegisterSelf(instant aNow);
  void StoreTimeoutModel(instant aNow);
  // aSentRevision: revision of the directory that the receiver has. When it is
  // not the newest, the heartbeat lists the entries and *aSentRevision is set
  // to the newest.
  wire::entry_pulse_msg MakeHeartbeat(uint64_t* aSentRevision,
                                      instant aNow) const;
  void SendHeartbeats(instant aNow);
  void SendExecutorHeartbeats(instant aNow);
  void SendExecutorHeartbeat(peer_id aPeer,
                             executor_peer& aState,
                             instant aNow);
  // Sends the list of entries to executors that lack its newest revision.
  void SendEntryList(instant aNow);
  void SendAsHeartbeat(peer_id aExecutor, message aMessage);
  // Sends the configuration to an entry of an older release that lacks it.
  void SendConfigTo(peer_id aPeer, entry_peer& aState, instant aNow);
  void RemoveEntryPeer(peer_id aPeer);
  // Asks another entry for the next part of a configuration that is due.
  void RequestConfig(instant aNow);
  void OnEntryMessage(peer_id aPeer,
                      entry_peer& aState,
                      const message& aMessage);
  void OnEntryHeartbeat(peer_id aPeer,
                        entry_peer& aState,
                        const wire::entry_pulse_msg& aHeartbeat);
  // Whether a part is on that uses the demand at other entries.
  bool SharesDemand() const;
  wire::entry_load_msg MakeLoad(instant aNow);
  bool IsLoadOverdue(instant aNow) const;
  // What the next heartbeats to entries carry; empty when no load is due.
  std::optional<wire::entry_load_msg> NextLoad(instant aNow);
  void OnEntryLoad(const entry_peer& aSender,
                   const wire::entry_load_msg& aLoad);
  load_totals MakeLoadTotals() const;
  void AddDemandMetrics(metrics_page* aPage);
  void OnConfigRequest(peer_id aPeer,
                       const entry_peer& aState,
                       const wire::config_request_msg& aRequest);
  void OnConfigCopy(const entry_peer& aSender,
                    uint64_t aVersion,
                    const std::string& aText);
  // The greatest version that this entry or a connected one has in force.
  uint64_t NewestKnownVersion() const;
  void AddConfigMetrics(metrics_page* aPage);
  void CheckEntryTimeouts(instant aNow);

  // Whether jobs are forwarded and taken at all.
  bool IsForwardingOn() const;
  // Closes connections of silent entries before anything that other entries
  // have sent is handled, if this process stood still. To be called first in
  // each callback that handles a request or a message.
  void CheckStandstill();
  // The time that a message read now counts as sent at.
  instant SentAfter(instant aNow) const;
  void UpdateForwarding(instant aNow);
  // True if the job is open at another entry, or was forwarded to one.
  bool Forward(const http_exchange& aExchange,
               const route_table& aTable,
               const route& aRoute,
               uint64_t aJob);
  void SendForward(peer_id aPeer,
                   const http_exchange& aExchange,
                   const route& aRoute,
                   uint64_t aJob);
  void OnForwardJob(peer_id aPeer, const wire::forward_job_msg& aMessage);
  // Errors: why the job is declined.
  result<job_request> ReadForward(const wire::forward_job_msg& aMessage) const;
  void Decline(caller_id aCaller, const std::string& aReason);
  void OnForwardAnswer(peer_id aPeer, const wire::forward_answer_msg& aAnswer);
  void OnForwardCancel(peer_id aPeer, uint64_t aNumber);
  // Serves a job that was declined, for those of its callers that still wait.
  void ServeDeclined(const sent_job& aJob);
  void AnswerAll(const sent_job& aJob, const job_outcome& aOutcome);
  void LogForwardEnded(const sent_job& aJob,
                       peer_id aPeer,
                       const std::string& aReason);
  void SendForwardCancel(const forward_key& aKey);
  bool CancelForwarded(uint64_t aJob);
  // Sends the answer of a job that was taken from another entry.
  void AnswerTaken(caller_id aCaller, const job_outcome& aOutcome);
  // The caller of an open job has disconnected, here or at another entry.
  void OnCallerGone(caller_id aCaller);
  void EndForwards(peer_id aPeer);
  // Ends all jobs that are open at other entries.
  void AbortForwards();
  void OnEntryCapacity(peer_id aPeer, const wire::entry_load_msg& aLoad);
  // Sets the fields of aLoad by which other entries choose where to forward.
  void FillCapacity(wire::entry_load_msg* aLoad) const;
  void AddForwardingMetrics(metrics_page* aPage) const;
  std::string AddressOf(peer_id aPeer) const;

  coordinator_settings mSettings;
  coordinator_adapter mAdapter;
  job_coordinator mCoordinator;
  admission_control mAdmission;
  config_holder mConfig;
  instant mConfigInstalledAt{}; // when the configuration in force was installed
  startup_queue mHeldRequests; // requests that wait for the first configuration
  evacuation_reader mEvacuationRows;
  stored_row mTimeoutModelRow;
  // Observations of the timeout model as of the last write of its row.
  uint64_t mStoredObservations = 0;
  instant mNextTimeoutModelWrite{};
  table_watcher mConfigWatcher;
  table_watcher mEntryWatcher;
  std::unique_ptr<http_server> mFront;     // for callers
  std::unique_ptr<http_server> mReadiness; // for the load balancer's probes
  std::map<peer_id, entry_peer> mEntryPeers;
  config_fetcher mConfigFetcher;
  config_provider mConfigProvider;
  copy_counters mCopies;
  uint64_t mSilentPeers = 0; // connections closed as silent since the start
  std::map<peer_id, executor_peer> mExecutorPeers;
  uint64_t mSentRevision = 0; // of the directory, to all executors
  instant mNextHeartbeat{};
  load_pacing mLoadPacing;
  uint64_t mLoadSequence = 0; // of the newest load of this entry
  instant mNextExecutorCheck{};
  bool mRegistered = false;  // this entry's row is in the store
  bool mRegistering = false; // a write of that row is in flight
  instant mNextRegistration{};
  instant mDrainingSince{}; // zero: not draining
  instant mNextIdleClose{};
  load_log mLoadLog;
  uint64_t mReports = 0; // read from executors since the start
  const busy_source* mBusySource = nullptr; // null unless forwarding is on
  forwarding_policy mForwardingPolicy;
  sent_jobs mSentJobs;
  taken_jobs mTakenJobs;
  forward_counters mForwards;
  instant mLastTurn{}; // when CheckStandstill was last called
  // Turns of the loop in which what is read may have been sent before a
  // standstill.
  uint32_t mOldInputTurns = 0;
};

} // namespace cactusmast

#endif // SHELL_COORDINATOR_DAEMON_H_
