// Profiles and team quotas: what operators set, and the one document that
// holds them all.
//
// A document is immutable and carries a version that only grows. Each profile
// carries its own revision, so that operators editing different profiles do
// not conflict.

#ifndef CACTUSMAST_PROFILE_H_
#define CACTUSMAST_PROFILE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cactusmast/error.h"
#include "util/result.h"

namespace cactusmast {

// Which cost counts more where the two pull apart.
enum class cost_preference : uint8_t
{
  ResponseTime, // send at once
  Messages,     // wait a little so that one message carries more
  Count
};

// What a full queue does with a task of higher priority.
enum class shedding_order : uint8_t
{
  Newest,         // refuse the newcomer
  LowestPriority, // drop a queued job of lower priority that has not started
  Count
};

std::string_view
Name(cost_preference aPreference);
std::string_view
Name(shedding_order aOrder);

struct profile
{
  std::string mName;
  // Backend servers announce the services they run.
  std::string mService;
  // From acceptance to the job's final answer; callers may ask for less.
  uint32_t mDeadlineMs = 30000;
  // One task's time on the backend server; the guard cancels it after that.
  uint32_t mTaskTimeoutMs = 10000;
  // When false, callers must name a key of their own, and errors with an
  // unknown run state advise against repeating under another key.
  bool mIdempotent = true;
  // Times that a task refused by a guard may be dispatched again.
  uint32_t mRetryLimit = 3;
  // Tasks of this profile at once on one worker; 0: as many as it has slots.
  uint32_t mWorkerConcurrency = 0;
  // Tasks of this profile at once in one shard; 0: no limit.
  uint32_t mConcurrency = 0;
  // Tasks that may wait in one shard before submissions are refused.
  uint32_t mQueueLimit = 20000;
  // Expected wait before a first start at which submissions are refused. A
  // short bound lets the queue drain within moments of a burst's end.
  uint32_t mMaxWaitMs = 1000;
  shedding_order mShedding = shedding_order::Newest;
  // 0 to 9; greater goes first within a team.
  uint32_t mPriority = 5;
  cost_preference mPreference = cost_preference::ResponseTime;
  // What the worker must have.
  uint32_t mCpus = 0;
  uint32_t mMemoryMb = 0;
  uint32_t mAccelerators = 0;
  // Counts this profile's changes; 0 before the first.
  uint64_t mRevision = 0;
  bool mRetired = false;
};

struct team
{
  std::string mName;
  // Share of the capacity when all teams have work, relative to the others.
  uint32_t mQuota = 1;
  // Tasks that the team may have waiting in one shard.
  uint32_t mQueueLimit = 200000;
};

struct deployment_config
{
  uint64_t mVersion = 0;
  uint32_t mShardCount = 1;
  std::map<std::string, profile> mProfiles;
  std::map<std::string, team> mTeams;

  // Unknown fields are kept out but do not fail: an older process must be
  // able to read what a newer one wrote.
  static result<deployment_config> Parse(std::string_view aText);
  std::string Serialize() const;
};

// Parses one profile as an operator wrote it. Unlike a stored document, this
// refuses unknown keys, wrong types and values out of range, naming the key
// and the allowed range.
result<profile>
ParseProfile(std::string_view aJson);

std::string
SerializeProfile(const profile& aProfile);

// The same for a team's quota.
result<team>
ParseTeam(std::string_view aJson);

std::string
SerializeTeam(const team& aTeam);

} // namespace cactusmast

#endif // CACTUSMAST_PROFILE_H_
