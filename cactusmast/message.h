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
  message made;
  made.Set(std::move(aBody));
  return made;
}

// Bumped when an older process could not understand a newer one. New fields
// do not need it: FlatBuffers readers skip what they do not know.
constexpr uint32_t kProtocolVersion = 1;

enum class process_role : uint8_t
{
  Entry,
  Guard,
  Count
};

// How one dispatched task ended.
enum class task_outcome : uint8_t
{
  Pending,   // not ended
  Succeeded, // the backend server answered
  Failed,    // the backend server reported failure, or it is not known
  Refused,   // the guard did not start it and never will
  Count
};

// Why a task was refused or failed.
enum class task_reason : uint8_t
{
  None,
  StaleLease,       // the dispatcher's lease on the guard is not in force
  NoSlot,           // all slots are busy
  Withdrawn,        // no backend server is announced for the service
  Tombstone,        // revoked earlier
  Budget,           // the guard's record or result budget is spent
  BackendError,     // the backend server answered with a failure
  BackendLost,      // the connection to the backend server broke
  TimedOut,         // the time limit passed
  Cancelled,        // the caller cancelled
  WorkerLost,       // the worker's process is gone with its records
  ResultGone,       // it ran, but its result is no longer held
  Unsatisfiable,    // no known backend server can run it
  RetriesExhausted, // refused too often
  Shed,             // made room for a job of higher priority
  Count
};

// Where a job stands.
enum class job_state : uint8_t
{
  Running,
  Complete, // every task succeeded
  Failed,   // at least one did not
  Count
};

enum class request_kind : uint8_t
{
  Submit,
  Watch,
  Cancel,
  Count
};

// A guard's memory of one task.
enum class record_state : uint8_t
{
  Tombstone, // will never start here
  Running,
  Finished,
  Abandoned, // stands for all of a job's tasks that have no other record
  Count
};

// The index of a record that stands for a whole job.
constexpr uint32_t kWholeJob = UINT32_MAX;

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

// Decodes one envelope. Errors: Protocol, with aPeer as the peer.
result<message>
DecodeEnvelope(std::string_view aBytes, const std::string& aPeer);

// Decodes what EncodeFrame made of one message. Errors: Protocol.
result<message>
DecodeFrame(const std::string& aBytes, const std::string& aPeer);

// Splits a byte stream into frames. A peer that announces a frame over the
// limit is cut off before any of it is buffered: memory held for one peer
// never exceeds the limit plus one read.
class frame_reader
{
public:
  explicit frame_reader(size_t aMaxFrame)
    : mMaxFrame(aMaxFrame)
  {
  }

  void Append(std::string_view aBytes) { mBuffer.append(aBytes); }

  // True with the next whole frame in aFrame; the view lasts until the next
  // call. Throws failure(TooLarge) when the announced length is over budget.
  bool Next(std::string_view* aFrame);

private:
  size_t mMaxFrame;
  std::string mBuffer;
  size_t mConsumed = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_MESSAGE_H_
