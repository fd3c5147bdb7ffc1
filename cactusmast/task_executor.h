// The decisions of the process beside a backend server: the only one that
// starts or stops anything there.
//
// Entries order tasks of any size. The executor starts an order when there is
// room, most urgent first, or says within the order's time that it did not.
//
// Invariants:
// - The sizes of all tasks that may be running, those being stopped included,
//   never exceed the backend server's capacity. While anything runs there that
//   this executor did not start, nothing is started, because its size is not
//   known.
// - An attempt is reported exactly once over the connection that ordered it,
//   and Done, Stopped and Lost are only reported when it runs no longer.
// - Tasks of an entry that has been silent for kEntryTimeout are stopped, so
//   that the caller may submit its job again elsewhere.
// - While the executor's data centre is being evacuated nothing is started;
//   what runs is let finish.
// - A start whose answer is missing is settled by a stop that is answered, by
//   the end of every lease that was ever asked for, or by a new life of the
//   backend server.

#ifndef CACTUSMAST_TASK_EXECUTOR_H_
#define CACTUSMAST_TASK_EXECUTOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusmast/backend_runner.h"
#include "cactusmast/evacuation.h"
#include "cactusmast/mechanisms.h"
#include "cactusmast/ports.h"
#include "cactusmast/sized_task.h"
#include "cactusmast/speed_estimate.h"

namespace cactusmast {

using std::chrono::milliseconds;

// An entry with tasks here shows every kHeartbeatInterval that it lives. After
// kEntryTimeout they are stopped. Callers send a job again 1300 ms after they
// lost its entry, which leaves time for the stop; three pulses may be late
// before it comes to that.
constexpr duration kHeartbeatInterval = milliseconds(150);
constexpr duration kEntryTimeout = milliseconds(550);

// How long the backend server runs on without its executor. Short enough that
// the tasks of an executor that was killed are over before its entries may
// place them again; three looks fit in.
constexpr milliseconds kLeaseTime = milliseconds(500);
constexpr milliseconds kMinPollWait = milliseconds(30);
constexpr milliseconds kLongPollWait = milliseconds(100);
constexpr milliseconds kIdlePollWait = milliseconds(200);
// A look that is not answered this long after its wait is taken to be lost and
// followed by another: while none is answered, ends and free room go unseen.
// The answer comes from the same machine within 1 ms, unless
// that is short of processor time.
constexpr milliseconds kPollGrace = milliseconds(10);
// A backend server's clock may be 2% slow; the rest is for the way there.
constexpr milliseconds kLeaseMargin = milliseconds(60);

class executor_links
{
public:
  virtual ~executor_links() = default;
  virtual void Report(peer_id aEntry,
                      const wire::server_report_msg& aReport) = 0;
  // Closes a connection over which nothing has come for too long.
  virtual void Close(peer_id aEntry) = 0;
};

class task_executor
{
public:
  task_executor(uint64_t aFencingToken,
                std::string aService,
                std::string aDataCenter,
                executor_links& aLinks,
                backend_runner& aRunner,
                event_sink& aEvents,
                const mechanism_set& aMechanisms = {});

  void OnEntryUp(peer_id aEntry, const std::string& aName, instant aNow);
  void OnEntryDown(peer_id aEntry, instant aNow);
  void OnHeartbeat(peer_id aEntry, instant aNow);
  // Whether the entry wants a report of each change of room.
  void OnSubscription(peer_id aEntry, bool aWanted, instant aNow);
  // What an entry or the store says of evacuations. True if it is news.
  bool OnEvacuations(const std::optional<evacuation_update>& aUpdate,
                     instant aNow);
  // Whether the store is to be asked for evacuations: entries order tasks here
  // that have not heard from it for long.
  bool WantsEvacuations(instant aNow) const;
  void OnStartTasks(peer_id aEntry,
                    const wire::start_tasks_msg& aDispatch,
                    instant aNow);
  void OnStopTasks(peer_id aEntry,
                   const wire::stop_tasks_msg& aRequest,
                   instant aNow);

