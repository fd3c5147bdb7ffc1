// The core of the executor: the process beside a backend server, and the only
// one that starts or stops tasks there. Deployments with coordinators and
// executors have no guards, and vice versa.
//
// Entries dispatch tasks of any size. The executor starts a task when there is
// free capacity, most urgent first, or reports within the time given in the
// dispatch that it did not start it.
//
// Invariants:
// - The sizes of all tasks that may be running, those being stopped included,
//   never exceed the backend server's capacity. While a stray task runs there,
//   one that this executor does not track, nothing is started, because its size
//   is not known.
// - The end of an attempt is reported exactly once, over the connection that
//   dispatched it, unless that is closed. Done, Failed, Stopped and Lost are
//   only reported once the attempt no longer runs.
// - Tasks of an entry that has sent nothing for kEntryTimeout are stopped, so
//   that the caller may resubmit its job elsewhere. What counts is when a
//   message was sent, by this machine's clock, not when it is read: a message
//   may be held up in the network or by a pause of this process while its entry
//   gives this executor up and places the tasks elsewhere. A dispatch that was
//   sent kEntryTimeout ago is refused.
// - Nothing is started on an incarnation of the backend server that has not
//   announced its capacity, service and labels, nor on another one than that
//   for which the entry placed the task.
// - While the executor's data centre is being evacuated nothing is started;
//   running tasks are left to finish.
// - A start request without a reply is in doubt. It is resolved by the reply to
//   a stop request or by the expiry of every lease that was ever requested.
// - When the backend server restarts, a start request that was on its way may
//   have reached either incarnation. Whether its task runs is only taken from a
//   poll that was sent after the start was confirmed.
// - The lease at the backend server covers all that runs there. It is not
//   extended while a task may run that is placed elsewhere after a fixed time,
//   whether or not its end is reported: one of an earlier executor process, or
//   one whose stop is overdue (kOrphanStopTime, kEndedJobStopTime).
// - From the loss of a connection to the backend server until the next poll
//   reply, it may be another incarnation, with another clock and other numbers
//   of ends. Until then nothing is started, no lease is extended and no end is
//   acknowledged.

#ifndef CACTUSMAST_TASK_EXECUTOR_H_
#define CACTUSMAST_TASK_EXECUTOR_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cactusmast/backend_runner.h"
#include "cactusmast/evacuation.h"
#include "cactusmast/mechanisms.h"
#include "cactusmast/ports.h"
#include "cactusmast/sized_task.h"
#include "cactusmast/slowness_estimate.h"

