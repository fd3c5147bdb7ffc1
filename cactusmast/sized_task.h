// Tasks that declare their size, as coordinators and executors handle them.
//
// A sized job has steps, a step has tasks that are alike. A backend server
// has room for as many tasks as its processors, memory and accelerators hold,
// whatever their number.

#ifndef CACTUSMAST_SIZED_TASK_H_
#define CACTUSMAST_SIZED_TASK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusmast {

// What a task occupies while it runs, or what a backend server has. Signed,
// so that free room may be reported as overdrawn.
struct resources
{
  int64_t mCpuMillis = 0; // thousandths of a core
  int64_t mMemoryMb = 0;
  int64_t mGpus = 0;

  bool FitsIn(const resources& aRoom) const
  {
    return mCpuMillis <= aRoom.mCpuMillis && mMemoryMb <= aRoom.mMemoryMb &&
           mGpus <= aRoom.mGpus;
  }
  resources& operator+=(const resources& aOther)
  {
    mCpuMillis += aOther.mCpuMillis;
    mMemoryMb += aOther.mMemoryMb;
    mGpus += aOther.mGpus;
    return *this;
  }
  resources& operator-=(const resources& aOther)
  {
    mCpuMillis -= aOther.mCpuMillis;
    mMemoryMb -= aOther.mMemoryMb;
    mGpus -= aOther.mGpus;
    return *this;
  }
};

// Names a task for as long as its job is known.
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

// The 16 hexadecimal digits of a job's identity.
std::string
FormatJobId(uint64_t aJob);

// False unless aText is exactly 16 hexadecimal digits.
bool
ParseJobId(std::string_view aText, uint64_t* aOut);

// How one attempt at a task ended. Values go over the wire: append only.
enum class attempt_outcome : uint8_t
{
  Done,
  Failed,   // the backend server ran it and reports failure
  NoRoom,   // not started: could not start in the time given
  Draining, // not started: the backend server or its executor is stopping, or
            // their data centre is being evacuated
  Unusable, // not started: the backend server is absent or ill
  Stopped,  // withdrawn, or its time ran out; it runs no longer
  Lost,     // it may have run and certainly does not run any more
  Count
};

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

// What an executor believes of the backend server beside it. Values go over
// the wire: append only.
enum class server_state : uint8_t
{
  Absent, // it has not announced itself, or does not answer
  Ready,
  Draining,
  Quarantined, // it answers, but fails or stalls what it starts
  Evacuated,   // its data centre is to get nothing new
  Count
};

std::string_view
Name(server_state aState);

// One step of a job as its caller submits it.
struct job_step
{
  uint32_t mCount = 0;
  resources mSize;
  uint32_t mDeclaredMs = 0;
  std::string mRequiredLabel; // empty: any backend server
  std::string mDataRack;      // empty: anywhere
};

struct job_submission
{
  std::string mSpec;
  std::vector<job_step> mSteps;
};

} // namespace cactusmast

template<>
struct std::hash<cactusmast::task_key>
{
  size_t operator()(const cactusmast::task_key& aKey) const
  {
    uint64_t place = uint64_t(aKey.mStep) << 32 | aKey.mIndex;
    return size_t((aKey.mJob ^ place) * 0x9e3779b97f4a7c15u);
  }
};

#endif // CACTUSMAST_SIZED_TASK_H_
