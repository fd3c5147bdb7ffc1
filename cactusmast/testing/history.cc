#include "cactusmast/testing/history.h"

#include <algorithm>
#include <map>
#include <set>

namespace cactusmast::testing {
namespace {

using task_key = std::pair<std::string, uint32_t>;

class checker
{
public:
  checker(const history& aHistory, const check_options& aOptions)
    : mHistory(aHistory)
    , mOptions(aOptions)
  {
  }

  std::vector<violation> Run()
  {
    Collect();
    CheckStarts();
    CheckAnswers();
    CheckRefusals();
    CheckWithdrawals();
    CheckDrains();
    CheckConfiguration();
    return mViolations;
  }

private:
  void Report(promise aPromise, const std::string& aText)
  {
    mViolations.push_back({ aPromise, aText });
  }

  void Collect()
  {
    for (const history_event& event : mHistory) {
      if (event.mKind == event_kind::Submit) {
        mSubmits[event.mRequest] = &event;
        mIdempotent[event.mKey] = event.mIdempotent;
      } else if (event.mKind == event_kind::TaskStarted) {
        mStartCounts[{ event.mKey, event.mIndex }]++;
        mStartedKeys.insert(event.mKey);
      } else if (event.mKind == event_kind::Fault) {
        mHasFaults = true;
      }
    }
  }

  void CheckStarts()
  {
    for (const auto& [task, count] : mStartCounts) {
      if (count <= 1) {
        continue;
      }
      std::string text = task.first + "." + std::to_string(task.second) +
                         " started " + std::to_string(count) + " times";
      Report(promise::StartsAtMostOnce, text);
      if (!mIdempotent[task.first]) {
        Report(promise::NonIdempotentOnce, text);
      }
    }
  }

  void CheckAnswers()
  {
    std::set<uint64_t> answered;
    std::map<std::string, const history_event*> firstAnswers;
    for (const history_event& event : mHistory) {
      bool isReply =
        event.mKind == event_kind::Answer || event.mKind == event_kind::Refuse;
      if (!isReply) {
        continue;
      }
      auto submit = mSubmits.find(event.mRequest);
      if (submit == mSubmits.end() || submit->second->mKey != event.mKey) {
        Report(promise::OwnAnswer,
               "request " + std::to_string(event.mRequest) +
                 " got a reply to job " + event.mKey);
        continue;
      }
      if (!answered.insert(event.mRequest).second) {
        Report(promise::OwnAnswer,
               "request " + std::to_string(event.mRequest) +
                 " got two replies");
      }
      if (event.mKind == event_kind::Answer) {
        CheckAnswerTasks(event, submit->second->mCount);
        CheckSameEnding(event, &firstAnswers);
      }
    }
    for (const auto& [request, submit] : mSubmits) {
      if (mOptions.mAllAnswered && answered.count(request) == 0) {
        Report(promise::OwnAnswer,
               "request " + std::to_string(request) + " (" + submit->mKey +
                 ") got no reply");
      }
    }
  }

  void CheckAnswerTasks(const history_event& aAnswer, uint32_t aCount)
  {
    if (aAnswer.mTasks.size() != aCount) {
      Report(promise::WholeAnswer,
             aAnswer.mKey + ": " + std::to_string(aAnswer.mTasks.size()) +
               " of " + std::to_string(aCount) + " tasks are in the answer");
      return;
    }
    bool allSucceeded = true;
    for (uint32_t i = 0; i < aAnswer.mTasks.size(); i++) {
      const answered_task& task = aAnswer.mTasks[i];
      task_key key{ aAnswer.mKey, i };
      bool succeeded = task.mOutcome == "succeeded";
      allSucceeded = allSucceeded && succeeded;
      if (succeeded && task.mOutput != ExpectedOutput(aAnswer.mKey, i)) {
        Report(promise::OwnAnswer,
               aAnswer.mKey + "." + std::to_string(i) +
                 " has the wrong output: " + task.mOutput);
      }
      if (succeeded && mStartCounts.count(key) == 0) {
        Report(promise::WholeAnswer,
               aAnswer.mKey + "." + std::to_string(i) +
                 " succeeded but was not started");
      }
      if (!succeeded && task.mRunState == "not_run" &&
          mStartCounts.count(key) > 0) {
        Report(promise::RefusedNotRun,
               aAnswer.mKey + "." + std::to_string(i) +
                 " is reported as not run but was started");
      }
    }
    if (allSucceeded != (aAnswer.mText == "complete")) {
      Report(promise::WholeAnswer,
             aAnswer.mKey + " is answered " + aAnswer.mText +
               ", which contradicts the outcomes of its tasks");
    }
  }

  // All answers to a job must have the same ending. Not checked if there were
  // faults.
  void CheckSameEnding(
    const history_event& aAnswer,
    std::map<std::string, const history_event*>* aFirstAnswers)
  {
    auto [earlier, isFirst] = aFirstAnswers->emplace(aAnswer.mKey, &aAnswer);
    if (isFirst || mHasFaults) {
      return;
    }
    if (earlier->second->mText != aAnswer.mText) {
      Report(promise::WholeAnswer,
             aAnswer.mKey + " was answered " + earlier->second->mText +
               " and then " + aAnswer.mText);
    }
  }

