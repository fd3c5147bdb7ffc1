// The recorded events of a run, and a checker that verifies over them the
// promises that the system gives its users. Neither depends on the code under
// test: a history can be written by hand, by a simulated run or from the logs
// of real processes.

#ifndef CACTUSMAST_TESTING_HISTORY_H_
#define CACTUSMAST_TESTING_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusmast::testing {

// Time since an arbitrary start that is the same for the whole history.
using event_time = std::chrono::microseconds;

// The members of history_event that a kind sets are listed after the colon.
enum class event_kind : uint8_t
{
  // A caller sent a request: mRequest, mKey, mCount, mIdempotent.
  Submit,
  // A backend server started a task: mProcess, mKey, mIndex.
  TaskStarted,
  // A request got its answer: mRequest, mKey, mText ("complete" or "failed"),
  // mTasks.
  Answer,
  // A request ended without an answer: mRequest, mKey, mText (the reason),
  // mRunState.
  Refuse,
  // A backend server withdrew, was killed or its guard began to drain:
  // mProcess.
  Withdrawn,
  // A backend server announced itself: mProcess.
  Announced,
  // A configuration version was accepted: mVersion.
  ConfigAccepted,
  // A process put a configuration version in force: mProcess, mVersion.
  ConfigInForce,
  // A process of the system started: mProcess.
  ProcessStarted,
  // A process ended, by a drain or by a fault: mProcess.
  ProcessStopped,
  // The drain of a process began: mProcess.
  DrainBegan,
  // A fault was injected, or something else happened that excuses failed jobs,
  // such as a cancellation. Relaxes some checks.
  Fault,
  Count
};

// The result of one task within an answer.
struct answered_task
{
  std::string mOutcome;  // "succeeded" or another outcome
  std::string mRunState; // "not_run", "run" or "unknown"
  std::string mOutput;
};

struct history_event
{
  event_time mTime{};
  event_kind mKind = event_kind::Submit;
  // Name of a process ("entry-1") or of a backend server ("backend-1").
  std::string mProcess;
  // Number of the caller's request; each submission has its own.
  uint64_t mRequest = 0;
  // Key of the job, the same in all submissions of it.
  std::string mKey;
  // Whether the tasks of the job may run more than once.
  bool mIdempotent = true;
  // Index of the task within its job, from 0.
  uint32_t mIndex = 0;
  // Number of tasks of the job.
  uint32_t mCount = 0;
  // Version of the configuration.
  uint64_t mVersion = 0;
  // The ending of an answered job, or the error of a refused one.
  std::string mText;
  // Whether the tasks of a refused job ran; values as in answered_task.
  std::string mRunState;
  std::vector<answered_task> mTasks;
};

using history = std::vector<history_event>;

// What the system promises its users. Name() gives the name to print.
enum class promise : uint8_t
{
  // Every task starts at most once.
  StartsAtMostOnce,
  // An answer has one result for each task of its job, its ending agrees with
  // the outcomes of the tasks, a task that succeeded was started, and, in
  // histories without faults, all answers to a job have the same ending.
  WholeAnswer,
  // Every request gets exactly one reply, to its own job and with the output
  // of its own tasks.
  OwnAnswer,
  // What is reported as not run was not started.
  RefusedNotRun,
  // A task that is not idempotent starts at most once.
  NonIdempotentOnce,
  // A backend server that has withdrawn starts no task after
  // check_options::mWithdrawalLimit.
  NoStartAfterWithdrawal,
  // In a history with drains and without faults, every answer is "complete".
  DrainFailsNoJob,
  // A new configuration is in force in every running process within
  // check_options::mConfigLimit, and no process goes back to an older one.
  ConfigurationInForce,
  Count
};

std::string
Name(promise aPromise);

// A broken promise.
struct violation
{
  promise mPromise;
  std::string mText;
};

// The output that a fake backend server gives for a task and that the answer
// must carry.
std::string
ExpectedOutput(const std::string& aKey, uint32_t aIndex);

struct check_options
{
  // A withdrawn backend server may still start tasks for this long.
  event_time mWithdrawalLimit = std::chrono::seconds(3);
  // A running process may lack an accepted configuration for this long after
  // the acceptance, and for this long after its own start.
  event_time mConfigLimit = std::chrono::seconds(4);
  // Whether requests without a reply at the end of the history are violations.
  bool mAllAnswered = true;
  // Whether mConfigLimit is checked. False for histories in which a fault cuts
  // processes off from the others. A return to an older configuration is
  // always a violation.
  bool mConfigDeadline = true;
};

// Returns all violations in aHistory, whose events are in order of time; empty
// if every promise is kept.
std::vector<violation>
Check(const history& aHistory, const check_options& aOptions);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_HISTORY_H_
