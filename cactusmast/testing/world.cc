#include "cactusmast/testing/world.h"

#include <algorithm>

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTableLatency{ 2 };
constexpr milliseconds kTableSync{ 4 };
constexpr milliseconds kTableTimeout{ 1000 };
constexpr milliseconds kRenewInterval{ 500 };
constexpr milliseconds kMinRetry{ 200 };
constexpr uint32_t kMaxAttempts = 60;

std::string
MakePayload(const std::string& aKey, uint32_t aIndex, duration aRun)
{
  return aKey + "|" + std::to_string(aIndex) + "|" +
         std::to_string(aRun.count());
}

struct parsed_payload
{
  std::string mKey;
  uint32_t mIndex = 0;
  duration mRun{};
};

parsed_payload
ParsePayload(const std::string& aText)
{
  size_t first = aText.find('|');
  size_t second = aText.find('|', first + 1);
  return { aText.substr(0, first),
           uint32_t(std::stoul(aText.substr(first + 1, second - first - 1))),
           duration(std::stoll(aText.substr(second + 1))) };
}

} // namespace

// One direction-less connection. A silent one loses everything that is sent
// into it; a blocked one holds it until the block ends, as TCP would.
struct world::pipe
{
  std::string mLeft;
  std::string mRight;
  uint64_t mLeftIncarnation = 0;
  uint64_t mRightIncarnation = 0;
  peer_id mAtLeft = 0;  // how the left end names the right one
  peer_id mAtRight = 0; // and the other way round
  bool mSilent = false;
  bool mOpen = true; // false once one end has closed it
  std::vector<std::pair<std::string, message>> mHeld; // sender, message
  std::map<std::string, instant> mLastArrival;        // by sender, for order
};

struct backend_state
{
  bool mAlive = true;
  bool mAnnounced = true;
  double mSpeed = 1;
  double mFail = 0;
  uint32_t mSlots = 4;
  uint32_t mAccelerators = 0;
  uint64_t mLife = 1;
  std::vector<task_ref> mRunning;
  uint64_t mStarts = 0;
};

struct world::process
{
  std::string mName;
  bool mIsEntry = true;
  uint32_t mNumber = 0;
  bool mAlive = false;
  bool mPaused = false;
  uint64_t mIncarnation = 0;
  std::vector<std::function<void()>> mDeferred;
  std::map<peer_id, uint64_t> mLinks; // to pipes
  std::unique_ptr<fake_network> mNetwork;
  std::unique_ptr<fake_table> mTable;
  std::unique_ptr<fake_events> mEvents;
  std::unique_ptr<fake_random> mRandom;
  std::unique_ptr<fake_callers> mCallers;
  std::unique_ptr<fake_backend> mBackend;
  std::unique_ptr<entry_node> mEntry;
  std::unique_ptr<guard_node> mGuard;
  backend_state mServer;
  bool mDraining = false;
};

class world::fake_network : public peer_network
{
public:
  fake_network(world& aWorld, process& aProcess)
    : mWorld(aWorld)
    , mSelf(aProcess)
  {
  }

  void Send(peer_id aPeer, message aMessage) override
  {
    auto link = mSelf.mLinks.find(aPeer);
    if (link == mSelf.mLinks.end()) {
      return;
    }
    uint64_t number = link->second;
    pipe& through = *mWorld.mPipes.at(number);
    const std::string& to =
      through.mLeft == mSelf.mName ? through.mRight : through.mLeft;
    if (mWorld.mOptions.mCountBytes) {
      std::string frame;
      EncodeFrame(aMessage, &frame);
      mWorld.mBytesSent[mSelf.mName] += frame.size();
      mWorld.mBytesReceived[to] += frame.size();
    }
    if (through.mSilent || !through.mOpen) {
      return;
    }
    if (mWorld.Blocked(mSelf.mName, to)) {
      through.mHeld.emplace_back(mSelf.mName, std::move(aMessage));
      return;
    }
    Transmit(mWorld, number, mSelf.mName, std::move(aMessage));
  }

