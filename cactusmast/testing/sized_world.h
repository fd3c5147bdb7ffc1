// Coordinators, executors and backend servers on a virtual clock, with a
// network and callers in between, for tests of jobs of sized tasks.
//
// The world checks while it runs what callers and backend servers see: no task
// runs twice at a time, no backend server is over its capacity, nothing starts
// at a draining one, answers come once and say the truth. Violations are
// collected, not thrown, so that a test can show them all.

#ifndef CACTUSMAST_TESTING_SIZED_WORLD_H_
#define CACTUSMAST_TESTING_SIZED_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cactusmast/job_coordinator.h"
#include "cactusmast/task_executor.h"

namespace cactusmast::testing {

class sized_world;

// Discards events.
class silent_events : public event_sink
{
public:
  void Emit(event_code, std::vector<event_field>) override {}
};

// A backend server: runs tasks for their work time over its speed, under one
// lease, and remembers what was stopped or ended.
class fake_server : public backend_runner
{
public:
  fake_server(sized_world& aWorld, size_t aIndex);

  void Start(const start_request& aRequest) override;
  void Stop(const stop_request& aRequest) override;
  void Poll(const poll_request& aRequest) override;
  void ExpectInstance(const std::string&) override {}

  // Everything that runs is gone; a new life with an empty memory begins.
  void Crash();
  void Advance();
  server_announcement Announce();
  bool IsRunning(const task_key& aTask) const;
  size_t Running() const { return mRunning.size(); }

  resources mCapacity{ 32000, 131072, 0 };
  double mSpeed = 1;
  bool mDown = false;
  bool mDraining = false;
  bool mFailsAll = false;
  bool mHangs = false;         // nothing that runs makes progress
  double mUnansweredShare = 0; // of orders; carried out 2 to 4 s later
  uint32_t mStarts = 0;

private:
  struct run
  {
    uint32_t mRunNumber = 0;
    instant mStartedAt{};
    double mDoneMs = 0;
    double mWorkMs = 0;
    instant mAdvancedAt{};
    int64_t mCpu = 0;
  };

  int64_t ClockMs() const;
  start_result Execute(const start_request& aRequest);
  void Execute(const stop_request& aRequest);
  server_snapshot Execute(const poll_request& aRequest);
  void End(const task_key& aTask, end_kind aHow);
  bool IsUnanswered();
  void After(duration aDelay, std::function<void()> aDo);

  sized_world& mWorld;
  size_t mIndex;
  int64_t mStartTimeMs = 1;
  uint64_t mSequence = 0;
  int64_t mLeaseUntilMs = 0;
  uint64_t mFencingToken = 0;
  uint64_t mEnds = 0;
  std::map<task_key, run> mRunning;
  std::map<task_key, uint32_t> mLastRunNumbers;
  std::deque<ended_task> mEnded;
  std::vector<std::pair<uint64_t, std::function<void()>>> mWaitingPolls;
};

// What a caller got for one submission.
struct caller_record
{
  uint64_t mJob = 0;
  size_t mEntry = 0;
  instant mSentAt{};
  bool mAnswered = false;
  bool mLost = false; // the connection broke
  job_ending mEnding = job_ending::Failed;
  instant mAnsweredAt{};
};

class sized_world
{
public:
  sized_world(size_t aEntries,
              size_t aServers,
              uint32_t aSeed,
              const mechanism_set& aMechanisms = {},
              size_t aDataCenters = 1);
  ~sized_world();

  // "a" and on; entries and backend servers are dealt out to them in turn.
  std::string DataCenterOf(size_t aIndex) const;

  void Run(duration aSpan);
  instant Now() const { return mNow; }
  void At(duration aFromNow, std::function<void()> aDo);

  // Of the one route; 60 s at first.
  void SetRouteTimeout(uint32_t aTimeoutMs);
  // Submits a job of aTasks tasks that take aWorkMs each; sends it again
  // elsewhere 1300 ms after its connection broke. aDeclaredMs: 0 for aWorkMs.
  uint64_t Submit(size_t aEntry,
                  uint32_t aTasks,
                  uint32_t aWorkMs,
                  uint32_t aDeadlineMs = 1500,
                  uint32_t aDeclaredMs = 0);
  // From now on callers that send a job again wait only for what is left of
  // their time, and leave when it is over.
  void CountDownWaits() { mCountDownTimeouts = true; }
  void SubmitAgain(uint64_t aJob, size_t aEntry);
  void HangUp(uint64_t aJob);

