// The fakes of a world: its network, table, backend servers and callers, and
// the event sinks and random numbers of its processes. Included only by the
// source files of world.

#ifndef CACTUSMAST_TESTING_WORLD_FAKES_H_
#define CACTUSMAST_TESTING_WORLD_FAKES_H_

#include <algorithm>
#include <string>

#include "cactusmast/testing/world.h"

namespace cactusmast::testing {

namespace detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of a read until it is performed, and of every reply.
constexpr milliseconds kTableLatency{ 2 };
// Of a commit until it takes effect.
constexpr milliseconds kTableCommitLatency{ 4 };
// Until an operation that gets no reply is reported as Unavailable.
constexpr milliseconds kTableTimeout{ 1000 };

// The content of a task's payload.
struct parsed_payload
{
  std::string mKey;    // of the job
  uint32_t mIndex = 0; // of the task within the job
  duration mRun{};     // run time at speed 1
};

std::string
MakePayload(const std::string& aKey, uint32_t aIndex, duration aRun);

parsed_payload
ParsePayload(const std::string& aText);

} // namespace detail

// A bidirectional connection between two processes. A silent connection loses
// everything that is sent over it. Messages in a blocked direction are held
// until it is unblocked, as by TCP, which resends them.
struct world::connection
{
  std::string mLeft;
  std::string mRight;
  uint64_t mLeftIncarnation = 0;
  uint64_t mRightIncarnation = 0;
  peer_id mPeerAtLeft = 0;  // id of the right end in the left process
  peer_id mPeerAtRight = 0; // id of the left end in the right process
  bool mSilent = false;
  bool mOpen = true; // false once one end has closed it
  std::vector<std::pair<std::string, message>>
    mBlockedMessages; // sender, message
  std::map<std::string, instant>
    mLastArrival; // by sender; keeps messages in order
};

// The backend server beside a guard.
struct backend_state
{
  bool mAlive = true;
  bool mAnnounced = true;  // false after a withdrawal
  double mSpeed = 1;       // divides the run time of tasks
  double mFailureRate = 0; // probability that a task fails, 0 to 1
  uint32_t mSlots = 4;
  uint32_t mAccelerators = 0;
  uint64_t mIncarnation = 1;
  std::vector<task_ref> mRunning;
  uint64_t mStarts = 0; // tasks started since the beginning of the run
};