namespace cactusmast {

using std::chrono::milliseconds;

// An entry with open tasks here sends a heartbeat every kHeartbeatInterval. If
// nothing comes from it for kEntryTimeout, its tasks are stopped. Callers
// resubmit a job kResubmitDelay after they lost its entry, which leaves time
// for the stop. Three heartbeats may be late before the timeout.
constexpr duration kHeartbeatInterval = milliseconds(150);
constexpr duration kEntryTimeout = milliseconds(550);
// How long after a failed answer, or the loss of a connection to an entry,
// callers submit their job again, to any entry. Nothing of the earlier
// submission may run by then.
constexpr duration kResubmitDelay = milliseconds(1300);

// How long tasks run on without their executor. Short enough that the tasks of
// an executor that was killed have ended before entries may place them again;
// long enough for three polls.
constexpr milliseconds kLeaseTime = milliseconds(500);
// How long the backend server may delay its reply to a poll: at least; while
// tasks run; while none runs.
constexpr milliseconds kMinPollWait = milliseconds(30);
constexpr milliseconds kMaxBusyPollWait = milliseconds(100);
constexpr milliseconds kIdlePollWait = milliseconds(200);
// A poll without a reply this long after its wait is taken to be lost, and
// another is sent: without a reply, neither ends nor free capacity are known.
// The reply comes from the same machine within 1 ms, unless that is short of
// processor time.
constexpr milliseconds kPollGrace = milliseconds(10);
// Covers a backend server's clock that is 2% slow, and the time that a request
// takes to arrive.
constexpr milliseconds kLeaseMargin = milliseconds(60);
// How long a backend server takes to stop a task, at most.
constexpr milliseconds kMaxStopTime = milliseconds(50);
// How late a turn of a process's loop may be, by its timer and other work.
constexpr milliseconds kMaxLoopDelay = milliseconds(50);
// From the disconnection of an entry until the lease is no longer extended if
// the stop of one of its tasks is not confirmed. The lease then expires before
// the entry places the task again. Two stop requests may get no reply.
constexpr duration kOrphanStopTime = milliseconds(80);

// The fencing token of an executor that starts at aWallMs, in milliseconds
// since 1970. It exceeds that of any executor of the same backend server that
// started earlier, unless the clock was set back; then the backend server
// refuses it.
uint64_t
FencingTokenAt(int64_t aWallMs);

// The connections of an executor to entries, as its core needs them.
class executor_links
{
public:
  virtual ~executor_links() = default;
  virtual void Report(peer_id aEntry,
                      const wire::server_report_msg& aReport) = 0;
  // Closes a connection that has timed out.
  virtual void Close(peer_id aEntry) = 0;
};

// Why an executor stops a task that may be running.
enum class stop_cause : uint8_t
{
  EntryOrder,
  Deadline, // its caller no longer waits
  Stalled,
  StartInDoubt,
  EntryLost,
  Count
};

// The name used in logs.
std::string_view
Name(stop_cause aCause);

class task_executor
{
public:
  // aFencingToken: should be greater than that of any earlier executor of the
  // same backend server; if it is not, it is raised as requests are refused.
  task_executor(uint64_t aFencingToken,
                std::string aService,
                std::string aDataCenter,
                executor_links& aLinks,
                backend_runner& aRunner,
                event_sink& aEvents,
                const mechanism_set& aMechanisms = {});

  // Stops tasks that make no progress from now on.
  void DetectStalls() { mDetectsStalls = true; }
  void OnEntryUp(peer_id aEntry, const std::string& aName, instant aNow);
  void OnEntryDown(peer_id aEntry, instant aNow);
  // aReceiverClockMs: as in wire::start_tasks_msg.
  void OnHeartbeat(peer_id aEntry, uint64_t aReceiverClockMs, instant aNow);
  // aWanted: whether the entry wants a report of each change of free capacity.
  void OnSubscription(peer_id aEntry, bool aWanted);
  // An update from an entry or the store; empty: the sender knows nothing. True
  // if other data centres are being evacuated now than before.
  bool OnEvacuations(const std::optional<evacuation_update>& aUpdate,
                     instant aNow);
  // Whether to read the evacuations from the store: entries dispatch tasks
  // here, but none of them has had an update from the store for long.
  bool WantsEvacuations(instant aNow) const;
  void OnStartTasks(peer_id aEntry,
                    const wire::start_tasks_msg& aDispatch,
                    instant aNow);
  void OnStopTasks(peer_id aEntry,
                   const wire::stop_tasks_msg& aRequest,
                   instant aNow);

  // False, and nothing changes, if it names another service than this
  // executor's.
  bool OnAnnouncement(const server_announcement& aAnnouncement, instant aNow);
  // The last announcement that an earlier executor process received, restored
  // from the store. It is used until an announcement comes, for
  // kRestoredLifetime at most, and only for the incarnation that it names.
  void OnAnnouncementRestored(const server_announcement& aServer, instant aNow);
  // The newest announcement. Null before the first one; a restored one does not
  // count.
  const server_announcement* Announcement() const;
  // The backend server deregisters because it is about to exit.
  void OnWithdrawal(const std::string& aServerId, instant aNow);

  // aClockMs: the backend server's clock; 0 if the reply does not contain it.
  void OnStartReply(const task_key& aTask,
                    uint32_t aRunNumber,
                    start_result aResult,
                    int64_t aClockMs,
                    instant aNow);
  void OnStopReply(const task_key& aTask,
                   uint32_t aRunNumber,
                   bool aAcknowledged,
                   instant aNow);
  // aSnapshot is only used if aResult is Ok.
  void OnPollReply(uint64_t aNumber,
                   poll_result aResult,
                   const server_snapshot& aSnapshot,
                   instant aNow);

