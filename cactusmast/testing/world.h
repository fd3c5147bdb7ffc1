// A deterministic simulation: a few entries and guards on a virtual clock,
// connected by fakes of the network, the platform's table, the backend servers
// and the callers. All events are recorded in a history. Runs with the same
// seed are identical.

#ifndef CACTUSMAST_TESTING_WORLD_H_
#define CACTUSMAST_TESTING_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cactusmast/entry_node.h"
#include "cactusmast/guard_node.h"
#include "cactusmast/testing/history.h"

namespace cactusmast::testing {

struct world_options
{
  uint64_t mSeed = 1;
  uint32_t mEntries = 2;
  uint32_t mGuards = 3;
  uint32_t mShards = 1;
  // Tasks that a backend server runs at the same time.
  uint32_t mSlots = 4;
  // One-way latency of the network.
  duration mLatency = std::chrono::microseconds(500);
  // Interval of the nodes' periodic Tick().
  duration mTick = std::chrono::milliseconds(20);
  // For how long entries keep finished jobs and guards keep their records.
  duration mRetention = std::chrono::minutes(5);
  // Whether the bytes of messages are counted; costs an encoding of each.
  bool mCountBytes = false;
  // Callers do not resubmit after this time.
  instant mResubmitUntil = instant::max();
  entry_safeguards mEntrySafeguards;
  guard_safeguards mGuardSafeguards;
  health_options mHealth;
};

struct table_faults
{
  // No operation takes effect; all get Unavailable.
  bool mDown = false;
  // Added to the latency of every operation.
  duration mExtraDelay{};
  // Probability, 0 to 1, that a commit which took effect gets Unavailable.
  double mLostReplyRate = 0;
};

struct caller_request
{
  // The key that identifies the job across resubmissions.
  std::string mKey;
  std::string mTeam = "members";
  std::string mProfile = "quote";
  uint32_t mTasks = 1;
  // Run time of each task on a backend server of speed 1.
  duration mRunTime = std::chrono::milliseconds(100);
  // Caller timeout.
  duration mTimeout = std::chrono::seconds(60);
  // Number of the preferred entry, from 1.
  uint32_t mEntry = 1;
  // Resubmits, under the same key and through the next entry, if no entry is
  // available, the connection is lost or the reply sets retry_after_ms.
  bool mResubmit = true;
};

class world
{
public:
  explicit world(const world_options& aOptions);
  ~world();

  instant Now() const { return mNow; }
  // Runs everything that is due up to and including aTime.
  void RunUntil(instant aTime);
  // Schedules aAction; a time in the past stands for now.
  void At(instant aTime, std::function<void()> aAction);

  // Callers and operators.
  void Submit(const caller_request& aRequest);
  void Cancel(const std::string& aKey, uint32_t aEntry);
  void PutProfile(uint32_t aEntry,
                  const profile& aProfile,
                  uint64_t aExpectedRevision);
  // Outcomes of PutProfile, in the order in which they came.
  const std::vector<change_outcome>& Changes() const { return mChanges; }

  // Faults and drains. Names are "entry-1", "guard-2" and so on; for Block()
  // and Unblock() also "table".

  // Stops the process; its peers see their connections closed.
  void Kill(const std::string& aName);
  // The whole machine fails, with the backend server: peers get no message
  // and see no closed connection.
  void FailMachine(const std::string& aName);
  // Starts a stopped process as a new incarnation. One that is draining is
  // restarted after it has stopped; one that is running is left alone.
  void Restart(const std::string& aName);
  // Inputs are deferred until Resume().
  void Pause(const std::string& aName);
  void Resume(const std::string& aName);
  // Begins a drain; the process stops by itself when it is drained.
  void Drain(const std::string& aName);
  // The open connections between the two lose all messages from now on,
  // without being closed; new connections work.
  void LoseMessages(const std::string& aLeft, const std::string& aRight);
  // Holds back messages from aFrom to aTo until Unblock(). If aTo is "table",
  // the table is unavailable to aFrom.
  void Block(const std::string& aFrom, const std::string& aTo);
  void Unblock(const std::string& aFrom, const std::string& aTo);
  // Messages that aFrom sends to aTo from now on take longer by aBy.
  void Delay(const std::string& aFrom, const std::string& aTo, duration aBy);
  void SetTableFaults(const table_faults& aFaults) { mTableFaults = aFaults; }
  // Sends configuration version aVersion to all connected processes, as a
  // stale process would.
  void PushOldConfig(uint64_t aVersion);
  // The backend server beside the guard deregisters and stops announcing
  // itself.
  void WithdrawBackend(uint32_t aGuard);
  // The backend server ends; its running tasks fail with BackendLost.
  void KillBackend(uint32_t aGuard);
  // The backend server is running and announces itself again.
  void AnnounceBackend(uint32_t aGuard);
  // aSpeed divides the run time of tasks; aFailureRate is the probability, 0
  // to 1, that a task fails.
  void SetBackendBehaviour(uint32_t aGuard, double aSpeed, double aFailureRate);
  void SetSlots(uint32_t aGuard, uint32_t aSlots);
  void SetAccelerators(uint32_t aGuard, uint32_t aCount);
  // Marks the history as one with faults, which relaxes some checks. Kill(),
  // FailMachine(), Pause(), LoseMessages(), Block(), Delay(), PushOldConfig()
  // and KillBackend() call it themselves.
  void RecordFault();

