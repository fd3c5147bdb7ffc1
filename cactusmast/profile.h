// Profiles and team quotas, which operators set, and the configuration document
// that holds all of them.
//
// A document is immutable and carries a version that only grows. Each profile
// carries its own revision, so that operators who edit different profiles do
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

// Which cost a profile's jobs minimise if both cannot be minimised together.
enum class cost_preference : uint8_t
{
  ResponseTime, // dispatch tasks immediately
  Messages,     // dispatch after a short delay, to batch tasks in a message
  Count
};

// Which job is dropped if the queue is full and a new job arrives.
enum class shedding_order : uint8_t
{
  Newest,         // refuse the new job
  LowestPriority, // drop a queued job of lower priority that has not started
  Count
};

std::string_view
Name(cost_preference aPreference);
std::string_view
Name(shedding_order aOrder);

// How jobs of one kind are treated; a submission names its profile.
struct profile
{
  std::string mName;
  // The service that runs the tasks. Backend servers announce theirs.
  std::string mService;
  // Time from acceptance to the job's answer; callers may ask for less.
  uint32_t mDeadlineMs = 30000;
  // Time of one task on the backend server, after which the guard cancels it.
  uint32_t mTaskTimeoutMs = 10000;
  // When false, callers must send an idempotency key, and errors with an
  // unknown run state advise against a retry under another key.
  bool mIdempotent = true;
  // How often a task that a guard refused may be dispatched again.
  uint32_t mRetryLimit = 3;
  // Maximum number of tasks of this profile that run on one worker; 0: as many
  // as it has slots.
  uint32_t mWorkerConcurrency = 0;
  // Maximum number of tasks of this profile that run in one shard; 0: no limit.
  uint32_t mConcurrency = 0;
  // Maximum number of queued tasks in one shard; further submissions are
  // refused.
  uint32_t mQueueLimit = 20000;
  // Expected queueing delay above which submissions are refused. With a low
  // limit, the queue empties soon after a burst ends.
  uint32_t mMaxWaitMs = 1000;
  shedding_order mShedding = shedding_order::Newest;
  // 0 to 9; tasks of higher priority are dispatched first within a team.
  uint32_t mPriority = 5;
  cost_preference mPreference = cost_preference::ResponseTime;
  // Minimum resources of a worker that runs the tasks.
  uint32_t mCpus = 0;
  uint32_t mMemoryMb = 0;
  uint32_t mAccelerators = 0;
  // Number of changes of this profile; 0 if it has not been stored yet.
  uint64_t mRevision = 0;
  bool mRetired = false; // new submissions are refused
};

struct team
{
  std::string mName;
  // Weight of the team's share of the capacity while several teams have queued
  // tasks.
  uint32_t mQuota = 1;
  // Maximum number of the team's queued tasks in one shard.
  uint32_t mQueueLimit = 200000;
};

// The configuration document of a deployment.
struct deployment_config
{
  uint64_t mVersion = 0; // 0: no document has been read
  uint32_t mShardCount = 1;
  std::map<std::string, profile> mProfiles; // by name
  std::map<std::string, team> mTeams;       // by name

  // Unknown fields are ignored, because an older process must be able to read
  // a document that a newer one wrote. Returns Internal if it is not valid.
  static result<deployment_config> Parse(std::string_view aText);
  std::string Serialize() const;
};

// Parses one profile from an operator's request. Unlike a stored document,
// unknown or duplicate keys, wrong types and values out of range are refused
// with BadRequest, which names the key and the allowed range.
result<profile>
ParseProfile(std::string_view aJson);

std::string
SerializeProfile(const profile& aProfile);

// Parses a team's quota from an operator's request, as strictly.
result<team>
ParseTeam(std::string_view aJson);

std::string
SerializeTeam(const team& aTeam);

} // namespace cactusmast

#endif // CACTUSMAST_PROFILE_H_
