#include "cactusmast/job_coordinator.h"

#include <algorithm>
#include <array>

namespace cactusmast {
namespace {

constexpr std::array<std::string_view, size_t(job_ending::Count)>
  kEndings = { "completed", "failed", "refused", "expired" };

// An order that would not start by then comes back, so that the task can go
// where there is room by now. Somewhat over the longest wait that is planned.
constexpr uint32_t kStartWithinMs = 40;
// The answer must be back before the caller stops waiting.
constexpr duration kAnswerMargin = milliseconds(12);
// A caller that was refused for want of room is asked to come back after about
// the length of the longest tasks in the queue.
constexpr duration kRetryAfter = milliseconds(1000);

// An answer is worth nothing to its caller after this many times the
// objective: no task is started that could only end later.
constexpr int kUsefulObjectives = 3;
// A task that runs too slowly is started anew elsewhere if it would miss its
// deadline there with less than this chance.
constexpr double kWorthMovingRisk = 0.4;
// Progress is known to about a tenth.
constexpr double kSurelyLate = 1.2;
// With less than this share of all room free, a job that can only be late any
// more and of which nothing was started is refused: it would take the room that
// the next ones need to be in time, so that in the end all are late.
constexpr double kScarceRoom = 0.1;
// Steps that find no place are tried this many at a time: each costs a look at
// all backend servers, about 5 us at 57 of them, and what is tried first is
// most urgent.
constexpr uint32_t kMaxStuckSteps = 24;

double
MsBetween(instant aFrom, instant aTo)
{
  return double((aTo - aFrom).count()) / 1000;
}

instant
MsFrom(instant aNow, double aMs)
{
  return aNow + duration(int64_t(aMs * 1000));
}

} // namespace

std::string_view
Name(job_ending aEnding)
{
  return size_t(aEnding) < kEndings.size() ? kEndings[size_t(aEnding)]
                                           : "invalid";
}

job_coordinator::job_coordinator(std::string aDataCenter,
                                 coordinator_links& aLinks,
                                 job_answers& aAnswers,
                                 random_source& aRandom,
                                 event_sink& aEvents)
  : mDataCenter(std::move(aDataCenter))
  , mLinks(aLinks)
  , mAnswers(aAnswers)
  , mRandom(aRandom)
  , mEvents(aEvents)
{
}

void
job_coordinator::Submit(job_request aRequest, instant aNow)
{
  auto open = mJobs.find(aRequest.mJob);
  if (open != mJobs.end()) {
    // The same job twice at a time is one job with two callers.
    open->second.mCallers.push_back(aRequest.mCaller);
    mCallerJobs[aRequest.mCaller] = aRequest.mJob;
    return;
  }
  const route& way = *aRequest.mRoute;
  for (const job_step& step : aRequest.mSubmission.mSteps) {
    if (CanNeverRun(mViews, way.mService, step)) {
      job_outcome never{ job_ending::Failed, "no backend server can hold it" };
      mCounters.mFailed++;
      mEvents.Emit(event_code::JobRefused,
                   { { "job", JobText(aRequest.mJob) },
                     { "reason", never.mReason },
                     { "cpu_millis", std::to_string(step.mSize.mCpuMillis) },
                     { "servers", std::to_string(mViews.size()) } });
      mAnswers.Answer(aRequest.mCaller, never);
      return;
    }
  }
  mCounters.mAccepted++;
  job& made = mJobs[aRequest.mJob];
  made.mId = aRequest.mJob;
  made.mCallers.push_back(aRequest.mCaller);
  mCallerJobs[aRequest.mCaller] = aRequest.mJob;
  made.mSubmission = std::move(aRequest.mSubmission);
  made.mTable = std::move(aRequest.mTable);
  made.mRoute = aRequest.mRoute;
  made.mAcceptedAt = aNow;
  uint32_t waitMs = way.mTimeoutMs;
  if (aRequest.mWaitMs > 0) {
    waitMs = std::min(waitMs, aRequest.mWaitMs);
  }
  made.mDeadline = aNow + milliseconds(waitMs) - kAnswerMargin;
  uint32_t longest = 0;
  for (size_t s = 0; s < made.mSubmission.mSteps.size(); s++) {
    const job_step& step = made.mSubmission.mSteps[s];
    longest = std::max(longest, step.mEstimateMs);
    made.mTasks.emplace_back(step.mCount);
    made.mLeft += step.mCount;
  }
  made.mObjectiveAt =
    MsFrom(aNow, way.mObjectiveStretch * longest + way.mObjectiveBaseMs);
  made.mUsefulUntil = aNow + kUsefulObjectives * (made.mObjectiveAt - aNow);
  mDeadlines.insert({ made.mDeadline, made.mId });
  for (size_t s = 0; s < made.mTasks.size(); s++) {
    for (size_t i = 0; i < made.mTasks[s].size(); i++) {
      Enqueue(made, { made.mId, uint32_t(s), uint32_t(i) });
    }
  }
  mEvents.Emit(
    event_code::JobAccepted,
    { { "job", JobText(made.mId) },
      { "route", way.mName },
      { "config_version", std::to_string(made.mTable->Config().mVersion) },
      { "tasks", std::to_string(made.mLeft) },
      { "estimate_ms", std::to_string(longest) },
      { "wait_ms", std::to_string(waitMs) } });
  PlaceWaiting(aNow);
}

job_coordinator::waiting_key
job_coordinator::WaitingKey(const job& aJob, const task_key& aKey) const
{
  const job_step& step = aJob.mSubmission.mSteps[aKey.mStep];
  instant latest = aJob.mObjectiveAt - milliseconds(step.mEstimateMs);
  return { latest, aJob.mRoute->mPriority, aKey };
}

void
job_coordinator::Enqueue(const job& aJob, const task_key& aKey)
{
  mWaiting.insert(WaitingKey(aJob, aKey));
  mRoomChanged = true;
}

job_coordinator::task&
job_coordinator::TaskOf(job& aJob, const task_key& aKey)
{
  return aJob.mTasks[aKey.mStep][aKey.mIndex];
}

void
job_coordinator::PlaceWaiting(instant aNow)
{
  mRoomChanged = false;
  for (server_view& view : mViews) {
    view.mAgeMs = MsBetween(view.mReportedAt, aNow);
  }
  std::vector<task_key> order;
  for (const waiting_key& key : mWaiting) {
    order.push_back(std::get<2>(key));
  }
  // Tasks that would meet their objective come first; the others are served
  // from what is left. Otherwise, once work backs up, each answer would be
  // late.
  std::vector<task_key> late =
    PlaceAll(order, placement_aim::InObjective, aNow);
  PlaceAll(ShedLate(late, aNow), placement_aim::BeforeDeadline, aNow);
  SendOrders(aNow);
  std::set<uint64_t> hopeless = std::move(mHopeless);
  mHopeless.clear();
  for (uint64_t id : hopeless) {
    auto found = mJobs.find(id); // it may have been shed in this same turn
    if (found != mJobs.end()) {
      Finish(id, ExpiryOf(found->second), aNow);
    }
  }
}

std::vector<task_key>
job_coordinator::ShedLate(const std::vector<task_key>& aLate, instant aNow)
{
  std::vector<task_key> kept;
  std::set<uint64_t> shed;
  for (const task_key& key : aLate) {
    const job& owner = mJobs.at(key.mJob);
    bool unstarted = !MayHaveRun(owner);
    bool scarce = FreeShare(mViews, owner.mRoute->mService) < kScarceRoom;
    // It may be late only because the backend servers that it would be in time
    // on have no room at this moment.
    bool late = std::get<0>(WaitingKey(owner, key)) <= aNow;
    if (unstarted && scarce && late) {
      shed.insert(key.mJob);
    } else {
      kept.push_back(key);
    }
  }
  for (uint64_t id : shed) {
    Finish(id,
           { job_ending::Refused, "no room within its objective", kRetryAfter },
           aNow);
  }
  return kept;
}

std::vector<task_key>
job_coordinator::PlaceAll(const std::vector<task_key>& aOrder,
                          placement_aim aAim,
                          instant aNow)
{
  // Tasks of one step are alike, so where one found no place the others do
  // not either.
  std::pair<uint64_t, uint32_t> stuck{ 0, UINT32_MAX };
  std::vector<task_key> left;
  uint32_t stuckSteps = 0;
  for (const task_key& key : aOrder) {
    bool alike = std::make_pair(key.mJob, key.mStep) == stuck;
    if (alike || stuckSteps >= kMaxStuckSteps) {
      left.push_back(key);
      continue;
    }
    placement_verdict verdict = PlaceOne(mJobs.at(key.mJob), key, aAim, aNow);
    if (verdict == placement_verdict::Place) {
      continue;
    }
    left.push_back(key);
    stuck = { key.mJob, key.mStep };
    stuckSteps++;
    if (verdict == placement_verdict::Hopeless) {
      mHopeless.insert(key.mJob);
    }
  }
  return left;
}

placement_request
job_coordinator::RequestFor(const job& aJob, const task_key& aKey, instant aNow)
{
  const task& one = aJob.mTasks[aKey.mStep][aKey.mIndex];
  placement_request request;
  request.mStep = &aJob.mSubmission.mSteps[aKey.mStep];
  bool measured = one.mMeasuredMs > 0;
  request.mEstimateMs = measured ? one.mMeasuredMs : request.mStep->mEstimateMs;
  request.mEstimateSigma = measured ? kMeasuredSigma : kDeclaredSigma;
  request.mService = aJob.mRoute->mService;
  request.mDataCenter = mDataCenter;
  request.mAvoid = one.mAvoid;
  instant until =
    measured ? aJob.mDeadline : std::min(aJob.mDeadline, aJob.mUsefulUntil);
  request.mDeadlineMs = MsBetween(aNow, until);
  request.mObjectiveBaseMs =
    aJob.mRoute->mObjectiveBaseMs - MsBetween(aJob.mAcceptedAt, aNow);
  request.mObjectiveStretch = aJob.mRoute->mObjectiveStretch;
  return request;
}

placement_verdict
job_coordinator::PlaceOne(job& aJob,
                          const task_key& aKey,
                          placement_aim aAim,
                          instant aNow)
{
  task& one = TaskOf(aJob, aKey);
  const job_step& step = aJob.mSubmission.mSteps[aKey.mStep];
  placement_request request = RequestFor(aJob, aKey, aNow);
  request.mAim = aAim;
  placement_decision decision = ChooseServer(mViews, request, mRandom);
  if (decision.mVerdict == placement_verdict::Nowhere && one.mAvoid != 0) {
    request.mAvoid = 0;
    decision = ChooseServer(mViews, request, mRandom);
  }
  if (decision.mVerdict != placement_verdict::Place) {
    return decision.mVerdict;
  }
  server_view& view = mViews[decision.mChoice.mView];
  view.mFree -= step.mSize;
  view.mUnreportedCpuMillis += step.mSize.mCpuMillis;
  mWaiting.erase(WaitingKey(aJob, aKey));
  one.mState = task_state::Placed;
  one.mAt = view.mPeer;
  one.mAttempt++;
  mExecutors[view.mPeer].mTasks.insert(aKey);
  auto estimateMs = uint32_t(request.mEstimateMs);
  mOrders[{ view.mPeer, aKey.mJob, aKey.mStep, estimateMs }].push_back(
    aKey.mIndex);
  mCounters.mAttempts++;
  return placement_verdict::Place;
}

void
job_coordinator::SendOrders(instant aNow)
{
  auto toMs = [](duration aSpan) {
    return std::chrono::duration_cast<milliseconds>(aSpan).count();
  };
  for (const auto& [place, indexes] : mOrders) {
    auto [peer, id, stepNumber, estimateMs] = place;
    job& owner = mJobs.at(id);
    executor& at = mExecutors[peer];
    const job_step& step = owner.mSubmission.mSteps[stepNumber];
    wire::start_tasks_msg order;
    order.offer = ++at.mLastOffer;
    order.job = id;
    order.step = stepNumber;
    order.spec = owner.mSubmission.mSpec;
    order.cpu_millis = uint32_t(step.mSize.mCpuMillis);
    order.memory_mb = uint32_t(step.mSize.mMemoryMb);
    order.gpus = uint32_t(step.mSize.mGpus);
    order.estimate_ms = estimateMs;
    order.urgent_in_ms = int32_t(
      toMs(std::get<0>(WaitingKey(owner, { id, stepNumber, 0 })) - aNow));
    order.start_within_ms = kStartWithinMs;
    order.stop_after_ms =
      uint32_t(std::max<int64_t>(0, toMs(owner.mDeadline - aNow)));
    task_size size;
    for (uint32_t index : indexes) {
      order.tasks.emplace_back(index, owner.mTasks[stepNumber][index].mAttempt);
      size += step.mSize;
    }
    at.mUnreported[order.offer] = size;
    mCounters.mOrders++;
    mEvents.Emit(
      event_code::TasksPlaced,
      { { "job", JobText(id) },
        { "server", mViews[at.mView].mName },
        { "tasks", std::to_string(indexes.size()) },
        { "free_cpu_millis",
          std::to_string(mViews[at.mView].mFree.mCpuMillis) },
        { "age_ms",
          std::to_string(toMs(aNow - mViews[at.mView].mReportedAt)) } });
    mLinks.Start(peer, std::move(order));
  }
  mOrders.clear();
}

void
job_coordinator::OnCallerGone(caller_id aCaller, instant aNow)
{
  auto found = mCallerJobs.find(aCaller);
  if (found == mCallerJobs.end()) {
    return;
  }
  uint64_t id = found->second;
  mCallerJobs.erase(found);
  job& left = mJobs.at(id);
  auto& callers = left.mCallers;
  callers.erase(std::remove(callers.begin(), callers.end(), aCaller),
                callers.end());
  if (!callers.empty()) {
    return;
  }
  mCounters.mGivenUp++;
  mEvents.Emit(event_code::JobCancelled,
               { { "job", JobText(id) },
                 { "reason", "its caller is gone" },
                 { "left", std::to_string(left.mLeft) } });
  Withdraw(left, aNow);
  mDeadlines.erase({ left.mDeadline, id });
  mJobs.erase(id);
}

bool
job_coordinator::Cancel(uint64_t aJob, instant aNow)
{
  if (mJobs.count(aJob) == 0) {
    return false;
  }
  Finish(aJob, { job_ending::Failed, "cancelled", {} }, aNow);
  return true;
}

void
job_coordinator::OnExecutorUp(peer_id aPeer,
                              const peer_identity& aWho,
                              instant aNow)
{
  // An executor that connects again has given up its earlier connection, also
  // if this side has not noticed yet.
  for (const server_view& view : mViews) {
    if (view.mName == aWho.mName) {
      peer_id former = view.mPeer;
      mLinks.Drop(former);
      OnExecutorDown(former, aNow);
      break;
    }
  }
  executor& added = mExecutors[aPeer];
  added.mView = mViews.size();
  added.mHeardAt = aNow;
  server_view view;
  view.mPeer = aPeer;
  view.mName = aWho.mName;
  view.mDataCenter = aWho.mDataCenter;
  mViews.push_back(view);
}

void
job_coordinator::OnExecutorDown(peer_id aPeer, instant aNow)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  std::set<task_key> unsure = std::move(found->second.mTasks);
  size_t index = found->second.mView;
  mExecutors.erase(found);
  mViews.erase(mViews.begin() + long(index));
  for (auto& [peer, other] : mExecutors) {
    if (other.mView > index) {
      other.mView--;
    }
  }
  for (const task_key& key : unsure) {
    Settle(key, aNow + kSettleTime);
  }
  if (!unsure.empty()) {
    mEvents.Emit(event_code::WorkerLost,
                 { { "peer", std::to_string(aPeer) },
                   { "tasks_unsettled", std::to_string(unsure.size()) } });
  }
}

