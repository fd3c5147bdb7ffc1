// The jobs that entries forward to each other: those that this entry has sent
// to others, and those that it has taken from others.
//
// A forward_job is identified by its connection and the number that its sender
// gave it. The sender keeps the callers of the job until the answer comes, the
// receiver treats each forward_job as a caller of its own.
//
//   sent_jobs sent;                            // at the sender
//   forward.number = sent.Add(peer, job, caller, now);
//   if (auto ended = sent.OnAnswer(peer, answer.number)) { ... }
//
//   taken_jobs taken;                          // at the receiver
//   caller_id caller = taken.Add(peer, forward.number);
//   if (auto origin = taken.OnAnswered(caller)) { ... }
//
// Invariants:
// - A job that was sent and has not ended is known here. A caller that submits
//   it again is added to it, so that it never runs in two places.
// - A cancelled job stays known until the receiver has stopped its tasks or the
//   connection is closed.
// - Each caller is returned once: with the answer of its job, or when its
//   connection closes. Answers that come late or twice return nothing.

#ifndef CACTUSMAST_FORWARDED_JOBS_H_
#define CACTUSMAST_FORWARDED_JOBS_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cactusmast/ids.h"
#include "cactusmast/job_coordinator.h"
#include "cactusmast/message.h"

namespace cactusmast {

// Caller ids of taken jobs begin here. Those of HTTP exchanges count up from 1.
constexpr caller_id kFirstTakenCaller = caller_id(1) << 63;

inline bool
IsTakenCaller(caller_id aCaller)
{
  return aCaller >= kFirstTakenCaller;
}

// Why the receiver was told to stop a job.
enum class forward_cancellation : uint8_t
{
  None,
  Requested,   // cancelled by its identity
  Disconnected // its last caller disconnected
};

struct sent_job
{
  uint64_t mJob = 0;
  std::vector<caller_id> mCallers; // in the order in which they submitted it
  instant mSentAt{};
  forward_cancellation mCancellation = forward_cancellation::None;
};

// A forward_job, as its sender and its receiver know it.
struct forward_key
{
  peer_id mPeer = 0;
  uint64_t mNumber = 0;

  bool operator<(const forward_key& aOther) const
  {
    return std::pair(mPeer, mNumber) < std::pair(aOther.mPeer, aOther.mNumber);
  }
  bool operator==(const forward_key& aOther) const
  {
    return mPeer == aOther.mPeer && mNumber == aOther.mNumber;
  }
};

// What the callers of a sent job get.
struct sent_job_ending
{
  bool mServeHere = false; // the receiver has not run it: no answer yet
  job_outcome mOutcome;
};

// The ending of aJob by the receiver's answer.
sent_job_ending
EndingOf(const sent_job& aJob, const wire::forward_answer_msg& aAnswer);

class sent_jobs
{
public:
  // Returns the number of the new forward_job.
  uint64_t Add(peer_id aPeer, uint64_t aJob, caller_id aCaller, instant aNow);
  // Adds a caller to a job that was sent. False if there is none.
  bool AddCaller(uint64_t aJob, caller_id aCaller);
  // The job that the answer ends; none if it is not open.
  std::optional<sent_job> OnAnswer(peer_id aPeer, uint64_t aNumber);
  // The connection has closed. Returns the jobs that it ends; whether their
  // tasks are running is not known.
  std::vector<sent_job> OnPeerGone(peer_id aPeer);
  // The forward_job to cancel, if this was the last caller of its job.
  std::optional<forward_key> OnCallerGone(caller_id aCaller);
  // The forward_job to cancel; none if aJob was not sent. Its callers remain
  // until the answer.
  std::optional<forward_key> Cancel(uint64_t aJob);
  // Ends all jobs.
  std::vector<std::pair<forward_key, sent_job>> TakeAll();
  // Whether the job was sent and is not answered.
  bool Has(uint64_t aJob) const { return mKeys.count(aJob) > 0; }
  size_t Size() const { return mJobs.size(); }

private:
  std::optional<sent_job> Remove(const forward_key& aKey);

  std::map<forward_key, sent_job> mJobs;
  std::unordered_map<uint64_t, forward_key> mKeys;     // by job
  std::unordered_map<caller_id, uint64_t> mCallerJobs; // job by caller
  std::unordered_map<peer_id, uint64_t> mLastNumbers;  // by connection
};

class taken_jobs
{
public:
  // Returns the caller id of a new forward_job; 0 if it came before.
  caller_id Add(peer_id aPeer, uint64_t aNumber);
  // Where the answer to aCaller is sent; none if it is no longer wanted.
  std::optional<forward_key> OnAnswered(caller_id aCaller);
  // The caller that has left; 0 if its job was answered.
  caller_id OnCancel(peer_id aPeer, uint64_t aNumber);
  // The connection has closed. Returns the callers that have left.
  std::vector<caller_id> OnPeerGone(peer_id aPeer);
  size_t Size() const { return mCallers.size(); }

private:
  caller_id mNextCaller = kFirstTakenCaller;
  std::map<forward_key, caller_id> mCallers;
  std::unordered_map<caller_id, forward_key> mKeys;
  std::unordered_map<peer_id, uint64_t> mLastNumbers; // by connection
};

} // namespace cactusmast

#endif // CACTUSMAST_FORWARDED_JOBS_H_
