// Tests of the history checker: one history for each way to break a promise,
// and one that breaks none. They guard against a checker that misses
// violations, with which the tests that rely on it would pass in vain.

#include <doctest/doctest.h>
#include <functional>

#include "cactusmast/testing/history.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

history_event
Event(int aSeconds, event_kind aKind)
{
  history_event event;
  event.mTime = seconds(aSeconds);
  event.mKind = aKind;
  return event;
}

history_event
Submit(int aSeconds,
       uint64_t aRequest,
       const std::string& aKey,
       uint32_t aCount)
{
  history_event event = Event(aSeconds, event_kind::Submit);
  event.mRequest = aRequest;
  event.mKey = aKey;
  event.mCount = aCount;
  return event;
}

history_event
Start(int aSeconds, const std::string& aKey, uint32_t aIndex)
{
  history_event event = Event(aSeconds, event_kind::TaskStarted);
  event.mProcess = "backend-1";
  event.mKey = aKey;
  event.mIndex = aIndex;
  return event;
}

history_event
Answer(int aSeconds,
       uint64_t aRequest,
       const std::string& aKey,
       uint32_t aCount)
{
  history_event event = Event(aSeconds, event_kind::Answer);
  event.mRequest = aRequest;
  event.mKey = aKey;
  event.mText = "complete";
  for (uint32_t i = 0; i < aCount; i++) {
    event.mTasks.push_back({ "succeeded", "run", ExpectedOutput(aKey, i) });
  }
  return event;
}

history_event
ProcessEvent(int aSeconds,
             event_kind aKind,
             const char* aName,
             uint64_t aVersion = 0)
{
  history_event event = Event(aSeconds, aKind);
  event.mProcess = aName;
  event.mVersion = aVersion;
  return event;
}

// A history without violations.
history
CorrectHistory()
{
  return { ProcessEvent(0, event_kind::ProcessStarted, "entry-1"),
           ProcessEvent(0, event_kind::ConfigInForce, "entry-1", 1),
           Submit(1, 1, "a", 2),
           Start(2, "a", 0),
           Start(2, "a", 1),
           Answer(3, 1, "a", 2),
           ProcessEvent(4, event_kind::ConfigAccepted, "", 2),
           ProcessEvent(5, event_kind::ConfigInForce, "entry-1", 2),
           ProcessEvent(6, event_kind::DrainBegan, "entry-1"),
           ProcessEvent(7, event_kind::ProcessStopped, "entry-1") };
}

// A change to CorrectHistory() that breaks mPromise.
struct broken_case
{
  const char* mName;
  promise mPromise;
  std::function<void(history&)> mBreak;
};

const std::vector<broken_case>&
BrokenCases()
{
  static const std::vector<broken_case> kCases = {
    { "a task starts twice",
      promise::StartsAtMostOnce,
      [](history& aHistory) {
        aHistory.insert(aHistory.begin() + 5, Start(3, "a", 1));
      } },
    { "a non-idempotent task starts twice",
      promise::NonIdempotentOnce,
      [](history& aHistory) {
        aHistory[2].mIdempotent = false;
        aHistory.insert(aHistory.begin() + 5, Start(3, "a", 1));
      } },
    { "an answer lacks a task",
      promise::WholeAnswer,
      [](history& aHistory) { aHistory[5].mTasks.pop_back(); } },
    { "a job with a failed task is answered complete",
      promise::WholeAnswer,
      [](history& aHistory) {
        aHistory[5].mTasks[0] = { "failed", "run", "" };
      } },
    { "a task succeeds but was not started",
      promise::WholeAnswer,
      [](history& aHistory) { aHistory.erase(aHistory.begin() + 4); } },
    { "two answers to a job have different endings",
      promise::WholeAnswer,
      [](history& aHistory) {
        aHistory.push_back(Submit(8, 2, "a", 2));
        aHistory.push_back(Answer(9, 2, "a", 2));
        aHistory.back().mText = "failed";
        aHistory.back().mTasks[0] = { "failed", "run", "" };
      } },
    { "an answer carries another job's output",
      promise::OwnAnswer,
      [](history& aHistory) {
        aHistory[5].mTasks[0].mOutput = ExpectedOutput("b", 0);
      } },
    { "a request gets a reply to another job",
      promise::OwnAnswer,
      [](history& aHistory) { aHistory[5].mKey = "b"; } },
    { "a request gets two replies",
      promise::OwnAnswer,
      [](history& aHistory) { aHistory.push_back(Answer(9, 1, "a", 2)); } },
    { "a request gets no reply",
      promise::OwnAnswer,
      [](history& aHistory) { aHistory.erase(aHistory.begin() + 5); } },
    { "a task of a request that was refused as not run starts",
      promise::RefusedNotRun,
      [](history& aHistory) {
        aHistory[5].mKind = event_kind::Refuse;
        aHistory[5].mRunState = "not_run";
      } },
    { "a task that is reported as not run starts",
      promise::RefusedNotRun,
      [](history& aHistory) {
        aHistory[5].mTasks[0] = { "failed", "not_run", "" };
        aHistory[5].mText = "failed";
      } },
    { "a backend server starts a task after it withdrew",
      promise::NoStartAfterWithdrawal,
      [](history& aHistory) {
        aHistory.push_back(ProcessEvent(8, event_kind::Withdrawn, "backend-1"));
        aHistory.push_back(Submit(9, 2, "b", 1));
        aHistory.push_back(Start(12, "b", 0));
        aHistory.push_back(Answer(13, 2, "b", 1));
      } },
    { "a drain makes a job fail",
      promise::DrainFailsNoJob,
      [](history& aHistory) {
        aHistory[5].mText = "failed";
        aHistory[5].mTasks[0] = { "failed", "unknown", "" };
      } },
    { "a process goes back to an older configuration",
      promise::ConfigurationInForce,
      [](history& aHistory) {
        aHistory.insert(
          aHistory.begin() + 8,
          ProcessEvent(6, event_kind::ConfigInForce, "entry-1", 1));
      } },
    { "a configuration is not in force in time",
      promise::ConfigurationInForce,
      [](history& aHistory) {
        aHistory[7].mTime = aHistory[8].mTime = aHistory[9].mTime = seconds(20);
      } },
  };
  return kCases;
}

} // namespace

TEST_CASE("the checker reports no violation in a correct history")
{
  CHECK(Check(CorrectHistory(), {}).empty());
}

TEST_CASE("the checker reports each way of breaking a promise")
{
  for (const broken_case& broken : BrokenCases()) {
    history changed = CorrectHistory();
    broken.mBreak(changed);
    bool found = false;
    for (const violation& reported : Check(changed, {})) {
      found = found || reported.mPromise == broken.mPromise;
    }
    CHECK_MESSAGE(found, std::string(broken.mName));
  }
}

} // namespace cactusmast::testing
