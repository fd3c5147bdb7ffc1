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

  bool HasSlot(uint32_t aWorker) const { return !mTimes[aWorker].empty(); }
  // When the first slot of aWorker is free. Requires HasSlot(aWorker).
  double FirstFree(uint32_t aWorker) const { return mFirst[aWorker]; }
  // Enters a task that occupies the first free slot of aWorker for aRun.
  // Requires HasSlot(aWorker).
  void Take(uint32_t aWorker, double aRun);

private:
  std::vector<std::vector<double>> mTimes; // by worker and slot
  std::vector<double> mFirst;              // the minimum by worker
};

} // namespace cactusmast

#endif // CACTUSMAST_SLOT_PLAN_H_