  void KillEntry(size_t aEntry, duration aDown);
  void KillExecutor(size_t aServer, duration aDown);
  void PauseEntry(size_t aEntry, duration aSpan);
  void PauseExecutor(size_t aServer, duration aSpan);
  // Bytes between the two are lost and new connections fail.
  void Cut(size_t aEntry, size_t aServer, duration aSpan);
  // An operator's row in the store, and its removal. From a second after it, no
  // task may start in the data centre.
  void Evacuate(const std::string& aDataCenter);
  void TakeBack(const std::string& aDataCenter);
  // The store does not answer this entry; aSpan: from now.
  void CutFromStore(size_t aEntry, duration aSpan);
  // Or anybody.
  void StopStore(duration aSpan);
  // Entries that have not heard from the store since they started refuse what
  // comes, as those do that have no configuration.
  void RefuseUntilStoreIsHeard() { mRefusesUnconfigured = true; }
  // For tests in which the store is away: how soon an evacuation must count.
  void SetEvacuationBound(duration aBound) { mEvacuationBound = aBound; }
  void DrainExecutor(size_t aServer);
  void DrainServer(size_t aServer);

  size_t Entries() const { return mEntries.size(); }
  size_t Servers() const { return mServers.size(); }
  fake_server& Server(size_t aIndex) { return *mServers[aIndex]; }
  job_coordinator& Coordinator(size_t aIndex);
  task_executor& Executor(size_t aIndex);
  bool ExecutorUp(size_t aIndex) const;
  const caller_record& LastOf(uint64_t aJob) const;
  size_t CountEnding(job_ending aEnding) const;
  size_t CountInTime(duration aWithin) const;
  // Messages that entries sent to executors, and executors to entries.
  size_t MessagesOut() const { return mMessagesOut; }
  size_t MessagesIn() const { return mMessagesIn; }
  // Of executors, for evacuations.
  size_t StoreAsks() const { return mStoreAsks; }
  // Connections that one side closed because it believed the other gone.
  size_t DroppedLinks() const { return mDroppedLinks; }
  const std::vector<caller_record>& Callers() const { return mCallers; }
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  friend class fake_server;
  struct entry;
  struct executor;
  struct link
  {
    size_t mEntry = 0;
    size_t mServer = 0;
    bool mUp = true;
    uint64_t mEntryIncarnation = 0;
    uint64_t mExecutorIncarnation = 0;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }
  void AddViolation(const std::string& aText);
  void OnTaskStart(const task_key& aTask, size_t aServer);
  void OnTaskEnd(const task_key& aTask, end_kind aHow);
  void ConnectAll();
  void TickAll();
  void Send(peer_id aLink, bool aToExecutor, std::function<void()> aDeliver);
  void Deliver(bool aToExecutor, size_t aIndex, std::function<void()> aDo);
  void CloseLink(peer_id aLink, bool aNotifyEntry, bool aNotifyExecutor);
  // Both sides notice by themselves.
  void TimeOutLink(peer_id aLink);
  void SubmitTo(const job_request& aRequest, size_t aEntry);
  void OnAnswer(caller_id aCaller, const job_outcome& aOutcome);
  bool IsCut(size_t aEntry, size_t aServer) const;
  void SyncEvacuations();

  mechanism_set mMechanisms;
  size_t mDataCenters;
  evacuation_state mStore{ 1, {} };
  std::map<std::string, instant> mEvacuatedAt;
  duration mEvacuationBound = std::chrono::seconds(1);
  instant mStoreBackAt{};
  instant mNextStoreTick{};
  size_t mStoreAsks = 0;
  bool mRefusesUnconfigured = false;
  instant mNow{ std::chrono::seconds(100) };
  std::mt19937 mRandom;
  silent_events mEvents;
  std::multimap<instant, std::function<void()>> mQueue;
  std::vector<std::unique_ptr<entry>> mEntries;
  std::vector<std::unique_ptr<executor>> mExecutors;
  std::vector<std::unique_ptr<fake_server>> mServers;
  std::map<peer_id, link> mLinks;
  std::map<std::pair<size_t, size_t>, instant> mCuts;
  peer_id mNextLink = 1;
  size_t mDroppedLinks = 0;
  size_t mMessagesOut = 0;
  size_t mMessagesIn = 0;
  uint64_t mNextIncarnation = 1;
  route_config mConfig;
  std::shared_ptr<const route_table> mTable;
  std::vector<caller_record> mCallers; // a caller's number is its index
  std::map<uint64_t, job_submission> mJobs;
  std::map<uint64_t, uint32_t> mDeadlines;
  std::map<uint64_t, instant> mFirstSentAt;
  bool mCountDownTimeouts = false;
  uint32_t RemainingTimeoutMs(uint64_t aJob) const;
  std::map<task_key, std::set<size_t>> mRunningAt;
  std::set<uint64_t> mStartedJobs;
  std::map<uint64_t, std::set<task_key>> mDone;
  std::vector<std::string> mViolations;
};

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SIZED_WORLD_H_