  void OnAnnouncement(const server_announcement& aAnnouncement, instant aNow);
  // What an earlier process here knew of the backend server, from the store.
  // It stands in for an announcement until one comes, for kRestoredLifetime at
  // most, and only if the backend server is still in the life that it names.
  void OnServerRestored(const server_announcement& aServer, instant aNow);
  // Null before the first announcement.
  const server_announcement* Announcement() const;
  // The backend server says that it ends now.
  void OnWithdrawal(const std::string& aServerId, instant aNow);

  // aClockMs: the backend server's clock, 0 when the answer has none.
  void OnStartReply(const task_key& aTask,
                    uint32_t aRunNumber,
                    start_result aResult,
                    int64_t aClockMs,
                    instant aNow);
  void OnStopReply(const task_key& aTask,
                   uint32_t aRunNumber,
                   bool aAcknowledged,
                   instant aNow);
  // aSeen counts only when aResult is Ok.
  void OnPollReply(uint64_t aNumber,
                   poll_result aResult,
                   const server_snapshot& aSnapshot,
                   instant aNow);

  void Tick(instant aNow);

  // Nothing new is started from now on; what is queued goes back.
  void Drain(instant aNow);
  bool IsDrained() const { return mDraining && mTasks.empty(); }

  server_state State(instant aNow) const;
  size_t Running() const { return mTasks.size() - mQueue.size(); }
  size_t Queued() const { return mQueue.size(); }
  double Slowness() const;
  const evacuation_tracker& Evacuations() const { return mEvacuations; }
  const resources& Free() const { return mFree; }
  // Entries that want a report of each change of room.
  size_t SubscribedEntries() const;

private:
  enum class task_state : uint8_t
  {
    Queued,
    Starting, // ordered, not answered yet
    Running,
    InDoubt // ordered, and the answer is missing
  };

  struct task
  {
    task_key mKey;
    peer_id mEntry = 0; // 0: nobody is told any more
    uint32_t mAttempt = 0;
    uint32_t mRunNumber = 0;
    std::shared_ptr<const std::string> mSpec;
    resources mSize;
    task_state mState = task_state::Queued;
    uint32_t mEstimateMs = 0; // by its entry
    uint32_t mDeclaredMs = 0; // by its caller
    instant mUrgentAt{};
    instant mStartBy{};
    instant mStopBy{};
    instant mStartSentAt{};
    instant mConfirmedAt{}; // start or stop was answered; 0: neither
    bool mSeenRunning = false;
    uint32_t mPercent = 0; // of its work, when last seen
    instant mPercentAt{};
    bool mSlowReported = false;
    bool mStopping = false;
    bool mStopAcknowledged = false;
    instant mNextStop{};
    attempt_outcome mStopOutcome = attempt_outcome::Stopped;
    uint32_t mRetries = 0; // for reasons given
    uint32_t mResends = 0; // orders that got no answer
  };

  struct entry_link
  {
    std::string mName;
    instant mLastHeard{};
    instant mReportedAt{};
    uint64_t mLastDispatchNumber = 0;
    std::vector<wire::task_end> mEnds;
    std::vector<wire::task_forecast> mTooSlow;
    bool mChanged = true;
    bool mSubscribed = false;
    bool mReportRequested = true; // for a report at once
    uint32_t mOpenTasks = 0;      // that it ordered and that have not ended
    server_state mReportedState = server_state::Absent;
  };

  using queue_key = std::pair<instant, task_key>;
  using task_map = std::unordered_map<task_key, task>;

