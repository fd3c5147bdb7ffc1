#include "cactusmast/testing/scenario.h"

#include <functional>
#include <map>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Parses a time with a unit, such as "1.5s".
duration
ReadTime(const YAML::Node& aNode)
{
  std::string text = aNode.as<std::string>();
  size_t unit = text.find_first_not_of("0123456789.");
  double number = std::stod(text.substr(0, unit));
  std::string name = unit == std::string::npos ? "" : text.substr(unit);
  static const std::map<std::string, double> kUnits = {
    { "us", 1 }, { "ms", 1e3 }, { "s", 1e6 }, { "min", 60e6 }, { "h", 3600e6 }
  };
  auto found = kUnits.find(name);
  if (found == kUnits.end()) {
    throw std::runtime_error("not a time with a unit: " + text);
  }
  return duration(int64_t(number * found->second));
}

template<typename T>
T
Get(const YAML::Node& aNode, const char* aKey, T aDefault)
{
  return aNode[aKey] ? aNode[aKey].as<T>() : aDefault;
}

duration
GetTime(const YAML::Node& aNode, const char* aKey, duration aDefault)
{
  return aNode[aKey] ? ReadTime(aNode[aKey]) : aDefault;
}

class scenario_runner
{
public:
  scenario_runner(const YAML::Node& aScenario,
                  const scenario_safeguards& aSafeguards)
    : mScenario(aScenario)
  {
    YAML::Node worldNode = mScenario["world"];
    mOptions.mSeed = Get<uint64_t>(worldNode, "seed", 1);
    mOptions.mEntries = Get<uint32_t>(worldNode, "entries", 2);
    mOptions.mGuards = Get<uint32_t>(worldNode, "guards", 3);
    mOptions.mShards = Get<uint32_t>(worldNode, "shards", 1);
    mOptions.mSlots = Get<uint32_t>(worldNode, "slots", 4);
    mOptions.mRetention =
      GetTime(worldNode, "retention", std::chrono::minutes(5));
    mOptions.mEntrySafeguards = aSafeguards.mEntry;
    mOptions.mGuardSafeguards = aSafeguards.mGuard;
    mOptions.mHealth = aSafeguards.mHealth;
  }

  std::vector<std::string> Run()
  {
    mWorld = PrepareWorld(mOptions);
    mStart = mWorld->Now();
    for (const YAML::Node& step : mScenario["steps"]) {
      duration at = ReadTime(step["at"]);
      uint32_t times = Get<uint32_t>(step, "times", 1);
      duration every = GetTime(step, "every", duration(0));
      for (uint32_t i = 0; i < times; i++) {
        mWorld->At(mStart + at + every * i, [this, step, i, times] {
          RunStep(step, times > 1 ? "-" + std::to_string(i + 1) : "");
        });
      }
    }
    mWorld->RunUntil(mStart + ReadTime(mScenario["until"]));
    check_options options;
    options.mAllAnswered = Get<bool>(mScenario, "all_answered", true);
    options.mConfigDeadline = Get<bool>(mScenario, "config_deadline", true);
    for (const violation& violated : Check(mWorld->History(), options)) {
      mFailures.push_back(Name(violated.mPromise) + ": " + violated.mText);
    }
    for (const YAML::Node& expected : mScenario["expect"]) {
      Expect(expected);
    }
    return mFailures;
  }

private:
  // Returns the name of a process. "owner" stands for the entry that owns shard
  // 0 at present, "other" for the first entry that does not.
  std::string Resolve(const std::string& aName)
  {
    if (aName != "owner" && aName != "other") {
      return aName;
    }
    std::string owner = OwnerOf(*mWorld, mOptions.mEntries, 0);
    if (aName == "owner") {
      if (owner.empty()) {
        throw std::runtime_error("no entry owns shard 0 at this time");
      }
      mLastOwner = owner;
      return owner;
    }
    for (uint32_t i = 1; i <= mOptions.mEntries; i++) {
      std::string name = "entry-" + std::to_string(i);
      if (name != owner) {
        return name;
      }
    }
    return owner;
  }