  static void Transmit(world& aWorld,
                       uint64_t aPipe,
                       const std::string& aFrom,
                       message aMessage)
  {
    pipe& through = *aWorld.mPipes.at(aPipe);
    std::string to = through.mLeft == aFrom ? through.mRight : through.mLeft;
    auto delay = aWorld.mDelays.find({ aFrom, to });
    instant arrival =
      aWorld.mNow + aWorld.mOptions.mLatency +
      (delay == aWorld.mDelays.end() ? duration(0) : delay->second);
    instant& last = through.mLastArrival[aFrom];
    arrival = std::max(arrival, last);
    last = arrival;
    auto carried = std::make_shared<message>(std::move(aMessage));
    aWorld.At(arrival, [&aWorld, aPipe, to, carried] {
      auto found = aWorld.mPipes.find(aPipe);
      if (found == aWorld.mPipes.end() || found->second->mSilent) {
        return;
      }
      process& target = aWorld.Find(to);
      pipe& arrived = *found->second;
      peer_id peer = arrived.mLeft == to ? arrived.mAtLeft : arrived.mAtRight;
      aWorld.Deliver(target, [&aWorld, &target, peer, carried] {
        if (target.mLinks.count(peer) == 0) {
          return;
        }
        if (target.mIsEntry) {
          target.mEntry->OnMessage(peer, *carried, aWorld.mNow);
        } else {
          target.mGuard->OnMessage(peer, *carried, aWorld.mNow);
        }
      });
    });
  }

  void Close(peer_id aPeer) override
  {
    auto link = mSelf.mLinks.find(aPeer);
    if (link != mSelf.mLinks.end()) {
      mWorld.CloseLink(link->second, mSelf.mName, true);
    }
  }

  void Connect(const std::string& aAddress) override
  {
    auto found = mWorld.mProcesses.find(aAddress);
    if (found == mWorld.mProcesses.end()) {
      return;
    }
    process& target = *found->second;
    for (const auto& [peer, number] : mSelf.mLinks) {
      pipe& present = *mWorld.mPipes.at(number);
      bool same = present.mLeft == aAddress || present.mRight == aAddress;
      if (same && present.mOpen) {
        return;
      }
    }
    bool reachable = target.mAlive && !target.mPaused &&
                     !mWorld.Blocked(mSelf.mName, aAddress) &&
                     !mWorld.Blocked(aAddress, mSelf.mName);
    if (!reachable) {
      return;
    }
    uint64_t number = mWorld.mNextPipe++;
    auto made = std::make_unique<pipe>();
    made->mLeft = mSelf.mName;
    made->mRight = aAddress;
    made->mLeftIncarnation = mSelf.mIncarnation;
    made->mRightIncarnation = target.mIncarnation;
    made->mAtLeft = mWorld.mNextPeer++;
    made->mAtRight = mWorld.mNextPeer++;
    peer_id here = made->mAtLeft;
    peer_id there = made->mAtRight;
    mWorld.mPipes[number] = std::move(made);
    mSelf.mLinks[here] = number;
    target.mLinks[there] = number;
    Announce(mSelf, here, target);
    Announce(target, there, mSelf);
  }

private:
  // Tells aTo, after the handshake, that aOther is connected.
  void Announce(process& aTo, peer_id aPeer, process& aOther)
  {
    peer_identity identity;
    identity.mRole =
      aOther.mIsEntry ? process_role::Entry : process_role::Guard;
    identity.mName = aOther.mName;
    identity.mIncarnation = aOther.mIncarnation;
    identity.mAddress = aOther.mName;
    identity.mDataCenter = "one";
    identity.mShard =
      aOther.mIsEntry ? 0 : (aOther.mNumber - 1) % mWorld.mOptions.mShards;
    world& owner = mWorld;
    process* to = &aTo;
    owner.At(owner.mNow + owner.mOptions.mLatency * 2,
             [&owner, to, aPeer, identity] {
               owner.Deliver(*to, [&owner, to, aPeer, identity] {
                 if (to->mLinks.count(aPeer) == 0) {
                   return;
                 }
                 if (to->mIsEntry) {
                   to->mEntry->OnPeerUp(aPeer, identity, owner.mNow);
                 } else {
                   to->mGuard->OnPeerUp(aPeer, identity, owner.mNow);
                 }
               });
             });
  }

  world& mWorld;
  process& mSelf;
};

class world::fake_table : public table_store
{
public:
  fake_table(world& aWorld, process& aProcess)
    : mWorld(aWorld)
    , mSelf(aProcess)
  {
  }