  void Accept(peer_id aEntry,
              const wire::start_tasks_msg& aDispatch,
              const wire::task_attempt& aAttempt,
              const std::shared_ptr<const std::string>& aSpec,
              instant aNow);
  // When another task of aSize would start, behind all that is queued.
  instant ExpectedStart(const resources& aSize, instant aNow) const;
  instant ExpectedEnd(const task& aTask, instant aNow) const;
  resources MeanTaskSize() const;
  bool MayStart(instant aNow) const;
  bool IsEvacuated() const { return mEvacuations.Has(mDataCenter); }
  // After an offer to mEvacuations; aBefore: IsEvacuated() until then.
  void OnEvacuationsChanged(bool aWasEvacuated, instant aNow);
  void StartQueuedTasks(instant aNow);
  void BeginStart(task& aTask, instant aNow);
  void SendStart(const task& aTask, instant aNow);
  void BeginStop(task& aTask, attempt_outcome aOutcome, instant aNow);
  void SendStop(const task_key& aTask, uint32_t aRunNumber);
  void SendPoll(instant aNow);
  // How long the next look may wait for an end.
  milliseconds PollWait(instant aNow) const;
  void RetryStart(task& aTask, instant aNow);
  void GiveUpStart(task& aTask, attempt_outcome aWhy, instant aNow);
  void Requeue(task& aTask);
  // Reports the attempt and forgets it.
  void End(const task_key& aKey, attempt_outcome aOutcome, instant aNow);
  void EndAllStarted(attempt_outcome aOutcome, instant aNow);
  void ReturnQueued(attempt_outcome aOutcome, instant aNow);
  // True when the backend server is set aside for a while.
  bool RecordFailure(instant aNow);
  void UpdateEstimates(const task& aTask,
                       attempt_outcome aOutcome,
                       instant aNow);
  void ApplyEnds(const server_snapshot& aSnapshot, instant aNow);
  void ApplyRunning(const server_snapshot& aSnapshot,
                    instant aSentAt,
                    instant aNow);
  void OnProgress(task& aTask, uint32_t aPercent, instant aNow);
  void CheckIncarnation(int64_t aStartTimeMs, instant aNow);
  void SetServer(const server_announcement& aServer);
  void CheckCold(instant aNow);
  bool IsRestored() const { return mRestoredUntil.count() != 0; }
  void CheckRestored(instant aNow);
  void DropRestored(const std::string& aReason, instant aNow);
  void CheckEntryTimeouts(instant aNow);
  void ExpireTasks(instant aNow);
  bool IsPollDue(instant aNow) const;
  void CheckServerTimeout(instant aNow);
  void CheckLeaseExpiry(instant aNow);
  // A report without what is the receiving entry's alone.
  wire::server_report_msg DescribeServer(instant aNow) const;
  void SendReports(instant aNow);
  bool IsReportDue(const entry_link& aEntry,
                   server_state aState,
                   duration aSpacing,
                   instant aNow) const;
  // Between reports of changes to one entry.
  duration ReportSpacing() const;
  int64_t ExtendLease(instant aNow);
  void MarkChanged();
  uint32_t NextRunNumber(const task_key& aKey);

  uint64_t mFencingToken;
  std::string mService;
  std::string mDataCenter;
  executor_links& mLinks;
  backend_runner& mRunner;
  event_sink& mEvents;
  mechanism_set mMechanisms;

  std::map<peer_id, entry_link> mEntries;
  task_map mTasks;
  std::set<queue_key> mQueue; // most urgent first
  // Last run number of tasks that ended here lately.
  std::map<task_key, uint32_t> mLastRunNumbers;
  std::vector<task_key> mLastRunOrder;

  bool mServerKnown = false; // or recalled
  instant mRestoredUntil{};  // zero: mServer is from an announcement
  server_announcement mServer;
  resources mFree;
  bool mDraining = false;
  evacuation_tracker mEvacuations;
  instant mLastDispatchAt{}; // when an entry last ordered a task

  bool mClockKnown = false;
  int64_t mClockOffsetMs = 0; // the backend server's clock less ours
  instant mLeaseEnd{};        // no lease that we asked for lasts longer
  bool mReachable = false;
  std::map<uint64_t, instant>
    mPendingPolls;          // unanswered ones, by when they were sent
  instant mPollTimeoutAt{}; // the newest one is late from then on
  instant mNextPoll{};
  uint64_t mLastPollNumber = 0;
  uint64_t mNewestPollReply = 0; // number of the newest look that was answered
  instant mLastPollReplyAt{};    // when that was
  uint64_t mLastEndSeen = 0;
  int64_t mServerStartTimeMs = 0;
  bool mHasStrays = true; // unknown before the first look
  std::map<task_key, instant> mStrayStops;

  speed_estimate mSpeed;
  speed_estimate mColdSpeed; // while the backend server is cold
  bool mCold = false;
  instant mColdUntil{};
  double mMeanRunMs = 0;
  uint32_t mFailuresInRow = 0;
  instant mQuarantinedUntil{};
};

} // namespace cactusmast

#endif // CACTUSMAST_TASK_EXECUTOR_H_
