#include "cactusmast/testing/sized_world_parts.h"

#include <algorithm>

namespace cactusmast::testing {
namespace {

constexpr duration kMessageDelay = std::chrono::microseconds(500);
constexpr duration kTick = milliseconds(10);
constexpr duration kStoreTick = milliseconds(100);
constexpr duration kConnectInterval = milliseconds(100);
constexpr duration kAnnouncementInterval = milliseconds(1500);
// From the end of a cut until the end of a connection that was closed meanwhile
// is seen.
constexpr duration kCloseAfterCut = milliseconds(30);
constexpr duration kLoadInterval = milliseconds(300);
constexpr size_t kMaxRoutesPerLoad = 64;

} // namespace

sized_world::sized_world(size_t aEntries,
                         size_t aServers,
                         uint32_t aSeed,
                         const mechanism_set& aMechanisms,
                         size_t aDataCenters,
                         const overload_settings& aOverload)
  : mMechanisms(aMechanisms)
  , mDataCenters(aDataCenters)
  , mOverload(aOverload)
  , mRandom(aSeed)
{
  SetRoutes({ world_route{} });
  for (size_t i = 0; i < aServers; i++) {
    mServers.push_back(std::make_unique<fake_server>(*this, i));
  }
  for (size_t i = 0; i < aServers; i++) {
    mExecutors.push_back(std::make_unique<executor>(*this, i));
  }
  for (size_t i = 0; i < aEntries; i++) {
    mEntries.push_back(std::make_unique<entry>(*this, i));
  }
  Run(milliseconds(300));
}

sized_world::~sized_world() = default;

std::string
sized_world::DataCenterOf(size_t aIndex) const
{
  return std::string(1, char('a' + aIndex % mDataCenters));
}

// Entries watch the store and send each other what they know; executors read it
// when they need to.
void
sized_world::SyncEvacuations()
{
  std::vector<entry*> awake;
  for (auto& process : mEntries) {
    if (process->mUp && mNow >= process->mPausedUntil) {
      awake.push_back(process.get());
    }
  }
  for (entry* process : awake) {
    if (mNow >= std::max(mStoreBackAt, process->mStoreBackAt)) {
      process->mCore->OnEvacuations(evacuation_update{ mStore, mNow }, mNow);
    }
  }
  for (entry* from : awake) {
    auto encoded = EncodeEvacuations(from->mCore->Evacuations(), mNow);
    for (entry* to : awake) {
      to->mCore->OnEvacuations(DecodeEvacuations(encoded.get(), mNow), mNow);
    }
  }
  for (auto& process : mExecutors) {
    bool reads = process->mUp && mNow >= process->mPausedUntil &&
                 process->mCore->WantsEvacuations(mNow);
    mStoreReads += reads ? 1 : 0;
    if (reads && mNow >= mStoreBackAt) {
      process->mCore->OnEvacuations(evacuation_update{ mStore, mNow }, mNow);
    }
  }
}

void
sized_world::SetRoutes(const std::vector<world_route>& aRoutes)
{
  mConfig.mVersion++;
  mConfig.mRoutes.clear();
  for (const world_route& one : aRoutes) {
    route configured;
    configured.mName = one.mName;
    configured.mHost = "host";
    configured.mPrefix = "/" + one.mName;
    configured.mService = "service";
    configured.mTimeoutMs = 60000;
    configured.mObjectiveBaseMs = one.mObjectiveBaseMs;
    configured.mObjectiveStretch = one.mObjectiveStretch;
    configured.mPriority = one.mPriority;
    configured.mMaxAttempts = 3;
    mConfig.mRoutes.push_back(configured);
  }
  mTable = std::make_shared<const route_table>(mConfig);
}

void
sized_world::SetRouteTimeout(uint32_t aTimeoutMs)
{
  mConfig.mRoutes[0].mTimeoutMs = aTimeoutMs;
  mTable = std::make_shared<const route_table>(mConfig);
}

job_coordinator&
sized_world::Coordinator(size_t aIndex)
{
  return *mEntries[aIndex]->mCore;
}

task_executor&
sized_world::Executor(size_t aIndex)
{
  return *mExecutors[aIndex]->mCore;
}

bool
sized_world::ExecutorUp(size_t aIndex) const
{
  return mExecutors[aIndex]->mUp;
}

void
sized_world::At(duration aFromNow, std::function<void()> aDo)
{
  mQueue.emplace(mNow + aFromNow, std::move(aDo));
}

void
sized_world::Run(duration aSpan)
{
  instant end = mNow + aSpan;
  instant nextTick = mNow;
  instant nextConnect = mNow;
  constexpr duration kStep = std::chrono::milliseconds(1);
  while (mNow < end) {
    mNow += kStep;
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      auto run = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      run();
    }
    for (auto& server : mServers) {
      server->Advance();
    }
    if (mNow >= nextConnect) {
      nextConnect = mNow + kConnectInterval;
      ConnectAll();
    }
    if (mNow >= nextTick) {
      nextTick = mNow + kTick;
      TickAll();
    }
    if (mNow >= mNextStoreTick) {
      mNextStoreTick = mNow + kStoreTick;
      SyncEvacuations();
    }
  }
}