  uint64_t Read(const std::string& aPrefix,
                uint32_t aLimit,
                bool aNewestFirst) override
  {
    uint64_t request = ++mWorld.mTableRequest;
    mWorld.mTableReads++;
    Perform(request, kTableLatency, [this, aPrefix, aLimit, aNewestFirst] {
      table_reply reply;
      reply.mStatus = table_status::Ok;
      for (auto row = mWorld.mRows.lower_bound(aPrefix);
           row != mWorld.mRows.end() && row->first.rfind(aPrefix, 0) == 0;
           ++row) {
        reply.mRows.push_back(row->second);
      }
      if (aNewestFirst) {
        std::reverse(reply.mRows.begin(), reply.mRows.end());
      }
      if (reply.mRows.size() > aLimit) {
        reply.mRows.resize(aLimit);
      }
      return reply;
    });
    return request;
  }

  uint64_t Commit(std::vector<table_write> aWrites) override
  {
    uint64_t request = ++mWorld.mTableRequest;
    Perform(request, kTableSync, [this, aWrites] {
      table_reply reply;
      for (const table_write& write : aWrites) {
        auto row = mWorld.mRows.find(write.mKey);
        uint64_t version = row == mWorld.mRows.end() ? 0 : row->second.mVersion;
        if (write.mExpected.has_value() && *write.mExpected != version) {
          reply.mStatus = table_status::Conflict;
          return reply;
        }
      }
      mWorld.mTableWrites++;
      for (const table_write& write : aWrites) {
        if (write.mErase) {
          mWorld.mRows.erase(write.mKey);
        } else {
          mWorld.mRows[write.mKey] = { write.mKey,
                                       write.mValue,
                                       ++mWorld.mRowVersion };
        }
      }
      reply.mStatus = table_status::Ok;
      std::uniform_real_distribution<double> uniform(0, 1);
      if (uniform(mWorld.mRandom) < mWorld.mTableFaults.mLoseReply) {
        reply.mStatus = table_status::Unavailable;
      }
      return reply;
    });
    return request;
  }

private:
  void Perform(uint64_t aRequest,
               duration aLatency,
               std::function<table_reply()> aWork)
  {
    uint64_t incarnation = mSelf.mIncarnation;
    instant arrival = mWorld.mNow + aLatency + mWorld.mTableFaults.mExtraDelay;
    mWorld.At(arrival, [this, aRequest, aWork, incarnation] {
      table_reply reply;
      bool cut =
        mWorld.mTableFaults.mDown || mWorld.Blocked(mSelf.mName, "table");
      if (!cut) {
        reply = aWork();
      }
      reply.mRequest = aRequest;
      duration wait = reply.mStatus == table_status::Unavailable
                        ? duration(kTableTimeout)
                        : duration(kTableLatency);
      mWorld.At(mWorld.mNow + wait, [this, reply, incarnation] {
        if (mSelf.mIncarnation != incarnation) {
          return;
        }
        mWorld.Deliver(mSelf, [this, reply] {
          if (mSelf.mIsEntry) {
            mSelf.mEntry->OnTableReply(reply, mWorld.mNow);
          } else {
            mSelf.mGuard->OnTableReply(reply, mWorld.mNow);
          }
        });
      });
    });
  }

  world& mWorld;
  process& mSelf;
};

class world::fake_backend : public backend_port
{
public:
  fake_backend(world& aWorld, process& aProcess)
    : mWorld(aWorld)
    , mSelf(aProcess)
  {
  }

  void Start(const task_start& aTask) override
  {
    backend_state& server = mSelf.mServer;
    if (!server.mAlive) {
      End(aTask.mRef,
          mWorld.mNow + mWorld.mOptions.mLatency,
          { aTask.mRef,
            task_outcome::Refused,
            run_state::NotRun,
            task_reason::Withdrawn,
            "" });
      return;
    }
    parsed_payload payload = ParsePayload(aTask.mPayload);
    history_event event;
    event.mKind = event_kind::Start;
    event.mProcess = "backend-" + std::to_string(mSelf.mNumber);
    event.mKey = payload.mKey;
    event.mIndex = payload.mIndex;
    mWorld.Record(event);
    server.mStarts++;
    server.mRunning.push_back(aTask.mRef);
    std::uniform_real_distribution<double> uniform(0, 1);
    bool fails = uniform(mWorld.mRandom) < server.mFail;
    duration run(int64_t(double(payload.mRun.count()) / server.mSpeed));
    task_end end{ aTask.mRef,
                  fails ? task_outcome::Failed : task_outcome::Succeeded,
                  run_state::Run,
                  fails ? task_reason::BackendError : task_reason::None,
                  fails ? "" : ExpectedOutput(payload.mKey, payload.mIndex) };
    End(
      aTask.mRef, mWorld.mNow + (fails ? duration(milliseconds(1)) : run), end);
  }

