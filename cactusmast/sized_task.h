// Tasks with declared sizes, as coordinators and executors handle them.
//
// A sized job consists of steps, and the tasks of one step are alike. A backend
// server runs as many tasks as fit into its processors, memory and
// accelerators; their number is not limited otherwise.

#ifndef CACTUSMAST_SIZED_TASK_H_
#define CACTUSMAST_SIZED_TASK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusmast {

// The size of a task, or the capacity or free capacity of a backend server.
// Signed, so that an overcommitted backend server can report a negative free
// capacity.
struct resources
{
  int64_t mCpuMillis = 0; // thousandths of a core
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;

  bool FitsIn(const resources& aCapacity) const
  {
    return mCpuMillis <= aCapacity.mCpuMillis &&
           mMemoryMb <= aCapacity.mMemoryMb &&
           mAccelerators <= aCapacity.mAccelerators;
  }
  resources& operator+=(const resources& aOther)
  {
    mCpuMillis += aOther.mCpuMillis;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  resources& operator-=(const resources& aOther)
  {
    mCpuMillis -= aOther.mCpuMillis;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
};

// Identifies a task for as long as its job is known.
struct task_key
{
  uint64_t mJob = 0;
  uint32_t mStep = 0;
  uint32_t mIndex = 0;

  bool operator==(const task_key& aOther) const
  {
    return mJob == aOther.mJob && mStep == aOther.mStep &&
           mIndex == aOther.mIndex;
  }
  bool operator<(const task_key& aOther) const
  {
    return std::tie(mJob, mStep, mIndex) <
           std::tie(aOther.mJob, aOther.mStep, aOther.mIndex);
  }
};

// The job's identity as 16 hexadecimal digits.
std::string
FormatJobId(uint64_t aJob);

// The task as JOB.STEP.INDEX, for logs.
std::string
FormatTask(const task_key& aTask);

// False unless aText is exactly 16 hexadecimal digits.
bool
ParseJobId(std::string_view aText, uint64_t* aOut);

// How one attempt at a task of a sized job ended. Values go over the wire:
// append only.
enum class attempt_outcome : uint8_t
{
  Done,
  Failed,   // the backend server ran it and reported a failure
  NoRoom,   // not started: it could not start in time, or its entry stopped it
            // while it was queued
  Draining, // not started: the backend server or its executor is draining, or
            // their data centre is being evacuated
  Unusable, // not started: the backend server is absent or quarantined
  Stopped,  // stopped by its entry or at its deadline; it no longer runs
  Lost,     // it may have run and certainly no longer runs
  Count
};

// The name used in logs; "invalid" for a value out of range.
std::string_view
Name(attempt_outcome aOutcome);

// True when the attempt certainly never started.
inline bool
NeverStarted(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::NoRoom ||
         aOutcome == attempt_outcome::Draining ||
         aOutcome == attempt_outcome::Unusable;
}

// The state of a backend server as its executor sees it. Values go over the
// wire: append only.
enum class server_state : uint8_t
{
  Absent, // it has not announced itself, or it does not reply
  Ready,
  Draining,
  Quarantined, // it replies, but fails or stalls what it starts
  Evacuated,   // its data centre is being evacuated
  Count
};

// The name used in logs; "invalid" for a value out of range.
std::string_view
Name(server_state aState);

// One step of a job as its caller submits it.
struct job_step
{
  uint32_t mCount = 0;        // tasks
  resources mSize;            // of each task
  uint32_t mDeclaredMs = 0;   // run time of each task; 0: not declared
  std::string mRequiredLabel; // empty: any backend server
  // Label of the backend servers near its data; empty: it has no data.
  std::string mDataRack;
};

struct job_submission
{
  std::string mSpec; // passed on to backend servers as it is
  std::vector<job_step> mSteps;
};

} // namespace cactusmast

template<>
struct std::hash<cactusmast::task_key>
{
  size_t operator()(const cactusmast::task_key& aKey) const
  {
    uint64_t stepAndIndex = uint64_t(aKey.mStep) << 32 | aKey.mIndex;
    return size_t((aKey.mJob ^ stepAndIndex) * 0x9e3779b97f4a7c15u);
  }
};

#endif // CACTUSMAST_SIZED_TASK_H_
