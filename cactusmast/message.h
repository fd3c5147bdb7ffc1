// Typed messages between processes and the codec that carries them.
//
// The types are FlatBuffers' native objects, generated from schema/wire.fbs.
// Decoding always runs the verifier first, so a malformed or hostile frame
// yields an error and never an out-of-bounds read.

#ifndef CACTUSMAST_MESSAGE_H_
#define CACTUSMAST_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactusmast/error.h"
#include "cactusmast/ids.h"
#include "util/result.h"

namespace cactusmast {

using message = wire::bodyUnion;
using message_kind = wire::body;

// Wraps one generated message object.
template<typename T>
message
MakeMessage(T aBody)
{
  message wrapped;
  wrapped.Set(std::move(aBody));
  return wrapped;
}

// Incremented by a change after which an older process could not understand a
// newer one. New fields do not need it: FlatBuffers readers skip unknown ones.
constexpr uint32_t kProtocolVersion = 1;

enum class process_role : uint8_t
{
  Entry,
  Guard,
  Count
};

// How one attempt at a task ended.
enum class task_outcome : uint8_t
{
  Pending,   // has not ended
  Succeeded, // the backend server answered with success
  Failed,    // the backend server reported failure, or nothing is known
  Refused,   // the guard did not start it and never will
  Count
};

// Why a task was refused or failed.
enum class task_reason : uint8_t
{
  None,
  StaleLease,       // the dispatch is not covered by a lease in force
  NoSlot,           // all slots are busy
  Withdrawn,        // no backend server is announced for the service
  Tombstone,        // revoked before the dispatch arrived
  Budget,           // the guard's limit of records or result bytes is reached
  BackendError,     // the backend server answered with a failure
  BackendLost,      // the connection to the backend server broke
  TimedOut,         // the time limit passed
  Cancelled,        // the caller cancelled
  WorkerLost,       // the worker's guard was lost with its records
  ResultDropped,    // it ran, but its result is no longer held
  Unsatisfiable,    // no known backend server can run it
  RetriesExhausted, // the attempts or the retry budget are used up
  Shed,             // dropped from the queue for a job of higher priority
  Count
};

enum class job_state : uint8_t
{
  Running,
  Complete, // every task succeeded
  Failed,   // at least one task did not succeed
  Count
};

// What an entry asks the owner of a job's shard for.
enum class request_kind : uint8_t
{
  Submit,
  Await,
  Cancel,
  Count
};

// The state of a guard's record of one task.
enum class record_state : uint8_t
{
  Tombstone, // revoked: will never start here
  Running,
  Finished,
  // The job was answered with tasks that had not started. The record stands
  // for all tasks of the job that have no record of their own.
  Abandoned,
  Count
};

// The task index of a record that stands for a whole job.
constexpr uint32_t kWholeJob = UINT32_MAX;

// Names for messages and logs; "invalid" for values outside the enumeration,
// for a message kind the empty string.
std::string_view
Name(process_role aRole);
std::string_view
Name(task_outcome aOutcome);
std::string_view
Name(task_reason aReason);
std::string_view
Name(job_state aState);
std::string_view
Name(message_kind aKind);

// The reply to a job request that carries aError.
wire::job_reply_msg
ErrorReply(const failure& aError);

// Appends one frame: a 4-byte little-endian length, then the envelope.
void
EncodeFrame(const message& aMessage, std::string* aOut);

// Decodes one envelope, without the length prefix of its frame. The result is
// of kind NONE for a message that this build does not know. Errors: Protocol,
// with aPeer as the peer.
result<message>
DecodeEnvelope(std::string_view aBytes, const std::string& aPeer);

// Decodes what EncodeFrame made of one message. Errors: Protocol.
result<message>
DecodeFrame(const std::string& aBytes, const std::string& aPeer);

// Splits a byte stream into frames. A frame is refused as soon as its length
// prefix exceeds the limit, before more of it is buffered: the memory held for
// one peer never exceeds the limit plus one read.
class frame_reader
{
public:
  // aMaxFrame: in bytes, without the length prefix.
  explicit frame_reader(size_t aMaxFrame)
    : mMaxFrame(aMaxFrame)
  {
  }

  void Append(std::string_view aBytes) { mBuffer.append(aBytes); }
  // Bytes that Next() has not returned yet.
  size_t Pending() const { return mBuffer.size() - mConsumed; }

  // Returns true with the next whole frame, without its length prefix, in
  // aFrame; the view is valid until the next call of a member function. Throws
  // failure(TooLarge) when the length prefix exceeds the limit.
  bool Next(std::string_view* aFrame);

private:
  size_t mMaxFrame;
  std::string mBuffer;
  size_t mConsumed = 0; // bytes of mBuffer that Next() has returned
};

} // namespace cactusmast

#endif // CACTUSMAST_MESSAGE_H_
