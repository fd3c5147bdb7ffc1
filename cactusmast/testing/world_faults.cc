// What a scenario does to processes, connections and backend servers.

#include "cactusmast/testing/world.h"
#include "cactusmast/testing/world_fakes.h"

namespace cactusmast::testing {

using namespace detail;

void
world::Disconnect(process& aProcess, bool aTellPeers)
{
  aProcess.mAlive = false;
  history_event event;
  event.mKind = event_kind::ProcessStopped;
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
    event.mKind = event_kind::Announced;
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
  event.mKind = event_kind::DrainBegan;
  event.mProcess = aName;
  Record(event);
  if (leaving.mIsEntry) {
    leaving.mEntry->BeginDrain(mNow);
    return;
  }
  event.mKind = event_kind::Withdrawn;
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
  event.mKind = event_kind::Withdrawn;
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
  event.mKind = event_kind::Withdrawn;
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
  event.mKind = event_kind::Announced;
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

} // namespace cactusmast::testing
