// When each worker's slots are expected to be free, as far as the dispatcher
// has planned: a scratch copy that planned tasks are entered into.

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
  void Clear(size_t aWorkers);
  // One usable slot of aWorker, free in aFreeIn.
  void AddSlot(uint32_t aWorker, double aFreeIn);

  bool HasSlot(uint32_t aWorker) const { return !mTimes[aWorker].empty(); }
  // When its first slot is free; only valid if it has one.
  double FirstFree(uint32_t aWorker) const { return mFirst[aWorker]; }
  // Enters a task that takes the first free slot for aRun.
  void Take(uint32_t aWorker, double aRun);

private:
  std::vector<std::vector<double>> mTimes;
  std::vector<double> mFirst;
};

} // namespace cactusmast

#endif // CACTUSMAST_SLOT_PLAN_H_