// An entry or a guard; a guard has its backend server beside it.
struct world::process
{
  std::string mName;
  bool mIsEntry = true;
  uint32_t mNumber = 0; // from 1, among the entries or the guards
  bool mAlive = false;
  bool mPaused = false;
  uint64_t mIncarnation = 0;
  std::vector<std::function<void()>> mDeferredInputs; // while it is paused
  std::map<peer_id, uint64_t> mConnectionIds;         // by peer
  std::unique_ptr<fake_network> mNetwork;
  std::unique_ptr<fake_table> mTable;
  std::unique_ptr<fake_events> mEvents;
  std::unique_ptr<fake_random> mRandom;
  std::unique_ptr<fake_callers> mCallers;
  std::unique_ptr<fake_backend> mBackend;
  std::unique_ptr<entry_node> mEntry; // null in a guard
  std::unique_ptr<guard_node> mGuard; // null in an entry
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
    auto found = mSelf.mConnectionIds.find(aPeer);
    if (found == mSelf.mConnectionIds.end()) {
      return;
    }
    uint64_t id = found->second;
    connection& link = *mWorld.mConnections.at(id);
    const std::string& to =
      link.mLeft == mSelf.mName ? link.mRight : link.mLeft;
    if (mWorld.mOptions.mCountBytes) {
      std::string frame;
      EncodeFrame(aMessage, &frame);
      mWorld.mBytesSent[mSelf.mName] += frame.size();
      mWorld.mBytesReceived[to] += frame.size();
    }
    if (link.mSilent || !link.mOpen) {
      return;
    }
    if (mWorld.IsBlocked(mSelf.mName, to)) {
      link.mBlockedMessages.emplace_back(mSelf.mName, std::move(aMessage));
      return;
    }
    Transmit(mWorld, id, mSelf.mName, std::move(aMessage));
  }

  static void Transmit(world& aWorld,
                       uint64_t aConnection,
                       const std::string& aFrom,
                       message aMessage)
  {
    connection& link = *aWorld.mConnections.at(aConnection);
    std::string to = link.mLeft == aFrom ? link.mRight : link.mLeft;
    auto delay = aWorld.mDelays.find({ aFrom, to });
    instant arrival =
      aWorld.mNow + aWorld.mOptions.mLatency +
      (delay == aWorld.mDelays.end() ? duration(0) : delay->second);
    instant& last = link.mLastArrival[aFrom];
    arrival = std::max(arrival, last);
    last = arrival;
    auto carried = std::make_shared<message>(std::move(aMessage));
    aWorld.At(arrival, [&aWorld, aConnection, to, carried] {
      auto found = aWorld.mConnections.find(aConnection);
      if (found == aWorld.mConnections.end() || found->second->mSilent) {
        return;
      }
      process& target = aWorld.Find(to);
      connection& current = *found->second;
      peer_id peer =
        current.mLeft == to ? current.mPeerAtLeft : current.mPeerAtRight;
      aWorld.Deliver(target, [&aWorld, &target, peer, carried] {
        if (target.mConnectionIds.count(peer) == 0) {
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
    auto found = mSelf.mConnectionIds.find(aPeer);
    if (found != mSelf.mConnectionIds.end()) {
      mWorld.CloseConnection(found->second, mSelf.mName, true);
    }
  }

  void Connect(const std::string& aAddress) override
  {
    auto found = mWorld.mProcesses.find(aAddress);
    if (found == mWorld.mProcesses.end()) {
      return;
    }
    process& target = *found->second;
    for (const auto& [peer, id] : mSelf.mConnectionIds) {
      connection& existing = *mWorld.mConnections.at(id);
      bool same = existing.mLeft == aAddress || existing.mRight == aAddress;
      if (same && existing.mOpen) {
        return;
      }
    }
    bool reachable = target.mAlive && !target.mPaused &&
                     !mWorld.IsBlocked(mSelf.mName, aAddress) &&
                     !mWorld.IsBlocked(aAddress, mSelf.mName);
    if (!reachable) {
      return;
    }
    uint64_t id = mWorld.mNextConnection++;
    auto created = std::make_unique<connection>();
    created->mLeft = mSelf.mName;
    created->mRight = aAddress;
    created->mLeftIncarnation = mSelf.mIncarnation;
    created->mRightIncarnation = target.mIncarnation;
    created->mPeerAtLeft = mWorld.mNextPeer++;
    created->mPeerAtRight = mWorld.mNextPeer++;
    peer_id localPeer = created->mPeerAtLeft;
    peer_id remotePeer = created->mPeerAtRight;
    mWorld.mConnections[id] = std::move(created);
    mSelf.mConnectionIds[localPeer] = id;
    target.mConnectionIds[remotePeer] = id;
    SchedulePeerUp(mSelf, localPeer, target);
    SchedulePeerUp(target, remotePeer, mSelf);
  }

private:
  // Reports the connection to aOther to aTo, after the time of the handshake.
  void SchedulePeerUp(process& aTo, peer_id aPeer, process& aOther)
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
                 if (to->mConnectionIds.count(aPeer) == 0) {
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
    uint64_t request = ++mWorld.mLastTableRequest;
    mWorld.mTableReads++;
    ScheduleReply(
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
    uint64_t request = ++mWorld.mLastTableRequest;
    ScheduleReply(request, detail::kTableCommitLatency, [this, aWrites] {
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
      if (uniform(mWorld.mRandom) < mWorld.mTableFaults.mLostReplyRate) {
        reply.mStatus = table_status::Unavailable;
      }
      return reply;
    });
    return request;
  }

private:
  // Performs aOperation after aLatency and then delivers its reply. If the
  // table is unavailable by then, the operation is not performed and the reply
  // is Unavailable.
  void ScheduleReply(uint64_t aRequest,
                     duration aLatency,
                     std::function<table_reply()> aOperation)
  {
    uint64_t incarnation = mSelf.mIncarnation;
    instant arrival = mWorld.mNow + aLatency + mWorld.mTableFaults.mExtraDelay;
    mWorld.At(arrival, [this, aRequest, aOperation, incarnation] {
      table_reply reply;
      bool unavailable =
        mWorld.mTableFaults.mDown || mWorld.IsBlocked(mSelf.mName, "table");
      if (!unavailable) {
        reply = aOperation();
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
      ScheduleEnd(aTask.mRef,
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
    bool fails = uniform(mWorld.mRandom) < server.mFailureRate;
    duration run(int64_t(double(payload.mRun.count()) / server.mSpeed));
    task_completion end{ aTask.mRef,
                         fails ? task_outcome::Failed : task_outcome::Succeeded,
                         run_state::Run,
                         fails ? task_reason::BackendError : task_reason::None,
                         fails ? ""
                               : ExpectedOutput(payload.mKey, payload.mIndex) };
    ScheduleEnd(aTask.mRef,
                mWorld.mNow + (fails ? duration(detail::milliseconds(1)) : run),
                end);
  }

  void Cancel(const task_ref& aRef) override { RemoveRunning(aRef); }

  // The backend server has ended.
  void FailRunning()
  {
    std::vector<task_ref> lost = std::move(mSelf.mServer.mRunning);
    mSelf.mServer.mRunning.clear();
    for (const task_ref& ref : lost) {
      ReportEnd({ ref,
                  task_outcome::Failed,
                  run_state::Unknown,
                  task_reason::BackendLost,
                  "" });
    }
  }

private:
  // Returns whether the task was running.
  bool RemoveRunning(const task_ref& aRef)
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

  // Reports aEnd at aWhen, unless by then the task was cancelled, the backend
  // server has ended or the guard was restarted.
  void ScheduleEnd(const task_ref& aRef,
                   instant aWhen,
                   const task_completion& aEnd)
  {
    uint64_t incarnation = mSelf.mIncarnation;
    uint64_t serverIncarnation = mSelf.mServer.mIncarnation;
    mWorld.At(aWhen, [this, aRef, aEnd, incarnation, serverIncarnation] {
      bool ran = aEnd.mOutcome != task_outcome::Refused;
      if (mSelf.mServer.mIncarnation != serverIncarnation ||
          (ran && !RemoveRunning(aRef))) {
        return;
      }
      if (mSelf.mIncarnation == incarnation) {
        ReportEnd(aEnd);
      }
    });
  }

  void ReportEnd(const task_completion& aEnd)
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

  void OnChangeDone(const change_outcome& aOutcome) override
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