void
job_coordinator::Settle(const task_key& aKey, instant aUntil)
{
  auto found = mJobs.find(aKey.mJob);
  if (found == mJobs.end()) {
    return;
  }
  // Nobody can say any more whether it was started.
  found->second.mRan = true;
  task& one = TaskOf(found->second, aKey);
  one.mState = task_state::Settling;
  one.mAt = 0;
  one.mSettledAt = aUntil;
  mCounters.mLost++;
  mSettling.insert({ aUntil, aKey });
}

void
job_coordinator::RefreshFree(executor& aAt)
{
  task_size free = aAt.mReportedFree;
  task_size unreported;
  for (const auto& [offer, size] : aAt.mUnreported) {
    unreported += size;
  }
  free -= unreported;
  mViews[aAt.mView].mFree = free;
  mViews[aAt.mView].mUnreportedCpuMillis = unreported.mCpuMillis;
}

void
job_coordinator::OnReport(peer_id aPeer,
                          const wire::server_report_msg& aSaid,
                          instant aNow)
{
  auto found = mExecutors.find(aPeer);
  if (found == mExecutors.end()) {
    return;
  }
  executor& at = found->second;
  at.mHeardAt = aNow;
  server_view& view = mViews[at.mView];
  auto state = server_state(
    std::min<uint8_t>(aSaid.state, uint8_t(server_state::Count) - 1));
  if (view.mState != state) {
    mEvents.Emit(event_code::ServerStateChanged,
                 { { "server", view.mName },
                   { "before", std::string(Name(view.mState)) },
                   { "now", std::string(Name(state)) } });
  }
  view.mState = state;
  view.mService = aSaid.service;
  view.mCapacity = { aSaid.cpu_millis, aSaid.memory_mb, aSaid.gpus };
  view.mQueuedCpuMillis = aSaid.queued_cpu_millis;
  view.mSlowness = aSaid.slowness_permille / 1000.0;
  view.mMeanRunMs = aSaid.mean_run_ms;
  view.mRoomInMs = aSaid.room_in_ms;
  view.mLabels = aSaid.labels;
  view.mReportedAt = aNow;
  at.mReportedFree = { aSaid.free_cpu_millis,
                       aSaid.free_memory_mb,
                       aSaid.free_gpus };
  at.mUnreported.erase(at.mUnreported.begin(),
                       at.mUnreported.upper_bound(aSaid.last_offer));
  RefreshFree(at);
  mRoomChanged = true;
  for (const wire::task_end& end : aSaid.ends) {
    OnEnd(aPeer, end, aNow);
  }
  for (const wire::task_forecast& forecast : aSaid.too_slow) {
    OnTooSlow(aPeer, forecast, aNow);
  }
}

