#include "cactusmast/testing/world.h"

#include <algorithm>

#include "cactusmast/testing/world_fakes.h"

namespace cactusmast::testing {

using namespace detail;

namespace detail {

std::string
MakePayload(const std::string& aKey, uint32_t aIndex, duration aRun)
{
  return aKey + "|" + std::to_string(aIndex) + "|" +
         std::to_string(aRun.count());
}

;

parsed_payload
ParsePayload(const std::string& aText)
{
  size_t first = aText.find('|');
  size_t second = aText.find('|', first + 1);
  return { aText.substr(0, first),
           uint32_t(std::stoul(aText.substr(first + 1, second - first - 1))),
           duration(std::stoll(aText.substr(second + 1))) };
}

} // namespace detail

namespace {

constexpr milliseconds kAnnouncementInterval{ 500 };

} // namespace

world::world(const world_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  auto add = [this](const std::string& aKind, bool aIsEntry, uint32_t aNumber) {
    auto created = std::make_unique<process>();
    created->mName = aKind + "-" + std::to_string(aNumber);
    created->mIsEntry = aIsEntry;
    created->mNumber = aNumber;
    created->mServer.mSlots = mOptions.mSlots;
    process& added = *created;
    mProcesses[added.mName] = std::move(created);
    StartProcess(added);
  };
  for (uint32_t i = 1; i <= mOptions.mEntries; i++) {
    add("entry", true, i);
  }
  for (uint32_t i = 1; i <= mOptions.mGuards; i++) {
    add("guard", false, i);
  }
  TickAll();
}

world::~world() = default;

uint64_t
world::BytesSent(const std::string& aName) const
{
  auto found = mBytesSent.find(aName);
  return found == mBytesSent.end() ? 0 : found->second;
}

uint64_t
world::BytesReceived(const std::string& aName) const
{
  auto found = mBytesReceived.find(aName);
  return found == mBytesReceived.end() ? 0 : found->second;
}

world::process&
world::Find(const std::string& aName)
{
  return *mProcesses.at(aName);
}

entry_node*
world::Entry(uint32_t aNumber)
{
  return Find("entry-" + std::to_string(aNumber)).mEntry.get();
}

guard_node*
world::Guard(uint32_t aNumber)
{
  return Find("guard-" + std::to_string(aNumber)).mGuard.get();
}

void
world::StartProcess(process& aProcess)
{
  aProcess.mAlive = true;
  aProcess.mPaused = false;
  aProcess.mDraining = false;
  aProcess.mIncarnation = mNextIncarnation++;
  aProcess.mDeferredInputs.clear();
  aProcess.mNetwork = std::make_unique<fake_network>(*this, aProcess);
  if (aProcess.mTable == nullptr) {
    // Scheduled actions refer to these fakes, so they are kept across restarts
    // of the process for as long as the world exists.
    aProcess.mTable = std::make_unique<fake_table>(*this, aProcess);
    aProcess.mBackend = std::make_unique<fake_backend>(*this, aProcess);
    aProcess.mEvents = std::make_unique<fake_events>(*this, aProcess);
    aProcess.mRandom = std::make_unique<fake_random>(mRandom);
    aProcess.mCallers = std::make_unique<fake_callers>(*this);
  }
  std::vector<std::string> seeds;
  for (uint32_t i = 1; i <= mOptions.mEntries; i++) {
    seeds.push_back("entry-" + std::to_string(i));
  }
  if (aProcess.mIsEntry) {
    entry_options options;
    options.mName = aProcess.mName;
    options.mIncarnation = aProcess.mIncarnation;
    options.mAddress = aProcess.mName;
    options.mDataCenter = "one";
    options.mSeedEntries = seeds;
    options.mConfig.mInitialShardCount = mOptions.mShards;
    options.mOwner.mJobs.mRetention = mOptions.mRetention;
    options.mOwner.mDispatcher.mHealth = mOptions.mHealth;
    aProcess.mEntry = std::make_unique<entry_node>(options,
                                                   *aProcess.mNetwork,
                                                   *aProcess.mTable,
                                                   *aProcess.mCallers,
                                                   *aProcess.mEvents,
                                                   *aProcess.mRandom,
                                                   mNow,
                                                   mOptions.mEntrySafeguards);
  } else {
    guard_options options;
    options.mName = aProcess.mName;
    options.mShard = (aProcess.mNumber - 1) % mOptions.mShards;
    options.mSeedEntries = seeds;
    options.mRetention = mOptions.mRetention;
    aProcess.mGuard = std::make_unique<guard_node>(options,
                                                   *aProcess.mNetwork,
                                                   *aProcess.mTable,
                                                   *aProcess.mBackend,
                                                   *aProcess.mEvents,
                                                   mOptions.mGuardSafeguards);
  }
  history_event event;
  event.mKind = event_kind::ProcessStarted;
  event.mProcess = aProcess.mName;
  Record(event);
}

void
world::Record(history_event aEvent)
{
  aEvent.mTime = mNow;
  if (std::getenv("CACTUSMAST_TRACE") != nullptr) {
    std::fprintf(stderr,
                 "%lld history kind=%d %s key=%s.%u request=%llu %s %s\n",
                 static_cast<long long>(mNow.count() / 1000),
                 int(aEvent.mKind),
                 aEvent.mProcess.c_str(),
                 aEvent.mKey.c_str(),
                 aEvent.mIndex,
                 static_cast<unsigned long long>(aEvent.mRequest),
                 aEvent.mText.c_str(),
                 aEvent.mRunState.c_str());
  }
  mHistory.push_back(std::move(aEvent));
}

void
world::At(instant aTime, std::function<void()> aAction)
{
  mScheduled.emplace(std::max(aTime, mNow), std::move(aAction));
}

void
world::RunUntil(instant aTime)
{
  while (!mScheduled.empty() && mScheduled.begin()->first <= aTime) {
    auto next = mScheduled.begin();
    mNow = next->first;
    std::function<void()> action = std::move(next->second);
    mScheduled.erase(next);
    action();
  }
  mNow = aTime;
}

void
world::Deliver(process& aTo, std::function<void()> aInput)
{
  if (!aTo.mAlive) {
    return;
  }
  if (aTo.mPaused) {
    aTo.mDeferredInputs.push_back(std::move(aInput));
    return;
  }
  aInput();
  if (!aTo.mAlive) {
    return;
  }
  if (aTo.mIsEntry) {
    aTo.mEntry->Tick(mNow, mNow.count() / 1000000);
  } else {
    aTo.mGuard->Tick(mNow);
  }
}

void
world::TickAll()
{
  bool announcementsDue =
    (mNow / mOptions.mTick) % (kAnnouncementInterval / mOptions.mTick) == 0;
  std::vector<std::string> drained;
  for (auto& [name, one] : mProcesses) {
    if (!one->mAlive) {
      continue;
    }
    bool renews = !one->mIsEntry && announcementsDue && one->mServer.mAlive &&
                  one->mServer.mAnnounced && !one->mDraining;
    if (renews) {
      process* guard = one.get();
      Deliver(*guard, [this, guard] { RenewAnnouncement(*guard); });
    }
    if (one->mPaused) {
      continue;
    }
    Deliver(*one, [] {});
    bool done = one->mDraining && (one->mIsEntry ? one->mEntry->IsDrained()
                                                 : one->mGuard->IsDrained());
    if (done) {
      drained.push_back(name);
    }
  }
  for (const std::string& name : drained) {
    At(mNow + milliseconds(50), [this, name] {
      if (Find(name).mAlive && Find(name).mDraining) {
        StopProcess(Find(name), true);
      }
    });
  }
  At(mNow + mOptions.mTick, [this] { TickAll(); });
}

void
world::RenewAnnouncement(process& aGuard)
{
  backend_announcement server;
  server.mUrl = aGuard.mName;
  server.mServices = { "ordering" };
  server.mSlots = aGuard.mServer.mSlots;
  server.mAccelerators = aGuard.mServer.mAccelerators;
  if (!aGuard.mGuard->IsDraining()) {
    aGuard.mGuard->Announce(server, mNow);
  }
}

bool
world::IsBlocked(const std::string& aFrom, const std::string& aTo) const
{
  return mBlockedDirections.count({ aFrom, aTo }) > 0;
}

void
world::CloseConnection(uint64_t aConnection,
                       const std::string& aCloser,
                       bool aNotify)
{
  connection& link = *mConnections.at(aConnection);
  if (!link.mOpen) {
    return;
  }
  std::string other = link.mLeft == aCloser ? link.mRight : link.mLeft;
  peer_id localPeer =
    link.mLeft == aCloser ? link.mPeerAtLeft : link.mPeerAtRight;
  peer_id remotePeer =
    link.mLeft == aCloser ? link.mPeerAtRight : link.mPeerAtLeft;
  Find(aCloser).mConnectionIds.erase(localPeer);
  bool notified = aNotify && !link.mSilent && !IsBlocked(aCloser, other);
  if (!notified) {
    // The other end does not see the close, and what it sends is lost.
    link.mSilent = true;
    return;
  }
  link.mOpen = false;
  // Messages that were sent before the close still arrive, and the close
  // after them.
  instant arrival =
    std::max(mNow + mOptions.mLatency, link.mLastArrival[aCloser]);
  At(arrival, [this, other, remotePeer] {
    process& target = Find(other);
    Deliver(target, [this, &target, remotePeer] {
      if (target.mConnectionIds.erase(remotePeer) == 0) {
        return;
      }
      if (target.mIsEntry) {
        target.mEntry->OnPeerDown(remotePeer, mNow);
      } else {
        target.mGuard->OnPeerDown(remotePeer, mNow);
      }
    });
  });
}

} // namespace cactusmast::testing
