// The port through which an executor starts, stops and lists tasks on the
// backend server beside it. An adapter implements it over the backend server's
// own protocol; tests implement it with a fake.
//
// All running tasks share one lease that each start request and each poll
// extends. The lease expires by the backend server's own clock, so a backend
// server that has lost its executor ends its tasks by itself.

#ifndef CACTUSMAST_BACKEND_RUNNER_H_
#define CACTUSMAST_BACKEND_RUNNER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusmast/ids.h"
#include "cactusmast/sized_task.h"

namespace cactusmast {

struct start_request
{
  task_key mTask;
  uint32_t mRunNumber = 0; // increases with every start of the task
  std::string mSpec;
  int64_t mLeaseUntilMs = 0;  // on the backend server's clock
  uint64_t mFencingToken = 0; // lower ones are refused from then on
  // The incarnation that it is for, and that alone may get it; 0: any.
  int64_t mServerStartTimeMs = 0;
};

struct stop_request
{
  task_key mTask;
  uint32_t mRunNumber = 0;
  uint64_t mFencingToken = 0;
};

struct poll_request
{
  uint64_t mNumber = 0;      // returned with the reply
  int64_t mLeaseUntilMs = 0; // on its clock; 0: the lease is not extended
  uint64_t mFencingToken = 0;
  uint64_t mLastEndSeen = 0; // ends up to this number are not listed again
  // The reply is delayed until a task ends, by this much at most.
  uint32_t mWaitMs = 0;
  // The incarnation whose lease it extends and whose ends it acknowledges;
  // another one may get the poll without these. 0: any.
  int64_t mServerStartTimeMs = 0;
};

enum class start_result : uint8_t
{
  Started,
  LeaseExpired,     // the request's lease had expired when it arrived
  NoRoom,           // the backend server found too little free capacity
  OldRun,           // this run number or a later one was stopped or has ended
  FencedOff,        // the backend server has seen a greater fencing token
  Unhealthy,        // the backend server is unhealthy; it did nothing
  OtherIncarnation, // another incarnation replied; it did nothing
  Malformed,        // the request can never be carried out
  Unreachable,      // no connection was made, so nothing was sent
  NotSent,          // taken back: no connection led to its incarnation in time
  NoAnswer,         // in doubt: may be carried out now or seconds later
  Count
};

// The name used in logs.
std::string_view
Name(start_result aResult);

enum class poll_result : uint8_t
{
  Ok,
  FencedOff,    // the backend server has seen a greater fencing token; it did
                // nothing
  Disconnected, // the connection was refused or lost: the backend server may
                // have crashed; in doubt like NoAnswer
  NoAnswer,     // in doubt: may have been carried out
  Count
};

struct running_task
{
  task_key mTask;
  uint32_t mRunNumber = 0;
  uint32_t mPercent = 0; // progress
};

enum class end_kind : uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired, // its lease expired
  Other,
  Count
};

struct ended_task
{
  // Sequence number of the end within one incarnation of the backend server.
  uint64_t mNumber = 0;
  task_key mTask;
  uint32_t mRunNumber = 0;
  end_kind mKind = end_kind::Other;
};

// The reply to a poll: all that a backend server runs, and what has ended.
struct server_snapshot
{
  int64_t mClockMs = 0;     // the backend server's clock
  int64_t mStartTimeMs = 0; // start of this incarnation; 0: not reported
  std::vector<running_task> mRunning;
  std::vector<ended_task> mEnded;
  // Number of running tasks whose names are not task names of this system.
  uint32_t mStrayRunning = 0;
};

// How a backend server makes itself known.
struct server_announcement
{
  std::string mId; // of the instance
  std::string mService;
  int64_t mStartTimeMs = 0; // names the incarnation
  uint64_t mSequence = 0; // increases with each announcement of an incarnation
  bool mDraining = false;
  uint32_t mColdLeftMs =
    0; // remaining time for which it is slow after its start
  resources mCapacity;
  std::vector<std::string> mLabels;
};

// Requests that wait for a connection to the backend server.
struct runner_load
{
  size_t mWaiting = 0;
  duration mOldest{};    // how long the oldest has waited
  uint64_t mNotSent = 0; // taken back since the start
  uint64_t mProbes = 0;  // to find a connection, since the start
};

class backend_runner
{
public:
  virtual ~backend_runner() = default;
  virtual runner_load Load(instant /*aNow*/) const { return {}; }
  // Each request gets exactly one reply, through the executor's OnStartReply,
  // OnStopReply or OnPollReply.
  virtual void Start(const start_request& aRequest) = 0;
  virtual void Stop(const stop_request& aRequest) = 0;
  virtual void Poll(const poll_request& aRequest) = 0;
  // Names the incarnation that later start requests are meant for; empty: any.
  virtual void ExpectInstance(const std::string& aServerId) = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_BACKEND_RUNNER_H_