void
sized_world::TickAll()
{
  for (auto& process : mEntries) {
    if (!process->mUp || mNow < process->mPausedUntil) {
      continue;
    }
    process->mCore->Tick(mNow);
    bool sharesLoad = mOverload.mRouteShares || mOverload.mLateDeferral;
    if (sharesLoad && mNow >= process->mNextLoad) {
      process->mNextLoad = mNow + kLoadInterval;
      SendLoad(*process);
    }
    if (mNow < process->mNextHeartbeat) {
      continue;
    }
    process->mNextHeartbeat = mNow + kHeartbeatInterval;
    std::vector<peer_id> own;
    for (const auto& [id, connection] : mLinks) {
      if (connection.mUp && connection.mEntry == process->mIndex &&
          connection.mEntryIncarnation == process->mIncarnation &&
          process->mCore->BusyExecutors().count(id) > 0) {
        own.push_back(id);
      }
    }
    for (peer_id id : own) {
      uint64_t clockMs = process->mCore->ExecutorClockMs(id, mNow);
      Send(id, true, [this, id, clockMs] {
        Executor(mLinks.at(id).mServer).OnHeartbeat(id, clockMs, mNow);
      });
    }
  }
  for (auto& process : mExecutors) {
    if (!process->mUp || mNow < process->mPausedUntil) {
      continue;
    }
    bool serverUp = !mServers[process->mIndex]->mDown;
    if (serverUp && mNow >= process->mNextAnnouncement) {
      process->mNextAnnouncement = mNow + kAnnouncementInterval;
      process->mCore->OnAnnouncement(mServers[process->mIndex]->Announce(),
                                     mNow);
    }
    process->mCore->Tick(mNow);
  }
}

void
sized_world::SendLoad(entry& aFrom)
{
  auto load = std::make_shared<wire::entry_load_msg>();
  load->sequence = ++aFrom.mLoadSequence;
  load->demand = aFrom.mCore->EncodeOwnDemand(kMaxRoutesPerLoad, mNow);
  for (size_t to = 0; to < mEntries.size(); to++) {
    if (to == aFrom.mIndex) {
      continue;
    }
    At(kMessageDelay,
       [this, from = aFrom.mIndex, to, incarnation = aFrom.mIncarnation, load] {
         if (AreEntriesCut(from, to)) {
           return;
         }
         Deliver(false, to, [this, from, to, incarnation, load] {
           Coordinator(to).OnEntryLoad(
             "entry" + std::to_string(from), *load, mNow, incarnation);
         });
       });
  }
}

