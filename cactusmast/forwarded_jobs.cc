#include "cactusmast/forwarded_jobs.h"

#include <algorithm>

namespace cactusmast {

sent_job_ending
EndingOf(const sent_job& aJob, const wire::forward_answer_msg& aAnswer)
{
  bool requested = aJob.mCancellation == forward_cancellation::Requested;
  if (aAnswer.declined && requested) {
    return { false, { job_ending::Failed, "cancelled", {} } };
  }
  if (aAnswer.declined) {
    return { true, {} };
  }
  auto ending = job_ending(aAnswer.ending);
  bool known = ending < job_ending::Count;
  // The receiver has stopped it for callers that left. One that has submitted
  // it since then still wants it and is told to do so again.
  bool stopped = aJob.mCancellation == forward_cancellation::Disconnected &&
                 ending == job_ending::Failed;
  if (!known || stopped) {
    return { false, { job_ending::Expired, aAnswer.reason, {} } };
  }
  return { false,
           { ending,
             aAnswer.reason,
             std::chrono::milliseconds(aAnswer.retry_after_ms) } };
}

uint64_t
sent_jobs::Add(peer_id aPeer, uint64_t aJob, caller_id aCaller, instant aNow)
{
  forward_key key{ aPeer, ++mLastNumbers[aPeer] };
  sent_job& added = mJobs[key];
  added.mJob = aJob;
  added.mCallers.push_back(aCaller);
  added.mSentAt = aNow;
  mKeys[aJob] = key;
  mCallerJobs[aCaller] = aJob;
  return key.mNumber;
}

bool
sent_jobs::AddCaller(uint64_t aJob, caller_id aCaller)
{
  auto found = mKeys.find(aJob);
  if (found == mKeys.end()) {
    return false;
  }
  mJobs.at(found->second).mCallers.push_back(aCaller);
  mCallerJobs[aCaller] = aJob;
  return true;
}

std::optional<sent_job>
sent_jobs::Remove(const forward_key& aKey)
{
  auto found = mJobs.find(aKey);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  sent_job ended = std::move(found->second);
  mJobs.erase(found);
  mKeys.erase(ended.mJob);
  for (caller_id caller : ended.mCallers) {
    mCallerJobs.erase(caller);
  }
  return ended;
}

std::optional<sent_job>
sent_jobs::OnAnswer(peer_id aPeer, uint64_t aNumber)
{
  return Remove({ aPeer, aNumber });
}

std::vector<sent_job>
sent_jobs::OnPeerGone(peer_id aPeer)
{
  std::vector<sent_job> ended;
  auto next = mJobs.lower_bound({ aPeer, 0 });
  while (next != mJobs.end() && next->first.mPeer == aPeer) {
    forward_key key = next->first;
    ++next;
    ended.push_back(*Remove(key));
  }
  mLastNumbers.erase(aPeer);
  return ended;
}

std::optional<forward_key>
sent_jobs::OnCallerGone(caller_id aCaller)
{
  auto found = mCallerJobs.find(aCaller);
  if (found == mCallerJobs.end()) {
    return std::nullopt;
  }
  forward_key key = mKeys.at(found->second);
  mCallerJobs.erase(found);
  sent_job& open = mJobs.at(key);
  auto& callers = open.mCallers;
  callers.erase(std::remove(callers.begin(), callers.end(), aCaller),
                callers.end());
  bool cancels =
    callers.empty() && open.mCancellation == forward_cancellation::None;
  if (!cancels) {
    return std::nullopt;
  }
  open.mCancellation = forward_cancellation::Disconnected;
  return key;
}

std::optional<forward_key>
sent_jobs::Cancel(uint64_t aJob)
{
  auto found = mKeys.find(aJob);
  if (found == mKeys.end()) {
    return std::nullopt;
  }
  mJobs.at(found->second).mCancellation = forward_cancellation::Requested;
  return found->second;
}

std::vector<std::pair<forward_key, sent_job>>
sent_jobs::TakeAll()
{
  std::vector<std::pair<forward_key, sent_job>> all(mJobs.begin(), mJobs.end());
  mJobs.clear();
  mKeys.clear();
  mCallerJobs.clear();
  return all;
}

caller_id
taken_jobs::Add(peer_id aPeer, uint64_t aNumber)
{
  uint64_t& last = mLastNumbers[aPeer];
  if (aNumber <= last) {
    return 0;
  }
  last = aNumber;
  forward_key key{ aPeer, aNumber };
  caller_id added = mNextCaller++;
  mCallers[key] = added;
  mKeys[added] = key;
  return added;
}

std::optional<forward_key>
taken_jobs::OnAnswered(caller_id aCaller)
{
  auto found = mKeys.find(aCaller);
  if (found == mKeys.end()) {
    return std::nullopt;
  }
  forward_key key = found->second;
  mKeys.erase(found);
  mCallers.erase(key);
  return key;
}

caller_id
taken_jobs::OnCancel(peer_id aPeer, uint64_t aNumber)
{
  auto found = mCallers.find({ aPeer, aNumber });
  if (found == mCallers.end()) {
    return 0;
  }
  caller_id left = found->second;
  mCallers.erase(found);
  mKeys.erase(left);
  return left;
}

std::vector<caller_id>
taken_jobs::OnPeerGone(peer_id aPeer)
{
  std::vector<caller_id> left;
  auto next = mCallers.lower_bound({ aPeer, 0 });
  while (next != mCallers.end() && next->first.mPeer == aPeer) {
    left.push_back(next->second);
    mKeys.erase(next->second);
    next = mCallers.erase(next);
  }
  mLastNumbers.erase(aPeer);
  return left;
}

} // namespace cactusmast