  void Cancel(const task_ref& aRef) override { Forget(aRef); }

  void LoseAll()
  {
    std::vector<task_ref> lost = std::move(mSelf.mServer.mRunning);
    mSelf.mServer.mRunning.clear();
    for (const task_ref& ref : lost) {
      Tell({ ref,
             task_outcome::Failed,
             run_state::Unknown,
             task_reason::BackendLost,
             "" });
    }
  }

private:
  bool Forget(const task_ref& aRef)
  {
    std::vector<task_ref>& running = mSelf.mServer.mRunning;
    auto found = std::find_if(
      running.begin(), running.end(), [&aRef](const task_ref& aOne) {
        return task_ref_equal()(aOne, aRef);
      });
    if (found == running.end()) {
      return false;
    }
    running.erase(found);
    return true;
  }

  void End(const task_ref& aRef, instant aWhen, const task_end& aEnd)
  {
    uint64_t incarnation = mSelf.mIncarnation;
    uint64_t life = mSelf.mServer.mLife;
    mWorld.At(aWhen, [this, aRef, aEnd, incarnation, life] {
      bool ran = aEnd.mOutcome != task_outcome::Refused;
      if (mSelf.mServer.mLife != life || (ran && !Forget(aRef))) {
        return;
      }
      if (mSelf.mIncarnation == incarnation) {
        Tell(aEnd);
      }
    });
  }

  void Tell(const task_end& aEnd)
  {
    mWorld.Deliver(
      mSelf, [this, aEnd] { mSelf.mGuard->OnTaskEnded(aEnd, mWorld.mNow); });
  }

  world& mWorld;
  process& mSelf;
};

class world::fake_callers : public caller_port
{
public:
  explicit fake_callers(world& aWorld)
    : mWorld(aWorld)
  {
  }

  void Reply(caller_id aCaller, const wire::job_reply_msg& aReply) override
  {
    mWorld.OnReply(aCaller, aReply);
  }

  void ChangeDone(const change_outcome& aOutcome) override
  {
    mWorld.mChanges.push_back(aOutcome);
    if (aOutcome.mAccepted) {
      history_event event;
      event.mKind = event_kind::Accepted;
      event.mVersion = aOutcome.mVersion;
      mWorld.Record(event);
    }
  }

private:
  world& mWorld;
};

class world::fake_events : public event_sink
{
public:
  fake_events(world& aWorld, process& aProcess)
    : mWorld(aWorld)
    , mSelf(aProcess)
  {
  }

  void Emit(event_code aCode, std::vector<event_field> aFields) override
  {
    if (std::getenv("CACTUSMAST_TRACE") != nullptr) {
      Trace(aCode, aFields);
    }
    if (aCode != event_code::ConfigInForce) {
      return;
    }
    history_event event;
    event.mKind = event_kind::InForce;
    event.mProcess = mSelf.mName;
    event.mVersion = std::stoull(aFields.front().mValue);
    mWorld.Record(event);
    if (mSelf.mIsEntry) {
      mWorld.mDocuments[event.mVersion] = mSelf.mEntry->Config().Document();
    }
  }

private:
  void Trace(event_code aCode, const std::vector<event_field>& aFields) const
  {
    std::string line = std::to_string(mWorld.mNow.count() / 1000) + " " +
                       mSelf.mName + " " + std::string(EventOf(aCode).mName);
    for (const event_field& field : aFields) {
      line += " " + std::string(field.mName) + "=" + field.mValue;
    }
    std::fprintf(stderr, "%s\n", line.c_str());
  }

  world& mWorld;
  process& mSelf;
};

class world::fake_random : public random_source
{
public:
  explicit fake_random(std::mt19937_64& aRandom)
    : mRandom(aRandom)
  {
  }

  double NextUniform() override
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

private:
  std::mt19937_64& mRandom;
};