bool
sized_world::AreEntriesCut(size_t aEntry, size_t aOther) const
{
  auto found = mEntryCuts.find({ aEntry, aOther });
  return found != mEntryCuts.end() && mNow < found->second;
}

bool
sized_world::IsCut(size_t aEntry, size_t aServer) const
{
  auto found = mCuts.find({ aEntry, aServer });
  return found != mCuts.end() && mNow < found->second;
}

void
sized_world::ConnectAll()
{
  std::set<std::pair<size_t, size_t>> linked;
  for (const auto& [id, connection] : mLinks) {
    bool current =
      connection.mUp &&
      connection.mExecutorIncarnation ==
        mExecutors[connection.mServer]->mIncarnation &&
      connection.mEntryIncarnation == mEntries[connection.mEntry]->mIncarnation;
    if (current) {
      linked.insert({ connection.mEntry, connection.mServer });
    }
  }
  for (auto& entryProcess : mEntries) {
    for (auto& executorProcess : mExecutors) {
      bool able = entryProcess->mUp && executorProcess->mUp &&
                  mNow >= entryProcess->mPausedUntil &&
                  mNow >= executorProcess->mPausedUntil &&
                  !IsCut(entryProcess->mIndex, executorProcess->mIndex);
      if (!able ||
          linked.count({ entryProcess->mIndex, executorProcess->mIndex }) > 0) {
        continue;
      }
      peer_id id = mNextLink++;
      mLinks[id] = { entryProcess->mIndex,
                     executorProcess->mIndex,
                     true,
                     true,
                     true,
                     entryProcess->mIncarnation,
                     executorProcess->mIncarnation };
      peer_identity who;
      who.mName = "executor" + std::to_string(executorProcess->mIndex);
      who.mDataCenter = DataCenterOf(executorProcess->mIndex);
      entryProcess->mCore->OnExecutorUp(id, who, mNow);
      executorProcess->mCore->OnEntryUp(
        id, "entry" + std::to_string(entryProcess->mIndex), mNow);
      entryProcess->SendEvacuations(id);
    }
  }
}

// Runs aDo at the process, after its pause if it is paused. Discards aDo if the
// process is down or was restarted during the pause.
void
sized_world::Deliver(bool aToExecutor, size_t aIndex, std::function<void()> aDo)
{
  bool up = aToExecutor ? mExecutors[aIndex]->mUp : mEntries[aIndex]->mUp;
  uint64_t incarnation = aToExecutor ? mExecutors[aIndex]->mIncarnation
                                     : mEntries[aIndex]->mIncarnation;
  instant until = aToExecutor ? mExecutors[aIndex]->mPausedUntil
                              : mEntries[aIndex]->mPausedUntil;
  if (!up) {
    return;
  }
  if (mNow < until) {
    mQueue.emplace(until, [this, aToExecutor, aIndex, incarnation, aDo] {
      uint64_t currentIncarnation = aToExecutor
                                      ? mExecutors[aIndex]->mIncarnation
                                      : mEntries[aIndex]->mIncarnation;
      if (currentIncarnation == incarnation) {
        Deliver(aToExecutor, aIndex, aDo);
      }
    });
    return;
  }
  aDo();
  // Daemons run a turn of their loop soon after each input.
  if (aToExecutor) {
    mExecutors[aIndex]->mCore->Tick(mNow);
  } else {
    mEntries[aIndex]->mCore->Tick(mNow);
  }
}