// The task's own progress is a far better estimate than the declared one. If a
// faster backend server can end it in time after a new start, it is withdrawn
// here; once its end is reported it is placed anew.
void
job_coordinator::OnTooSlow(peer_id aPeer,
                           const wire::task_forecast& aForecast,
                           instant aNow)
{
  task_key key{ uint64_t(aForecast.job_high()) << 32 | aForecast.job_low(),
                aForecast.step(),
                aForecast.index() };
  auto found = mJobs.find(key.mJob);
  auto at = mExecutors.find(aPeer);
  bool known = found != mJobs.end() && at != mExecutors.end() &&
               key.mStep < found->second.mTasks.size() &&
               key.mIndex < found->second.mTasks[key.mStep].size();
  if (!known) {
    return;
  }
  job& owner = found->second;
  task& one = TaskOf(owner, key);
  if (one.mState != task_state::Placed || one.mAt != aPeer ||
      one.mAttempt != aForecast.attempt()) {
    return;
  }
  one.mMeasuredMs =
    uint32_t(aForecast.total_ms() / mViews[at->second.mView].mSlowness);
  placement_request request = RequestFor(owner, key, aNow);
  request.mAvoid = aPeer;
  placement_decision decision = ChooseServer(mViews, request, mRandom);
  bool better = decision.mVerdict == placement_verdict::Place &&
                decision.mChoice.mForecast.mMissRisk < kWorthMovingRisk;
  mEvents.Emit(
    event_code::TaskTooSlow,
    { { "job", JobText(key.mJob) },
      { "index", std::to_string(key.mIndex) },
      { "server", mViews[at->second.mView].mName },
      { "total_ms", std::to_string(aForecast.total_ms()) },
      { "left_ms", std::to_string(int(MsBetween(aNow, owner.mDeadline))) },
      { "declared_ms", std::to_string(request.mStep->mEstimateMs) },
      { "moves", better ? "yes" : "no" } });
  bool hopeless =
    decision.mVerdict == placement_verdict::Hopeless &&
    aForecast.total_ms() > kSurelyLate * MsBetween(aNow, owner.mDeadline);
  if (hopeless) {
    Finish(key.mJob,
           { job_ending::Expired, "cannot end before its deadline", {} },
           aNow);
    return;
  }
  if (!better) {
    return;
  }
  wire::stop_tasks_msg order;
  order.job = key.mJob;
  order.step = key.mStep;
  order.indexes.push_back(key.mIndex);
  mLinks.Stop(aPeer, std::move(order));
}

