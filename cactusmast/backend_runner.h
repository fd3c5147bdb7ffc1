// What an executor needs of the backend server beside it: to start, stop and
// list tasks. An adapter implements the port over the backend server's own
// protocol, a test with a fake.
//
// Everything that runs holds one lease that each start and each look extends.
// It ends by the backend server's own clock, so a backend server that its
// executor lost ends what it runs by itself.

#ifndef CACTUSMAST_BACKEND_RUNNER_H_
#define CACTUSMAST_BACKEND_RUNNER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusmast/sized_task.h"

namespace cactusmast {

struct start_request
{
  task_key mTask;
  uint32_t mRunNumber = 0; // tells the starts of one task apart; only grows
  std::string mSpec;
  int64_t mLeaseUntilMs = 0;  // on the backend server's clock
  uint64_t mFencingToken = 0; // fencing token: lower ones are refused for good
};

struct stop_request
{
  task_key mTask;
  uint32_t mRunNumber = 0;
  uint64_t mFencingToken = 0;
};

struct poll_request
{
  uint64_t mNumber = 0;      // comes back with the answer
  int64_t mLeaseUntilMs = 0; // 0: the lease is left as it is
  uint64_t mFencingToken = 0;
  uint64_t mLastEndSeen = 0; // ends up to this one need not be listed again
  uint32_t mWaitMs = 0;      // the answer waits this long for an end
};

enum class start_result : uint8_t
{
  Started,
  LeaseOver,        // the lease in the order had ended when it arrived
  NoRoom,           // the backend server's own check found no room
  OldRun,           // this run or a later one was stopped or ended before
  FencedOff,        // a greater fencing token was seen
  Unhealthy,        // refused by an ill backend server, which has done nothing
  OtherIncarnation, // another life of the backend server answered; nothing done
  Malformed,        // the order can never be carried out
  Unreachable,      // no connection was made, so nothing was sent
  NoAnswer,         // may be carried out, now or seconds later
  Count
};

std::string_view
Name(start_result aResult);

enum class poll_result : uint8_t
{
  Ok,
  FencedOff, // a greater fencing token was seen; nothing done
  NoAnswer,  // may have been carried out
  Count
};

struct running_task
{
  task_key mTask;
  uint32_t mRunNumber = 0;
  uint32_t mPercent = 0; // of its work
};

enum class end_kind : uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed, // its lease ended
  Other,
  Count
};

struct ended_task
{
  uint64_t mNumber = 0; // counts the ends of one life of the backend server
  task_key mTask;
  uint32_t mRunNumber = 0;
  end_kind mHow = end_kind::Other;
};

// One look at all that a backend server runs.
struct server_snapshot
{
  int64_t mClockMs = 0;
  int64_t mStartTimeMs = 0; // start of this life; 0 when it does not say
  std::vector<running_task> mRunning;
  std::vector<ended_task> mEnded;
  // Names in either list that are none of ours.
  uint32_t mForeignRunning = 0;
};

// The backend server's announcement of itself.
struct server_announcement
{
  std::string mId;
  std::string mService;
  int64_t mStartTimeMs = 0;
  uint64_t mSequence = 0;
  bool mDraining = false;
  uint32_t mColdLeftMs = 0; // it stays slow for this long after its start
  resources mCapacity;
  std::vector<std::string> mLabels;
};

class backend_runner
{
public:
  virtual ~backend_runner() = default;
  // The answers arrive through the executor's OnStartReply, OnStopReply and
  // OnPollReply, each exactly once.
  virtual void Start(const start_request& aRequest) = 0;
  virtual void Stop(const stop_request& aRequest) = 0;
  virtual void Poll(const poll_request& aRequest) = 0;
  // Names the life of the backend server that later orders are meant for.
  virtual void ExpectInstance(const std::string& aServerId) = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_BACKEND_RUNNER_H_
