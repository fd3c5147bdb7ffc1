#include "cactusmast/task_executor.h"

#include <algorithm>
#include <optional>

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

namespace {

wire::task_end
EndOf(const task_key& aKey,
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

task_executor::task_executor(uint64_t aFence,
                             std::string aService,
                             std::string aDataCenter,
                             executor_links& aLinks,
                             backend_runner& aRunner,
                             event_sink& aEvents,
                             const mechanism_set& aMechanisms)
  : mFencingToken(aFence)
  , mService(std::move(aService))
  , mDataCenter(std::move(aDataCenter))
  , mLinks(aLinks)
  , mRunner(aRunner)
  , mEvents(aEvents)
  , mMechanisms(aMechanisms)
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
  for (auto& [key, one] : mTasks) {
    if (one.mOwner != aEntry) {
      continue;
    }
    one.mOwner = 0;
    if (one.mState == task_state::Queued) {
      queued.push_back(key);
    } else {
      BeginStop(one, attempt_outcome::Stopped, aNow);
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
task_executor::OnHeartbeat(peer_id aEntry, instant aNow)
{
  auto found = mEntries.find(aEntry);
  if (found != mEntries.end()) {
    found->second.mLastHeard = aNow;
  }
}

void
task_executor::OnSubscription(peer_id aEntry, bool aWanted, instant aNow)
{
  OnHeartbeat(aEntry, aNow);
  auto found = mEntries.find(aEntry);
  if (found != mEntries.end()) {
    found->second.mSubscribed = aWanted;
    found->second.mReportRequested = aWanted;
  }
}

void
task_executor::OnStartTasks(peer_id aEntry,
                            const wire::start_tasks_msg& aOrder,
                            instant aNow)
{
  auto found = mEntries.find(aEntry);
  if (found == mEntries.end()) {
    return;
  }
  found->second.mLastHeard = aNow;
  found->second.mLastDispatchNumber = aOrder.offer;
  mLastDispatchAt = aNow;
  OnEvacuations(DecodeEvacuations(aOrder.evacuating.get(), aNow), aNow);
  auto spec = std::make_shared<const std::string>(aOrder.spec);
  for (const wire::task_attempt& attempt : aOrder.tasks) {
    Accept(aEntry, aOrder, attempt, spec, aNow);
  }
  MarkChanged();
}

void
task_executor::Accept(peer_id aEntry,
                      const wire::start_tasks_msg& aOrder,
                      const wire::task_attempt& aAttempt,
                      const std::shared_ptr<const std::string>& aSpec,
                      instant aNow)
{
  task_key key{ aOrder.job, aOrder.step, aAttempt.index() };
  auto refuse = [&](attempt_outcome aWhy) {
    mEntries[aEntry].mEnds.push_back(EndOf(key, aAttempt.attempt(), 0, aWhy));
  };
  server_state state = State(aNow);
  bool leaving =
    state == server_state::Draining || state == server_state::Evacuated;
  if (mDraining || leaving) {
    refuse(attempt_outcome::Draining);
    return;
  }
  if (state != server_state::Ready) {
    refuse(attempt_outcome::Unusable);
    return;
  }
  resources size{ aOrder.cpu_millis, aOrder.memory_mb, aOrder.gpus };
  // The same task under another order may still be being stopped here.
  if (mTasks.count(key) > 0 || !size.FitsIn(mServer.mCapacity)) {
    refuse(attempt_outcome::NoRoom);
    return;
  }
  instant startBy = aNow + milliseconds(aOrder.start_within_ms);
  if (mMechanisms.Has(mechanism::EarlyReturn) &&
      ExpectedStart(size, aNow) > startBy) {
    // Told at once, the entry can still place it elsewhere in time.
    refuse(attempt_outcome::NoRoom);
    return;
  }
  task& made = mTasks[key];
  made.mKey = key;
  made.mOwner = aEntry;
  made.mAttempt = aAttempt.attempt();
  made.mSpec = aSpec;
  made.mSize = size;
  made.mEstimateMs = aOrder.estimate_ms;
  made.mDeclaredMs =
    aOrder.declared_ms > 0 ? aOrder.declared_ms : aOrder.estimate_ms;
  made.mUrgentAt = aNow + milliseconds(aOrder.urgent_in_ms);
  made.mStartBy = startBy;
  made.mStopBy = aNow + milliseconds(aOrder.stop_after_ms);
  mQueue.insert({ made.mUrgentAt, key });
  mEntries[aEntry].mOpenTasks++;
}

void
task_executor::OnStopTasks(peer_id aEntry,
                           const wire::stop_tasks_msg& aOrder,
                           instant aNow)
{
  OnHeartbeat(aEntry, aNow);
  for (uint32_t index : aOrder.indexes) {
    task_key key{ aOrder.job, aOrder.step, index };
    auto found = mTasks.find(key);
    if (found == mTasks.end() || found->second.mOwner != aEntry) {
      continue;
    }
    if (found->second.mState == task_state::Queued) {
      End(key, attempt_outcome::NoRoom, aNow);
    } else {
      BeginStop(found->second, attempt_outcome::Stopped, aNow);
    }
  }
  MarkChanged();
}

void
task_executor::OnAnnouncement(const server_announcement& aSaid, instant aNow)
{
  // An announcement may be delayed and arrive after that of a later life.
  bool older = mAnnounced && (aSaid.mStartTimeMs < mServer.mStartTimeMs ||
                              (aSaid.mStartTimeMs == mServer.mStartTimeMs &&
                               aSaid.mSequence <= mServer.mSequence));
  if (older) {
    return;
  }
  bool news = !mAnnounced || IsRestored() || aSaid.mId != mServer.mId ||
              aSaid.mStartTimeMs != mServer.mStartTimeMs ||
              aSaid.mDraining != mServer.mDraining;
  CheckIncarnation(aSaid.mStartTimeMs, aNow);
  SetServer(aSaid);
  mRestoredUntil = instant(0);
  mColdUntil = aNow + milliseconds(aSaid.mColdLeftMs);
  NoticeCold(aNow);
  if (news) {
    mEvents.Emit(event_code::BackendAnnounced,
                 { { "server", aSaid.mId },
                   { "draining", aSaid.mDraining ? "yes" : "no" },
                   { "cpu_millis", std::to_string(aSaid.mCapacity.mCpuMillis) },
                   { "memory_mb", std::to_string(aSaid.mCapacity.mMemoryMb) },
                   { "sequence", std::to_string(aSaid.mSequence) } });
    MarkChanged();
  }
  if (aSaid.mDraining) {
    ReturnQueued(attempt_outcome::Draining, aNow);
  }
}

void
task_executor::SetServer(const server_announcement& aServer)
{
  if (!mAnnounced || aServer.mId != mServer.mId) {
    mRunner.ExpectInstance(aServer.mId);
  }
  resources used = mServer.mCapacity;
  used -= mFree;
  mFree = aServer.mCapacity;
  mFree -= used;
  mServer = aServer;
  mAnnounced = true;
}

void
task_executor::OnWithdrawal(const std::string& aServerId, instant aNow)
{
  if (!mAnnounced || aServerId != mServer.mId) {
    return;
  }
  mEvents.Emit(event_code::BackendWithdrawn, { { "server", aServerId } });
  mServer.mDraining = true;
  ReturnQueued(attempt_outcome::Draining, aNow);
  MarkChanged();
}

server_state
task_executor::State(instant aNow) const
{
  bool unconfirmed = IsRestored() && mServerStartTimeMs != mServer.mStartTimeMs;
  if (!mAnnounced || !mReachable || unconfirmed) {
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
  if (aTask.mPercent >= kFirstForecastPercent) {
    total = (aTask.mPercentAt - aTask.mStartSentAt) * 100 / aTask.mPercent;
  } else {
    total = duration(int64_t(aTask.mEstimateMs * Slowness() * 1000));
  }
  return std::max(aTask.mStartSentAt + total, aNow + kOverdueEnd);
}

instant
task_executor::ExpectedStart(const resources& aSize, instant aNow) const
{
  std::vector<std::pair<instant, resources>> ends;
  for (const auto& [key, one] : mTasks) {
    if (one.mState != task_state::Queued) {
      ends.emplace_back(ExpectedEnd(one, aNow), one.mSize);
    }
  }
  std::sort(
    ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  resources free = mFree;
  instant start = aNow;
  size_t next = 0;
  auto fit = [&](const resources& aOne) {
    while (!aOne.FitsIn(free) && next < ends.size()) {
      start = ends[next].first;
      free += ends[next].second;
      next++;
    }
    free -= aOne;
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
           used.mGpus / count };
}

bool
task_executor::MayStart(instant aNow) const
{
  return State(aNow) == server_state::Ready && !mStrays && mClockKnown;
}

void
task_executor::StartWhatFits(instant aNow)
{
  if (!MayStart(aNow)) {
    return;
  }
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    task& next = mTasks.at(at->second);
    if (!next.mSize.FitsIn(mFree)) {
      // A smaller one behind it must not hold a large one up for ever.
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
  for (const queue_key& one : queued) {
    End(one.second, aOutcome, aNow);
  }
}

void
task_executor::End(const task_key& aKey, attempt_outcome aOutcome, instant aNow)
{
  auto found = mTasks.find(aKey);
  task& one = found->second;
  if (one.mState == task_state::Queued) {
    mQueue.erase({ one.mUrgentAt, aKey });
  } else {
    mFree += one.mSize;
    if (mLastRunNumbers.emplace(aKey, one.mRunNumber).second) {
      mLastRunOrder.push_back(aKey);
    } else {
      mLastRunNumbers[aKey] = one.mRunNumber;
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
  auto owner = mEntries.find(one.mOwner);
  if (owner != mEntries.end()) {
    uint32_t runMs = one.mStartSentAt.count() == 0
                       ? 0
                       : uint32_t(ToMs(aNow - one.mStartSentAt));
    owner->second.mEnds.push_back(EndOf(aKey, one.mAttempt, runMs, aOutcome));
    owner->second.mOpenTasks--;
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
task_executor::DropSilentEntries(instant aNow)
{
  // An entry without tasks here has no reason to say anything.
  std::set<peer_id> silent;
  for (const auto& [key, one] : mTasks) {
    bool needsOwner = one.mOwner != 0 && !one.mStopping;
    if (needsOwner &&
        aNow - mEntries.at(one.mOwner).mLastHeard > kEntryTimeout) {
      silent.insert(one.mOwner);
    }
  }
  for (peer_id peer : silent) {
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
  for (auto& [key, one] : mTasks) {
    if (one.mState == task_state::Queued) {
      if (aNow >= one.mStartBy) {
        unstarted.push_back(key);
      }
      continue;
    }
    if (aNow >= one.mStopBy) {
      BeginStop(one, attempt_outcome::Stopped, aNow);
    }
    if (one.mStopping && !one.mStopAnswered && aNow >= one.mNextStop) {
      one.mNextStop = aNow + kStopRetry;
      SendStop(key, one.mRunNumber);
    }
  }
  for (const task_key& key : unstarted) {
    End(key, attempt_outcome::NoRoom, aNow);
  }
}

void
task_executor::Tick(instant aNow)
{
  DropSilentEntries(aNow);
  ExpireTasks(aNow);
  CheckRestored(aNow);
  NoticeCold(aNow);
  CheckLeaseExpiry(aNow);
  CheckServerTimeout(aNow);
  if (IsPollDue(aNow)) {
    SendPoll(aNow);
  }
  // Tasks start here alone, because a tick comes once all that has arrived is
  // read. A process that stood still finds an order, its withdrawal and the end
  // of the connection in one go; starting as soon as the order or an answer of
  // the backend server is read would run tasks whose job runs elsewhere by now.
  StartWhatFits(aNow);
  SendReports(aNow);
}

wire::server_report_msg
task_executor::DescribeServer(instant aNow) const
{
  wire::server_report_msg said;
  said.state = uint8_t(State(aNow));
  said.service = mService;
  said.cpu_millis = uint32_t(mServer.mCapacity.mCpuMillis);
  said.memory_mb = uint32_t(mServer.mCapacity.mMemoryMb);
  said.gpus = uint32_t(mServer.mCapacity.mGpus);
  said.free_cpu_millis = mStrays ? 0 : int32_t(mFree.mCpuMillis);
  said.free_memory_mb = int32_t(mFree.mMemoryMb);
  said.free_gpus = int32_t(mFree.mGpus);
  uint64_t queued = 0;
  for (const auto& [urgent, key] : mQueue) {
    queued += uint64_t(mTasks.at(key).mSize.mCpuMillis);
  }
  said.queued_cpu_millis = uint32_t(queued);
  said.running = uint32_t(Running());
  said.room_in_ms = uint32_t(ToMs(ExpectedStart(MeanTaskSize(), aNow) - aNow));
  said.mean_run_ms = uint32_t(mMeanRunMs);
  said.slowness_permille = uint32_t(Slowness() * 1000);
  said.labels = mServer.mLabels;
  return said;
}

size_t
task_executor::SubscribedEntries() const
{
  return size_t(
    std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aEntry) {
      return aEntry.second.mSubscribed;
    }));
}

duration
task_executor::ReportSpacing() const
{
  if (!mMechanisms.Has(mechanism::ReportSpacing)) {
    return {};
  }
  return std::min(kKeepAliveReportInterval,
                  kReportSpacing * int64_t(SubscribedEntries()));
}

bool
task_executor::IsReportDue(const entry_link& aEntry,
                           server_state aState,
                           duration aSpacing,
                           instant aNow) const
{
  bool news = !aEntry.mEnds.empty() || !aEntry.mTooSlow.empty() ||
              aEntry.mReportRequested || aEntry.mReportedState != aState;
  if (news) {
    return true;
  }
  duration since = aNow - aEntry.mReportedAt;
  if (aEntry.mOpenTasks > 0 && since >= kKeepAliveReportInterval) {
    return true;
  }
  duration interval = aEntry.mChanged ? aSpacing : kIdleReportInterval;
  return aEntry.mSubscribed && since >= interval;
}

void
task_executor::SendReports(instant aNow)
{
  std::optional<wire::server_report_msg> said; // the same for all entries
  server_state state = State(aNow);
  duration spacing = ReportSpacing();
  for (auto& [peer, entry] : mEntries) {
    if (!IsReportDue(entry, state, spacing, aNow)) {
      continue;
    }
    if (!said) {
      said = DescribeServer(aNow);
    }
    said->ends = std::move(entry.mEnds);
    entry.mEnds.clear();
    said->too_slow = std::move(entry.mTooSlow);
    entry.mTooSlow.clear();
    said->last_offer = entry.mLastDispatchNumber;
    entry.mReportedAt = aNow;
    entry.mChanged = false;
    entry.mReportRequested = false;
    entry.mReportedState = state;
    mLinks.Report(peer, *said);
  }
}

void
task_executor::Drain(instant aNow)
{
  mDraining = true;
  ReturnQueued(attempt_outcome::Draining, aNow);
  MarkChanged();
}

} // namespace cactusmast
