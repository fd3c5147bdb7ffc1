#include "cactusmast/task_executor.h"

#include <algorithm>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

wire::task_end
MakeTaskEnd(const task_key& aKey,
            uint32_t aAttempt,
            uint32_t aRunMs,
            attempt_outcome aOutcome)
{
  return { uint32_t(aKey.mJob >> 32),
           uint32_t(aKey.mJob),
           aKey.mStep,
           aKey.mIndex,
           aAttempt,
           aRunMs,
           uint8_t(aOutcome) };
}

} // namespace

uint64_t
FencingTokenAt(int64_t aWallMs)
{
  return uint64_t(std::max<int64_t>(1, aWallMs - kFencingTokenEpochMs));
}

task_executor::task_executor(uint64_t aFencingToken,
                             std::string aService,
                             std::string aDataCenter,
                             executor_links& aLinks,
                             backend_runner& aRunner,
                             event_sink& aEvents,
                             const mechanism_set& aMechanisms)
  : mFencingToken(aFencingToken)
  , mService(std::move(aService))
  , mDataCenter(std::move(aDataCenter))
  , mLinks(aLinks)
  , mRunner(aRunner)
  , mEvents(aEvents)
  , mMechanisms(aMechanisms)
  , mSlowness(IgnoresOutliers())
  , mColdSlowness(IgnoresOutliers())
{
}

void
task_executor::OnEntryUp(peer_id aEntry, const std::string& aName, instant aNow)
{
  entry_link& added = mEntries[aEntry];
  added.mName = aName;
  added.mLastHeard = aNow;
}

void
task_executor::OnEntryDown(peer_id aEntry, instant aNow)
{
  if (mEntries.erase(aEntry) == 0) {
    return;
  }
  std::vector<task_key> queued;
  size_t stopped = 0;
  for (auto& [key, tracked] : mTasks) {
    if (tracked.mEntry != aEntry) {
      continue;
    }
    tracked.mEntry = 0;
    ConfirmStopBy(tracked, aNow + kOrphanStopTime);
    if (tracked.mState == task_state::Queued) {
      queued.push_back(key);
    } else {
      BeginStop(tracked, stop_cause::EntryLost, attempt_outcome::Stopped, aNow);
      stopped++;
    }
  }
  for (const task_key& key : queued) {
    End(key, attempt_outcome::NoRoom, aNow);
  }
  if (stopped + queued.size() > 0) {
    mEvents.Emit(event_code::OrphansStopped,
                 { { "entry", std::to_string(aEntry) },
                   { "stopped", std::to_string(stopped) },
                   { "dropped", std::to_string(queued.size()) } });
  }
}

void
task_executor::OnHeartbeat(peer_id aEntry,
                           uint64_t aReceiverClockMs,
                           instant aNow)
{
  auto found = mEntries.find(aEntry);
  if (found == mEntries.end()) {
    return;
  }
  instant& lastHeard = found->second.mLastHeard;
  lastHeard = std::max(lastHeard, TimeOfSending(aReceiverClockMs, aNow));
}

instant
task_executor::TimeOfSending(uint64_t aReceiverClockMs, instant aNow)
{
  bool known = aReceiverClockMs != 0;
  return known
           ? std::min(aNow, instant(milliseconds(int64_t(aReceiverClockMs))))
           : aNow;
}

bool
task_executor::IsSilent(const entry_link& aEntry, instant aNow)
{
  return aNow - aEntry.mLastHeard > kEntryTimeout;
}

void
task_executor::OnSubscription(peer_id aEntry, bool aWanted)
{
  auto found = mEntries.find(aEntry);
  if (found != mEntries.end()) {
    found->second.mSubscribed = aWanted;
    found->second.mReportRequested = aWanted;
  }
}

void
task_executor::OnStartTasks(peer_id aEntry,
                            const wire::start_tasks_msg& aDispatch,
                            instant aNow)
{
  auto found = mEntries.find(aEntry);
  if (found == mEntries.end()) {
    return;
  }
  OnHeartbeat(aEntry, aDispatch.receiver_clock_ms, aNow);
  found->second.mLastDispatchNumber = aDispatch.offer;
  mLastDispatchAt = aNow;
  OnEvacuations(DecodeEvacuations(aDispatch.evacuating.get(), aNow), aNow);
  if (IsSilent(found->second, aNow)) {
    RefuseExpired(&found->second, aDispatch, aNow);
    return;
  }
  auto spec = std::make_shared<const std::string>(aDispatch.spec);
  for (const wire::task_attempt& attempt : aDispatch.tasks) {
    Accept(aEntry, aDispatch, attempt, spec, aNow);
  }
  MarkChanged();
}

