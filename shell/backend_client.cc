#include "shell/backend_client.h"

namespace cactusmast {
namespace {

// Limit that the users set for connections to one runner.
constexpr uint32_t kMaxConnections = 64;
constexpr int kOk = 200;

std::string
TaskName(const task_ref& aRef)
{
  return JobOf(aRef).Text() + "." + std::to_string(aRef.index());
}

} // namespace

backend_client::backend_client(callback aOnCompletion)
  : mClient(kMaxConnections, 0)
  , mOnCompletion(std::move(aOnCompletion))
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
      mOnCompletion(Decode(ref, aResponse));
    });
}

task_completion
backend_client::Decode(const task_ref& aRef, const http_response& aResponse)
{
  task_completion completion;
  completion.mRef = aRef;
  completion.mOutput = aResponse.mBody;
  if (aResponse.mFault == http_fault::Refused) {
    completion.mOutcome = task_outcome::Refused;
    completion.mRunState = run_state::NotRun;
    completion.mReason = task_reason::Withdrawn;
    return completion;
  }
  if (aResponse.mFault != http_fault::None) {
    completion.mOutcome = task_outcome::Failed;
    completion.mRunState = run_state::Unknown;
    completion.mReason = task_reason::BackendLost;
    completion.mOutput = aResponse.mFaultText;
    return completion;
  }
  if (aResponse.mStatus == kOk) {
    completion.mOutcome = task_outcome::Succeeded;
    completion.mRunState = run_state::Run;
    return completion;
  }
  bool notRun = aResponse.mRunHeader == Name(run_state::NotRun);
  completion.mOutcome = notRun ? task_outcome::Refused : task_outcome::Failed;
  completion.mRunState = notRun ? run_state::NotRun : run_state::Run;
  completion.mReason =
    notRun ? task_reason::Withdrawn : task_reason::BackendError;
  return completion;
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
