#include "cactusmast/task_executor.h"

#include <algorithm>

namespace cactusmast {
namespace {

// Reports go out at once with ends, else when something changed, but no more
// often than this: a report costs about 150 bytes and two wake-ups.
constexpr duration kReportInterval = milliseconds(25);
// Unasked, so that entries can tell silence from calm.
constexpr duration kQuietReportInterval = milliseconds(150);
// An unanswered stop is repeated: it may have been lost, and its answer is
// what settles the attempt.
constexpr duration kStopRetry = milliseconds(40);
// Between looks at a backend server that refuses connections.
constexpr duration kLookRetry = milliseconds(50);
// A backend server that has answered no look for this long is taken to be gone
// until it does. Three or more looks were made in that time.
constexpr duration kSilentAfter = milliseconds(280);
// An order that is not answered is repeated under the same run number, which
// starts the task once at most whenever the first one is carried out.
constexpr uint32_t kMaxRepeats = 5;
// While tasks of unknown size are being stopped, which takes up to 50 ms.
constexpr duration kStrayLookInterval = milliseconds(10);
// A start is repeated this often for reasons that the next order can mend: a
// lease or run number that was too low.
constexpr uint32_t kMaxStartRetries = 4;
// A greater token than ours was left by a predecessor whose clock was ahead.
constexpr uint64_t kFenceStep = 60;
// After this many failures in a row, of whatever jobs, the backend server and
// not the tasks is taken to be at fault.
constexpr uint32_t kFailuresToIll = 3;
constexpr duration kIllTime = milliseconds(1500);
// Run times are compared with estimates over about the last ten tasks, and
// begin as if one task of this length had taken what was estimated.
constexpr double kLearnDecay = 0.9;
constexpr double kPriorMs = 150;
// Progress comes in whole percents: from here on the forecast is good to about
// a tenth.
constexpr duration kFirstForecastAfter = milliseconds(100);
constexpr uint32_t kFirstForecastPercent = 5;
// A task that runs longer than forecast ends soon, or its forecast was wrong.
constexpr duration kOverdueEnd = milliseconds(10);
// Run numbers are remembered for this many ended tasks; a caller sends its job
// again within seconds.
constexpr size_t kRememberedRuns = 4096;

int64_t
ToMs(instant aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

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
                             executor_links& aLinks,
                             backend_runner& aRunner,
                             event_sink& aEvents)
  : mFence(aFence)
  , mService(std::move(aService))
  , mLinks(aLinks)
  , mRunner(aRunner)
  , mEvents(aEvents)
{
}

void
task_executor::OnEntryUp(peer_id aEntry, const std::string& aName, instant aNow)
{
  entry_link& added = mEntries[aEntry];
  added.mName = aName;
  added.mHeardAt = aNow;
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
      OrderStop(one, attempt_outcome::Stopped, aNow);
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
task_executor::OnPulse(peer_id aEntry, instant aNow)
{
  auto found = mEntries.find(aEntry);
  if (found != mEntries.end()) {
    found->second.mHeardAt = aNow;
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
  found->second.mHeardAt = aNow;
  found->second.mLastOffer = aOrder.offer;
  auto spec = std::make_shared<const std::string>(aOrder.spec);
  for (const wire::task_attempt& attempt : aOrder.tasks) {
    Accept(aEntry, aOrder, attempt, spec, aNow);
  }
  StartWhatFits(aNow);
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
  if (mDraining || state == server_state::Draining) {
    refuse(attempt_outcome::Leaving);
    return;
  }
  if (state != server_state::Ready) {
    refuse(attempt_outcome::Unusable);
    return;
  }
  task_size size{ aOrder.cpu_millis, aOrder.memory_mb, aOrder.gpus };
  // The same task under another order may still be being stopped here.
  if (mTasks.count(key) > 0 || !size.FitsIn(mServer.mCapacity)) {
    refuse(attempt_outcome::NoRoom);
    return;
  }
  if (ExpectedStart(size, aNow) > aNow + milliseconds(aOrder.start_within_ms)) {
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
  made.mUrgentAt = aNow + milliseconds(aOrder.urgent_in_ms);
  made.mStartBy = aNow + milliseconds(aOrder.start_within_ms);
  made.mStopBy = aNow + milliseconds(aOrder.stop_after_ms);
  mQueue.insert({ made.mUrgentAt, key });
}

void
task_executor::OnStopTasks(peer_id aEntry,
                           const wire::stop_tasks_msg& aOrder,
                           instant aNow)
{
  OnPulse(aEntry, aNow);
  for (uint32_t index : aOrder.indexes) {
    task_key key{ aOrder.job, aOrder.step, index };
    auto found = mTasks.find(key);
    if (found == mTasks.end() || found->second.mOwner != aEntry) {
      continue;
    }
    if (found->second.mState == task_state::Queued) {
      End(key, attempt_outcome::NoRoom, aNow);
    } else {
      OrderStop(found->second, attempt_outcome::Stopped, aNow);
    }
  }
  MarkChanged();
}

void
task_executor::OnAnnouncement(const server_announcement& aSaid, instant aNow)
{
  // An announcement may be delayed and arrive after that of a later life.
  bool older = mAnnounced && (aSaid.mBornMs < mServer.mBornMs ||
                              (aSaid.mBornMs == mServer.mBornMs &&
                               aSaid.mSequence <= mServer.mSequence));
  if (older) {
    return;
  }
  bool news = !mAnnounced || aSaid.mId != mServer.mId ||
              aSaid.mBornMs != mServer.mBornMs ||
              aSaid.mDraining != mServer.mDraining;
  if (!mAnnounced || aSaid.mId != mServer.mId) {
    mRunner.Expect(aSaid.mId);
  }
  NoticeBoot(aSaid.mBornMs, aNow);
  task_size used = mServer.mCapacity;
  used -= mFree;
  mFree = aSaid.mCapacity;
  mFree -= used;
  mServer = aSaid;
  mAnnounced = true;
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
    ReturnQueued(attempt_outcome::Leaving, aNow);
  }
}

void
task_executor::OnDeparture(const std::string& aServerId, instant aNow)
{
  if (!mAnnounced || aServerId != mServer.mId) {
    return;
  }
  mEvents.Emit(event_code::BackendWithdrawn, { { "server", aServerId } });
  mServer.mDraining = true;
  ReturnQueued(attempt_outcome::Leaving, aNow);
  MarkChanged();
}

server_state
task_executor::State(instant aNow) const
{
  if (!mAnnounced || !mReachable) {
    return server_state::Absent;
  }
  if (mServer.mDraining || mDraining) {
    return server_state::Draining;
  }
  return aNow < mIllUntil ? server_state::Ill : server_state::Ready;
}

instant
task_executor::ExpectedEnd(const task& aTask, instant aNow) const
{
  duration total;
  if (aTask.mPercent >= kFirstForecastPercent) {
    total = (aTask.mPercentAt - aTask.mOrderedAt) * 100 / aTask.mPercent;
  } else {
    total = duration(int64_t(aTask.mEstimateMs * Slowness() * 1000));
  }
  return std::max(aTask.mOrderedAt + total, aNow + kOverdueEnd);
}

instant
task_executor::ExpectedStart(const task_size& aSize, instant aNow) const
{
  std::vector<std::pair<instant, task_size>> ends;
  for (const auto& [key, one] : mTasks) {
    if (one.mState != task_state::Queued) {
      ends.emplace_back(ExpectedEnd(one, aNow), one.mSize);
    }
  }
  std::sort(
    ends.begin(), ends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  task_size free = mFree;
  instant start = aNow;
  size_t next = 0;
  auto fit = [&](const task_size& aOne) {
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

task_size
task_executor::OrdinarySize() const
{
  size_t running = Running();
  if (running == 0) {
    return {};
  }
  task_size used = mServer.mCapacity;
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
    next.mRun = NextRun(next.mKey);
    OrderStart(next, aNow);
  }
}

uint32_t
task_executor::NextRun(const task_key& aKey)
{
  auto found = mLastRuns.find(aKey);
  return found == mLastRuns.end() ? 1 : found->second + 1;
}

int64_t
task_executor::LeaseUntil(instant aNow)
{
  mLeaseEnd = std::max(mLeaseEnd, aNow + kLeaseTime + kLeaseSlack);
  return ToMs(aNow) + mClockOffsetMs + kLeaseTime.count();
}

void
task_executor::OrderStart(task& aTask, instant aNow)
{
  aTask.mState = task_state::Starting;
  aTask.mOrderedAt = aNow;
  SendStart(aTask, aNow);
}

void
task_executor::SendStart(const task& aTask, instant aNow)
{
  start_order order;
  order.mTask = aTask.mKey;
  order.mRun = aTask.mRun;
  order.mSpec = *aTask.mSpec;
  order.mLeaseUntilMs = LeaseUntil(aNow);
  order.mFence = mFence;
  mRunner.Start(order);
}

void
task_executor::RetryStart(task& aTask, instant aNow)
{
  if (aTask.mStopping || ++aTask.mRetries > kMaxStartRetries) {
    GiveUpStart(aTask, attempt_outcome::Unusable, aNow);
    return;
  }
  OrderStart(aTask, aNow);
}

// What the last order got says nothing of an earlier one that got no answer:
// that one may have been carried out, or be carried out seconds later. Then
// only a stop that is answered, a new life or the end of all leases settles
// the attempt, and it counts as started.
void
task_executor::GiveUpStart(task& aTask, attempt_outcome aWhy, instant aNow)
{
  if (aTask.mRepeats == 0) {
    End(aTask.mKey, aWhy, aNow);
    return;
  }
  aTask.mState = task_state::Unsettled;
  OrderStop(aTask, attempt_outcome::Lost, aNow);
}

void
task_executor::OnStartAnswer(const task_key& aTask,
                             uint32_t aRun,
                             start_result aResult,
                             int64_t aClockMs,
                             instant aNow)
{
  if (aClockMs > 0) {
    mClockOffsetMs = aClockMs - ToMs(aNow);
    mClockKnown = true;
  }
  auto found = mTasks.find(aTask);
  bool current = found != mTasks.end() && found->second.mRun == aRun &&
                 (found->second.mState == task_state::Starting ||
                  found->second.mState == task_state::Unsettled);
  if (!current) {
    return;
  }
  task& one = found->second;
  if (aResult != start_result::Started) {
    mEvents.Emit(
      event_code::StartNotMade,
      { { "task", JobText(aTask.mJob) + "." + std::to_string(aTask.mIndex) },
        { "run", std::to_string(aRun) },
        { "result", std::string(Name(aResult)) },
        { "unanswered_before", std::to_string(one.mRepeats) } });
  }
  switch (aResult) {
    case start_result::Started:
      one.mState = task_state::Running;
      one.mSettledAt = aNow;
      return;
    case start_result::LeaseOver:
      RetryStart(one, aNow);
      return;
    case start_result::OldRun:
      if (one.mRepeats > 0) {
        // The unanswered order was carried out and has ended; the next look
        // says how.
        one.mState = task_state::Running;
        one.mSettledAt = aNow;
        return;
      }
      one.mRun = one.mRun * 2 + 1;
      RetryStart(one, aNow);
      return;
    case start_result::FencedOff:
      mFence += kFenceStep;
      RetryStart(one, aNow);
      return;
    case start_result::NoRoom:
      GiveUpStart(one, attempt_outcome::NoRoom, aNow);
      return;
    case start_result::Unhealthy:
    case start_result::OtherBoot:
    case start_result::Unreachable:
      mFailuresInRow++;
      if (mFailuresInRow >= kFailuresToIll) {
        mIllUntil = aNow + kIllTime;
      }
      GiveUpStart(one, attempt_outcome::Unusable, aNow);
      return;
    case start_result::Malformed:
      GiveUpStart(one, attempt_outcome::Failed, aNow);
      return;
    case start_result::NoAnswer:
    case start_result::Count:
      break;
  }
  if (one.mSeenRunning) {
    one.mState = task_state::Running;
    one.mSettledAt = aNow;
    return;
  }
  if (!one.mStopping && mReachable && ++one.mRepeats <= kMaxRepeats) {
    SendStart(one, aNow);
    return;
  }
  one.mRepeats++;
  GiveUpStart(one, attempt_outcome::Lost, aNow);
}

void
task_executor::OrderStop(task& aTask, attempt_outcome aOutcome, instant aNow)
{
  if (aTask.mStopping) {
    return;
  }
  aTask.mStopping = true;
  aTask.mStopOutcome = aOutcome;
  aTask.mNextStop = aNow + kStopRetry;
  SendStop(aTask.mKey, aTask.mRun);
}

void
task_executor::SendStop(const task_key& aTask, uint32_t aRun)
{
  stop_order order;
  order.mTask = aTask;
  order.mRun = aRun;
  order.mFence = mFence;
  mRunner.Stop(order);
}

void
task_executor::OnStopAnswer(const task_key& aTask,
                            uint32_t aRun,
                            bool aAnswered,
                            instant aNow)
{
  auto found = mTasks.find(aTask);
  if (!aAnswered || found == mTasks.end() || found->second.mRun != aRun) {
    return;
  }
  found->second.mStopAnswered = true;
  found->second.mSettledAt = aNow;
  mNextLook = aNow;
}

bool
task_executor::LookIsDue(instant aNow) const
{
  bool outstanding = !mLooks.empty() && mLooks.rbegin()->first == mLookNumber;
  return outstanding ? aNow >= mLookLateAt : aNow >= mNextLook;
}

void
task_executor::SendLook(instant aNow)
{
  look_order order;
  order.mNumber = ++mLookNumber;
  order.mFence = mFence;
  order.mLastEndSeen = mLastEndSeen;
  // A backend server that has been silent gets no longer lease: if it runs on
  // unseen, that must have an end. Before its clock is known there is nothing
  // to lease.
  bool steady = mClockKnown && aNow - mSeenAt < kSilentAfter;
  order.mLeaseUntilMs = steady ? LeaseUntil(aNow) : 0;
  milliseconds wait = Running() > 0 ? kLookWait : kIdleLookWait;
  order.mWaitMs = steady && !mStrays ? uint32_t(wait.count()) : 0;
  mLooks[order.mNumber] = aNow;
  mLookLateAt = aNow + milliseconds(order.mWaitMs) + kLookPatience;
  mRunner.Look(order);
}

void
task_executor::NoticeSilence(instant aNow)
{
  if (!mReachable || aNow - mSeenAt < kSilentAfter) {
    return;
  }
  mReachable = false;
  mEvents.Emit(event_code::BackendExpired,
               { { "server", mServer.mId },
                 { "silent_ms", std::to_string(ToMs(aNow - mSeenAt)) } });
  ReturnQueued(attempt_outcome::Unusable, aNow);
  MarkChanged();
}

void
task_executor::OnLookAnswer(uint64_t aNumber,
                            look_result aResult,
                            const server_snapshot& aSeen,
                            instant aNow)
{
  auto asked = mLooks.find(aNumber);
  if (asked == mLooks.end()) {
    return;
  }
  instant sent = asked->second;
  mLooks.erase(asked);
  if (aResult == look_result::FencedOff) {
    mFence += kFenceStep;
  }
  if (aResult != look_result::Seen) {
    mNextLook = aNow + kLookRetry;
    return;
  }
  // Answers may overtake each other; an older one says nothing new.
  if (aNumber < mNewestSeen) {
    return;
  }
  mNewestSeen = aNumber;
  mSeenAt = aNow;
  mNextLook = mStrays ? aNow + kStrayLookInterval : aNow;
  mClockOffsetMs = aSeen.mClockMs - ToMs(aNow);
  NoticeBoot(aSeen.mBornMs, aNow);
  mClockKnown = true;
  if (!mReachable) {
    mReachable = true;
    MarkChanged();
  }
  ApplyEnds(aSeen, aNow);
  ApplyRunning(aSeen, sent, aNow);
  StartWhatFits(aNow);
}

void
task_executor::ApplyEnds(const server_snapshot& aSeen, instant aNow)
{
  for (const ended_task& end : aSeen.mEnded) {
    mLastEndSeen = std::max(mLastEndSeen, end.mNumber);
    auto found = mTasks.find(end.mTask);
    bool ours = found != mTasks.end() && found->second.mRun == end.mRun &&
                found->second.mState != task_state::Queued;
    if (!ours) {
      continue;
    }
    attempt_outcome outcome = attempt_outcome::Lost;
    switch (end.mHow) {
      case end_kind::Done:
        outcome = attempt_outcome::Done;
        break;
      case end_kind::Failed:
        outcome = attempt_outcome::Failed;
        break;
      case end_kind::Stopped:
        outcome = found->second.mStopOutcome;
        break;
      default:
        break;
    }
    Learn(found->second, outcome, aNow);
    End(end.mTask, outcome, aNow);
  }
}

void
task_executor::ApplyRunning(const server_snapshot& aSeen,
                            instant aSent,
                            instant aNow)
{
  bool strays = aSeen.mForeignRunning > 0;
  std::set<task_key> listed;
  for (const running_task& run : aSeen.mRunning) {
    auto found = mTasks.find(run.mTask);
    bool ours = found != mTasks.end() && found->second.mRun == run.mRun &&
                found->second.mState != task_state::Queued;
    if (ours) {
      found->second.mSeenRunning = true;
      NoticeProgress(found->second, run.mPercent, aNow);
      listed.insert(run.mTask);
      continue;
    }
    // Left by a predecessor of this process, or an order carried out late.
    strays = true;
    instant& next = mStrayStops[run.mTask];
    if (next <= aNow) {
      next = aNow + kStopRetry;
      SendStop(run.mTask, run.mRun);
      mEvents.Emit(event_code::StrayStopped,
                   { { "task", JobText(run.mTask.mJob) },
                     { "run", std::to_string(run.mRun) } });
    }
  }
  if (!strays) {
    mStrayStops.clear();
  }
  mStrays = strays;
  std::vector<task_key> gone;
  for (const auto& [key, one] : mTasks) {
    bool settled = one.mState != task_state::Queued &&
                   one.mSettledAt.count() != 0 && one.mSettledAt < aSent;
    if (settled && listed.count(key) == 0) {
      gone.push_back(key);
    }
  }
  for (const task_key& key : gone) {
    task& one = mTasks.at(key);
    End(key, one.mStopping ? one.mStopOutcome : attempt_outcome::Lost, aNow);
  }
}

// Tells the task's entry once when its progress shows that it cannot end in
// its time here. A faster backend server still may.
void
task_executor::NoticeProgress(task& aTask, uint32_t aPercent, instant aNow)
{
  duration ran = aNow - aTask.mOrderedAt;
  aTask.mPercent = aPercent;
  aTask.mPercentAt = aNow;
  bool early = ran < kFirstForecastAfter || aPercent < kFirstForecastPercent;
  if (early || aTask.mToldSlow || aTask.mStopping) {
    return;
  }
  duration total = ran * 100 / aPercent;
  if (aTask.mOrderedAt + total <= aTask.mStopBy) {
    return;
  }
  aTask.mToldSlow = true;
  auto owner = mEntries.find(aTask.mOwner);
  if (owner == mEntries.end()) {
    return;
  }
  const task_key& key = aTask.mKey;
  owner->second.mTooSlow.emplace_back(uint32_t(key.mJob >> 32),
                                      uint32_t(key.mJob),
                                      key.mStep,
                                      key.mIndex,
                                      aTask.mAttempt,
                                      uint32_t(ToMs(total)));
}

void
task_executor::NoticeBoot(int64_t aBornMs, instant aNow)
{
  if (aBornMs == 0 || aBornMs == mBornMs) {
    return;
  }
  bool first = mBornMs == 0;
  mBornMs = aBornMs;
  mLastEndSeen = 0;
  if (first) {
    return;
  }
  mClockKnown = false;
  mEvents.Emit(
    event_code::BackendReborn,
    { { "server", mServer.mId }, { "lost", std::to_string(Running()) } });
  EndAllOrdered(attempt_outcome::Lost, aNow);
  mFailuresInRow = 0;
  mIllUntil = instant(0);
  mRunMs = 0;
  mEstimateMs = 0;
}

void
task_executor::EndAllOrdered(attempt_outcome aOutcome, instant aNow)
{
  std::vector<task_key> ordered;
  for (const auto& [key, one] : mTasks) {
    if (one.mState != task_state::Queued) {
      ordered.push_back(key);
    }
  }
  for (const task_key& key : ordered) {
    End(key, aOutcome, aNow);
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
task_executor::Learn(const task& aTask, attempt_outcome aOutcome, instant aNow)
{
  if (aOutcome == attempt_outcome::Failed) {
    mFailuresInRow++;
    if (mFailuresInRow >= kFailuresToIll) {
      mIllUntil = aNow + kIllTime;
      mEvents.Emit(event_code::WorkerSetAside,
                   { { "server", mServer.mId },
                     { "failures_in_row", std::to_string(mFailuresInRow) } });
      ReturnQueued(attempt_outcome::Unusable, aNow);
    }
    return;
  }
  if (aOutcome != attempt_outcome::Done) {
    return;
  }
  mFailuresInRow = 0;
  auto ranMs = double(ToMs(aNow - aTask.mOrderedAt));
  mMeanRunMs = mMeanRunMs == 0 ? ranMs : 0.9 * mMeanRunMs + 0.1 * ranMs;
  mRunMs = mRunMs * kLearnDecay + ranMs;
  mEstimateMs = mEstimateMs * kLearnDecay + double(aTask.mEstimateMs);
}

double
task_executor::Slowness() const
{
  return (mRunMs + kPriorMs) / (mEstimateMs + kPriorMs);
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
    if (mLastRuns.emplace(aKey, one.mRun).second) {
      mLastRunOrder.push_back(aKey);
    } else {
      mLastRuns[aKey] = one.mRun;
    }
    if (mLastRunOrder.size() > kRememberedRuns) {
      size_t half = kRememberedRuns / 2;
      for (size_t i = 0; i < half; i++) {
        mLastRuns.erase(mLastRunOrder[i]);
      }
      mLastRunOrder.erase(mLastRunOrder.begin(),
                          mLastRunOrder.begin() + long(half));
    }
  }
  auto owner = mEntries.find(one.mOwner);
  if (owner != mEntries.end()) {
    uint32_t runMs =
      one.mOrderedAt.count() == 0 ? 0 : uint32_t(ToMs(aNow - one.mOrderedAt));
    owner->second.mEnds.push_back(EndOf(aKey, one.mAttempt, runMs, aOutcome));
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
  std::vector<peer_id> silent;
  for (const auto& [peer, entry] : mEntries) {
    if (aNow - entry.mHeardAt > kOwnerSilence) {
      silent.push_back(peer);
    }
  }
  for (peer_id peer : silent) {
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", mEntries[peer].mName },
                   { "silent_ms",
                     std::to_string(ToMs(aNow - mEntries[peer].mHeardAt)) } });
    mLinks.Drop(peer);
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
      OrderStop(one, attempt_outcome::Stopped, aNow);
    }
    if (one.mStopping && !one.mStopAnswered && aNow >= one.mNextStop) {
      one.mNextStop = aNow + kStopRetry;
      SendStop(key, one.mRun);
    }
  }
  for (const task_key& key : unstarted) {
    End(key, attempt_outcome::NoRoom, aNow);
  }
}

// Every lease that was asked for is over and the backend server has not
// answered since: whatever it ran has ended by its own clock.
void
task_executor::NoticeLapse(instant aNow)
{
  if (!mReachable && aNow > mLeaseEnd && Running() > 0) {
    EndAllOrdered(attempt_outcome::Lost, aNow);
  }
}

void
task_executor::Tick(instant aNow)
{
  DropSilentEntries(aNow);
  ExpireTasks(aNow);
  NoticeLapse(aNow);
  NoticeSilence(aNow);
  if (LookIsDue(aNow)) {
    SendLook(aNow);
  }
  StartWhatFits(aNow);
  SendReports(aNow);
}

void
task_executor::SendReports(instant aNow)
{
  for (auto& [peer, entry] : mEntries) {
    duration since = aNow - entry.mReportedAt;
    bool due = !entry.mEnds.empty() || !entry.mTooSlow.empty() ||
               (entry.mChanged && since >= kReportInterval) ||
               since >= kQuietReportInterval;
    if (!due) {
      continue;
    }
    wire::server_report_msg said;
    said.ends = std::move(entry.mEnds);
    entry.mEnds.clear();
    said.too_slow = std::move(entry.mTooSlow);
    entry.mTooSlow.clear();
    said.last_offer = entry.mLastOffer;
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
    said.room_in_ms =
      uint32_t(ToMs(ExpectedStart(OrdinarySize(), aNow) - aNow));
    said.mean_run_ms = uint32_t(mMeanRunMs);
    said.slowness_permille = uint32_t(Slowness() * 1000);
    said.labels = mServer.mLabels;
    entry.mReportedAt = aNow;
    entry.mChanged = false;
    mLinks.Report(peer, said);
  }
}

void
task_executor::Drain(instant aNow)
{
  mDraining = true;
  ReturnQueued(attempt_outcome::Leaving, aNow);
  MarkChanged();
}

} // namespace cactusmast
