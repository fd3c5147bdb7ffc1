#include "shell/backend_client.h"

namespace cactusmast {
namespace {

// Limit that the users set for connections to one runner.
constexpr uint32_t kConnections = 64;
constexpr int kOk = 200;

std::string
TaskName(const task_ref& aRef)
{
  return JobOf(aRef).Text() + "." + std::to_string(aRef.index());
}

} // namespace

backend_client::backend_client(callback aOnEnd)
  : mClient(kConnections, 0)
  , mOnEnd(std::move(aOnEnd))
{
}

void
backend_client::Start(const task_start& aTask)
{
  http_request request;
  request.mUrl = mUrl + "/run";
  request.mBody = aTask.mPayload;
  request.mHeaders = { { "X-Task", TaskName(aTask.mRef) },
                       { "X-Service", aTask.mService },
                       { "X-Profile", aTask.mProfile } };
  task_ref ref = aTask.mRef;
  mRunning[ref] =
    mClient.Send(request, [this, ref](const http_response& aResponse) {
      mRunning.erase(ref);
      mOnEnd(Decode(ref, aResponse));
    });
}

task_completion
backend_client::Decode(const task_ref& aRef, const http_response& aResponse)
{
  task_completion end;
  end.mRef = aRef;
  end.mOutput = aResponse.mBody;
  if (aResponse.mFault == http_fault::Refused) {
    end.mOutcome = task_outcome::Refused;
    end.mRunState = run_state::NotRun;
    end.mReason = task_reason::Withdrawn;
    return end;
  }
  if (aResponse.mFault != http_fault::None) {
    end.mOutcome = task_outcome::Failed;
    end.mRunState = run_state::Unknown;
    end.mReason = task_reason::BackendLost;
    end.mOutput = aResponse.mText;
    return end;
  }
  if (aResponse.mStatus == kOk) {
    end.mOutcome = task_outcome::Succeeded;
    end.mRunState = run_state::Run;
    return end;
  }
  bool notRun = aResponse.mRunHeader == Name(run_state::NotRun);
  end.mOutcome = notRun ? task_outcome::Refused : task_outcome::Failed;
  end.mRunState = notRun ? run_state::NotRun : run_state::Run;
  end.mReason = notRun ? task_reason::Withdrawn : task_reason::BackendError;
  return end;
}

void
backend_client::Cancel(const task_ref& aRef)
{
  auto found = mRunning.find(aRef);
  if (found == mRunning.end()) {
    return;
  }
  // Request the cancellation first: closing the connection alone may not stop
  // the task.
  http_request request;
  request.mUrl = mUrl + "/cancel";
  request.mHeaders = { { "X-Task", TaskName(aRef) } };
  mClient.Send(request, [](const http_response&) {});
  g_cancellable_cancel(found->second.get());
}

} // namespace cactusmast