// Its entry may have placed the tasks elsewhere already. If it has not, because
// its message was only delayed, the refusal makes it do so.
void
task_executor::RefuseExpired(entry_link* aEntry,
                             const wire::start_tasks_msg& aDispatch,
                             instant aNow)
{
  mEvents.Emit(
    event_code::DispatchExpired,
    { { "entry", aEntry->mName },
      { "job", FormatJobId(aDispatch.job) },
      { "tasks", std::to_string(aDispatch.tasks.size()) },
      { "age_ms", std::to_string(ToMs(aNow - aEntry->mLastHeard)) } });
  for (const wire::task_attempt& attempt : aDispatch.tasks) {
    aEntry->mEnds.push_back(
      MakeTaskEnd({ aDispatch.job, aDispatch.step, attempt.index() },
                  attempt.attempt(),
                  0,
                  attempt_outcome::NoRoom));
  }
}

void
task_executor::Accept(peer_id aEntry,
                      const wire::start_tasks_msg& aDispatch,
                      const wire::task_attempt& aAttempt,
                      const std::shared_ptr<const std::string>& aSpec,
                      instant aNow)
{
  task_key key{ aDispatch.job, aDispatch.step, aAttempt.index() };
  auto refuse = [&](attempt_outcome aWhy) {
    mEntries[aEntry].mEnds.push_back(
      MakeTaskEnd(key, aAttempt.attempt(), 0, aWhy));
  };
  server_state state = State(aNow);
  bool drainingOrEvacuated =
    state == server_state::Draining || state == server_state::Evacuated;
  if (mDraining || drainingOrEvacuated) {
    refuse(attempt_outcome::Draining);
    return;
  }
  if (state != server_state::Ready) {
    refuse(attempt_outcome::Unusable);
    return;
  }
  // The entry has not learned of a restart yet. The new incarnation may lack
  // the capacity or the label that the task requires.
  bool otherIncarnation = aDispatch.server_start_ms != 0 &&
                          aDispatch.server_start_ms != mServer.mStartTimeMs;
  if (otherIncarnation) {
    refuse(attempt_outcome::Unusable);
    return;
  }
  resources size{ aDispatch.cpu_millis, aDispatch.memory_mb, aDispatch.gpus };
  // The stop of an earlier attempt of the same task may not be complete.
  if (mTasks.count(key) > 0 || !size.FitsIn(mServer.mCapacity)) {
    refuse(attempt_outcome::NoRoom);
    return;
  }
  instant startBy = aNow + milliseconds(aDispatch.start_within_ms);
  if (mMechanisms.Has(mechanism::EarlyReturn) &&
      ExpectedStart(size, aNow) > startBy) {
    // Refused at once, so that the entry can still place it elsewhere in time.
    refuse(attempt_outcome::NoRoom);
    return;
  }
  task& added = mTasks[key];
  added.mKey = key;
  added.mEntry = aEntry;
  added.mAttempt = aAttempt.attempt();
  added.mSpec = aSpec;
  added.mSize = size;
  added.mEstimateMs = aDispatch.estimate_ms;
  added.mDeclaredMs =
    aDispatch.declared_ms > 0 ? aDispatch.declared_ms : aDispatch.estimate_ms;
  added.mLatestStart = aNow + milliseconds(aDispatch.urgent_in_ms);
  added.mStartBy = startBy;
  added.mStopBy = aNow + milliseconds(aDispatch.stop_after_ms);
  mQueue.insert({ added.mLatestStart, key });
  mEntries[aEntry].mOpenTasks++;
}

bool
task_executor::OnAnnouncement(const server_announcement& aAnnouncement,
                              instant aNow)
{
  if (aAnnouncement.mService != mService) {
    return false;
  }
  if (IsOutdated(aAnnouncement)) {
    return true;
  }
  bool changed = !mServerKnown || IsRestored() ||
                 aAnnouncement.mId != mServer.mId ||
                 aAnnouncement.mStartTimeMs != mServer.mStartTimeMs ||
                 aAnnouncement.mDraining != mServer.mDraining;
  CheckIncarnation(aAnnouncement.mStartTimeMs, aNow);
  SetServer(aAnnouncement);
  mRestoredUntil = instant(0);
  mColdUntil = aNow + milliseconds(aAnnouncement.mColdLeftMs);
  CheckCold(aNow);
  if (changed) {
    mEvents.Emit(
      event_code::BackendAnnounced,
      { { "server", aAnnouncement.mId },
        { "draining", aAnnouncement.mDraining ? "yes" : "no" },
        { "cpu_millis", std::to_string(aAnnouncement.mCapacity.mCpuMillis) },
        { "memory_mb", std::to_string(aAnnouncement.mCapacity.mMemoryMb) },
        { "sequence", std::to_string(aAnnouncement.mSequence) } });
    MarkChanged();
  }
  if (aAnnouncement.mDraining) {
    ReturnQueued(attempt_outcome::Draining, aNow);
  }
  return true;
}

