// When each worker's slots are expected to be free. The dispatcher fills it
// from the state of the workers and enters the tasks that it plans.

#ifndef CACTUSMAST_SLOT_PLAN_H_
#define CACTUSMAST_SLOT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusmast {

// Times are in seconds from now.
class slot_plan
{
public:
  // Drops all slots; workers are numbered from 0 to aWorkers - 1.
  void Clear(size_t aWorkers);
  // Adds a slot of aWorker that is free in aFreeIn.
  void AddSlot(uint32_t aWorker, double aFreeIn);

  bool HasSlot(uint32_t aWorker) const { return !mFreeTimes[aWorker].empty(); }
  // When the first slot of aWorker is free. Requires HasSlot(aWorker).
  double FirstFree(uint32_t aWorker) const { return mFirstFree[aWorker]; }
  // Enters a task that occupies the first free slot of aWorker for aRunTime.
  // Requires HasSlot(aWorker).
  void Reserve(uint32_t aWorker, double aRunTime);

private:
  std::vector<std::vector<double>> mFreeTimes; // by worker and slot
  std::vector<double> mFirstFree;              // the minimum by worker
};

} // namespace cactusmast

#endif // CACTUSMAST_SLOT_PLAN_H_