  uint32_t EntryNumber(const YAML::Node& aStep)
  {
    std::string name = Get<std::string>(aStep, "entry", "1");
    if (name == "owner" || name == "other") {
      name = Resolve(name).substr(sizeof "entry-" - 1);
    }
    return uint32_t(std::stoul(name));
  }

  // Executes one step.
  void RunStep(const YAML::Node& aStep, const std::string& aSuffix)
  {
    auto action = aStep["do"].as<std::string>();
    if (action == "submit") {
      Submit(aStep, aSuffix);
    } else if (action == "cancel") {
      mWorld->Cancel(aStep["key"].as<std::string>() + aSuffix,
                     EntryNumber(aStep));
    } else if (action == "profile") {
      PutProfile(aStep);
    } else if (action == "table") {
      table_faults faults;
      faults.mDown = Get<bool>(aStep, "down", false);
      faults.mLostReplyRate = Get<double>(aStep, "lose_reply", 0);
      faults.mExtraDelay = GetTime(aStep, "slow", duration(0));
      mWorld->SetTableFaults(faults);
    } else if (action == "push_old_config") {
      mWorld->PushOldConfig(Get<uint64_t>(aStep, "version", 1));
    } else if (action == "silence" || action == "block" ||
               action == "unblock" || action == "delay") {
      RunLinkStep(action, aStep);
    } else if (aStep["guard"]) {
      RunBackendStep(action, aStep);
    } else {
      RunProcessStep(action, aStep);
    }
  }

  void Submit(const YAML::Node& aStep, const std::string& aSuffix)
  {
    caller_request request;
    request.mKey = aStep["key"].as<std::string>() + aSuffix;
    request.mTeam = Get<std::string>(aStep, "team", "members");
    request.mProfile = Get<std::string>(aStep, "profile", "quote");
    request.mTasks = Get<uint32_t>(aStep, "tasks", 1);
    request.mRunTime = GetTime(aStep, "run", milliseconds(100));
    request.mTimeout = GetTime(aStep, "wait", seconds(100));
    request.mEntry = EntryNumber(aStep);
    request.mResubmit = Get<bool>(aStep, "persistent", true);
    mWorld->Submit(request);
  }

  void PutProfile(const YAML::Node& aStep)
  {
    profile changed;
    for (const profile& known : ScenarioProfiles()) {
      if (known.mName == aStep["name"].as<std::string>()) {
        changed = known;
      }
    }
    changed.mName = aStep["name"].as<std::string>();
    changed.mService = Get<std::string>(aStep, "service", "ordering");
    changed.mDeadlineMs =
      Get<uint32_t>(aStep, "deadline_ms", changed.mDeadlineMs);
    changed.mAccelerators = Get<uint32_t>(aStep, "accelerators", 0);
    changed.mQueueLimit =
      Get<uint32_t>(aStep, "queue_limit", changed.mQueueLimit);
    changed.mMaxWaitMs =
      Get<uint32_t>(aStep, "max_wait_ms", changed.mMaxWaitMs);
    mWorld->PutProfile(
      EntryNumber(aStep), changed, Get<uint64_t>(aStep, "revision", 1));
  }

  // Executes a step that changes a link between two processes.
  void RunLinkStep(const std::string& aAction, const YAML::Node& aStep)
  {
    std::string from = Resolve(aStep["from"].as<std::string>());
    std::string to = Resolve(aStep["to"].as<std::string>());
    if (Get<bool>(aStep, "last_owner", false)) {
      from = mLastOwner;
    }
    bool both = Get<bool>(aStep, "both", false);
    auto apply = [&](const std::string& aFrom, const std::string& aTo) {
      if (aAction == "silence") {
        mWorld->LoseMessages(aFrom, aTo);
      } else if (aAction == "block") {
        mWorld->Block(aFrom, aTo);
      } else if (aAction == "unblock") {
        mWorld->Unblock(aFrom, aTo);
      } else {
        mWorld->Delay(aFrom, aTo, ReadTime(aStep["by"]));
      }
    };
    apply(from, to);
    if (both) {
      apply(to, from);
    }
  }

