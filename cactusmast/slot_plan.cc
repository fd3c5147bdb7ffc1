#include "cactusmast/slot_plan.h"

#include <algorithm>

namespace cactusmast {

void
slot_plan::Clear(size_t aWorkers)
{
  mTimes.resize(aWorkers);
  mFirst.assign(aWorkers, 0);
  for (std::vector<double>& times : mTimes) {
    times.clear();
  }
}

void
slot_plan::AddSlot(uint32_t aWorker, double aFreeIn)
{
  std::vector<double>& times = mTimes[aWorker];
  times.push_back(aFreeIn);
  mFirst[aWorker] =
    times.size() == 1 ? aFreeIn : std::min(mFirst[aWorker], aFreeIn);
}

void
slot_plan::Take(uint32_t aWorker, double aRun)
{
  std::vector<double>& times = mTimes[aWorker];
  auto first = std::min_element(times.begin(), times.end());
  *first += aRun;
  mFirst[aWorker] = *std::min_element(times.begin(), times.end());
}

} // namespace cactusmast
