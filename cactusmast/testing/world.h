// A few nodes on a virtual clock, joined by hand-written fakes of the network,
// the platform's table, the backend servers and the callers. Everything that
// happens goes into a history. The same seed gives the same run.

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
  uint32_t mSlots = 4;
  duration mLatency = std::chrono::microseconds(500);
  duration mTick = std::chrono::milliseconds(20);
  duration mRetention = std::chrono::minutes(5);
  bool mCountBytes = false;
  // Callers do not come back after this time.
  instant mResubmitUntil = instant::max();
  entry_safeguards mEntrySafeguards;
  guard_safeguards mGuardSafeguards;
  health_options mHealth;
};

struct table_faults
{
  bool mDown = false;
  duration mExtraDelay{};
  double mLoseReply = 0;
};

struct caller_request
{
  std::string mKey;
  std::string mTeam = "members";
  std::string mProfile = "quote";
  uint32_t mTasks = 1;
  duration mRun = std::chrono::milliseconds(100);
  duration mWait = std::chrono::seconds(60);
  uint32_t mEntry = 1;
  // Submits again, under the same key, through the next entry when the
  // connection is lost or the reply asks to come back.
  bool mPersistent = true;
};

class world
{
public:
  explicit world(const world_options& aOptions);
  ~world();

  instant Now() const { return mNow; }
  void RunUntil(instant aTime);
  void At(instant aTime, std::function<void()> aAction);

  // Callers and operators.
  void Submit(const caller_request& aRequest);
  void Cancel(const std::string& aKey, uint32_t aEntry);
  void PutProfile(uint32_t aEntry,
                  const profile& aProfile,
                  uint64_t aExpectedRevision);
  const std::vector<change_outcome>& Changes() const { return mChanges; }

  // What goes wrong. Names are "entry-1", "guard-2" and so on.
  void Kill(const std::string& aName);
  // The machine is gone with its network: peers are not told.
  void LoseMachine(const std::string& aName);
  void Restart(const std::string& aName);
  void Pause(const std::string& aName);
  void Resume(const std::string& aName);
  void Drain(const std::string& aName);
  // Open connections between the two go silent; new ones work.
  void Silence(const std::string& aLeft, const std::string& aRight);
  // Nothing passes between the two, in one direction or both.
  void Block(const std::string& aFrom, const std::string& aTo);
  void Unblock(const std::string& aFrom, const std::string& aTo);
  // What aFrom sends to aTo from now on takes this much longer.
  void Delay(const std::string& aFrom, const std::string& aTo, duration aBy);
  void SetTable(const table_faults& aFaults) { mTableFaults = aFaults; }
  // A stale process pushes an old configuration to everybody.
  void PushOldConfig(uint64_t aVersion);
  void WithdrawBackend(uint32_t aGuard);
  void KillBackend(uint32_t aGuard);
  void AnnounceBackend(uint32_t aGuard);
  void SetBackend(uint32_t aGuard, double aSpeed, double aFailureRate);
  void SetSlots(uint32_t aGuard, uint32_t aSlots);
  void SetAccelerators(uint32_t aGuard, uint32_t aCount);
  void RecordFault();

  const history& History() const { return mHistory; }
  // Answers by key, in order; "refused:CODE" for refusals.
  std::vector<std::string> Answers(const std::string& aKey) const;
  uint32_t Starts(const std::string& aKey) const;
  uint64_t StartsAt(uint32_t aGuard) const;
  uint64_t TableWrites() const { return mTableWrites; }
  uint64_t TableReads() const { return mTableReads; }
  // Bytes of frames that aName sent and that were sent to it; counted only
  // with mCountBytes.
  uint64_t BytesSent(const std::string& aName) const;
  uint64_t BytesReceived(const std::string& aName) const;
  entry_node* Entry(uint32_t aNumber);
  guard_node* Guard(uint32_t aNumber);
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
    std::string mEntry;
    bool mEnded = false;
  };

  void Record(history_event aEvent);
  void StartProcess(process& aProcess);
  void TickAll();
  void RenewAnnouncement(process& aGuard);
  void Deliver(process& aTo, std::function<void()> aInput);
  void StopProcess(process& aProcess, bool aNotifyPeers);
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
  std::set<std::pair<std::string, std::string>> mBlockedDirections;
  std::map<std::pair<std::string, std::string>, duration> mDelays;
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