  void CheckRefusals()
  {
    // If every request with a key was refused as not run, no task of that key
    // may have started.
    std::map<std::string, bool> onlyRefused;
    for (const history_event& event : mHistory) {
      if (event.mKind == event_kind::Submit) {
        onlyRefused.emplace(event.mKey, true);
      }
    }
    std::map<uint64_t, bool> refusedAsNotRun;
    for (const history_event& event : mHistory) {
      if (event.mKind == event_kind::Refuse && event.mRunState == "not_run") {
        refusedAsNotRun[event.mRequest] = true;
      }
    }
    for (const auto& [request, submit] : mSubmits) {
      if (refusedAsNotRun.count(request) == 0) {
        onlyRefused[submit->mKey] = false;
      }
    }
    for (const auto& [key, refused] : onlyRefused) {
      if (refused && mStartedKeys.count(key) > 0) {
        Report(promise::RefusedNotRun,
               key + " was refused as not run but was started");
      }
    }
  }

  void CheckWithdrawals()
  {
    std::map<std::string, event_time> withdrawnAt;
    for (const history_event& event : mHistory) {
      if (event.mKind == event_kind::Withdrawn) {
        withdrawnAt[event.mProcess] = event.mTime;
      } else if (event.mKind == event_kind::Announced) {
        withdrawnAt.erase(event.mProcess);
      } else if (event.mKind == event_kind::TaskStarted) {
        auto withdrawal = withdrawnAt.find(event.mProcess);
        if (withdrawal != withdrawnAt.end() &&
            event.mTime > withdrawal->second + mOptions.mWithdrawalLimit) {
          Report(promise::NoStartAfterWithdrawal,
                 event.mProcess + " started a task of " + event.mKey +
                   " after it withdrew");
        }
      }
    }
  }

  void CheckDrains()
  {
    bool drained = std::any_of(
      mHistory.begin(), mHistory.end(), [](const history_event& aEvent) {
        return aEvent.mKind == event_kind::DrainBegan;
      });
    if (!drained || mHasFaults) {
      return;
    }
    for (const history_event& event : mHistory) {
      if (event.mKind == event_kind::Answer && event.mText != "complete") {
        Report(promise::DrainFailsNoJob,
               event.mKey + " ended " + event.mText +
                 " though processes were only drained");
      }
    }
  }

  void CheckConfiguration()
  {
    std::map<std::string, uint64_t> inForce;
    std::set<std::string> alive;
    std::map<std::string, event_time> startedAt;
    uint64_t newestVersion = 0;
    event_time newestAcceptedAt{};
    event_time end = mHistory.empty() ? event_time{} : mHistory.back().mTime;
    for (const history_event& event : mHistory) {
      if (newestVersion > 0 &&
          event.mTime > newestAcceptedAt + mOptions.mConfigLimit) {
        CheckLagging(alive, startedAt, inForce, newestVersion, event.mTime);
      }
      switch (event.mKind) {
        case event_kind::ProcessStarted:
          alive.insert(event.mProcess);
          startedAt[event.mProcess] = event.mTime;
          break;
        case event_kind::ProcessStopped:
          alive.erase(event.mProcess);
          break;
        case event_kind::ConfigAccepted:
          newestVersion = std::max(newestVersion, event.mVersion);
          newestAcceptedAt = event.mTime;
          break;
        case event_kind::ConfigInForce:
          if (event.mVersion < inForce[event.mProcess]) {
            Report(promise::ConfigurationInForce,
                   event.mProcess + " went back from configuration version " +
                     std::to_string(inForce[event.mProcess]) + " to " +
                     std::to_string(event.mVersion));
          }
          inForce[event.mProcess] = event.mVersion;
          break;
        default:
          break;
      }
    }
    if (newestVersion > 0 && end > newestAcceptedAt + mOptions.mConfigLimit) {
      CheckLagging(alive, startedAt, inForce, newestVersion, end);
    }
  }

  void CheckLagging(const std::set<std::string>& aAlive,
                    const std::map<std::string, event_time>& aStartedAt,
                    const std::map<std::string, uint64_t>& aInForce,
                    uint64_t aNewestVersion,
                    event_time aNow)
  {
    if (!mOptions.mConfigDeadline) {
      return;
    }
    for (const std::string& process : aAlive) {
      auto version = aInForce.find(process);
      bool lagging =
        version == aInForce.end() || version->second < aNewestVersion;
      bool recentlyStarted =
        aNow <= aStartedAt.at(process) + mOptions.mConfigLimit;
      if (lagging && !recentlyStarted && mLagging.insert(process).second) {
        Report(promise::ConfigurationInForce,
               process + " does not have configuration version " +
                 std::to_string(aNewestVersion) + " in force in time");
      }
    }
  }

  const history& mHistory;
  const check_options& mOptions;
  std::map<uint64_t, const history_event*> mSubmits; // by mRequest
  std::map<std::string, bool> mIdempotent;           // by mKey
  std::map<task_key, uint32_t> mStartCounts;
  std::set<std::string> mStartedKeys;
  std::set<std::string> mLagging; // processes already reported
  bool mHasFaults = false;
  std::vector<violation> mViolations;
};

} // namespace

std::string
Name(promise aPromise)
{
  static const char* const kNames[] = { "starts_at_most_once",
                                        "whole_answer",
                                        "own_answer",
                                        "refused_not_run",
                                        "non_idempotent_once",
                                        "nothing_after_leaving",
                                        "planned_stop_cuts_nothing",
                                        "configuration_in_force" };
  return kNames[size_t(aPromise)];
}

std::string
ExpectedOutput(const std::string& aKey, uint32_t aIndex)
{
  return "output of " + aKey + "." + std::to_string(aIndex);
}

std::vector<violation>
Check(const history& aHistory, const check_options& aOptions)
{
  return checker(aHistory, aOptions).Run();
}

} // namespace cactusmast::testing