  void Tick(instant aNow);

  // From now on nothing is started; queued tasks are returned to their entries.
  void Drain(instant aNow);
  bool IsDrained() const { return mDraining && mTasks.empty(); }

  server_state State(instant aNow) const;
  // Tasks that may be running, those with a start in doubt included.
  size_t Running() const { return mTasks.size() - mQueue.size(); }
  size_t Queued() const { return mQueue.size(); }
  // Actual over declared run time: above 1 if slower than declared.
  double Slowness() const;
  // Ended tasks that did not count for the slowness.
  uint64_t SlowOutliers() const { return mSlowOutliers; }
  const evacuation_tracker& Evacuations() const { return mEvacuations; }
  // Capacity that no started task occupies.
  const resources& Free() const { return mFree; }
  // Entries that want a report of each change of free capacity.
  size_t SubscribedEntries() const;
  // Tasks stopped for want of progress since the start.
  uint64_t StalledTasks() const { return mStalledTasks; }
  // Tasks whose stop is overdue. The lease is not extended while there are any.
  size_t OverdueStops() const { return mOverdueStops; }
  // Tasks that ended with the lease since the start.
  uint64_t LapsedTasks() const { return mLapsedTasks; }

private:
  enum class task_state : uint8_t
  {
    Queued,
    Starting, // start request sent, no reply yet
    Running,
    InDoubt // start request sent; the reply is missing
  };

  struct task
  {
    task_key mKey;
    peer_id mEntry = 0; // that gets the report; 0: its connection is closed
    uint32_t mAttempt = 0;
    uint32_t mRunNumber = 0;
    std::shared_ptr<const std::string> mSpec;
    resources mSize;
    task_state mState = task_state::Queued;
    uint32_t mEstimateMs = 0; // run time forecast by the entry
    uint32_t mDeclaredMs = 0; // run time declared by the caller
    instant mLatestStart{}; // that meets the objective; the earliest goes first
    instant mStartBy{};     // if queued until then, it is returned
    instant mStopBy{};      // if running then, it is stopped
    instant mStartSentAt{}; // 0: not started
    // The incarnation for which the last start request was made; 0: not known.
    int64_t mServerStartTimeMs = 0;
    instant mConfirmedAt{}; // when its start or stop was last confirmed, by a
                            // reply or a list of running tasks; 0: never
    bool mSeenRunning = false; // listed by some poll reply
    uint32_t mPercent = 0;     // progress in the last poll reply that listed it
    instant mPercentAt{};      // when that reply came
    instant mProgressAt{};     // when mPercent last changed; 0: not listed yet
    bool mSlowReported = false;
    bool mStopping = false;
    bool mStopAcknowledged = false;
    // When its stop becomes overdue if it is not confirmed; 0: never, because
    // nobody places it again before its end is reported.
    instant mConfirmStopBy{};
    instant mNextStop{}; // when the stop request is sent again
    stop_cause mStopCause = stop_cause::EntryOrder;
    instant mStopBegunAt{};
    instant mNextStopLog{}; // when its stop is next logged as unconfirmed
    attempt_outcome mStopOutcome = attempt_outcome::Stopped;
    uint32_t mRetries = 0;      // new starts after a refusal
    uint32_t mResends = 0;      // start requests that got no reply
    bool mAwaitsResend = false; // its start request is to be sent again
  };

  struct entry_link
  {
    std::string mName;
    instant mLastHeard{}; // when its newest message was sent, or earlier
    instant mReportedAt{};
    uint64_t mLastDispatchNumber = 0;
    std::vector<wire::task_end> mEnds;
    std::vector<wire::task_forecast> mTooSlow;
    bool mChanged = true; // since the last report to it
    bool mSubscribed = false;
    bool mReportRequested = true; // a report is due at once
    uint32_t mOpenTasks = 0;      // that it dispatched and that have not ended
    server_state mReportedState = server_state::Absent;
  };