// A delayed announcement may arrive after a poll reply or an announcement of a
// later incarnation.
bool
task_executor::IsOutdated(const server_announcement& aAnnouncement) const
{
  bool sameIncarnation =
    mServerKnown && aAnnouncement.mStartTimeMs == mServer.mStartTimeMs;
  if (sameIncarnation && aAnnouncement.mSequence <= mServer.mSequence) {
    return true;
  }
  int64_t newest = mServerStartTimeMs;
  if (newest == 0 && mServerKnown) {
    newest = mServer.mStartTimeMs;
  }
  return aAnnouncement.mStartTimeMs < newest;
}

void
task_executor::SetServer(const server_announcement& aServer)
{
  if (!mServerKnown || aServer.mId != mServer.mId) {
    mRunner.ExpectInstance(aServer.mId);
  }
  resources used = mServer.mCapacity;
  used -= mFree;
  mFree = aServer.mCapacity;
  mFree -= used;
  mServer = aServer;
  mServerKnown = true;
}

void
task_executor::OnWithdrawal(const std::string& aServerId, instant aNow)
{
  if (!mServerKnown || aServerId != mServer.mId) {
    return;
  }
  mEvents.Emit(event_code::BackendWithdrawn, { { "server", aServerId } });
  mServer.mDraining = true;
  ReturnQueued(attempt_outcome::Draining, aNow);
  MarkChanged();
}

bool
task_executor::IsDescribed() const
{
  bool named = mServerStartTimeMs != 0 && mServer.mStartTimeMs != 0;
  return mServerStartTimeMs == mServer.mStartTimeMs ||
         (!named && !IsRestored());
}

server_state
task_executor::State(instant aNow) const
{
  if (!mServerKnown || !mReachable || !IsDescribed()) {
    return server_state::Absent;
  }
  if (mServer.mDraining || mDraining) {
    return server_state::Draining;
  }
  if (IsEvacuated()) {
    return server_state::Evacuated;
  }
  return aNow < mQuarantinedUntil ? server_state::Quarantined
                                  : server_state::Ready;
}

instant
task_executor::ExpectedEnd(const task& aTask, instant aNow) const
{
  duration total;
  if (aTask.mPercent >= kMinProgressPercent) {
    total = (aTask.mPercentAt - aTask.mStartSentAt) * 100 / aTask.mPercent;
  } else {
    total = duration(int64_t(aTask.mEstimateMs * Slowness() * 1000));
  }
  return std::max(aTask.mStartSentAt + total, aNow + kMinRemainingRun);
}

instant
task_executor::ExpectedStart(const resources& aSize, instant aNow) const
{
  std::vector<std::pair<instant, resources>> ends;
  for (const auto& [key, tracked] : mTasks) {
    if (tracked.mState != task_state::Queued) {
      ends.emplace_back(ExpectedEnd(tracked, aNow), tracked.mSize);
    }
  }
  std::sort(
    ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  resources free = mFree;
  instant start = aNow;
  size_t next = 0;
  auto fit = [&](const resources& aTaskSize) {
    while (!aTaskSize.FitsIn(free) && next < ends.size()) {
      start = ends[next].first;
      free += ends[next].second;
      next++;
    }
    free -= aTaskSize;
  };
  for (const auto& [urgent, key] : mQueue) {
    fit(mTasks.at(key).mSize);
  }
  fit(aSize);
  return start;
}

resources
task_executor::MeanTaskSize() const
{
  size_t running = Running();
  if (running == 0) {
    return {};
  }
  resources used = mServer.mCapacity;
  used -= mFree;
  auto count = int64_t(running);
  return { used.mCpuMillis / count,
           used.mMemoryMb / count,
           used.mAccelerators / count };
}

bool
task_executor::MayStart(instant aNow) const
{
  return State(aNow) == server_state::Ready && !NeedsLeaseExpiry() &&
         mClockKnown && !IsRestartSuspected();
}

void
task_executor::StartQueuedTasks(instant aNow)
{
  if (!MayStart(aNow)) {
    return;
  }
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    task& next = mTasks.at(at->second);
    if (!next.mSize.FitsIn(mFree)) {
      // Smaller tasks behind a large one must not delay it for ever.
      return;
    }
    at = mQueue.erase(at);
    mFree -= next.mSize;
    next.mRunNumber = NextRunNumber(next.mKey);
    BeginStart(next, aNow);
  }
}

void
task_executor::ReturnQueued(attempt_outcome aOutcome, instant aNow)
{
  std::vector<queue_key> queued(mQueue.begin(), mQueue.end());
  for (const queue_key& queuedTask : queued) {
    End(queuedTask.second, aOutcome, aNow);
  }
}