world::world(const world_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  auto add = [this](const std::string& aKind, bool aIsEntry, uint32_t aNumber) {
    auto made = std::make_unique<process>();
    made->mName = aKind + "-" + std::to_string(aNumber);
    made->mIsEntry = aIsEntry;
    made->mNumber = aNumber;
    made->mServer.mSlots = mOptions.mSlots;
    process& added = *made;
    mProcesses[added.mName] = std::move(made);
    Boot(added);
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
world::Boot(process& aProcess)
{
  aProcess.mAlive = true;
  aProcess.mPaused = false;
  aProcess.mDraining = false;
  aProcess.mIncarnation = mNextIncarnation++;
  aProcess.mDeferred.clear();
  aProcess.mNetwork = std::make_unique<fake_network>(*this, aProcess);
  if (aProcess.mTable == nullptr) {
    // Requests under way refer to it, so it lives as long as the world.
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
  event.mKind = event_kind::Started;
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
                 aEvent.mRun.c_str());
  }
  mHistory.push_back(std::move(aEvent));
}

void
world::At(instant aTime, std::function<void()> aAction)
{
  mAgenda.emplace(std::max(aTime, mNow), std::move(aAction));
}

void
world::RunUntil(instant aTime)
{
  while (!mAgenda.empty() && mAgenda.begin()->first <= aTime) {
    auto next = mAgenda.begin();
    mNow = next->first;
    std::function<void()> action = std::move(next->second);
    mAgenda.erase(next);
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
    aTo.mDeferred.push_back(std::move(aInput));
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
  bool renew = (mNow / mOptions.mTick) % (kRenewInterval / mOptions.mTick) == 0;
  std::vector<std::string> drained;
  for (auto& [name, one] : mProcesses) {
    if (!one->mAlive) {
      continue;
    }
    bool announces = !one->mIsEntry && renew && one->mServer.mAlive &&
                     one->mServer.mAnnounced && !one->mDraining;
    if (announces) {
      process* beside = one.get();
      Deliver(*beside, [this, beside] { Renew(*beside); });
    }
    if (one->mPaused) {
      continue;
    }
    Deliver(*one, [] {});
    bool done = one->mDraining && (one->mIsEntry ? one->mEntry->Drained()
                                                 : one->mGuard->Drained());
    if (done) {
      drained.push_back(name);
    }
  }
  for (const std::string& name : drained) {
    At(mNow + milliseconds(50), [this, name] {
      if (Find(name).mAlive && Find(name).mDraining) {
        Disconnect(Find(name), true);
      }
    });
  }
  At(mNow + mOptions.mTick, [this] { TickAll(); });
}

void
world::Renew(process& aBeside)
{
  backend_announcement server;
  server.mUrl = aBeside.mName;
  server.mServices = { "ordering" };
  server.mSlots = aBeside.mServer.mSlots;
  server.mAccelerators = aBeside.mServer.mAccelerators;
  if (!aBeside.mGuard->Draining()) {
    aBeside.mGuard->Announce(server, mNow);
  }
}

bool
world::Blocked(const std::string& aFrom, const std::string& aTo) const
{
  return mBlocked.count({ aFrom, aTo }) > 0;
}

void
world::CloseLink(uint64_t aLink, const std::string& aBy, bool aTell)
{
  pipe& closed = *mPipes.at(aLink);
  if (!closed.mOpen) {
    return;
  }
  std::string other = closed.mLeft == aBy ? closed.mRight : closed.mLeft;
  peer_id here = closed.mLeft == aBy ? closed.mAtLeft : closed.mAtRight;
  peer_id there = closed.mLeft == aBy ? closed.mAtRight : closed.mAtLeft;
  Find(aBy).mLinks.erase(here);
  bool heard = aTell && !closed.mSilent && !Blocked(aBy, other);
  if (!heard) {
    // The other end is never told; what it sends is lost.
    closed.mSilent = true;
    return;
  }
  closed.mOpen = false;
  // What was sent before the end still arrives, and the end after it.
  instant arrival =
    std::max(mNow + mOptions.mLatency, closed.mLastArrival[aBy]);
  At(arrival, [this, other, there] {
    process& target = Find(other);
    Deliver(target, [this, &target, there] {
      if (target.mLinks.erase(there) == 0) {
        return;
      }
      if (target.mIsEntry) {
        target.mEntry->OnPeerDown(there, mNow);
      } else {
        target.mGuard->OnPeerDown(there, mNow);
      }
    });
  });
}

void
world::Disconnect(process& aProcess, bool aTellPeers)
{
  aProcess.mAlive = false;
  history_event event;
  event.mKind = event_kind::Stopped;
  event.mProcess = aProcess.mName;
  Record(event);
  std::vector<uint64_t> links;
  for (const auto& [peer, number] : aProcess.mLinks) {
    links.push_back(number);
  }
  for (uint64_t link : links) {
    CloseLink(link, aProcess.mName, aTellPeers);
  }
  aProcess.mLinks.clear();
  if (aProcess.mIsEntry) {
    LoseCallers(aProcess.mName);
  }
}

void
world::Kill(const std::string& aName)
{
  NoteFault();
  Disconnect(Find(aName), true);
}

void
world::LoseMachine(const std::string& aName)
{
  NoteFault();
  process& lost = Find(aName);
  Disconnect(lost, false);
  if (!lost.mIsEntry) {
    lost.mServer.mAlive = false;
    lost.mServer.mLife++;
    lost.mServer.mRunning.clear();
  }
}

void
world::Restart(const std::string& aName)
{
  process& again = Find(aName);
  if (again.mAlive && again.mDraining) {
    // The replacement starts when the old process has exited.
    At(mNow + milliseconds(500), [this, aName] { Restart(aName); });
    return;
  }
  if (again.mAlive) {
    return;
  }
  again.mServer.mAlive = true;
  Boot(again);
  if (!again.mIsEntry) {
    history_event event;
    event.mKind = event_kind::Joined;
    event.mProcess = "backend-" + std::to_string(again.mNumber);
    Record(event);
  }
}

void
world::Pause(const std::string& aName)
{
  NoteFault();
  Find(aName).mPaused = true;
}

void
world::Resume(const std::string& aName)
{
  process& woken = Find(aName);
  if (!woken.mPaused || !woken.mAlive) {
    return;
  }
  woken.mPaused = false;
  std::vector<std::function<void()>> inputs = std::move(woken.mDeferred);
  woken.mDeferred.clear();
  // A woken process reads all that waits in its sockets before it gets to its
  // own timers.
  for (std::function<void()>& input : inputs) {
    input();
  }
  Deliver(woken, [] {});
}

void
world::Drain(const std::string& aName)
{
  process& leaving = Find(aName);
  if (!leaving.mAlive || leaving.mDraining) {
    return;
  }
  leaving.mDraining = true;
  history_event event;
  event.mKind = event_kind::PlannedStop;
  event.mProcess = aName;
  Record(event);
  if (leaving.mIsEntry) {
    leaving.mEntry->BeginDrain(mNow);
    return;
  }
  event.mKind = event_kind::Left;
  event.mProcess = "backend-" + std::to_string(leaving.mNumber);
  Record(event);
  leaving.mGuard->BeginDrain(mNow);
}

void
world::Silence(const std::string& aLeft, const std::string& aRight)
{
  NoteFault();
  for (auto& [number, one] : mPipes) {
    bool between = (one->mLeft == aLeft && one->mRight == aRight) ||
                   (one->mLeft == aRight && one->mRight == aLeft);
    if (between && one->mOpen) {
      one->mSilent = true;
    }
  }
}

void
world::Block(const std::string& aFrom, const std::string& aTo)
{
  NoteFault();
  mBlocked.insert({ aFrom, aTo });
}

void
world::Unblock(const std::string& aFrom, const std::string& aTo)
{
  mBlocked.erase({ aFrom, aTo });
  for (auto& [number, one] : mPipes) {
    if (!one->mOpen || one->mSilent) {
      continue;
    }
    std::vector<std::pair<std::string, message>> kept;
    for (auto& [sender, held] : one->mHeld) {
      const std::string& to = one->mLeft == sender ? one->mRight : one->mLeft;
      if (Blocked(sender, to)) {
        kept.emplace_back(sender, std::move(held));
      } else {
        fake_network::Transmit(*this, number, sender, std::move(held));
      }
    }
    one->mHeld = std::move(kept);
  }
}

void
world::Delay(const std::string& aFrom, const std::string& aTo, duration aBy)
{
  NoteFault();
  mDelays[{ aFrom, aTo }] = aBy;
}

void
world::PushOldConfig(uint64_t aVersion)
{
  NoteFault();
  wire::config_push_msg push;
  push.version = aVersion;
  push.document = mDocuments[aVersion];
  for (auto& [number, one] : mPipes) {
    if (one->mOpen && !one->mSilent) {
      fake_network::Transmit(
        *this, number, one->mLeft, MakeMessage(wire::config_push_msg(push)));
      fake_network::Transmit(
        *this, number, one->mRight, MakeMessage(wire::config_push_msg(push)));
    }
  }
}

void
world::NoteFault()
{
  history_event event;
  event.mKind = event_kind::Fault;
  Record(event);
}

void
world::WithdrawBackend(uint32_t aGuard)
{
  process& beside = Find("guard-" + std::to_string(aGuard));
  beside.mServer.mAnnounced = false;
  history_event event;
  event.mKind = event_kind::Left;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
  Deliver(beside, [this, &beside] { beside.mGuard->Withdraw(mNow); });
}

void
world::KillBackend(uint32_t aGuard)
{
  NoteFault();
  process& beside = Find("guard-" + std::to_string(aGuard));
  beside.mServer.mAlive = false;
  beside.mServer.mLife++;
  history_event event;
  event.mKind = event_kind::Left;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
  beside.mBackend->LoseAll();
}

void
world::AnnounceBackend(uint32_t aGuard)
{
  process& beside = Find("guard-" + std::to_string(aGuard));
  beside.mServer.mAlive = true;
  beside.mServer.mAnnounced = true;
  history_event event;
  event.mKind = event_kind::Joined;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
}

void
world::SetBackend(uint32_t aGuard, double aSpeed, double aFail)
{
  backend_state& server = Find("guard-" + std::to_string(aGuard)).mServer;
  server.mSpeed = aSpeed;
  server.mFail = aFail;
}

void
world::SetSlots(uint32_t aGuard, uint32_t aSlots)
{
  Find("guard-" + std::to_string(aGuard)).mServer.mSlots = aSlots;
}

void
world::SetAccelerators(uint32_t aGuard, uint32_t aCount)
{
  Find("guard-" + std::to_string(aGuard)).mServer.mAccelerators = aCount;
}

void
world::Submit(const caller_request& aRequest)
{
  uint64_t id = mNextRequest++;
  open_request& open = mRequests[id];
  open.mId = id;
  open.mRequest = aRequest;
  SendSubmit(open);
}

void
world::SendSubmit(open_request& aRequest)
{
  const caller_request& wanted = aRequest.mRequest;
  // The balancer passes over entries that are known to be gone.
  process* entry = nullptr;
  for (uint32_t i = 0; i < mOptions.mEntries && entry == nullptr; i++) {
    uint32_t number = (wanted.mEntry - 1 + i) % mOptions.mEntries + 1;
    process& candidate = Find("entry-" + std::to_string(number));
    if (candidate.mAlive && !candidate.mDraining) {
      entry = &candidate;
    }
  }
  uint64_t id = aRequest.mId;
  history_event event;
  event.mKind = event_kind::Submit;
  event.mRequest = id;
  event.mKey = wanted.mKey;
  event.mCount = wanted.mTasks;
  event.mIdempotent = wanted.mProfile != "confirm-cut";
  Record(event);
  if (entry == nullptr) {
    aRequest.mOver = true;
    event.mKind = event_kind::Refuse;
    event.mText = "no_entry";
    event.mRun = "not_run";
    Record(event);
    Retry(id, seconds(1));
    return;
  }
  aRequest.mEntry = entry->mName;
  submission made;
  made.mTeam = wanted.mTeam;
  made.mKey = wanted.mKey;
  made.mProfile = wanted.mProfile;
  made.mId = entry->mEntry->IdentityOf(made.mTeam, made.mKey);
  for (uint32_t i = 0; i < wanted.mTasks; i++) {
    made.mPayloads.push_back(MakePayload(wanted.mKey, i, wanted.mRun));
  }
  duration wait = wanted.mWait;
  At(mNow + mOptions.mLatency, [this, entry, id, made, wait] {
    Deliver(*entry, [this, entry, id, made, wait] {
      entry->mEntry->Submit(id, made, wait, mNow);
    });
  });
}

void
world::Cancel(const std::string& aKey, uint32_t aEntry)
{
  process& entry = Find("entry-" + std::to_string(aEntry));
  // The cancelling caller's own reply is not part of the history.
  constexpr uint64_t kCancelling = 1u << 30;
  job_id id = entry.mEntry->IdentityOf("members", aKey);
  entry.mEntry->Cancel(
    kCancelling + mNextRequest++, "members", id, seconds(5), mNow);
}

void
world::Retry(uint64_t aId, duration aAfter)
{
  const caller_request again = mRequests[aId].mRequest;
  uint32_t attempts = 0;
  for (const auto& [id, request] : mRequests) {
    attempts += request.mRequest.mKey == again.mKey ? 1 : 0;
  }
  bool over = mNow >= mOptions.mRetryUntil;
  if (!again.mPersistent || attempts >= kMaxAttempts || over) {
    return;
  }
  At(mNow + std::max<duration>(kMinRetry, aAfter), [this, again] {
    caller_request next = again;
    next.mEntry = next.mEntry % mOptions.mEntries + 1;
    Submit(next);
  });
}

void
world::OnReply(uint64_t aId, const wire::job_reply_msg& aReply)
{
  auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  found->second.mOver = true;
  history_event event;
  event.mRequest = aId;
  event.mKey = found->second.mRequest.mKey;
  bool answered =
    aReply.error == 0 && aReply.state != uint8_t(job_state::Running);
  event.mKind = answered ? event_kind::Answer : event_kind::Refuse;
  if (answered) {
    event.mText = Name(job_state(aReply.state));
    for (const wire::task_result_msg& task : aReply.tasks) {
      event.mTasks.push_back({ std::string(Name(task_outcome(task.outcome))),
                               std::string(Name(run_state(task.run))),
                               task.output });
    }
  } else {
    event.mText = aReply.error == 0
                    ? "running"
                    : std::string(Name(error_code(aReply.error)));
    event.mRun =
      aReply.error == 0 ? "unknown" : std::string(Name(run_state(aReply.run)));
  }
  Record(event);
  if (!answered && aReply.retry_after_ms > 0) {
    Retry(aId, milliseconds(aReply.retry_after_ms));
  }
}

void
world::LoseCallers(const std::string& aEntry)
{
  std::vector<uint64_t> lost;
  for (auto& [id, request] : mRequests) {
    if (!request.mOver && request.mEntry == aEntry) {
      request.mOver = true;
      lost.push_back(id);
    }
  }
  for (uint64_t id : lost) {
    // The caller knows only that its connection broke.
    history_event event;
    event.mKind = event_kind::Refuse;
    event.mRequest = id;
    event.mKey = mRequests[id].mRequest.mKey;
    event.mText = "connection_lost";
    event.mRun = "unknown";
    Record(event);
    Retry(id, kMinRetry);
  }
}

void
world::PutProfile(uint32_t aEntry,
                  const profile& aProfile,
                  uint64_t aExpectedRevision)
{
  process& entry = Find("entry-" + std::to_string(aEntry));
  config_change change;
  change.mToken = mNextRequest++;
  change.mProfile = aProfile;
  change.mExpectedRevision = aExpectedRevision;
  change.mWho = "operator";
  change.mReason = "test";
  change.mOperation = "operation-" + std::to_string(change.mToken);
  Deliver(entry,
          [this, &entry, change] { entry.mEntry->Change(change, mNow); });
}

std::vector<std::string>
world::Answers(const std::string& aKey) const
{
  std::vector<std::string> answers;
  for (const history_event& event : mHistory) {
    if (event.mKey != aKey) {
      continue;
    }
    if (event.mKind == event_kind::Answer) {
      answers.push_back(event.mText);
    } else if (event.mKind == event_kind::Refuse) {
      answers.push_back("refused:" + event.mText);
    }
  }
  return answers;
}

uint32_t
world::Starts(const std::string& aKey) const
{
  return uint32_t(std::count_if(
    mHistory.begin(), mHistory.end(), [&aKey](const history_event& aEvent) {
      return aEvent.mKind == event_kind::Start && aEvent.mKey == aKey;
    }));
}

uint64_t
world::StartsAt(uint32_t aGuard) const
{
  return mProcesses.at("guard-" + std::to_string(aGuard))->mServer.mStarts;
}

uint32_t
world::ActiveRequests() const
{
  return uint32_t(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return !aEntry.second.mOver;
    }));
}

} // namespace cactusmast::testing