  // When a message was sent, by this machine's clock. aReceiverClockMs: as in
  // wire::start_tasks_msg.
  static instant TimeOfSending(uint64_t aReceiverClockMs, instant aNow);
  // Whether nothing that its entry sent within kEntryTimeout has been read.
  static bool IsSilent(const entry_link& aEntry, instant aNow);

  using queue_key = std::pair<instant, task_key>;
  using task_map = std::unordered_map<task_key, task>;

  void RefuseExpired(entry_link* aEntry,
                     const wire::start_tasks_msg& aDispatch,
                     instant aNow);
  void Accept(peer_id aEntry,
              const wire::start_tasks_msg& aDispatch,
              const wire::task_attempt& aAttempt,
              const std::shared_ptr<const std::string>& aSpec,
              instant aNow);
  // When another task of aSize would start, after all queued ones.
  instant ExpectedStart(const resources& aSize, instant aNow) const;
  instant ExpectedEnd(const task& aTask, instant aNow) const;
  resources MeanTaskSize() const;
  bool MayStart(instant aNow) const;
  bool IsEvacuated() const { return mEvacuations.Has(mDataCenter); }
  // aWasEvacuated: IsEvacuated() before the change.
  void OnEvacuationsChanged(bool aWasEvacuated, instant aNow);
  void StartQueuedTasks(instant aNow);
  void BeginStart(task& aTask, instant aNow);
  void SendStart(task& aTask, instant aNow);
  void BeginStop(task& aTask,
                 stop_cause aCause,
                 attempt_outcome aOutcome,
                 instant aNow);
  void LogUnconfirmedStop(task& aTask, instant aNow);
  void SendStop(const task_key& aTask, uint32_t aRunNumber);
  void SendPoll(instant aNow);
  void OnDisconnected(instant aNow);
  bool IsRestartSuspected() const { return mRestartSuspectedAt.count() != 0; }
  // Whether a task may run that only the expiry of the lease ends in time.
  bool NeedsLeaseExpiry() const { return mHasStrays || mOverdueStops > 0; }
  static bool IsStopOverdue(const task& aTask, instant aNow);
  // The stop of aTask is to be confirmed by aBy, or earlier if that was said
  // before.
  static void ConfirmStopBy(task& aTask, instant aBy);
  // The job of aTask has ended at aEndedAt.
  static void OnJobEnded(task& aTask, instant aEndedAt, instant aNow);
  // How long the backend server may delay the reply to the next poll.
  milliseconds PollWait(instant aNow) const;
  // Sends a new start request after a refusal that it can avoid, or gives the
  // start up after kMaxStartRetries or in an evacuation.
  void RetryStart(task& aTask, instant aNow);
  // Sends the start request of a task again, unless that has to wait or is
  // pointless.
  void ResendStart(task& aTask, instant aNow);
  void GiveUpStart(task& aTask, attempt_outcome aWhy, instant aNow);
  void Requeue(task& aTask);
  // Reports the attempt and removes the task.
  void End(const task_key& aKey, attempt_outcome aOutcome, instant aNow);
  void EndAllStarted(attempt_outcome aOutcome, instant aNow);
  void ReturnQueued(attempt_outcome aOutcome, instant aNow);
  // True if this failure starts or prolongs a quarantine of the backend server.
  bool RecordFailure(instant aNow);
  void UpdateEstimates(const task& aTask,
                       attempt_outcome aOutcome,
                       instant aNow);
  void ApplyEnds(const server_snapshot& aSnapshot, instant aNow);
  void ApplyRunning(const server_snapshot& aSnapshot,
                    instant aSentAt,
                    instant aNow);
  // Adds an ended task to the estimates of the slowness and the mean run time.
  void ObserveRun(const task& aTask, double aRanMs);
  bool IgnoresOutliers() const;
  // Whether the progress of the running tasks, aRunning, shows that the backend
  // server has become slow.
  void CheckProgress(const std::set<task_key>& aRunning, instant aNow);
  // The slowness was aBefore until the estimate was recomputed.
  void OnSpeedChanged(double aBefore, const std::string& aShownBy);
  void OnProgress(task& aTask, uint32_t aPercent, instant aNow);
  // Stops the tasks that have stalled, after a poll reply.
  void StopStalledTasks(instant aNow);
  void CheckIncarnation(int64_t aStartTimeMs, instant aNow);
  // Whether mServer, with its capacity, service and labels, is the incarnation
  // that replies to polls. Where either does not name its incarnation, an
  // announcement counts and a restored one does not.
  bool IsDescribed() const;
  bool IsOutdated(const server_announcement& aAnnouncement) const;
  void SetServer(const server_announcement& aServer);
  void CheckCold(instant aNow);
  bool IsRestored() const { return mRestoredUntil.count() != 0; }
  void CheckRestored(instant aNow);
  void DropRestored(const std::string& aReason, instant aNow);
  void CheckEntryTimeouts(instant aNow);
  void ExpireTasks(instant aNow);
  void CheckStops(instant aNow);
  bool IsPollDue(instant aNow) const;
  void CheckServerTimeout(instant aNow);
  void CheckLeaseExpiry(instant aNow);
  // A report without the fields that differ from entry to entry.
  wire::server_report_msg DescribeServer(instant aNow) const;
  void SendReports(instant aNow);
  bool IsReportDue(const entry_link& aEntry,
                   server_state aState,
                   duration aSpacing,
                   instant aNow) const;
  // Minimum time between two reports of changes to one entry.
  duration ReportSpacing() const;
  int64_t ExtendLease(instant aNow);
  // How long the latest lease that this process requested lasts; 0: it has
  // expired, or none was requested.
  int64_t LeaseLeftMs(instant aNow) const;
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
  // Last run numbers of tasks that ended here recently, and their keys in the
  // order in which they first ended.
  std::map<task_key, uint32_t> mLastRunNumbers;
  std::vector<task_key> mLastRunOrder;

