// The processes of a sized_world: the cores of entries and executors, with the
// connections between them.

#ifndef CACTUSMAST_TESTING_SIZED_WORLD_PARTS_H_
#define CACTUSMAST_TESTING_SIZED_WORLD_PARTS_H_

#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {

struct sized_world::entry
  : public coordinator_links
  , public job_answers
  , public random_source
{
  entry(sized_world& aWorld, size_t aIndex)
    : mWorld(aWorld)
    , mIndex(aIndex)
    , mIncarnation(aWorld.mNextIncarnation++)
    , mCore(std::make_unique<job_coordinator>("entry" + std::to_string(aIndex),
                                              aWorld.DataCenterOf(aIndex),
                                              *this,
                                              *this,
                                              *this,
                                              aWorld.mEvents,
                                              aWorld.mMechanisms,
                                              aWorld.mOverload))
  {
  }

  void SendDispatch(peer_id aExecutor, wire::start_tasks_msg aDispatch) override
  {
    mWorld.Send(aExecutor, true, [world = &mWorld, aExecutor, aDispatch] {
      const link& connection = world->mLinks.at(aExecutor);
      world->Executor(connection.mServer)
        .OnStartTasks(aExecutor, aDispatch, world->mNow);
    });
  }
  void SendStop(peer_id aExecutor, wire::stop_tasks_msg aStop) override
  {
    mWorld.Send(aExecutor, true, [world = &mWorld, aExecutor, aStop] {
      const link& connection = world->mLinks.at(aExecutor);
      world->Executor(connection.mServer)
        .OnStopTasks(aExecutor, aStop, world->mNow);
    });
  }
  void Subscribe(peer_id aExecutor, bool aWanted) override
  {
    mWorld.Send(aExecutor, true, [world = &mWorld, aExecutor, aWanted] {
      const link& connection = world->mLinks.at(aExecutor);
      world->Executor(connection.mServer).OnSubscription(aExecutor, aWanted);
    });
  }
  void SendEvacuations(peer_id aExecutor) override
  {
    std::shared_ptr<wire::evacuations_msg> evacuations =
      EncodeEvacuations(mCore->Evacuations(), mWorld.mNow);
    mWorld.Send(aExecutor, true, [world = &mWorld, aExecutor, evacuations] {
      const link& connection = world->mLinks.at(aExecutor);
      world->Executor(connection.mServer)
        .OnEvacuations(DecodeEvacuations(evacuations.get(), world->mNow),
                       world->mNow);
    });
  }
  void Close(peer_id aExecutor) override
  {
    mWorld.mClosedLinks++;
    mWorld.CloseLink(aExecutor, false, true);
  }
  void Answer(caller_id aCaller, const job_outcome& aOutcome) override
  {
    mWorld.OnAnswer(aCaller, aOutcome);
  }
  double NextUniform() override { return mWorld.Uniform(); }

  sized_world& mWorld;
  size_t mIndex;
  uint64_t mIncarnation;
  bool mUp = true;
  instant mPausedUntil{};
  instant mNextHeartbeat{};
  instant mNextLoad{};
  uint64_t mLoadSequence = 0;
  instant mStoreBackAt{}; // when the store replies to this entry again
  std::unique_ptr<job_coordinator> mCore;
};

struct sized_world::executor : public executor_links
{
  executor(sized_world& aWorld, size_t aIndex)
    : mWorld(aWorld)
    , mIndex(aIndex)
    , mIncarnation(aWorld.mNextIncarnation++)
    , mCore(std::make_unique<task_executor>(mIncarnation,
                                            "service",
                                            aWorld.DataCenterOf(aIndex),
                                            *this,
                                            *aWorld.mServers[aIndex],
                                            aWorld.mEvents,
                                            aWorld.mMechanisms))
  {
  }

  void Report(peer_id aEntry, const wire::server_report_msg& aReport) override
  {
    mWorld.Send(aEntry, false, [world = &mWorld, aEntry, aReport] {
      const link& connection = world->mLinks.at(aEntry);
      world->Coordinator(connection.mEntry)
        .OnReport(aEntry, aReport, world->mNow);
    });
  }
  void Close(peer_id aEntry) override
  {
    mWorld.mClosedLinks++;
    mWorld.CloseLink(aEntry, true, false);
  }

  sized_world& mWorld;
  size_t mIndex;
  uint64_t mIncarnation;
  bool mUp = true;
  instant mPausedUntil{};
  instant mNextAnnouncement{};
  std::unique_ptr<task_executor> mCore;
};

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SIZED_WORLD_PARTS_H_
