// Evacuations of data centres at an executor.

#include "cactusmast/task_executor.h"

#include "cactusmast/task_executor_limits.h"
#include "cactusmast/time_spans.h"

namespace cactusmast {

using namespace detail;

bool
task_executor::OnEvacuations(const std::optional<evacuation_update>& aUpdate,
                             instant aNow)
{
  bool wasEvacuated = IsEvacuated();
  bool changed = aUpdate && mEvacuations.Update(*aUpdate);
  if (changed) {
    OnEvacuationsChanged(wasEvacuated, aNow);
  }
  return changed;
}

void
task_executor::OnEvacuationsChanged(bool aWasEvacuated, instant aNow)
{
  mEvents.Emit(event_code::EvacuationsChanged,
               { { "data_centers", FormatDataCenters(mEvacuations.State()) },
                 { "version", std::to_string(mEvacuations.State().mVersion) },
                 { "age_ms", std::to_string(ToMs(mEvacuations.Age(aNow))) },
                 { "here", IsEvacuated() ? "yes" : "no" },
                 { "running", std::to_string(Running()) },
                 { "returned", std::to_string(Queued()) } });
  if (IsEvacuated() == aWasEvacuated) {
    return;
  }
  if (IsEvacuated()) {
    // Returned at once, so that entries can still place them elsewhere in time.
    ReturnQueued(attempt_outcome::Draining, aNow);
  }
  MarkChanged();
}

bool
task_executor::WantsEvacuations(instant aNow) const
{
  return aNow - mLastDispatchAt <= kRecentDispatch &&
         mEvacuations.Age(aNow) > kEvacuationsStaleAfter;
}

} // namespace cactusmast
