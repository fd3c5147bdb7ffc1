// The fakes behind a world: its network, table, backend servers, callers, and
// the events and random numbers of its processes. For world's own files only.

#ifndef CACTUSMAST_TESTING_WORLD_FAKES_H_
#define CACTUSMAST_TESTING_WORLD_FAKES_H_

#include <algorithm>
#include <string>

#include "cactusmast/testing/world.h"

namespace cactusmast::testing {

namespace detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTableLatency{ 2 };
constexpr milliseconds kTableSync{ 4 };
constexpr milliseconds kTableTimeout{ 1000 };

// What a task's payload says: its job's key, its index and its run time.
struct parsed_payload
{
  std::string mKey;
  uint32_t mIndex = 0;
  duration mRun{};
};

std::string
MakePayload(const std::string& aKey, uint32_t aIndex, duration aRun);

parsed_payload
ParsePayload(const std::string& aText);

} // namespace detail

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
    Perform(
      request, detail::kTableLatency, [this, aPrefix, aLimit, aNewestFirst] {
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
    Perform(request, detail::kTableSync, [this, aWrites] {
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
                        ? duration(detail::kTableTimeout)
                        : duration(detail::kTableLatency);
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
    detail::parsed_payload payload = detail::ParsePayload(aTask.mPayload);
    history_event event;
    event.mKind = event_kind::TaskStarted;
    event.mProcess = "backend-" + std::to_string(mSelf.mNumber);
    event.mKey = payload.mKey;
    event.mIndex = payload.mIndex;
    mWorld.Record(event);
    server.mStarts++;
    server.mRunning.push_back(aTask.mRef);
    std::uniform_real_distribution<double> uniform(0, 1);
    bool fails = uniform(mWorld.mRandom) < server.mFail;
    duration run(int64_t(double(payload.mRun.count()) / server.mSpeed));
    task_completion end{ aTask.mRef,
                         fails ? task_outcome::Failed : task_outcome::Succeeded,
                         run_state::Run,
                         fails ? task_reason::BackendError : task_reason::None,
                         fails ? ""
                               : ExpectedOutput(payload.mKey, payload.mIndex) };
    End(aTask.mRef,
        mWorld.mNow + (fails ? duration(detail::milliseconds(1)) : run),
        end);
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

  void End(const task_ref& aRef, instant aWhen, const task_completion& aEnd)
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

  void Tell(const task_completion& aEnd)
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
      event.mKind = event_kind::ConfigAccepted;
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
    event.mKind = event_kind::ConfigInForce;
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

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_WORLD_FAKES_H_
