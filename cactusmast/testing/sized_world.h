// Coordinators, executors and backend servers on a virtual clock, with a
// network and callers in between, for tests of jobs of sized tasks.
//
// While it runs, the world checks what callers and backend servers observe: no
// task runs twice at a time, no backend server is over its capacity, nothing
// starts in an evacuated data centre, each caller gets one answer, and the
// answer is correct. Violations are collected, not thrown, so that a test can
// show them all.

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
class no_events : public event_sink
{
public:
  void Emit(event_code, std::vector<event_field>) override {}
};

// A backend server. It runs each task for its work time divided by mSpeed,
// under one lease, and remembers the last run number of tasks that were stopped
// or have ended.
class fake_server : public backend_runner
{
public:
  fake_server(sized_world& aWorld, size_t aIndex);

  void Start(const start_request& aRequest) override;
  void Stop(const stop_request& aRequest) override;
  void Poll(const poll_request& aRequest) override;
  void ExpectInstance(const std::string&) override {}

  // Ends all tasks without a trace and begins a new incarnation that remembers
  // nothing.
  void Crash();
  // Lets the running tasks make progress up to the present time of the world.
  void Advance();
  // The next announcement.
  server_announcement Announce();
  bool IsRunning(const task_key& aTask) const;
  size_t Running() const { return mRunning.size(); }

  resources mCapacity{ 32000, 131072, 0 };
  double mSpeed = 1;  // work time done per time
  bool mDown = false; // it neither replies nor makes progress
  bool mDraining = false;
  bool mFailsAll = false;
  bool mHangs = false; // its tasks make no progress
  // Share of requests without a reply; start requests among them are carried
  // out 2 to 4 s later.
  double mUnansweredShare = 0;
  // The same of start and stop requests alone; polls get their replies.
  double mUnansweredOrders = 0;
  // The same of stop requests alone.
  double mUnansweredStops = 0;
  uint32_t mStarts = 0; // of tasks, in all incarnations

private:
  struct run
  {
    uint32_t mRunNumber = 0;
    instant mStartedAt{};
    double mDoneMs = 0; // of mWorkMs, as of mAdvancedAt
    double mWorkMs = 0; // run time at speed 1
    instant mAdvancedAt{};
    int64_t mCpu = 0; // thousandths of a core
  };

  int64_t ClockMs() const;
  start_result Execute(const start_request& aRequest);
  void Execute(const stop_request& aRequest);
  server_snapshot Execute(const poll_request& aRequest);
  void End(const task_key& aTask, end_kind aHow);
  bool IsUnanswered();
  bool IsOrderUnanswered();
  bool IsStopUnanswered();
  // Whether a request is for another incarnation: no connection leads there.
  bool IsForOther(int64_t aStartTimeMs) const;
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

// What differs between the routes of a world.
struct world_route
{
  std::string mName = "route";
  uint32_t mPriority = 0;
  uint32_t mObjectiveBaseMs = 60;
  double mObjectiveStretch = 1.6;
};

// One submission of a job, and the answer that its caller got.
struct caller_record
{
  uint64_t mJob = 0;
  size_t mEntry = 0;
  instant mSentAt{};
  bool mAnswered = false;
  bool mLost = false; // the connection was lost or closed
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
              size_t aDataCenters = 1,
              const overload_settings& aOverload = {});
  ~sized_world();

  // The data centres are named "a", "b" and so on. Entries and backend servers
  // are assigned to them in turn.
  std::string DataCenterOf(size_t aIndex) const;

  void Run(duration aSpan);
  instant Now() const { return mNow; }
  void At(duration aFromNow, std::function<void()> aDo);

  // From now on aShare of the tasks that start take aFactor times their work.
  // The choice depends on the task only, not on where or when it starts.
  void SetLongTasks(double aShare, double aFactor);
  double MeanWorkFactor() const { return 1 + mLongShare * (mLongFactor - 1); }
  // The largest work factor of the tasks of the job.
  double LongestWorkFactor(uint64_t aJob) const;
  // From now on jobs are submitted to these routes of the one service; before,
  // there is one route with the default values.
  void SetRoutes(const std::vector<world_route>& aRoutes);
  // Sets the timeout of the first route, which is 60 s before.
  void SetRouteTimeout(uint32_t aTimeoutMs);
  // Submits a job of aTasks tasks that take aWorkMs each, and resubmits it to
  // another entry 1300 ms after its entry was killed. aDeclaredMs: declared run
  // time; 0: aWorkMs. aRoute: index of its route. Returns the job.
  uint64_t Submit(size_t aEntry,
                  uint32_t aTasks,
                  uint32_t aWorkMs,
                  uint32_t aDeadlineMs = 1500,
                  uint32_t aDeclaredMs = 0,
                  size_t aRoute = 0);
  // From now on callers that resubmit a job wait only for what is left of their
  // timeout, and do not resubmit it when that has passed.
  void CountDownTimeouts() { mCountDownTimeouts = true; }
  // From now on a job is resubmitted to another entry kResubmitDelay after it
  // expired or its caller disconnected, once.
  void ResubmitExpired() { mResubmitsExpired = true; }
  void Resubmit(uint64_t aJob, size_t aEntry);
  // Closes the connections of the callers that wait for the job.
  void DisconnectCaller(uint64_t aJob);

