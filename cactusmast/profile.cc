#include "cactusmast/profile.h"

#include <array>
#include <nlohmann/json.hpp>

#include "util/bounded_json.h"

namespace cactusmast {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, size_t(cost_preference::Count)>
  kPreferenceNames = { "response_time", "messages" };
constexpr std::array<std::string_view, size_t(shedding_order::Count)>
  kSheddingNames = { "newest", "lowest_priority" };

struct number_field
{
  std::string_view mKey;
  uint32_t profile::*mMember;
  uint32_t mMin;
  uint32_t mMax;
};

constexpr uint32_t kMillion = 1000000;

constexpr std::array<number_field, 11> kNumberFields = { {
  { "deadline_ms", &profile::mDeadlineMs, 10, 3600000 },
  { "task_timeout_ms", &profile::mTaskTimeoutMs, 10, 3600000 },
  { "retry_limit", &profile::mRetryLimit, 0, 10 },
  { "worker_concurrency", &profile::mWorkerConcurrency, 0, 1024 },
  { "concurrency", &profile::mConcurrency, 0, kMillion },
  { "queue_limit", &profile::mQueueLimit, 1, kMillion },
  { "max_wait_ms", &profile::mMaxWaitMs, 1, 3600000 },
  { "priority", &profile::mPriority, 0, 9 },
  { "cpus", &profile::mCpus, 0, 1024 },
  { "memory_mb", &profile::mMemoryMb, 0, 16 * kMillion },
  { "accelerators", &profile::mAccelerators, 0, 64 },
} };

failure
InputError(const std::string& aText)
{
  return failure(error_code::BadRequest, "read profile", "operator", aText);
}

template<size_t N>
int
IndexOf(const std::array<std::string_view, N>& aNames, const std::string& aName)
{
  for (size_t i = 0; i < N; i++) {
    if (aNames[i] == aName) {
      return int(i);
    }
  }
  return -1;
}

template<size_t N>
std::string
Join(const std::array<std::string_view, N>& aNames)
{
  std::string joined;
  for (std::string_view name : aNames) {
    joined += (joined.empty() ? "" : ", ") + std::string(name);
  }
  return joined;
}

uint32_t
ReadNumber(const json& aValue,
           std::string_view aKey,
           uint32_t aMin,
           uint32_t aMax)
{
  std::string range = std::string(aKey) + " must be a whole number from " +
                      std::to_string(aMin) + " to " + std::to_string(aMax);
  if (!aValue.is_number_unsigned()) {
    throw InputError(range);
  }
  uint64_t value = aValue.get<uint64_t>();
  if (value < aMin || value > aMax) {
    throw InputError(range);
  }
  return uint32_t(value);
}

std::string
ReadText(const json& aValue, std::string_view aKey)
{
  constexpr size_t kMaxName = 64;
  if (!aValue.is_string()) {
    throw InputError(std::string(aKey) + " must be text");
  }
  auto text = aValue.get<std::string>();
  if (text.empty() || text.size() > kMaxName) {
    throw InputError(std::string(aKey) + " must have 1 to 64 characters");
  }
  for (char c : text) {
    bool allowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                   (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.';
    if (!allowed) {
      throw InputError(std::string(aKey) +
                       " may hold letters, digits, '-', '_' and '.' only");
    }
  }
  return text;
}

template<size_t N>
uint8_t
ReadChoice(const json& aValue,
           std::string_view aKey,
           const std::array<std::string_view, N>& aNames)
{
  int index =
    aValue.is_string() ? IndexOf(aNames, aValue.get<std::string>()) : -1;
  if (index < 0) {
    throw InputError(std::string(aKey) + " must be one of " + Join(aNames));
  }
  return uint8_t(index);
}

bool
ReadFlag(const json& aValue, std::string_view aKey)
{
  if (!aValue.is_boolean()) {
    throw InputError(std::string(aKey) + " must be true or false");
  }
  return aValue.get<bool>();
}

// Reads one key of a profile. Returns false if the key is unknown.
bool
ReadProfileKey(const std::string& aKey, const json& aValue, profile* aOut)
{
  for (const number_field& field : kNumberFields) {
    if (field.mKey == aKey) {
      aOut->*field.mMember = ReadNumber(aValue, aKey, field.mMin, field.mMax);
      return true;
    }
  }
  if (aKey == "name") {
    aOut->mName = ReadText(aValue, aKey);
  } else if (aKey == "service") {
    aOut->mService = ReadText(aValue, aKey);
  } else if (aKey == "idempotent") {
    aOut->mIdempotent = ReadFlag(aValue, aKey);
  } else if (aKey == "retired") {
    aOut->mRetired = ReadFlag(aValue, aKey);
  } else if (aKey == "preference") {
    aOut->mPreference =
      cost_preference(ReadChoice(aValue, aKey, kPreferenceNames));
  } else if (aKey == "shedding") {
    aOut->mShedding = shedding_order(ReadChoice(aValue, aKey, kSheddingNames));
  } else if (aKey == "revision") {
    aOut->mRevision = aValue.get<uint64_t>();
  } else {
    return false;
  }
  return true;
}

json
ToJson(const profile& aProfile)
{
  json object = {
    { "name", aProfile.mName },
    { "service", aProfile.mService },
    { "idempotent", aProfile.mIdempotent },
    { "retired", aProfile.mRetired },
    { "preference", kPreferenceNames[size_t(aProfile.mPreference)] },
    { "shedding", kSheddingNames[size_t(aProfile.mShedding)] },
    { "revision", aProfile.mRevision },
  };
  for (const number_field& field : kNumberFields) {
    object[std::string(field.mKey)] = aProfile.*field.mMember;
  }
  return object;
}

json
ToJson(const team& aTeam)
{
  return { { "name", aTeam.mName },
           { "quota", aTeam.mQuota },
           { "queue_limit", aTeam.mQueueLimit } };
}

// Reads one key of a team. Returns false if the key is unknown.
bool
ReadTeamKey(const std::string& aKey, const json& aValue, team* aOut)
{
  if (aKey == "name") {
    aOut->mName = ReadText(aValue, aKey);
  } else if (aKey == "quota") {
    aOut->mQuota = ReadNumber(aValue, aKey, 1, 10000);
  } else if (aKey == "queue_limit") {
    aOut->mQueueLimit = ReadNumber(aValue, aKey, 1, 10 * kMillion);
  } else {
    return false;
  }
  return true;
}

// Reads an object key by key. An unknown key is an error if aStrict is set,
// since an operator may have mistyped it. Otherwise it is ignored, since a
// newer version may have written it to a stored document.
template<typename T, typename Reader>
T
ReadObject(const json& aObject, Reader aReader, bool aStrict)
{
  if (!aObject.is_object()) {
    throw InputError("must be an object");
  }
  T parsed;
  for (const auto& [key, value] : aObject.items()) {
    if (!aReader(key, value, &parsed) && aStrict) {
      throw InputError("unknown key " + key);
    }
  }
  return parsed;
}

template<typename T, typename Reader>
result<T>
ParseStrict(std::string_view aJson, Reader aReader)
{
  // Of two equal keys the parser silently keeps the last, which would hide an
  // operator's mistake. Duplicates are therefore refused during parsing.
  std::vector<std::string> seen;
  auto refuseDuplicates =
    [&seen](int aDepth, json::parse_event_t aEvent, json& aParsed) {
      if (aEvent != json::parse_event_t::key || aDepth != 1) {
        return true;
      }
      for (const std::string& key : seen) {
        if (key == aParsed) {
          throw InputError("key " + key + " is duplicated");
        }
      }
      seen.push_back(aParsed.get<std::string>());
      return true;
    };
  if (IsNestedDeeper(aJson, kMaxJsonDepth)) {
    return InputError("nested too deeply");
  }
  try {
    json object = json::parse(aJson, refuseDuplicates);
    T parsed = ReadObject<T>(object, aReader, true);
    if (parsed.mName.empty()) {
      return InputError("name is missing");
    }
    return parsed;
  } catch (const failure& error) {
    return error;
  } catch (const json::exception& error) {
    return InputError(error.what());
  }
}

} // namespace

std::string_view
Name(cost_preference aPreference)
{
  return kPreferenceNames[size_t(aPreference) % kPreferenceNames.size()];
}

std::string_view
Name(shedding_order aOrder)
{
  return kSheddingNames[size_t(aOrder) % kSheddingNames.size()];
}

result<profile>
ParseProfile(std::string_view aJson)
{
  result<profile> parsed = ParseStrict<profile>(aJson, ReadProfileKey);
  if (parsed.Ok() && parsed.Value().mService.empty()) {
    return InputError("service is missing");
  }
  return parsed;
}

result<team>
ParseTeam(std::string_view aJson)
{
  return ParseStrict<team>(aJson, ReadTeamKey);
}

std::string
SerializeProfile(const profile& aProfile)
{
  return ToJson(aProfile).dump();
}

std::string
SerializeTeam(const team& aTeam)
{
  return ToJson(aTeam).dump();
}

result<deployment_config>
deployment_config::Parse(std::string_view aText)
{
  deployment_config config;
  try {
    json object = ParseBoundedJson(aText);
    config.mVersion = object.at("version").get<uint64_t>();
    config.mShardCount = object.value("shard_count", 1u);
    for (const json& item : object.value("profiles", json::array())) {
      auto parsed = ReadObject<profile>(item, ReadProfileKey, false);
      config.mProfiles[parsed.mName] = parsed;
    }
    for (const json& item : object.value("teams", json::array())) {
      auto parsed = ReadObject<team>(item, ReadTeamKey, false);
      config.mTeams[parsed.mName] = parsed;
    }
  } catch (const std::exception& error) {
    return failure(
      error_code::Internal, "read configuration", "table", error.what());
  }
  if (config.mShardCount == 0) {
    return failure(error_code::Internal,
                   "read configuration",
                   "table",
                   "shard_count must be at least 1");
  }
  return config;
}

std::string
deployment_config::Serialize() const
{
  json object = { { "version", mVersion },
                  { "shard_count", mShardCount },
                  { "profiles", json::array() },
                  { "teams", json::array() } };
  for (const auto& [name, item] : mProfiles) {
    object["profiles"].push_back(ToJson(item));
  }
  for (const auto& [name, item] : mTeams) {
    object["teams"].push_back(ToJson(item));
  }
  return object.dump();
}

} // namespace cactusmast
