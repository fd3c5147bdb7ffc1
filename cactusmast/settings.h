// Settings of one process, read from a YAML file. They hold addresses, secrets
// and resource limits; how jobs are treated is configured in operators'
// profiles (profile.h).
//
// Parsing is strict: an unknown key, a wrong type or a value out of range is
// an error that names the file, the line, the key and the allowed values.

#ifndef CACTUSMAST_SETTINGS_H_
#define CACTUSMAST_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cactusmast/api_json.h"
#include "cactusmast/guard_node.h"

namespace cactusmast {

// Settings common to entries and guards.
struct process_settings
{
  std::string mName; // unique among processes of the same role
  // IP:PORT on which other processes of the system connect.
  std::string mListen;
  // IP:PORT of the HTTP server.
  std::string mHttp;
  std::string mDataCenter;
  std::string mRegion = "default";
  // Base URL of the platform's table service.
  std::string mTableUrl;
  // Secret of the deployment, with which its processes authenticate to each
  // other.
  std::string mSharedKey;
  // IP:PORT of entries to connect to at startup; may be empty.
  std::vector<std::string> mSeedEntries;
  // Time for a drain; after that the process exits with work left.
  uint32_t mDrainTimeoutMs = 30000;
  // Timeout of one request to the table service.
  uint32_t mTableTimeoutMs = 2000;
  // Maximum size of one message between processes.
  uint32_t mMaxFrameBytes = 16u << 20;
  // Maximum number of unsent bytes queued on one connection.
  uint32_t mMaxSendBytes = 32u << 20;
};

struct entry_settings
{
  process_settings mProcess;
  // Number of shards, if the table holds no configuration yet.
  uint32_t mInitialShards = 1;
  // Time for which the answer of an ended job is kept.
  uint32_t mRetentionMs = 300000;
  // Maximum total size of the outputs kept with answers; the oldest are
  // dropped.
  uint32_t mMaxAnswerBytes = 24u << 20;
  uint32_t mMaxOpenRequests = 20000;
  // Bearer tokens by name: of the operators who may change the configuration,
  // and of the teams. Without team tokens, callers name their team in a header,
  // which is trusted.
  std::map<std::string, std::string> mOperatorTokens;
  std::map<std::string, std::string> mTeamTokens;
  api_limits mApi;
};

struct guard_settings
{
  process_settings mProcess;
  uint32_t mShard = 0; // index of the shard that the guard serves
  // Time for which records of ended tasks are kept.
  uint32_t mRetentionMs = 300000;
  uint32_t mMaxRecords = 100000; // at this number, starts are refused
  // Maximum total size of the results kept in records.
  uint32_t mMaxResultBytes = 24u << 20;
};

// Parses aText; aFile is its name in error messages. Returns BadRequest, with
// the file as the peer, if it is not valid.
result<entry_settings>
ReadEntrySettings(const std::string& aText, const std::string& aFile);

result<guard_settings>
ReadGuardSettings(const std::string& aText, const std::string& aFile);

// Checks settings of any program, which the key "role" selects. Returns the
// role, or the first error.
result<std::string>
CheckSettings(const std::string& aText, const std::string& aFile);

} // namespace cactusmast

#endif // CACTUSMAST_SETTINGS_H_