  // Executes a step on the backend server of a guard.
  void RunBackendStep(const std::string& aAction, const YAML::Node& aStep)
  {
    auto guard = aStep["guard"].as<uint32_t>();
    if (aAction == "withdraw") {
      mWorld->WithdrawBackend(guard);
    } else if (aAction == "announce") {
      mWorld->AnnounceBackend(guard);
    } else if (aAction == "kill_backend") {
      mWorld->KillBackend(guard);
    } else if (aAction == "accelerators") {
      mWorld->SetAccelerators(guard, Get<uint32_t>(aStep, "count", 1));
    } else if (aAction == "backend") {
      mWorld->SetBackendBehaviour(
        guard, Get<double>(aStep, "speed", 1), Get<double>(aStep, "fail", 0));
    } else {
      throw std::runtime_error("unknown step " + aAction);
    }
  }

  // Executes a step on a process.
  void RunProcessStep(const std::string& aAction, const YAML::Node& aStep)
  {
    std::string name = Get<bool>(aStep, "last_owner", false)
                         ? mLastOwner
                         : Resolve(aStep["process"].as<std::string>());
    static const std::map<std::string, void (world::*)(const std::string&)>
      kSteps = {
        { "kill", &world::Kill },       { "lose_machine", &world::FailMachine },
        { "restart", &world::Restart }, { "pause", &world::Pause },
        { "resume", &world::Resume },   { "drain", &world::Drain }
      };
    auto found = kSteps.find(aAction);
    if (found == kSteps.end()) {
      throw std::runtime_error("unknown step " + aAction);
    }
    (*mWorld.*found->second)(name);
  }

  void AddFailure(const std::string& aText) { mFailures.push_back(aText); }

  // Checks one expectation.
  void Expect(const YAML::Node& aExpected)
  {
    if (aExpected["key"]) {
      uint32_t times = Get<uint32_t>(aExpected, "times", 1);
      for (uint32_t i = 0; i < times; i++) {
        ExpectKey(aExpected,
                  aExpected["key"].as<std::string>() +
                    (times > 1 ? "-" + std::to_string(i + 1) : ""));
      }
    }
    if (aExpected["changes"]) {
      ExpectChanges(aExpected["changes"].as<std::vector<std::string>>());
    }
    if (aExpected["version"]) {
      auto version = aExpected["version"].as<uint64_t>();
      auto number = Get<uint32_t>(aExpected, "entry", 1);
      uint64_t actual = mWorld->Entry(number)->Config().Config().mVersion;
      if (actual != version) {
        AddFailure("version " + std::to_string(actual) + " is in force");
      }
    }
    if (aExpected["backend"]) {
      auto guard = aExpected["backend"].as<uint32_t>();
      uint64_t maxStarts = Get<uint64_t>(aExpected, "at_most", UINT64_MAX);
      uint64_t minStarts = Get<uint64_t>(aExpected, "at_least", 0);
      uint64_t starts = mWorld->TaskStartsAt(guard);
      if (starts > maxStarts || starts < minStarts) {
        AddFailure("tasks started by backend " + std::to_string(guard) + ": " +
                   std::to_string(starts));
      }
    }
  }