void
job_coordinator::OnEnd(peer_id aPeer, const wire::task_end& aEnd, instant aNow)
{
  task_key key{ uint64_t(aEnd.job_high()) << 32 | aEnd.job_low(),
                aEnd.step(),
                aEnd.index() };
  auto at = mExecutors.find(aPeer);
  if (at != mExecutors.end()) {
    at->second.mTasks.erase(key);
  }
  auto found = mJobs.find(key.mJob);
  bool known = found != mJobs.end() &&
               key.mStep < found->second.mTasks.size() &&
               key.mIndex < found->second.mTasks[key.mStep].size();
  if (!known) {
    return;
  }
  job& owner = found->second;
  task& one = TaskOf(owner, key);
  bool current = one.mState == task_state::Placed && one.mAt == aPeer &&
                 one.mAttempt == aEnd.attempt();
  if (!current) {
    return;
  }
  auto outcome = attempt_outcome(aEnd.outcome());
  if (outcome == attempt_outcome::Done) {
    one.mState = task_state::Done;
    if (--owner.mLeft == 0) {
      Finish(key.mJob, { job_ending::Completed, "", {} }, aNow);
    }
    return;
  }
  std::string server =
    at == mExecutors.end() ? "" : mViews[at->second.mView].mName;
  mEvents.Emit(event_code::AttemptEnded,
               { { "job", JobText(key.mJob) },
                 { "server", server },
                 { "index", std::to_string(key.mIndex) },
                 { "attempt", std::to_string(one.mAttempt) },
                 { "outcome", std::string(Name(outcome)) },
                 { "run_ms", std::to_string(aEnd.run_ms()) } });
  one.mState = task_state::Waiting;
  one.mAt = 0;
  if (NeverStarted(outcome)) {
    mCounters.mBounced++;
  } else {
    one.mAvoid = aPeer;
    owner.mRan = true;
  }
  if (outcome == attempt_outcome::Failed &&
      ++one.mFailures >= std::max<uint32_t>(1, owner.mRoute->mMaxAttempts)) {
    Finish(key.mJob,
           { job_ending::Failed, "a task failed in every attempt", {} },
           aNow);
    return;
  }
  Enqueue(owner, key);
}

