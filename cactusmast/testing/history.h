// Recorded events of a run, and a checker of the users' promises over them.
// Both know nothing of the code under test: a history can be written by hand,
// by a virtual run or from the logs of real processes.

#ifndef CACTUSMAST_TESTING_HISTORY_H_
#define CACTUSMAST_TESTING_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusmast::testing {

using event_time = std::chrono::microseconds;

enum class event_kind : uint8_t
{
  Submit,         // a caller's request: mRequest, mKey, mCount tasks
  TaskStarted,    // a backend server began a task: mProcess, mKey, mIndex
  Answer,         // mRequest, mKey, mText "complete" or "failed", mTasks
  Refuse,         // mRequest, mKey, mText error code, mRunState
  Withdrawn,      // a backend server withdrew or was withdrawn: mProcess
  Announced,      // a backend server announced itself: mProcess
  ConfigAccepted, // a configuration version was accepted: mVersion
  ConfigInForce,  // mProcess has mVersion in force
  ProcessStarted, // a process of the system started: mProcess
  ProcessStopped, // a process ended, planned or not: mProcess
  DrainBegan,     // a planned stop began: mProcess
  Fault,          // something unplanned was done to the system
  Count
};

// A task's part of an answer.
struct answered_task
{
  std::string mOutcome;  // "succeeded", "failed"
  std::string mRunState; // "not_run", "run", "unknown"
  std::string mOutput;
};

struct history_event
{
  event_time mTime{};
  event_kind mKind = event_kind::Submit;
  std::string mProcess;
  uint64_t mRequest = 0;
  std::string mKey;
  bool mIdempotent = true;
  uint32_t mIndex = 0;
  uint32_t mCount = 0;
  uint64_t mVersion = 0;
  std::string mText;
  std::string mRunState;
  std::vector<answered_task> mTasks;
};

using history = std::vector<history_event>;

enum class promise : uint8_t
{
  StartsAtMostOnce,
  WholeAnswer,
  OwnAnswer,
  RefusedNotRun,
  NonIdempotentOnce,
  NothingAfterLeaving,
  PlannedStopCutsNothing,
  ConfigurationInForce,
  Count
};

std::string
Name(promise aPromise);

struct violation
{
  promise mPromise;
  std::string mText;
};

// Output that a backend server gives for a task, which answers must carry.
std::string
ExpectedOutput(const std::string& aKey, uint32_t aIndex);

struct check_options
{
  event_time mWithdrawalLimit = std::chrono::seconds(3);
  event_time mConfigLimit = std::chrono::seconds(4);
  // Requests still open at the end of the history are violations.
  bool mAllAnswered = true;
  // Processes that a fault cut off from the rest are excused from having a
  // new configuration in force in time, but never from going back.
  bool mConfigDeadline = true;
};

std::vector<violation>
Check(const history& aHistory, const check_options& aOptions);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_HISTORY_H_
