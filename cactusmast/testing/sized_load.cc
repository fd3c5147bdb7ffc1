#include "cactusmast/testing/sized_load.h"

namespace cactusmast::testing {
namespace {

// Number of tasks of the world that fit in a backend server.
constexpr double kTasksPerServer = 10;
// For the jobs that are open when the last one is submitted.
constexpr duration kCompletionTime = std::chrono::seconds(5);
// Much longer than all objectives.
constexpr uint32_t kCallerTimeoutMs = 8000;
// As in the world's route.
constexpr double kObjectiveBaseMs = 60;
constexpr double kObjectiveStretch = 1.6;
constexpr double kHotEntryWeight = 5;
constexpr size_t kEntriesPerHotEntry = 10;

struct job_kind
{
  double mShare;
  uint32_t mTasks;
  uint32_t mWorkMs;

  double WorkS() const { return mTasks * mWorkMs / 1000.0; }
};

constexpr job_kind kKinds[] = { { 0.24, 8, 60 },
                                { 0.05, 4, 900 },
                                { 0.71, 2, 200 } };

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

void
Count(const caller_record& aCaller,
      const job_kind& aKind,
      double aLongestWorkFactor,
      load_result* aOut)
{
  if (!aCaller.mAnswered) {
    return;
  }
  if (aCaller.mEnding == job_ending::Refused) {
    aOut->mRefused++;
  }
  if (aCaller.mEnding != job_ending::Completed) {
    return;
  }
  duration responseTime = aCaller.mAnsweredAt - aCaller.mSentAt;
  double responseMs = double(responseTime.count()) / 1000;
  double longestMs = aLongestWorkFactor * aKind.mWorkMs;
  aOut->mRatios.push_back(responseMs / longestMs);
  if (responseMs > kObjectiveStretch * longestMs + kObjectiveBaseMs) {
    aOut->mLate++;
    return;
  }
  aOut->mInTime++;
  aOut->mInTimeWorkS += aKind.WorkS();
}

} // namespace

load_result
PlayLoad(sized_world* aWorld,
         double aLoad,
         duration aSpan,
         uint32_t aSeed,
         double aDeclaredSigma)
{
  std::mt19937 random(aSeed);
  std::discrete_distribution<size_t> entries = EntryWeights(aWorld->Entries());
  std::uniform_int_distribution<int64_t> submitTimes(0, aSpan.count());
  double spanS = double(aSpan.count()) / 1e6;
  auto jobs = size_t(JobsPerSecond(aWorld, aLoad) * spanS);
  std::map<uint64_t, size_t> kinds; // by job
  for (size_t i = 0; i < jobs; i++) {
    size_t kind = DrawKind(&random);
    size_t entry = entries(random);
    instant submitTime = duration(submitTimes(random));
    double declared = kKinds[kind].mWorkMs;
    if (aDeclaredSigma > 0) {
      declared *= std::lognormal_distribution<>(0, aDeclaredSigma)(random);
    }
    aWorld->At(submitTime, [aWorld, entry, kind, declared, &kinds] {
      const job_kind& chosen = kKinds[kind];
      uint64_t job = aWorld->Submit(entry,
                                    chosen.mTasks,
                                    chosen.mWorkMs,
                                    kCallerTimeoutMs,
                                    uint32_t(declared));
      kinds[job] = kind;
    });
  }
  aWorld->Run(aSpan + kCompletionTime);
  load_result totals;
  totals.mJobs = jobs;
  for (const caller_record& caller : aWorld->Callers()) {
    Count(caller,
          kKinds[kinds.at(caller.mJob)],
          aWorld->LongestWorkFactor(caller.mJob),
          &totals);
  }
  return totals;
}

} // namespace cactusmast::testing
