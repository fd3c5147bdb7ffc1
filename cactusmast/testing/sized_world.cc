#include "cactusmast/testing/sized_world_parts.h"

#include <algorithm>

namespace cactusmast::testing {
namespace {

constexpr duration kWay = std::chrono::microseconds(500); // of a message
constexpr duration kTick = milliseconds(10);
constexpr duration kStoreTick = milliseconds(100);
constexpr duration kDialInterval = milliseconds(100);
constexpr duration kHeartbeat = milliseconds(1500);

} // namespace

sized_world::sized_world(size_t aEntries,
                         size_t aServers,
                         uint32_t aSeed,
                         const mechanism_set& aMechanisms,
                         size_t aDataCenters)
  : mMechanisms(aMechanisms)
  , mDataCenters(aDataCenters)
  , mRandom(aSeed)
{
  mConfig.mVersion = 1;
  route way;
  way.mName = "route";
  way.mHost = "host";
  way.mPrefix = "/";
  way.mService = "service";
  way.mTimeoutMs = 60000;
  way.mObjectiveBaseMs = 60;
  way.mObjectiveStretch = 1.6;
  way.mMaxAttempts = 3;
  mConfig.mRoutes.push_back(way);
  mTable = std::make_shared<const route_table>(mConfig);
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

// Entries watch the store and tell each other; executors ask it at need.
void
sized_world::TickStore()
{
  std::vector<entry*> awake;
  for (auto& one : mEntries) {
    if (one->mUp && mNow >= one->mPausedUntil) {
      awake.push_back(one.get());
    }
  }
  for (entry* one : awake) {
    if (mNow >= std::max(mStoreBackAt, one->mStoreBackAt)) {
      one->mCore->OnEvacuations(evacuation_update{ mStore, mNow }, mNow);
    }
  }
  for (entry* from : awake) {
    auto said = EncodeEvacuations(from->mCore->Evacuations(), mNow);
    for (entry* to : awake) {
      to->mCore->OnEvacuations(DecodeEvacuations(said.get(), mNow), mNow);
    }
  }
  for (auto& one : mExecutors) {
    bool asks = one->mUp && mNow >= one->mPausedUntil &&
                one->mCore->WantsEvacuations(mNow);
    mStoreAsks += asks ? 1 : 0;
    if (asks && mNow >= mStoreBackAt) {
      one->mCore->OnEvacuations(evacuation_update{ mStore, mNow }, mNow);
    }
  }
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
  instant nextDial = mNow;
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
    if (mNow >= nextDial) {
      nextDial = mNow + kDialInterval;
      ConnectAll();
    }
    if (mNow >= nextTick) {
      nextTick = mNow + kTick;
      TickAll();
    }
    if (mNow >= mNextStoreTick) {
      mNextStoreTick = mNow + kStoreTick;
      TickStore();
    }
  }
}

void
sized_world::TickAll()
{
  for (auto& one : mEntries) {
    if (!one->mUp || mNow < one->mPausedUntil) {
      continue;
    }
    one->mCore->Tick(mNow);
    if (mNow < one->mNextPulse) {
      continue;
    }
    one->mNextPulse = mNow + kHeartbeatInterval;
    std::vector<peer_id> own;
    for (const auto& [id, way] : mLinks) {
      if (way.mUp && way.mEntry == one->mIndex &&
          way.mEntryLife == one->mLife &&
          one->mCore->BusyExecutors().count(id) > 0) {
        own.push_back(id);
      }
    }
    for (peer_id id : own) {
      Send(id, true, [this, id] {
        Executor(mLinks.at(id).mServer).OnHeartbeat(id, mNow);
      });
    }
  }
  for (auto& one : mExecutors) {
    if (!one->mUp || mNow < one->mPausedUntil) {
      continue;
    }
    bool serverUp = !mServers[one->mIndex]->mDown;
    if (serverUp && mNow >= one->mNextHeartbeat) {
      one->mNextHeartbeat = mNow + kHeartbeat;
      one->mCore->OnAnnouncement(mServers[one->mIndex]->Announce(), mNow);
    }
    one->mCore->Tick(mNow);
  }
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
  for (const auto& [id, way] : mLinks) {
    bool current = way.mUp &&
                   way.mExecutorLife == mExecutors[way.mServer]->mLife &&
                   way.mEntryLife == mEntries[way.mEntry]->mLife;
    if (current) {
      linked.insert({ way.mEntry, way.mServer });
    }
  }
  for (auto& in : mEntries) {
    for (auto& out : mExecutors) {
      bool able = in->mUp && out->mUp && mNow >= in->mPausedUntil &&
                  mNow >= out->mPausedUntil && !IsCut(in->mIndex, out->mIndex);
      if (!able || linked.count({ in->mIndex, out->mIndex }) > 0) {
        continue;
      }
      peer_id id = mNextLink++;
      mLinks[id] = { in->mIndex, out->mIndex, true, in->mLife, out->mLife };
      peer_identity who;
      who.mName = "executor" + std::to_string(out->mIndex);
      who.mDataCenter = DataCenterOf(out->mIndex);
      in->mCore->OnExecutorUp(id, who, mNow);
      out->mCore->OnEntryUp(id, "entry" + std::to_string(in->mIndex), mNow);
      in->SendEvacuations(id);
    }
  }
}

// Runs aDo at the process when it is awake; drops it when the process is not
// the one that it was meant for any more.
void
sized_world::Deliver(bool aToExecutor, size_t aIndex, std::function<void()> aDo)
{
  bool up = aToExecutor ? mExecutors[aIndex]->mUp : mEntries[aIndex]->mUp;
  uint64_t life =
    aToExecutor ? mExecutors[aIndex]->mLife : mEntries[aIndex]->mLife;
  instant until = aToExecutor ? mExecutors[aIndex]->mPausedUntil
                              : mEntries[aIndex]->mPausedUntil;
  if (!up) {
    return;
  }
  if (mNow < until) {
    mQueue.emplace(until, [this, aToExecutor, aIndex, life, aDo] {
      uint64_t now =
        aToExecutor ? mExecutors[aIndex]->mLife : mEntries[aIndex]->mLife;
      if (now == life) {
        Deliver(aToExecutor, aIndex, aDo);
      }
    });
    return;
  }
  aDo();
  // Daemons take a turn soon after each input.
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
  At(kWay, [this, aLink, aToExecutor, aDeliver] {
    auto found = mLinks.find(aLink);
    if (found == mLinks.end() || !found->second.mUp) {
      return;
    }
    const link& way = found->second;
    if (IsCut(way.mEntry, way.mServer)) {
      return;
    }
    size_t index = aToExecutor ? way.mServer : way.mEntry;
    uint64_t life = aToExecutor ? way.mExecutorLife : way.mEntryLife;
    Deliver(
      aToExecutor, index, [this, aLink, aToExecutor, index, life, aDeliver] {
        uint64_t now =
          aToExecutor ? mExecutors[index]->mLife : mEntries[index]->mLife;
        if (mLinks.at(aLink).mUp && now == life) {
          aDeliver();
        }
      });
  });
}

void
sized_world::CloseLink(peer_id aLink, bool aTellEntry, bool aTellExecutor)
{
  auto found = mLinks.find(aLink);
  if (found == mLinks.end() || !found->second.mUp) {
    return;
  }
  found->second.mUp = false;
  link way = found->second;
  // A reset does not pass a cut: the other side has only its own time-out.
  if (IsCut(way.mEntry, way.mServer)) {
    return;
  }
  At(kWay, [this, aLink, way, aTellEntry, aTellExecutor] {
    if (aTellEntry && mEntries[way.mEntry]->mLife == way.mEntryLife) {
      Deliver(false, way.mEntry, [this, aLink, way] {
        Coordinator(way.mEntry).OnExecutorDown(aLink, mNow);
      });
    }
    if (aTellExecutor && mExecutors[way.mServer]->mLife == way.mExecutorLife) {
      Deliver(true, way.mServer, [this, aLink, way] {
        Executor(way.mServer).OnEntryDown(aLink, mNow);
      });
    }
  });
}

void
sized_world::Violate(const std::string& aText)
{
  mViolations.push_back(std::to_string(mNow.count() / 1000) + " ms: " + aText);
}

void
sized_world::NoteStart(const task_key& aTask, size_t aServer)
{
  mStartedJobs.insert(aTask.mJob);
  auto evacuated = mEvacuatedAt.find(DataCenterOf(aServer));
  if (evacuated != mEvacuatedAt.end() &&
      mNow > evacuated->second + mEvacuationBound) {
    Violate("task of job " + std::to_string(aTask.mJob) +
            " starts in a data centre that is being evacuated");
  }
  std::set<size_t>& at = mRunningAt[aTask];
  at.insert(aServer);
  if (at.size() > 1) {
    Violate("task " + std::to_string(aTask.mJob) + "." +
            std::to_string(aTask.mIndex) + " runs twice at a time");
  }
}

void
sized_world::NoteEnd(const task_key& aTask, end_kind aHow)
{
  if (aHow == end_kind::Done) {
    mDone[aTask.mJob].insert(aTask);
  }
}

} // namespace cactusmast::testing
