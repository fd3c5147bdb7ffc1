// Faults and drains of processes, connections and backend servers in a world.

#include "cactusmast/testing/world.h"
#include "cactusmast/testing/world_fakes.h"

namespace cactusmast::testing {

using namespace detail;

void
world::StopProcess(process& aProcess, bool aNotifyPeers)
{
  aProcess.mAlive = false;
  history_event event;
  event.mKind = event_kind::ProcessStopped;
  event.mProcess = aProcess.mName;
  Record(event);
  std::vector<uint64_t> ids;
  for (const auto& [peer, id] : aProcess.mConnectionIds) {
    ids.push_back(id);
  }
  for (uint64_t id : ids) {
    CloseConnection(id, aProcess.mName, aNotifyPeers);
  }
  aProcess.mConnectionIds.clear();
  if (aProcess.mIsEntry) {
    DisconnectCallers(aProcess.mName);
  }
}

void
world::Kill(const std::string& aName)
{
  RecordFault();
  StopProcess(Find(aName), true);
}

void
world::FailMachine(const std::string& aName)
{
  RecordFault();
  process& lost = Find(aName);
  StopProcess(lost, false);
  if (!lost.mIsEntry) {
    lost.mServer.mAlive = false;
    lost.mServer.mIncarnation++;
    lost.mServer.mRunning.clear();
  }
}

void
world::Restart(const std::string& aName)
{
  process& restarted = Find(aName);
  if (restarted.mAlive && restarted.mDraining) {
    // The replacement starts when the old process has exited.
    At(mNow + milliseconds(500), [this, aName] { Restart(aName); });
    return;
  }
  if (restarted.mAlive) {
    return;
  }
  restarted.mServer.mAlive = true;
  StartProcess(restarted);
  if (!restarted.mIsEntry) {
    history_event event;
    event.mKind = event_kind::Announced;
    event.mProcess = "backend-" + std::to_string(restarted.mNumber);
    Record(event);
  }
}

void
world::Pause(const std::string& aName)
{
  RecordFault();
  Find(aName).mPaused = true;
}

void
world::Resume(const std::string& aName)
{
  process& resumed = Find(aName);
  if (!resumed.mPaused || !resumed.mAlive) {
    return;
  }
  resumed.mPaused = false;
  std::vector<std::function<void()>> inputs =
    std::move(resumed.mDeferredInputs);
  resumed.mDeferredInputs.clear();
  // A resumed process reads all that is waiting in its sockets before its
  // timers run.
  for (std::function<void()>& input : inputs) {
    input();
  }
  Deliver(resumed, [] {});
}

void
world::Drain(const std::string& aName)
{
  process& drained = Find(aName);
  if (!drained.mAlive || drained.mDraining) {
    return;
  }
  drained.mDraining = true;
  history_event event;
  event.mKind = event_kind::DrainBegan;
  event.mProcess = aName;
  Record(event);
  if (drained.mIsEntry) {
    drained.mEntry->BeginDrain(mNow);
    return;
  }
  event.mKind = event_kind::Withdrawn;
  event.mProcess = "backend-" + std::to_string(drained.mNumber);
  Record(event);
  drained.mGuard->BeginDrain(mNow);
}

void
world::LoseMessages(const std::string& aLeft, const std::string& aRight)
{
  RecordFault();
  for (auto& [id, link] : mConnections) {
    bool between = (link->mLeft == aLeft && link->mRight == aRight) ||
                   (link->mLeft == aRight && link->mRight == aLeft);
    if (between && link->mOpen) {
      link->mSilent = true;
    }
  }
}

void
world::Block(const std::string& aFrom, const std::string& aTo)
{
  RecordFault();
  mBlockedDirections.insert({ aFrom, aTo });
}

void
world::Unblock(const std::string& aFrom, const std::string& aTo)
{
  mBlockedDirections.erase({ aFrom, aTo });
  for (auto& [id, link] : mConnections) {
    if (!link->mOpen || link->mSilent) {
      continue;
    }
    std::vector<std::pair<std::string, message>> stillBlocked;
    for (auto& [sender, pending] : link->mBlockedMessages) {
      const std::string& to =
        link->mLeft == sender ? link->mRight : link->mLeft;
      if (IsBlocked(sender, to)) {
        stillBlocked.emplace_back(sender, std::move(pending));
      } else {
        fake_network::Transmit(*this, id, sender, std::move(pending));
      }
    }
    link->mBlockedMessages = std::move(stillBlocked);
  }
}

void
world::Delay(const std::string& aFrom, const std::string& aTo, duration aBy)
{
  RecordFault();
  mDelays[{ aFrom, aTo }] = aBy;
}

void
world::PushOldConfig(uint64_t aVersion)
{
  RecordFault();
  wire::config_push_msg push;
  push.version = aVersion;
  push.document = mDocuments[aVersion];
  for (auto& [id, link] : mConnections) {
    if (link->mOpen && !link->mSilent) {
      fake_network::Transmit(
        *this, id, link->mLeft, MakeMessage(wire::config_push_msg(push)));
      fake_network::Transmit(
        *this, id, link->mRight, MakeMessage(wire::config_push_msg(push)));
    }
  }
}

void
world::RecordFault()
{
  history_event event;
  event.mKind = event_kind::Fault;
  Record(event);
}

void
world::WithdrawBackend(uint32_t aGuard)
{
  process& guard = Find("guard-" + std::to_string(aGuard));
  guard.mServer.mAnnounced = false;
  history_event event;
  event.mKind = event_kind::Withdrawn;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
  Deliver(guard, [this, &guard] { guard.mGuard->Withdraw(mNow); });
}

void
world::KillBackend(uint32_t aGuard)
{
  RecordFault();
  process& guard = Find("guard-" + std::to_string(aGuard));
  guard.mServer.mAlive = false;
  guard.mServer.mIncarnation++;
  history_event event;
  event.mKind = event_kind::Withdrawn;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
  guard.mBackend->FailRunning();
}

void
world::AnnounceBackend(uint32_t aGuard)
{
  process& guard = Find("guard-" + std::to_string(aGuard));
  guard.mServer.mAlive = true;
  guard.mServer.mAnnounced = true;
  history_event event;
  event.mKind = event_kind::Announced;
  event.mProcess = "backend-" + std::to_string(aGuard);
  Record(event);
}

void
world::SetBackendBehaviour(uint32_t aGuard, double aSpeed, double aFailureRate)
{
  backend_state& server = Find("guard-" + std::to_string(aGuard)).mServer;
  server.mSpeed = aSpeed;
  server.mFailureRate = aFailureRate;
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

} // namespace cactusmast::testing
