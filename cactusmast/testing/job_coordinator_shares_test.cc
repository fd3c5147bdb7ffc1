// Limits of routes at a job_coordinator whose executors and other entries are
// played by the test.

#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "cactusmast/job_coordinator.h"
#include "cactusmast/time_spans.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kServerMillis = 32000;
// Enough that a job keeps little capacity idle until all its tasks fit.
constexpr peer_id kServers = 8;
constexpr int kJobsPerStep = 4;
constexpr uint32_t kTaskMillis = 2400;

// Runs dispatched tasks for their declared time and records what is sent.
class played_ports
  : public coordinator_links
  , public job_answers
  , public random_source
  , public event_sink
{
public:
  struct run
  {
    uint64_t mJob = 0;
    uint32_t mStep = 0;
    uint32_t mIndex = 0;
    uint32_t mAttempt = 0;
    uint32_t mRunMs = 0; // 0: it did not fit and was returned
    instant mEndsAt{};
  };

  explicit played_ports(const instant& aNow)
    : mNow(aNow)
  {
  }
  void SendDispatch(peer_id aExecutor, wire::start_tasks_msg aSent) override
  {
    mLastDispatch[aExecutor] = aSent.offer;
    for (const wire::task_attempt& one : aSent.tasks) {
      run added{ aSent.job, aSent.step, one.index(), one.attempt(), 0, mNow };
      if (UsedMillis(aExecutor) + kTaskMillis <= kServerMillis) {
        added.mRunMs = aSent.declared_ms;
        added.mEndsAt = mNow + milliseconds(added.mRunMs);
        mStarted[aSent.job]++;
      }
      mRuns[aExecutor].push_back(added);
    }
  }
  uint32_t UsedMillis(peer_id aExecutor) const
  {
    uint32_t used = 0;
    for (const run& one : mRuns.at(aExecutor)) {
      used += one.mEndsAt > mNow ? kTaskMillis : 0;
    }
    return used;
  }
  void SendStop(peer_id, wire::stop_tasks_msg) override {}
  void Subscribe(peer_id, bool) override {}
  void SendEvacuations(peer_id) override {}
  void Close(peer_id) override {}
  void Answer(caller_id aCaller, const job_outcome& aOutcome) override
  {
    mOutcomes[aCaller] = aOutcome;
  }
  double NextUniform() override { return 0.5; }
  void Emit(event_code aCode, std::vector<event_field>) override
  {
    mEvents[aCode]++;
  }

  const instant& mNow;
  std::map<peer_id, std::vector<run>> mRuns;
  std::map<peer_id, uint64_t> mLastDispatch;
  std::map<uint64_t, uint32_t> mStarted;      // tasks by job
  std::map<caller_id, job_outcome> mOutcomes; // the caller is the job
  std::map<event_code, uint32_t> mEvents;
};

route_config
TwoRoutes()
{
  route_config config;
  config.mVersion = 1;
  for (const char* name : { "urgent", "long" }) {
    route one;
    one.mName = name;
    one.mService = "s";
    one.mTimeoutMs = 8000;
    one.mObjectiveBaseMs = 60;
    one.mObjectiveStretch = 1.6;
    one.mPriority = one.mName == "urgent" ? 0 : 2;
    config.mRoutes.push_back(one);
  }
  return config;
}

overload_settings
SharesOn()
{
  overload_settings settings;
  settings.mRouteShares = true;
  settings.mGuaranteedPercent = 10;
  return settings;
}

overload_settings
DeferralOn()
{
  overload_settings settings;
  settings.mLateDeferral = true;
  return settings;
}

// An entry with kServers backend servers.
struct loaded_entry
{
  explicit loaded_entry(const overload_settings& aOverload = SharesOn())
    : mPorts(mNow)
    , mTable(std::make_shared<const route_table>(TwoRoutes()))
    , mCoordinator("entry",
                   "a",
                   mPorts,
                   mPorts,
                   mPorts,
                   mPorts,
                   mechanism_set{},
                   aOverload)
  {
    for (peer_id peer = 1; peer <= kServers; peer++) {
      peer_identity who;
      who.mName = "executor-" + std::to_string(peer);
      who.mDataCenter = "a";
      mCoordinator.OnExecutorUp(peer, who, mNow);
      mPorts.mRuns[peer];
      Report(peer);
    }
    Pass(milliseconds(200));
  }

