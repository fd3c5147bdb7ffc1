// Use of the announcement that an earlier executor process stored.

#include "cactusmast/task_executor.h"

#include "cactusmast/task_executor_limits.h"

namespace cactusmast {

using namespace detail;

void
task_executor::OnAnnouncementRestored(const server_announcement& aServer,
                                      instant aNow)
{
  bool otherIncarnation =
    mServerStartTimeMs != 0 && mServerStartTimeMs != aServer.mStartTimeMs;
  bool enabled = mMechanisms.Has(mechanism::ServerRecall);
  if (!enabled || mServerKnown || aServer.mStartTimeMs == 0 ||
      otherIncarnation || aServer.mService != mService) {
    return;
  }
  SetServer(aServer);
  mServer.mSequence = 0; // any announcement counts as newer
  mRestoredUntil = aNow + kRestoredLifetime;
  mEvents.Emit(event_code::BackendRecalled,
               { { "server", aServer.mId },
                 { "born_ms", std::to_string(aServer.mStartTimeMs) },
                 { "cpu_millis", std::to_string(aServer.mCapacity.mCpuMillis) },
                 { "outcome", "used" } });
  MarkChanged();
}

const server_announcement*
task_executor::Announcement() const
{
  return mServerKnown && !IsRestored() ? &mServer : nullptr;
}

// Another incarnation may have another capacity or service: tasks sized for the
// restored one could overload it.
void
task_executor::CheckRestored(instant aNow)
{
  if (!IsRestored()) {
    return;
  }
  if (mServerStartTimeMs != 0 && mServerStartTimeMs != mServer.mStartTimeMs) {
    DropRestored("another incarnation", aNow);
  } else if (aNow >= mRestoredUntil) {
    DropRestored("no announcement followed", aNow);
  }
}

void
task_executor::DropRestored(const std::string& aReason, instant aNow)
{
  mEvents.Emit(event_code::BackendRecalled,
               { { "server", mServer.mId }, { "outcome", aReason } });
  mRestoredUntil = instant(0);
  mServerKnown = false;
  mRunner.ExpectInstance("");
  ReturnQueued(attempt_outcome::Unusable, aNow);
  MarkChanged();
}

} // namespace cactusmast