void
job_coordinator::Release(const task_key& aKey)
{
  auto found = mJobs.find(aKey.mJob);
  if (found == mJobs.end()) {
    return;
  }
  task& one = TaskOf(found->second, aKey);
  if (one.mState == task_state::Settling) {
    one.mState = task_state::Waiting;
    Enqueue(found->second, aKey);
  }
}

void
job_coordinator::ExpireSettling(instant aNow)
{
  while (!mSettling.empty() && mSettling.begin()->first <= aNow) {
    task_key key = mSettling.begin()->second;
    mSettling.erase(mSettling.begin());
    Release(key);
  }
}

// Stops and forgets all tasks of a job that nobody waits for any more.
void
job_coordinator::Withdraw(job& aJob, instant aNow)
{
  (void)aNow;
  std::map<std::pair<peer_id, uint32_t>, std::vector<uint32_t>> stops;
  for (size_t s = 0; s < aJob.mTasks.size(); s++) {
    for (size_t i = 0; i < aJob.mTasks[s].size(); i++) {
      task& one = aJob.mTasks[s][i];
      task_key key{ aJob.mId, uint32_t(s), uint32_t(i) };
      if (one.mState == task_state::Waiting) {
        mWaiting.erase(WaitingKey(aJob, key));
      } else if (one.mState == task_state::Placed) {
        stops[{ one.mAt, uint32_t(s) }].push_back(uint32_t(i));
        mExecutors[one.mAt].mTasks.erase(key);
      } else if (one.mState == task_state::Settling) {
        mSettling.erase({ one.mSettledAt, key });
      }
    }
  }
  for (auto& [place, indexes] : stops) {
    wire::stop_tasks_msg order;
    order.job = aJob.mId;
    order.step = place.second;
    order.indexes = std::move(indexes);
    mLinks.Stop(place.first, std::move(order));
  }
}