void
sized_world::Send(peer_id aLink,
                  bool aToExecutor,
                  std::function<void()> aDeliver)
{
  (aToExecutor ? mMessagesOut : mMessagesIn)++;
  const link& sender = mLinks.at(aLink);
  if (!(aToExecutor ? sender.mEntryOpen : sender.mExecutorOpen)) {
    return;
  }
  AfterCut(aLink, kMessageDelay, [this, aLink, aToExecutor, aDeliver] {
    const link& connection = mLinks.at(aLink);
    size_t index = aToExecutor ? connection.mServer : connection.mEntry;
    uint64_t incarnation = aToExecutor ? connection.mExecutorIncarnation
                                       : connection.mEntryIncarnation;
    Deliver(aToExecutor,
            index,
            [this, aLink, aToExecutor, index, incarnation, aDeliver] {
              uint64_t currentIncarnation = aToExecutor
                                              ? mExecutors[index]->mIncarnation
                                              : mEntries[index]->mIncarnation;
              const link& receiver = mLinks.at(aLink);
              bool open =
                aToExecutor ? receiver.mExecutorOpen : receiver.mEntryOpen;
              if (open && currentIncarnation == incarnation) {
                aDeliver();
              }
            });
  });
}

// Runs aDo after aDelay, or once the cut between the two ends is over: TCP
// sends again what it could not deliver.
void
sized_world::AfterCut(peer_id aLink, duration aDelay, std::function<void()> aDo)
{
  At(aDelay, [this, aLink, aDo] {
    const link& connection = mLinks.at(aLink);
    auto cut = mCuts.find({ connection.mEntry, connection.mServer });
    if (cut != mCuts.end() && mNow < cut->second) {
      AfterCut(aLink, cut->second - mNow, aDo);
      return;
    }
    aDo();
  });
}

void
sized_world::CloseLink(peer_id aLink, bool aNotifyEntry, bool aNotifyExecutor)
{
  auto found = mLinks.find(aLink);
  if (found == mLinks.end() || !found->second.mUp) {
    return;
  }
  found->second.mUp = false;
  found->second.mEntryOpen &= aNotifyEntry;
  found->second.mExecutorOpen &= aNotifyExecutor;
  link connection = found->second;
  // The end of a connection passes a cut after all that was sent before it.
  bool cut = IsCut(connection.mEntry, connection.mServer);
  duration delay = cut ? kCloseAfterCut : duration{};
  auto notify = [this, aLink, connection, aNotifyEntry, aNotifyExecutor] {
    if (aNotifyEntry && mEntries[connection.mEntry]->mIncarnation ==
                          connection.mEntryIncarnation) {
      Deliver(false, connection.mEntry, [this, aLink, connection] {
        mLinks.at(aLink).mEntryOpen = false;
        Coordinator(connection.mEntry).OnExecutorDown(aLink, mNow);
      });
    }
    if (aNotifyExecutor && mExecutors[connection.mServer]->mIncarnation ==
                             connection.mExecutorIncarnation) {
      Deliver(true, connection.mServer, [this, aLink, connection] {
        mLinks.at(aLink).mExecutorOpen = false;
        Executor(connection.mServer).OnEntryDown(aLink, mNow);
      });
    }
  };
  AfterCut(aLink, kMessageDelay, [this, delay, notify] { At(delay, notify); });
}

void
sized_world::AddViolation(const std::string& aText)
{
  mViolations.push_back(std::to_string(mNow.count() / 1000) + " ms: " + aText);
}

void
sized_world::OnTaskStart(const task_key& aTask, size_t aServer)
{
  mStartedJobs.insert(aTask.mJob);
  auto evacuated = mEvacuatedAt.find(DataCenterOf(aServer));
  if (evacuated != mEvacuatedAt.end() &&
      mNow > evacuated->second + mMaxEvacuationAge) {
    AddViolation("task of job " + std::to_string(aTask.mJob) +
                 " starts in a data centre that is being evacuated");
  }
  std::set<size_t>& at = mRunningAt[aTask];
  at.insert(aServer);
  if (at.size() > 1) {
    AddViolation("task " + std::to_string(aTask.mJob) + "." +
                 std::to_string(aTask.mIndex) + " runs twice at a time");
  }
}

void
sized_world::OnTaskEnd(const task_key& aTask, end_kind aHow)
{
  if (aHow == end_kind::Done) {
    mDone[aTask.mJob].insert(aTask);
  }
}

} // namespace cactusmast::testing