  void Report(peer_id aPeer)
  {
    wire::server_report_msg report;
    std::vector<played_ports::run> running;
    uint32_t usedMillis = mPorts.UsedMillis(aPeer);
    instant nextEnd = instant::max();
    for (const played_ports::run& one : mPorts.mRuns[aPeer]) {
      if (one.mEndsAt > mNow) {
        running.push_back(one);
        nextEnd = std::min(nextEnd, one.mEndsAt);
        continue;
      }
      report.ends.emplace_back(uint32_t(one.mJob >> 32),
                               uint32_t(one.mJob),
                               one.mStep,
                               one.mIndex,
                               one.mAttempt,
                               one.mRunMs,
                               uint8_t(one.mRunMs > 0
                                         ? attempt_outcome::Done
                                         : attempt_outcome::NoRoom));
    }
    mPorts.mRuns[aPeer] = running;
    report.last_offer = mPorts.mLastDispatch[aPeer];
    report.state = uint8_t(server_state::Ready);
    report.service = "s";
    report.cpu_millis = kServerMillis;
    report.free_cpu_millis = int32_t(kServerMillis - usedMillis);
    if (usedMillis + kTaskMillis > kServerMillis) {
      report.room_in_ms = uint32_t(ToMs(nextEnd - mNow));
    }
    report.memory_mb = 65536;
    report.free_memory_mb = 65536;
    report.slowness_permille = 1000;
    mCoordinator.OnReport(aPeer, report, mNow);
  }
  uint64_t Submit(const std::string& aRoute)
  {
    bool isUrgent = aRoute == "urgent";
    job_request request;
    request.mJob = ++mLastJob;
    request.mCaller = mLastJob;
    job_step step;
    step.mCount = isUrgent ? 8 : 4;
    step.mSize.mCpuMillis = kTaskMillis;
    step.mSize.mMemoryMb = 100;
    step.mDeclaredMs = isUrgent ? 60 : 900;
    request.mSubmission.mSteps.push_back(step);
    request.mTable = mTable;
    for (const route& one : mTable->Config().mRoutes) {
      request.mRoute = one.mName == aRoute ? &one : request.mRoute;
    }
    mCoordinator.Submit(std::move(request), mNow);
    return mLastJob;
  }
  // Every 20 ms, all executors report.
  void Pass(milliseconds aTime)
  {
    for (instant until = mNow + aTime; mNow < until; mNow += milliseconds(20)) {
      for (const auto& [peer, running] : mPorts.mRuns) {
        Report(peer);
      }
      mCoordinator.Tick(mNow);
    }
  }
  // Submits jobs of each route every 100 ms.
  void Play(milliseconds aTime, int aUrgentJobs, int aLongJobs)
  {
    for (instant until = mNow + aTime; mNow < until;) {
      for (int i = 0; i < aUrgentJobs; i++) {
        mUrgent.push_back(Submit("urgent"));
      }
      for (int i = 0; i < aLongJobs; i++) {
        mLong.push_back(Submit("long"));
      }
      Pass(milliseconds(100));
    }
  }
  // 1.5 times the capacity.
  void Overload(milliseconds aTime) { Play(aTime, kJobsPerStep, kJobsPerStep); }
  void OtherEntry(uint64_t aSequence, uint32_t aLongMillis)
  {
    wire::entry_load_msg load;
    load.sequence = aSequence;
    load.demand.push_back(std::make_unique<wire::route_demand_msg>());
    load.demand.back()->route = "long";
    load.demand.back()->offered_millis = aLongMillis;
    mCoordinator.OnEntryLoad("entry-2/1", load, mNow);
  }
  size_t Completed(const std::vector<uint64_t>& aJobs) const
  {
    size_t count = 0;
    for (uint64_t job : aJobs) {
      auto found = mPorts.mOutcomes.find(job);
      count += found != mPorts.mOutcomes.end() &&
                   found->second.mEnding == job_ending::Completed
                 ? 1
                 : 0;
    }
    return count;
  }
  bool IsLimited(const std::string& aRoute) const
  {
    auto found = mCoordinator.Shares().find(aRoute);
    return found != mCoordinator.Shares().end() &&
           found->second.mLimit.IsLimited();
  }