  // Kills the process and starts a new one aDown later.
  void KillEntry(size_t aEntry, duration aDown);
  void KillExecutor(size_t aServer, duration aDown);
  // Stops the process for aSpan; its input waits.
  void PauseEntry(size_t aEntry, duration aSpan);
  void PauseExecutor(size_t aServer, duration aSpan);
  // For aSpan messages between the two are held up and new connections fail.
  void Cut(size_t aEntry, size_t aServer, duration aSpan);
  // For aSpan the loads that the two send each other are lost.
  void CutEntries(size_t aEntry, size_t aOther, duration aSpan);
  // Evacuate adds an operator's row to the store, EndEvacuation removes it.
  // From one second after the row is added, no task may start in the data
  // centre.
  void Evacuate(const std::string& aDataCenter);
  void EndEvacuation(const std::string& aDataCenter);
  // For aSpan the store does not reply to this entry.
  void CutFromStore(size_t aEntry, duration aSpan);
  // For aSpan the store does not reply to any process.
  void StopStore(duration aSpan);
  // From now on entries that have no data from the store since they started
  // refuse all jobs, as entries without a configuration do.
  void RefuseUntilStoreIsRead() { mRefusesUnconfigured = true; }
  // For tests with an unavailable store: time from an evacuation until no task
  // may start in the data centre.
  void SetMaxEvacuationAge(duration aMaxAge) { mMaxEvacuationAge = aMaxAge; }
  void DrainExecutor(size_t aServer);
  void DrainServer(size_t aServer);

  size_t Entries() const { return mEntries.size(); }
  size_t Servers() const { return mServers.size(); }
  fake_server& Server(size_t aIndex) { return *mServers[aIndex]; }
  job_coordinator& Coordinator(size_t aIndex);
  task_executor& Executor(size_t aIndex);
  bool ExecutorUp(size_t aIndex) const;
  // The last submission of the job.
  const caller_record& LastSubmission(uint64_t aJob) const;
  size_t CountEnding(job_ending aEnding) const;
  // Submissions that were completed within aWithin.
  size_t CountInTime(duration aWithin) const;
  // Messages that entries sent to executors, and executors to entries.
  size_t MessagesOut() const { return mMessagesOut; }
  size_t MessagesIn() const { return mMessagesIn; }
  // Reads of the evacuations by executors.
  size_t StoreReads() const { return mStoreReads; }
  // Connections that one side closed because the other had timed out.
  size_t ClosedLinks() const { return mClosedLinks; }
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
    bool mUp = true; // neither end has closed it
    bool mEntryOpen = true;
    bool mExecutorOpen = true;
    uint64_t mEntryIncarnation = 0;
    uint64_t mExecutorIncarnation = 0;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }
  void AddViolation(const std::string& aText);
  void OnTaskStart(const task_key& aTask, size_t aServer);
  void OnTaskEnd(const task_key& aTask, end_kind aHow);
  void ConnectAll();
  void TickAll();
  // Sends the load of the entry to all others.
  void SendLoad(entry& aFrom);
  void Send(peer_id aLink, bool aToExecutor, std::function<void()> aDeliver);
  void AfterCut(peer_id aLink, duration aDelay, std::function<void()> aDo);
  void Deliver(bool aToExecutor, size_t aIndex, std::function<void()> aDo);
  void CloseLink(peer_id aLink, bool aNotifyEntry, bool aNotifyExecutor);
  // Closes the connection at both sides, each by its own timeout.
  void TimeOutLink(peer_id aLink);
  void SubmitTo(const job_request& aRequest, size_t aEntry);
  void OnAnswer(caller_id aCaller, const job_outcome& aOutcome);
  void ResubmitLater(caller_id aCaller);
  bool IsCut(size_t aEntry, size_t aServer) const;
  double WorkFactor(const task_key& aTask) const;
  bool AreEntriesCut(size_t aEntry, size_t aOther) const;
  void SyncEvacuations();

  mechanism_set mMechanisms;
  size_t mDataCenters;
  overload_settings mOverload;
  evacuation_state mStore{ 1, {} };
  std::map<std::string, instant> mEvacuatedAt;
  duration mMaxEvacuationAge = std::chrono::seconds(1);
  instant mStoreBackAt{};
  instant mNextStoreTick{};
  size_t mStoreReads = 0;
  bool mRefusesUnconfigured = false; // see RefuseUntilStoreIsRead
  instant mNow{ std::chrono::seconds(100) };
  std::mt19937 mRandom;
  no_events mEvents;
  std::multimap<instant, std::function<void()>> mQueue;
  std::vector<std::unique_ptr<entry>> mEntries;
  std::vector<std::unique_ptr<executor>> mExecutors;
  std::vector<std::unique_ptr<fake_server>> mServers;
  std::map<peer_id, link> mLinks;
  std::map<std::pair<size_t, size_t>, instant> mCuts;
  std::map<std::set<size_t>, instant> mEntryCuts;
  peer_id mNextLink = 1;
  size_t mClosedLinks = 0;
  size_t mMessagesOut = 0;
  size_t mMessagesIn = 0;
  uint64_t mNextIncarnation = 1;
  route_config mConfig;
  std::shared_ptr<const route_table> mTable;
  std::vector<caller_record> mCallers; // by caller_id
  std::map<uint64_t, job_submission> mJobs;
  std::map<uint64_t, size_t> mJobRoutes;
  std::map<uint64_t, uint32_t> mDeadlines;
  std::map<uint64_t, instant> mFirstSentAt;
  bool mCountDownTimeouts = false;
  bool mResubmitsExpired = false; // see ResubmitExpired
  double mLongShare = 0;          // see SetLongTasks
  double mLongFactor = 1;
  uint32_t RemainingTimeoutMs(uint64_t aJob) const;
  std::map<task_key, std::set<size_t>> mRunningAt;
  std::set<uint64_t> mStartedJobs;
  std::map<uint64_t, std::set<task_key>> mDone;
  std::vector<std::string> mViolations;
};

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SIZED_WORLD_H_