  const history& History() const { return mHistory; }
  // Replies to requests with aKey, in order: the ending of the job, or
  // "refused:" and the error.
  std::vector<std::string> Answers(const std::string& aKey) const;
  // Number of task starts of a job, and on the backend server of a guard.
  uint32_t TaskStarts(const std::string& aKey) const;
  uint64_t TaskStartsAt(uint32_t aGuard) const;
  // Commits that took effect, and reads that were sent.
  uint64_t TableWrites() const { return mTableWrites; }
  uint64_t TableReads() const { return mTableReads; }
  // Bytes of the frames that aName sent, and of those sent to it, lost ones
  // included; 0 unless world_options::mCountBytes.
  uint64_t BytesSent(const std::string& aName) const;
  uint64_t BytesReceived(const std::string& aName) const;
  entry_node* Entry(uint32_t aNumber);
  guard_node* Guard(uint32_t aNumber);
  // Requests that have had neither a reply nor a lost connection.
  uint32_t ActiveRequests() const;

private:
  struct process;
  struct connection;
  class fake_network;
  class fake_table;
  class fake_backend;
  class fake_callers;
  class fake_events;
  class fake_random;
  friend class fake_network;
  friend class fake_table;
  friend class fake_backend;
  friend class fake_callers;
  friend class fake_events;

  struct open_request
  {
    caller_request mRequest;
    uint64_t mId = 0;
    std::string mEntry;  // the entry that got it; empty if none was available
    bool mEnded = false; // got a reply or lost its connection
  };

  void Record(history_event aEvent);
  void StartProcess(process& aProcess);
  // Ticks all processes, renews due announcements, stops drained processes and
  // schedules itself again.
  void TickAll();
  void RenewAnnouncement(process& aGuard);
  // Runs aInput and a tick in a process; defers aInput if the process is
  // paused and drops it if the process has stopped.
  void Deliver(process& aTo, std::function<void()> aInput);
  void StopProcess(process& aProcess, bool aNotifyPeers);
  // aNotify: whether the other end sees the connection closed.
  void CloseConnection(uint64_t aConnection,
                       const std::string& aCloser,
                       bool aNotify);
  void SendSubmit(open_request& aRequest);
  void ScheduleResubmission(uint64_t aId, duration aDelay);
  void OnReply(uint64_t aId, const wire::job_reply_msg& aReply);
  void DisconnectCallers(const std::string& aEntry);
  process& Find(const std::string& aName);
  bool IsBlocked(const std::string& aFrom, const std::string& aTo) const;

  world_options mOptions;
  instant mNow = std::chrono::seconds(1000);
  std::mt19937_64 mRandom;
  std::multimap<instant, std::function<void()>> mScheduled;
  std::map<std::string, std::unique_ptr<process>> mProcesses;
  std::map<uint64_t, std::unique_ptr<connection>> mConnections;
  uint64_t mNextConnection = 1;
  uint64_t mNextIncarnation = 1;
  peer_id mNextPeer = 1;
  std::set<std::pair<std::string, std::string>> mBlockedDirections; // from, to
  std::map<std::pair<std::string, std::string>, duration> mDelays;  // from, to
  table_faults mTableFaults;
  std::map<std::string, table_row> mRows;
  uint64_t mRowVersion = 0;
  uint64_t mLastTableRequest = 0;
  uint64_t mTableWrites = 0;
  uint64_t mTableReads = 0;
  std::map<std::string, uint64_t> mBytesSent;
  std::map<std::string, uint64_t> mBytesReceived;
  std::map<uint64_t, open_request> mRequests;
  uint64_t mNextRequest = 1;
  std::vector<change_outcome> mChanges;
  std::map<uint64_t, std::string> mDocuments; // by version
  history mHistory;
};

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_WORLD_H_