  instant mNow = milliseconds(1000);
  played_ports mPorts;
  std::shared_ptr<const route_table> mTable;
  job_coordinator mCoordinator;
  uint64_t mLastJob = 0;
  std::vector<uint64_t> mUrgent;
  std::vector<uint64_t> mLong;
};

} // namespace

TEST_CASE("a job over its route's share is refused at once and was not run")
{
  // Guards against refused jobs that hold capacity, were started, or wait for
  // their deadline, and against refusals while capacity is free.
  loaded_entry entry;
  entry.Play(milliseconds(2000), kJobsPerStep, 1); // half the capacity
  entry.Overload(milliseconds(3000));
  size_t refused = 0;
  for (uint64_t job : entry.mLong) {
    auto found = entry.mPorts.mOutcomes.find(job);
    if (found != entry.mPorts.mOutcomes.end() &&
        found->second.mReason == "its route is over its share of the "
                                 "capacity") {
      refused++;
      CHECK(found->second.mEnding == job_ending::Refused);
      CHECK(found->second.mRetryAfter >= milliseconds(1000));
      CHECK(found->second.mRetryAfter <= milliseconds(5500));
      CHECK(entry.mPorts.mStarted.count(job) == 0);
    }
  }
  CHECK(refused > 0);
  CHECK(refused == entry.mCoordinator.Counters().mOverShare);
  CHECK(entry.Completed(entry.mUrgent) * 100 >= entry.mUrgent.size() * 95);
  CHECK(entry.IsLimited("long"));
  CHECK_FALSE(entry.IsLimited("urgent"));
  CHECK(entry.mPorts.mEvents[event_code::SharesChanged] >= 1);
  CHECK(entry.mPorts.mEvents[event_code::SharesChanged] <= 3);
  // All that was counted as in use ends with the jobs.
  entry.Pass(milliseconds(3000));
  for (const auto& [route, share] : entry.mCoordinator.Shares()) {
    CHECK(share.mUsedMillis == 0);
    CHECK(share.mQueuedCoreMicros == 0);
  }
  CHECK_FALSE(entry.IsLimited("long"));
}

TEST_CASE("without loads of others and below the capacity no route is limited")
{
  // Guards against limits from an incomplete view, as when all other entries
  // are lost or run an older release.
  loaded_entry entry;
  loaded_entry without{ overload_settings{} };
  for (loaded_entry* one : { &entry, &without }) {
    for (int i = 0; i < 10; i++) {
      one->mUrgent.push_back(one->Submit("urgent"));
      one->mLong.push_back(one->Submit("long"));
      one->Pass(milliseconds(400));
    }
  }
  CHECK(entry.mPorts.mStarted == without.mPorts.mStarted);
  CHECK(entry.Completed(entry.mLong) == without.Completed(without.mLong));
  CHECK(entry.mPorts.mEvents[event_code::SharesChanged] == 0);
  CHECK(without.mCoordinator.Shares().empty());
}

TEST_CASE("a limit from an older view is lifted when the view expires")
{
  // Guards against limits that outlive the entry whose demand caused them, and
  // against refusals while capacity is free.
  loaded_entry entry;
  entry.OtherEntry(2, 1000000);
  entry.Submit("long");
  entry.Pass(milliseconds(200));
  CHECK(entry.IsLimited("long"));
  // An older load that arrives late changes nothing.
  entry.OtherEntry(1, 0);
  entry.Submit("long");
  entry.Pass(milliseconds(200));
  CHECK(entry.IsLimited("long"));
  for (int i = 0; i < 30; i++) {
    entry.Submit("long");
    entry.Pass(milliseconds(200));
  }
  CHECK_FALSE(entry.IsLimited("long"));
  // Free capacity was lent meanwhile.
  CHECK(entry.mCoordinator.Counters().mRefused == 0);
}