  bool mServerKnown = false; // announced or restored
  instant mRestoredUntil{};  // 0: mServer is from an announcement
  server_announcement mServer;
  resources mFree;
  bool mDraining = false;
  evacuation_tracker mEvacuations;
  instant mLastDispatchAt{}; // when an entry last dispatched a task

  bool mClockKnown = false;
  int64_t mClockOffsetMs = 0; // the backend server's clock less ours
  instant mLeaseEnd{}; // by our clock, all leases requested have expired then
  bool mReachable = false; // it has replied to a poll within kServerTimeout
  // By number: when each poll without a reply was sent.
  std::map<uint64_t, instant> mPendingPolls;
  instant mPollTimeoutAt{}; // of the newest poll
  instant mNextPoll{};
  uint64_t mLastPollNumber = 0;
  uint64_t mNewestPollReply = 0; // number of the newest poll with a reply
  instant mLastPollReplyAt{};    // when that reply came
  // When the connection was last lost, so that the backend server may have
  // restarted; 0: a reply to a later poll has shown its incarnation.
  instant mRestartSuspectedAt{};
  instant mIncarnationSince{}; // when the current incarnation became known
  uint64_t mLastEndSeen = 0;   // number of the newest end of this incarnation
  int64_t mServerStartTimeMs = 0; // names its incarnation; 0: not known
  bool mHasStrays = true;         // assumed until the first poll reply
  std::map<task_key, instant> mStrayStops; // when each is stopped again
  size_t mOverdueStops = 0;                // as of the last Tick
  uint64_t mLapsedTasks = 0;

  robust_slowness mSlowness;
  robust_slowness mColdSlowness; // while the backend server is cold
  uint64_t mSlowOutliers = 0;
  bool mCold = false;
  instant mColdUntil{};
  double mMeanRunMs = 0;       // 0: no task has succeeded yet
  uint32_t mFailuresInRow = 0; // of tasks and starts
  bool mDetectsStalls = false;
  uint64_t mStalledTasks = 0;
  instant mQuarantinedUntil{};
};

} // namespace cactusmast

#endif // CACTUSMAST_TASK_EXECUTOR_H_