void
job_coordinator::LogOutcome(const job& aJob,
                            const job_outcome& aOutcome,
                            instant aNow)
{
  auto tookMs =
    std::chrono::duration_cast<milliseconds>(aNow - aJob.mAcceptedAt).count();
  uint32_t waiting = 0;
  uint32_t settling = 0;
  uint32_t attempts = 0;
  for (const auto& step : aJob.mTasks) {
    for (const task& one : step) {
      waiting += one.mState == task_state::Waiting ? 1 : 0;
      settling += one.mState == task_state::Settling ? 1 : 0;
      attempts += one.mAttempt;
    }
  }
  mEvents.Emit(event_code::JobDecided,
               { { "job", JobText(aJob.mId) },
                 { "route", aJob.mRoute->mName },
                 { "ending", std::string(Name(aOutcome.mEnding)) },
                 { "reason", aOutcome.mReason },
                 { "took_ms", std::to_string(tookMs) },
                 { "in_objective", aNow <= aJob.mObjectiveAt ? "yes" : "no" },
                 { "left", std::to_string(aJob.mLeft) },
                 { "waiting", std::to_string(waiting) },
                 { "settling", std::to_string(settling) },
                 { "attempts", std::to_string(attempts) } });
}

void
job_coordinator::Finish(uint64_t aJob,
                        const job_outcome& aOutcome,
                        instant aNow)
{
  job& ended = mJobs.at(aJob);
  switch (aOutcome.mEnding) {
    case job_ending::Completed:
      mCounters.mCompleted++;
      break;
    case job_ending::Refused:
      mCounters.mRefused++;
      break;
    case job_ending::Expired:
      mCounters.mExpired++;
      break;
    default:
      mCounters.mFailed++;
      break;
  }
  LogOutcome(ended, aOutcome, aNow);
  Withdraw(ended, aNow);
  mDeadlines.erase({ ended.mDeadline, aJob });
  std::vector<caller_id> callers = std::move(ended.mCallers);
  mJobs.erase(aJob);
  for (caller_id caller : callers) {
    mCallerJobs.erase(caller);
    mAnswers.Answer(caller, aOutcome);
  }
}

