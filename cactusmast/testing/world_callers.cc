// Callers of a world: they submit and resubmit jobs, and the replies that they
// get are recorded in the history.

#include <algorithm>

#include "cactusmast/testing/world.h"
#include "cactusmast/testing/world_fakes.h"

namespace cactusmast::testing {

using namespace detail;

namespace {

constexpr milliseconds kMinResubmitDelay{ 200 };
constexpr uint32_t kMaxSubmissions = 60; // of one job

} // namespace

void
world::Submit(const caller_request& aRequest)
{
  uint64_t id = mNextRequest++;
  open_request& open = mRequests[id];
  open.mId = id;
  open.mRequest = aRequest;
  SendSubmit(open);
}

void
world::SendSubmit(open_request& aRequest)
{
  const caller_request& request = aRequest.mRequest;
  // The load balancer skips entries that have stopped or are draining.
  process* entry = nullptr;
  for (uint32_t i = 0; i < mOptions.mEntries && entry == nullptr; i++) {
    uint32_t number = (request.mEntry - 1 + i) % mOptions.mEntries + 1;
    process& candidate = Find("entry-" + std::to_string(number));
    if (candidate.mAlive && !candidate.mDraining) {
      entry = &candidate;
    }
  }
  uint64_t id = aRequest.mId;
  history_event event;
  event.mKind = event_kind::Submit;
  event.mRequest = id;
  event.mKey = request.mKey;
  event.mCount = request.mTasks;
  event.mIdempotent = request.mProfile != "confirm-cut";
  Record(event);
  if (entry == nullptr) {
    aRequest.mEnded = true;
    event.mKind = event_kind::Refuse;
    event.mText = "no_entry";
    event.mRunState = "not_run";
    Record(event);
    ScheduleResubmission(id, seconds(1));
    return;
  }
  aRequest.mEntry = entry->mName;
  submission job;
  job.mTeam = request.mTeam;
  job.mKey = request.mKey;
  job.mProfile = request.mProfile;
  job.mId = entry->mEntry->IdentityOf(job.mTeam, job.mKey);
  for (uint32_t i = 0; i < request.mTasks; i++) {
    job.mPayloads.push_back(MakePayload(request.mKey, i, request.mRunTime));
  }
  duration timeout = request.mTimeout;
  At(mNow + mOptions.mLatency, [this, entry, id, job, timeout] {
    Deliver(*entry, [this, entry, id, job, timeout] {
      entry->mEntry->Submit(id, job, timeout, mNow);
    });
  });
}

void
world::Cancel(const std::string& aKey, uint32_t aEntry)
{
  process& entry = Find("entry-" + std::to_string(aEntry));
  // The reply to the cancel request is not part of the history: no request
  // has an id this large.
  constexpr uint64_t kCancelIdOffset = 1u << 30;
  job_id id = entry.mEntry->IdentityOf("members", aKey);
  entry.mEntry->Cancel(
    kCancelIdOffset + mNextRequest++, "members", id, seconds(5), mNow);
}

void
world::ScheduleResubmission(uint64_t aId, duration aDelay)
{
  const caller_request previous = mRequests[aId].mRequest;
  uint32_t submissions = 0;
  for (const auto& [id, request] : mRequests) {
    submissions += request.mRequest.mKey == previous.mKey ? 1 : 0;
  }
  bool tooLate = mNow >= mOptions.mResubmitUntil;
  if (!previous.mResubmit || submissions >= kMaxSubmissions || tooLate) {
    return;
  }
  At(mNow + std::max<duration>(kMinResubmitDelay, aDelay), [this, previous] {
    caller_request next = previous;
    next.mEntry = next.mEntry % mOptions.mEntries + 1;
    Submit(next);
  });
}

void
world::OnReply(uint64_t aId, const wire::job_reply_msg& aReply)
{
  auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  found->second.mEnded = true;
  history_event event;
  event.mRequest = aId;
  event.mKey = found->second.mRequest.mKey;
  bool answered =
    aReply.error == 0 && aReply.state != uint8_t(job_state::Running);
  event.mKind = answered ? event_kind::Answer : event_kind::Refuse;
  if (answered) {
    event.mText = Name(job_state(aReply.state));
    for (const wire::task_result_msg& task : aReply.tasks) {
      event.mTasks.push_back({ std::string(Name(task_outcome(task.outcome))),
                               std::string(Name(run_state(task.run))),
                               task.output });
    }
  } else {
    event.mText = aReply.error == 0
                    ? "running"
                    : std::string(Name(error_code(aReply.error)));
    event.mRunState =
      aReply.error == 0 ? "unknown" : std::string(Name(run_state(aReply.run)));
  }
  Record(event);
  if (!answered && aReply.retry_after_ms > 0) {
    ScheduleResubmission(aId, milliseconds(aReply.retry_after_ms));
  }
}

void
world::DisconnectCallers(const std::string& aEntry)
{
  std::vector<uint64_t> lost;
  for (auto& [id, request] : mRequests) {
    if (!request.mEnded && request.mEntry == aEntry) {
      request.mEnded = true;
      lost.push_back(id);
    }
  }
  for (uint64_t id : lost) {
    // The caller knows only that its connection broke.
    history_event event;
    event.mKind = event_kind::Refuse;
    event.mRequest = id;
    event.mKey = mRequests[id].mRequest.mKey;
    event.mText = "connection_lost";
    event.mRunState = "unknown";
    Record(event);
    ScheduleResubmission(id, kMinResubmitDelay);
  }
}

void
world::PutProfile(uint32_t aEntry,
                  const profile& aProfile,
                  uint64_t aExpectedRevision)
{
  process& entry = Find("entry-" + std::to_string(aEntry));
  config_change change;
  change.mToken = mNextRequest++;
  change.mProfile = aProfile;
  change.mExpectedRevision = aExpectedRevision;
  change.mOperator = "operator";
  change.mReason = "test";
  change.mOperation = "operation-" + std::to_string(change.mToken);
  Deliver(entry,
          [this, &entry, change] { entry.mEntry->Change(change, mNow); });
}

std::vector<std::string>
world::Answers(const std::string& aKey) const
{
  std::vector<std::string> answers;
  for (const history_event& event : mHistory) {
    if (event.mKey != aKey) {
      continue;
    }
    if (event.mKind == event_kind::Answer) {
      answers.push_back(event.mText);
    } else if (event.mKind == event_kind::Refuse) {
      answers.push_back("refused:" + event.mText);
    }
  }
  return answers;
}

uint32_t
world::TaskStarts(const std::string& aKey) const
{
  return uint32_t(std::count_if(
    mHistory.begin(), mHistory.end(), [&aKey](const history_event& aEvent) {
      return aEvent.mKind == event_kind::TaskStarted && aEvent.mKey == aKey;
    }));
}

uint64_t
world::TaskStartsAt(uint32_t aGuard) const
{
  return mProcesses.at("guard-" + std::to_string(aGuard))->mServer.mStarts;
}

uint32_t
world::ActiveRequests() const
{
  return uint32_t(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return !aEntry.second.mEnded;
    }));
}

} // namespace cactusmast::testing
