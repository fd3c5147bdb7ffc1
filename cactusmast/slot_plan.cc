#include "cactusmast/slot_plan.h"

#include <algorithm>

namespace cactusmast {

void
slot_plan::Clear(size_t aWorkers)
{
  mFreeTimes.resize(aWorkers);
  mFirstFree.assign(aWorkers, 0);
  for (std::vector<double>& times : mFreeTimes) {
    times.clear();
  }
}

void
slot_plan::AddSlot(uint32_t aWorker, double aFreeIn)
{
  std::vector<double>& times = mFreeTimes[aWorker];
  times.push_back(aFreeIn);
  mFirstFree[aWorker] =
    times.size() == 1 ? aFreeIn : std::min(mFirstFree[aWorker], aFreeIn);
}

void
slot_plan::Reserve(uint32_t aWorker, double aRunTime)
{
  std::vector<double>& times = mFreeTimes[aWorker];
  auto first = std::min_element(times.begin(), times.end());
  *first += aRunTime;
  mFirstFree[aWorker] = *std::min_element(times.begin(), times.end());
}

} // namespace cactusmast
