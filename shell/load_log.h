// One line of the log for each second in which an entry had work: what it was
// asked for, what became of it, and how well its loop kept up. Single events of
// jobs are left out of the log under load; these counts are complete.
//
//   load_log log(events, loop_load::OfMainContext());
//   log.OnRequest(waited);               // for each request that is read
//   log.Tick(totals, now);               // in each turn of the loop

#ifndef SHELL_LOAD_LOG_H_
#define SHELL_LOAD_LOG_H_

#include "cactusmast/events.h"
#include "cactusmast/job_coordinator.h"
#include "shell/loop_load.h"

namespace cactusmast {

// Counts since the start of an entry, and what it holds now.
struct load_totals
{
  const coordinator_counters& mJobs;
  uint64_t mRequests = 0;    // read from callers
  uint64_t mNotAdmitted = 0; // jobs that admission_control refused
  uint64_t mReports = 0;     // read from executors
  size_t mConnections = 0;
  size_t mOpenJobs = 0;
  size_t mWaitingTasks = 0;
};

class load_log
{
public:
  load_log(event_sink& aEvents, loop_load& aLoop)
    : mEvents(aEvents)
    , mLoop(aLoop)
  {
  }

  // aWaited: how long the request had waited to be read.
  void OnRequest(duration aWaited);
  void Tick(const load_totals& aTotals, instant aNow);

private:
  void Emit(const load_totals& aTotals);

  event_sink& mEvents;
  loop_load& mLoop;
  instant mNextAt{};
  // As of the latest line.
  coordinator_counters mLastJobs;
  uint64_t mLastRequests = 0;
  uint64_t mLastNotAdmitted = 0;
  uint64_t mLastReports = 0;
  // Since the latest line.
  duration mWaitedSum{};
  duration mWaitedMost{};
};

} // namespace cactusmast

#endif // SHELL_LOAD_LOG_H_