void
task_executor::End(const task_key& aKey, attempt_outcome aOutcome, instant aNow)
{
  auto found = mTasks.find(aKey);
  task& tracked = found->second;
  if (tracked.mState == task_state::Queued) {
    mQueue.erase({ tracked.mLatestStart, aKey });
  } else {
    mFree += tracked.mSize;
    if (mLastRunNumbers.emplace(aKey, tracked.mRunNumber).second) {
      mLastRunOrder.push_back(aKey);
    } else {
      mLastRunNumbers[aKey] = tracked.mRunNumber;
    }
    if (mLastRunOrder.size() > kMaxRunNumbers) {
      size_t half = kMaxRunNumbers / 2;
      for (size_t i = 0; i < half; i++) {
        mLastRunNumbers.erase(mLastRunOrder[i]);
      }
      mLastRunOrder.erase(mLastRunOrder.begin(),
                          mLastRunOrder.begin() + long(half));
    }
  }
  auto entry = mEntries.find(tracked.mEntry);
  if (entry != mEntries.end()) {
    uint32_t runMs = tracked.mStartSentAt.count() == 0
                       ? 0
                       : uint32_t(ToMs(aNow - tracked.mStartSentAt));
    entry->second.mEnds.push_back(
      MakeTaskEnd(aKey, tracked.mAttempt, runMs, aOutcome));
    entry->second.mOpenTasks--;
  }
  mTasks.erase(found);
  MarkChanged();
}

void
task_executor::MarkChanged()
{
  for (auto& [peer, entry] : mEntries) {
    entry.mChanged = true;
  }
}

void
task_executor::CheckEntryTimeouts(instant aNow)
{
  // An entry without open tasks here need not send anything. A task that is
  // being stopped is open there too unless its job has ended.
  std::set<peer_id> timedOut;
  for (const auto& [key, tracked] : mTasks) {
    bool jobEnded = tracked.mConfirmStopBy.count() != 0;
    bool needsEntry = tracked.mEntry != 0 && !jobEnded;
    if (needsEntry && IsSilent(mEntries.at(tracked.mEntry), aNow)) {
      timedOut.insert(tracked.mEntry);
    }
  }
  for (peer_id peer : timedOut) {
    mEvents.Emit(
      event_code::PeerSilent,
      { { "peer", mEntries[peer].mName },
        { "silent_ms",
          std::to_string(ToMs(aNow - mEntries[peer].mLastHeard)) } });
    mLinks.Close(peer);
    OnEntryDown(peer, aNow);
  }
}

void
task_executor::ExpireTasks(instant aNow)
{
  std::vector<task_key> unstarted;
  std::vector<task_key> resends;
  for (auto& [key, tracked] : mTasks) {
    if (tracked.mState == task_state::Queued) {
      if (aNow >= tracked.mStartBy) {
        unstarted.push_back(key);
      }
      continue;
    }
    if (tracked.mAwaitsResend) {
      resends.push_back(key);
    }
    if (aNow >= tracked.mStopBy) {
      BeginStop(tracked, stop_cause::Deadline, attempt_outcome::Stopped, aNow);
      OnJobEnded(tracked, tracked.mStopBy, aNow);
    }
    if (tracked.mStopping && !tracked.mStopAcknowledged &&
        aNow >= tracked.mNextStop) {
      tracked.mNextStop = aNow + kStopRetryInterval;
      SendStop(key, tracked.mRunNumber);
    }
  }
  for (const task_key& key : unstarted) {
    End(key, attempt_outcome::NoRoom, aNow);
  }
  for (const task_key& key : resends) {
    auto found = mTasks.find(key);
    if (found != mTasks.end()) {
      ResendStart(found->second, aNow);
    }
  }
}

void
task_executor::Tick(instant aNow)
{
  CheckEntryTimeouts(aNow);
  ExpireTasks(aNow);
  CheckStops(aNow);
  CheckRestored(aNow);
  CheckCold(aNow);
  CheckLeaseExpiry(aNow);
  CheckServerTimeout(aNow);
  if (IsPollDue(aNow)) {
    SendPoll(aNow);
  }
  // Tasks are only started here, because Tick is called after all input that
  // has arrived is read. A process that was paused may find a dispatch, the
  // stop of its tasks and the end of the connection together. Starting tasks as
  // soon as the dispatch or a reply of the backend server is read would run
  // tasks whose job runs elsewhere by now.
  StartQueuedTasks(aNow);
  SendReports(aNow);
}

void
task_executor::Drain(instant aNow)
{
  mDraining = true;
  ReturnQueued(attempt_outcome::Draining, aNow);
  MarkChanged();
}

} // namespace cactusmast
