// Identifier and time types of the decision core.

#ifndef CACTUSMAST_IDS_H_
#define CACTUSMAST_IDS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "generated/wire_generated.h"

namespace cactusmast {

using task_ref = wire::task_ref;

// Microseconds. Instants count from an arbitrary origin of the process's own
// monotonic clock and are never sent to other processes.
using duration = std::chrono::microseconds;
using instant = std::chrono::microseconds;

// A connection to another process of the system, numbered by the transport
// and never reused within a process. A process that connects again gets a new
// one.
using peer_id = uint32_t;

// One open request of a caller, not the caller itself; numbered by the API
// layer.
using caller_id = uint64_t;

// Identifies a job for as long as it is retained: a seeded 128-bit hash of
// the team and the caller's idempotency key, so that every entry derives the
// same identifier from a resubmission without asking another process.
struct job_id
{
  uint64_t mHi = 0;
  uint64_t mLo = 0;

  bool operator==(const job_id& aOther) const
  {
    return mHi == aOther.mHi && mLo == aOther.mLo;
  }

  static job_id FromKey(std::string_view aTeam,
                        std::string_view aKey,
                        uint64_t aSeed);
  // Reads what Text() returns. Returns false and leaves aOut unchanged for any
  // other text.
  static bool Parse(std::string_view aText, job_id* aOut);
  // 32 lower-case hexadecimal digits.
  std::string Text() const;
};

// The job that a task belongs to.
inline job_id
JobOf(const task_ref& aRef)
{
  return { uint64_t(aRef.job_hi_high()) << 32 | aRef.job_hi_low(),
           uint64_t(aRef.job_lo_high()) << 32 | aRef.job_lo_low() };
}

// The reference to task aIndex of aJob.
inline task_ref
RefOf(const job_id& aJob, uint32_t aIndex)
{
  return task_ref(uint32_t(aJob.mHi >> 32),
                  uint32_t(aJob.mHi),
                  uint32_t(aJob.mLo >> 32),
                  uint32_t(aJob.mLo),
                  aIndex);
}

struct job_id_hash
{
  size_t operator()(const job_id& aId) const
  {
    return size_t(aId.mLo ^ (aId.mHi * 0x9e3779b97f4a7c15u));
  }
};

struct task_ref_hash
{
  size_t operator()(const task_ref& aRef) const
  {
    return job_id_hash()(JobOf(aRef)) * 31 + aRef.index();
  }
};

struct task_ref_equal
{
  bool operator()(const task_ref& aLeft, const task_ref& aRight) const
  {
    return JobOf(aLeft) == JobOf(aRight) && aLeft.index() == aRight.index();
  }
};

// A 64-bit hash that all processes of one build agree on.
uint64_t
Hash64(std::string_view aText, uint64_t aSeed = 0);

// The shard that aId belongs to, out of aShardCount; 0 if aShardCount is 0.
uint32_t
ShardOf(const job_id& aId, uint32_t aShardCount);

// Rendezvous weight of aName for aShard: the live entry with the greatest
// weight takes the shard, so that losing one entry moves only its shards.
uint64_t
RendezvousWeight(uint32_t aShard, std::string_view aName);

} // namespace cactusmast

#endif // CACTUSMAST_IDS_H_