  void ExpectKey(const YAML::Node& aExpected, const std::string& aKey)
  {
    std::vector<std::string> answers = mWorld->Answers(aKey);
    std::string allAnswers;
    for (const std::string& answer : answers) {
      allAnswers += " " + answer;
    }
    if (aExpected["answer"]) {
      auto expected = aExpected["answer"].as<std::string>();
      if (answers.empty() || answers.back() != expected) {
        AddFailure(aKey + " ended with" + allAnswers + ", not " + expected);
      }
    }
    if (aExpected["first"]) {
      auto expected = aExpected["first"].as<std::string>();
      if (answers.empty() || answers.front() != expected) {
        AddFailure(aKey + " began with" + allAnswers + ", not " + expected);
      }
    }
    uint32_t starts = mWorld->TaskStarts(aKey);
    if (aExpected["starts"] && starts != aExpected["starts"].as<uint32_t>()) {
      AddFailure(aKey + ": tasks started: " + std::to_string(starts));
    }
    if (aExpected["within"]) {
      ExpectWithin(aKey, ReadTime(aExpected["within"]));
    }
  }

  // Checks the time from the first submission to the last reply.
  void ExpectWithin(const std::string& aKey, duration aLimit)
  {
    event_time first{};
    event_time last{};
    for (const history_event& event : mWorld->History()) {
      if (event.mKey != aKey) {
        continue;
      }
      if (event.mKind == event_kind::Submit && first.count() == 0) {
        first = event.mTime;
      } else if (event.mKind == event_kind::Answer ||
                 event.mKind == event_kind::Refuse) {
        last = event.mTime;
      }
    }
    if (last - first > aLimit) {
      AddFailure(aKey + " took " +
                 std::to_string((last - first).count() / 1000) + " ms");
    }
  }

  void ExpectChanges(const std::vector<std::string>& aExpected)
  {
    std::vector<std::string> actual;
    for (const change_outcome& change : mWorld->Changes()) {
      actual.push_back(change.mAccepted ? "accepted"
                                        : std::string(Name(change.mError)));
    }
    // The first changes are those by PrepareWorld.
    actual.erase(actual.begin(),
                 actual.begin() + long(ScenarioProfiles().size()));
    if (actual != aExpected) {
      std::string outcomes;
      for (const std::string& outcome : actual) {
        outcomes += " " + outcome;
      }
      AddFailure("changes ended with" + outcomes);
    }
  }

  YAML::Node mScenario;
  world_options mOptions;
  std::unique_ptr<world> mWorld;
  instant mStart{};
  std::string mLastOwner;
  std::vector<std::string> mFailures;
};

} // namespace

std::vector<profile>
ScenarioProfiles()
{
  profile quote;
  quote.mName = "quote";
  quote.mService = "ordering";
  quote.mMaxWaitMs = 60000;
  profile confirm = quote;
  confirm.mName = "confirm-cut";
  confirm.mIdempotent = false;
  profile doorCheck = quote;
  doorCheck.mName = "door-check";
  doorCheck.mPriority = 9;
  doorCheck.mDeadlineMs = 5000;
  return { quote, confirm, doorCheck };
}

std::unique_ptr<world>
PrepareWorld(const world_options& aOptions)
{
  auto prepared = std::make_unique<world>(aOptions);
  prepared->RunUntil(prepared->Now() + seconds(3));
  for (const profile& added : ScenarioProfiles()) {
    prepared->PutProfile(1, added, 0);
    prepared->RunUntil(prepared->Now() + milliseconds(100));
  }
  prepared->RunUntil(prepared->Now() + seconds(3));
  return prepared;
}

std::string
OwnerOf(world& aWorld, uint32_t aEntries, uint32_t aShard)
{
  for (uint32_t i = 1; i <= aEntries; i++) {
    for (const auto& shard : aWorld.Entry(i)->Shards(aWorld.Now())) {
      if (shard.mShard == aShard && shard.mLocal) {
        return "entry-" + std::to_string(i);
      }
    }
  }
  return "";
}

std::vector<std::string>
RunScenario(const std::string& aPath, const scenario_safeguards& aSafeguards)
{
  return scenario_runner(YAML::LoadFile(aPath), aSafeguards).Run();
}

} // namespace cactusmast::testing
