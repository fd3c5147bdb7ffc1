// Faults in a sized_world, and actions of its operators.

#include "cactusmast/testing/sized_world_parts.h"

namespace cactusmast::testing {
namespace {

// Both sides close a connection over which nothing has come for this long.
constexpr duration kLinkTimeout = milliseconds(3000);

} // namespace

void
sized_world::Evacuate(const std::string& aDataCenter)
{
  mStore.mVersion++;
  mStore.mDataCenters.insert(aDataCenter);
  mEvacuatedAt[aDataCenter] = mNow;
}

void
sized_world::EndEvacuation(const std::string& aDataCenter)
{
  mStore.mVersion++;
  mStore.mDataCenters.erase(aDataCenter);
  mEvacuatedAt.erase(aDataCenter);
}

void
sized_world::CutFromStore(size_t aEntry, duration aSpan)
{
  mEntries[aEntry]->mStoreBackAt = mNow + aSpan;
}

void
sized_world::StopStore(duration aSpan)
{
  mStoreBackAt = mNow + aSpan;
}

void
sized_world::Cut(size_t aEntry, size_t aServer, duration aSpan)
{
  mCuts[{ aEntry, aServer }] = mNow + aSpan;
  if (aSpan < kLinkTimeout) {
    return;
  }
  for (const auto& [id, connection] : mLinks) {
    if (connection.mEntry == aEntry && connection.mServer == aServer) {
      At(kLinkTimeout, [this, id = id] { TimeOutLink(id); });
    }
  }
}

void
sized_world::CutEntries(size_t aEntry, size_t aOther, duration aSpan)
{
  mEntryCuts[{ aEntry, aOther }] = mNow + aSpan;
}

void
sized_world::TimeOutLink(peer_id aLink)
{
  link connection = mLinks.at(aLink);
  if (!connection.mUp) {
    return;
  }
  mLinks.at(aLink).mUp = false;
  mLinks.at(aLink).mEntryOpen = false;
  mLinks.at(aLink).mExecutorOpen = false;
  if (mEntries[connection.mEntry]->mIncarnation ==
      connection.mEntryIncarnation) {
    Deliver(false, connection.mEntry, [this, aLink, connection] {
      Coordinator(connection.mEntry).OnExecutorDown(aLink, mNow);
    });
  }
  if (mExecutors[connection.mServer]->mIncarnation ==
      connection.mExecutorIncarnation) {
    Deliver(true, connection.mServer, [this, aLink, connection] {
      Executor(connection.mServer).OnEntryDown(aLink, mNow);
    });
  }
}

void
sized_world::KillEntry(size_t aEntry, duration aDown)
{
  entry& killed = *mEntries[aEntry];
  killed.mUp = false;
  for (auto& [id, connection] : mLinks) {
    if (connection.mUp && connection.mEntry == aEntry &&
        connection.mEntryIncarnation == killed.mIncarnation) {
      CloseLink(id, false, true);
    }
  }
  for (size_t i = 0; i < mCallers.size(); i++) {
    caller_record& caller = mCallers[i];
    if (caller.mEntry != aEntry || caller.mAnswered || caller.mLost) {
      continue;
    }
    caller.mLost = true;
    uint64_t job = caller.mJob;
    At(kResubmitDelay,
       [this, job, aEntry] { Resubmit(job, (aEntry + 1) % mEntries.size()); });
  }
  At(aDown, [this, aEntry] {
    mEntries[aEntry] = std::make_unique<entry>(*this, aEntry);
  });
}

void
sized_world::KillExecutor(size_t aServer, duration aDown)
{
  executor& killed = *mExecutors[aServer];
  killed.mUp = false;
  for (auto& [id, connection] : mLinks) {
    if (connection.mUp && connection.mServer == aServer &&
        connection.mExecutorIncarnation == killed.mIncarnation) {
      CloseLink(id, true, false);
    }
  }
  At(aDown, [this, aServer] {
    mExecutors[aServer] = std::make_unique<executor>(*this, aServer);
  });
}

void
sized_world::PauseEntry(size_t aEntry, duration aSpan)
{
  mEntries[aEntry]->mPausedUntil = mNow + aSpan;
}

void
sized_world::PauseExecutor(size_t aServer, duration aSpan)
{
  mExecutors[aServer]->mPausedUntil = mNow + aSpan;
}

void
sized_world::DrainExecutor(size_t aServer)
{
  mExecutors[aServer]->mCore->Drain(mNow);
}

void
sized_world::DrainServer(size_t aServer)
{
  mServers[aServer]->mDraining = true;
  mExecutors[aServer]->mNextAnnouncement = mNow;
}

} // namespace cactusmast::testing