TEST_CASE("limits follow the capacity when an executor is lost")
{
  // Guards against limits that count backend servers that are gone, and
  // against lost tasks that use up the limit for good.
  loaded_entry entry;
  entry.Overload(milliseconds(2000));
  double before = entry.mCoordinator.Shares().at("long").mLimit.Millis();
  for (peer_id peer : { 1, 2 }) {
    entry.mPorts.mRuns.erase(peer);
    entry.mCoordinator.OnExecutorDown(peer, entry.mNow);
  }
  entry.Overload(milliseconds(2000));
  CHECK(entry.mCoordinator.Shares().at("long").mLimit.Millis() < before);
  entry.Pass(milliseconds(15000));
  CHECK(entry.mCoordinator.OpenJobs() == 0);
  CHECK(entry.mCoordinator.Shares().empty());
}

TEST_CASE("jobs of a route that leaves the configuration run to their end")
{
  // Guards against a job that keeps a reference to a route that is gone.
  loaded_entry entry;
  entry.Overload(milliseconds(1500));
  std::vector<uint64_t> open;
  for (uint64_t job : entry.mLong) {
    if (entry.mPorts.mOutcomes.count(job) == 0) {
      open.push_back(job);
    }
  }
  REQUIRE_FALSE(open.empty());
  route_config changed = TwoRoutes();
  changed.mVersion = 2;
  changed.mRoutes.pop_back();
  entry.mTable = std::make_shared<const route_table>(changed);
  for (int i = 0; i < 150; i++) {
    entry.mUrgent.push_back(entry.Submit("urgent"));
    entry.Pass(milliseconds(100));
  }
  for (uint64_t job : open) {
    CHECK(entry.mPorts.mOutcomes.count(job) == 1);
  }
  CHECK(entry.mCoordinator.Shares().count("long") == 0);
}

TEST_CASE("late jobs wait for the end of a wave and are then completed")
{
  // Guards against refusals shortly before capacity becomes free, and against
  // late jobs that delay others.
  loaded_entry entry(DeferralOn());
  loaded_entry without{ overload_settings{} };
  for (loaded_entry* one : { &entry, &without }) {
    one->Overload(milliseconds(4000));
    for (int i = 0; i < 30; i++) {
      one->mUrgent.push_back(one->Submit("urgent"));
      one->Pass(milliseconds(100));
    }
    one->Pass(milliseconds(5000));
  }
  const coordinator_counters& counts = entry.mCoordinator.Counters();
  CHECK(counts.mDeferred > 0);
  CHECK(counts.mDeferredCompleted > 0);
  CHECK(counts.mCompleted > without.mCoordinator.Counters().mCompleted);
  CHECK(entry.mPorts.mEvents[event_code::JobDeferred] == counts.mDeferred);
}

TEST_CASE("a deferred job is refused when no spare capacity is left")
{
  // Guards against a job that is held until its caller's deadline although the
  // forecast that it waits for does not come true.
  loaded_entry entry(DeferralOn());
  entry.Overload(milliseconds(4000));
  for (int i = 0; i < 20 && entry.mCoordinator.Counters().mDeferred == 0; i++) {
    entry.Pass(milliseconds(100));
  }
  REQUIRE(entry.mCoordinator.Counters().mDeferred > 0);
  for (peer_id peer = 1; peer <= kServers; peer++) {
    entry.mPorts.mRuns.erase(peer);
    entry.mCoordinator.OnExecutorDown(peer, entry.mNow);
  }
  // By then, every job that was not started can only be late.
  entry.Pass(milliseconds(800));
  for (const auto& [id, outcome] : entry.mPorts.mOutcomes) {
    CHECK(outcome.mEnding != job_ending::Expired);
  }
  size_t open = 0;
  for (uint64_t job : entry.mLong) {
    bool waits = entry.mPorts.mOutcomes.count(job) == 0;
    open += waits && entry.mPorts.mStarted.count(job) == 0 ? 1 : 0;
  }
  CHECK(open == 0);
}

} // namespace cactusmast::testing