bool
job_coordinator::MayHaveRun(const job& aJob) const
{
  if (aJob.mRan) {
    return true;
  }
  for (const auto& step : aJob.mTasks) {
    for (const task& one : step) {
      if (one.mState != task_state::Waiting) {
        return true;
      }
    }
  }
  return false;
}

job_outcome
job_coordinator::ExpiryOf(const job& aJob) const
{
  if (MayHaveRun(aJob)) {
    return { job_ending::Expired, "its time ran out", {} };
  }
  return { job_ending::Refused, "no room in its time", kRetryAfter };
}

void
job_coordinator::ExpireJobs(instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    uint64_t id = mDeadlines.begin()->second;
    Finish(id, ExpiryOf(mJobs.at(id)), aNow);
  }
}

void
job_coordinator::DropSilentExecutors(instant aNow)
{
  std::vector<peer_id> silent;
  for (const auto& [peer, at] : mExecutors) {
    if (aNow - at.mHeardAt > kExecutorSilence) {
      silent.push_back(peer);
    }
  }
  for (peer_id peer : silent) {
    mEvents.Emit(event_code::PeerSilent,
                 { { "peer", mViews[mExecutors[peer].mView].mName } });
    mLinks.Drop(peer);
    OnExecutorDown(peer, aNow);
  }
}

void
job_coordinator::Tick(instant aNow)
{
  DropSilentExecutors(aNow);
  ExpireSettling(aNow);
  ExpireJobs(aNow);
  if (mRoomChanged && !mWaiting.empty()) {
    PlaceWaiting(aNow);
  }
}

uint32_t
job_coordinator::UnstartedJobs(const std::string& aRoute) const
{
  uint32_t count = 0;
  for (const auto& [id, one] : mJobs) {
    count += one.mRoute->mName == aRoute && !MayHaveRun(one) ? 1 : 0;
  }
  return count;
}

size_t
job_coordinator::ReadyServers() const
{
  return size_t(
    std::count_if(mViews.begin(), mViews.end(), [](const server_view& aView) {
      return aView.mState == server_state::Ready;
    }));
}

} // namespace cactusmast
