#include "cactusmast/testing/sized_load.h"

#include <cmath>

namespace cactusmast::testing {
namespace {

// Number of tasks of the world that fit in a backend server.
constexpr double kTasksPerServer = 10;
// Much longer than all objectives.
constexpr uint32_t kCallerTimeoutMs = 8000;
// As in the world's routes.
constexpr uint32_t kObjectiveBaseMs = 60;
constexpr double kObjectiveStretch = 1.6;
constexpr double kHotEntryWeight = 5;
constexpr size_t kEntriesPerHotEntry = 10;

struct job_kind
{
  const char* mName;
  uint32_t mPriority;
  double mShare; // of all jobs
  uint32_t mTasks;
  uint32_t mWorkMs;

  double WorkS() const { return mTasks * mWorkMs / 1000.0; }
};

// By load_kind.
constexpr job_kind kKinds[size_t(load_kind::Count)] = {
  { "urgent", 0, 0.24, 8, 60 },
  { "long", 2, 0.05, 4, 900 },
  { "middle", 1, 0.71, 2, 200 }
};

struct planned_job
{
  size_t mKind = 0;
  size_t mEntry = 0;
  duration mSubmitAfter{};
  double mDeclaredMs = 0;
};

struct submitted_job
{
  size_t mKind = 0;
  size_t mEntry = 0;
  instant mAt{};
};

double
JobsPerSecond(sized_world* aWorld, double aLoad)
{
  double speed = 0;
  for (size_t i = 0; i < aWorld->Servers(); i++) {
    speed += aWorld->Server(i).mSpeed;
  }
  double workS = 0;
  for (const job_kind& kind : kKinds) {
    workS += kind.mShare * kind.WorkS();
  }
  workS *= aWorld->MeanWorkFactor();
  return aLoad * speed * kTasksPerServer / workS;
}

size_t
DrawKind(std::mt19937* aRandom)
{
  double remaining = std::uniform_real_distribution<>(0, 1)(*aRandom);
  size_t kind = 0;
  while (kind + 1 < std::size(kKinds) && remaining >= kKinds[kind].mShare) {
    remaining -= kKinds[kind].mShare;
    kind++;
  }
  return kind;
}

std::discrete_distribution<size_t>
EntryWeights(size_t aEntries)
{
  std::vector<double> weights(aEntries, 1);
  for (size_t i = 0; i < aEntries; i += kEntriesPerHotEntry) {
    weights[i] = kHotEntryWeight;
  }
  return { weights.begin(), weights.end() };
}

// At random, according to the swing of the plan.
duration
DrawSubmitTime(const load_plan& aPlan, std::mt19937* aRandom)
{
  std::uniform_int_distribution<int64_t> times(0, aPlan.mSpan.count());
  std::uniform_real_distribution<> acceptance(0, 1 + aPlan.mSwing);
  while (true) {
    duration time(times(*aRandom));
    if (aPlan.mSwing == 0) {
      return time;
    }
    double phase =
      2 * M_PI * double(time.count()) / double(aPlan.mPeriod.count());
    if (acceptance(*aRandom) < 1 + aPlan.mSwing * std::sin(phase)) {
      return time;
    }
  }
}

double
DrawDeclaredMs(const load_plan& aPlan, size_t aKind, std::mt19937* aRandom)
{
  double declared = kKinds[aKind].mWorkMs;
  if (aPlan.mDeclaredSigma > 0) {
    declared *=
      std::lognormal_distribution<>(0, aPlan.mDeclaredSigma)(*aRandom);
  }
  return declared;
}

std::vector<planned_job>
PlanJobs(sized_world* aWorld, const load_plan& aPlan, std::mt19937* aRandom)
{
  std::discrete_distribution<size_t> entries = EntryWeights(aWorld->Entries());
  double perSecond = JobsPerSecond(aWorld, aPlan.mLoad);
  std::vector<planned_job> jobs(
    size_t(perSecond * double(aPlan.mSpan.count()) / 1e6));
  for (planned_job& job : jobs) {
    job.mKind = DrawKind(aRandom);
    job.mEntry = entries(*aRandom);
    job.mSubmitAfter = DrawSubmitTime(aPlan, aRandom);
    job.mDeclaredMs = DrawDeclaredMs(aPlan, job.mKind, aRandom);
  }
  if (!aPlan.mSurge) {
    return jobs;
  }
  const load_surge& surge = *aPlan.mSurge;
  auto kind = size_t(surge.mKind);
  auto additional = size_t((surge.mFactor - 1) * kKinds[kind].mShare *
                           perSecond * double(surge.mFor.count()) / 1e6);
  std::uniform_int_distribution<int64_t> times(0, surge.mFor.count());
  for (size_t i = 0; i < additional; i++) {
    planned_job job;
    job.mKind = kind;
    job.mEntry = surge.mEntry ? *surge.mEntry : entries(*aRandom);
    job.mSubmitAfter = surge.mFrom + duration(times(*aRandom));
    job.mDeclaredMs = DrawDeclaredMs(aPlan, job.mKind, aRandom);
    jobs.push_back(job);
  }
  return jobs;
}

void
CountEnding(job_ending aEnding, bool aInTime, load_counts* aOut)
{
  if (aEnding == job_ending::Refused) {
    aOut->mRefused++;
  } else if (aEnding == job_ending::Completed) {
    (aInTime ? aOut->mInTime : aOut->mLate)++;
  }
}

void
Count(const caller_record& aCaller,
      const submitted_job& aJob,
      double aLongestWorkFactor,
      load_result* aOut)
{
  if (!aCaller.mAnswered) {
    return;
  }
  const job_kind& kind = kKinds[aJob.mKind];
  duration responseTime = aCaller.mAnsweredAt - aJob.mAt;
  double responseMs = double(responseTime.count()) / 1000;
  double longestMs = aLongestWorkFactor * kind.mWorkMs;
  bool inTime = responseMs <= kObjectiveStretch * longestMs + kObjectiveBaseMs;
  auto byKind = load_kind(aJob.mKind);
  for (load_counts* counts : { static_cast<load_counts*>(aOut),
                               &aOut->mByKind[byKind],
                               &aOut->mByEntry[aJob.mEntry][byKind] }) {
    CountEnding(aCaller.mEnding, inTime, counts);
  }
  if (aCaller.mEnding != job_ending::Completed) {
    return;
  }
  aOut->mRatios.push_back(responseMs / longestMs);
  aOut->mInTimeWorkS += inTime ? kind.WorkS() : 0;
}

void
SetRoutesOfKinds(sized_world* aWorld)
{
  std::vector<world_route> routes;
  for (const job_kind& kind : kKinds) {
    routes.push_back(
      { kind.mName, kind.mPriority, kObjectiveBaseMs, kObjectiveStretch });
  }
  aWorld->SetRoutes(routes);
}

load_result
Play(sized_world* aWorld,
     const load_plan& aPlan,
     uint32_t aSeed,
     bool aRoutesOfKinds)
{
  std::mt19937 random(aSeed);
  std::map<uint64_t, submitted_job> submitted;
  load_result totals;
  totals.mByEntry.resize(aWorld->Entries());
  for (const planned_job& job : PlanJobs(aWorld, aPlan, &random)) {
    totals.mJobs++;
    totals.mByKind[load_kind(job.mKind)].mJobs++;
    totals.mByEntry[job.mEntry][load_kind(job.mKind)].mJobs++;
    aWorld->At(job.mSubmitAfter, [aWorld, job, aRoutesOfKinds, &submitted] {
      const job_kind& chosen = kKinds[job.mKind];
      uint64_t id = aWorld->Submit(job.mEntry,
                                   chosen.mTasks,
                                   chosen.mWorkMs,
                                   kCallerTimeoutMs,
                                   uint32_t(job.mDeclaredMs),
                                   aRoutesOfKinds ? job.mKind : 0);
      submitted[id] = { job.mKind, job.mEntry, aWorld->Now() };
    });
  }
  aWorld->Run(aPlan.mSpan + aPlan.mCompletionTime);
  for (const caller_record& caller : aWorld->Callers()) {
    Count(caller,
          submitted.at(caller.mJob),
          aWorld->LongestWorkFactor(caller.mJob),
          &totals);
  }
  return totals;
}

} // namespace

load_result
PlayLoad(sized_world* aWorld, const load_plan& aPlan, uint32_t aSeed)
{
  SetRoutesOfKinds(aWorld);
  return Play(aWorld, aPlan, aSeed, true);
}

load_result
PlayLoad(sized_world* aWorld,
         double aLoad,
         duration aSpan,
         uint32_t aSeed,
         double aDeclaredSigma)
{
  load_plan plan;
  plan.mLoad = aLoad;
  plan.mSpan = aSpan;
  plan.mDeclaredSigma = aDeclaredSigma;
  return Play(aWorld, plan, aSeed, false);
}

} // namespace cactusmast::testing
