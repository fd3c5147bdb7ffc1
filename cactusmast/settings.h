// Settings of one process, read from a YAML file. Addresses, secrets and
// budgets stand here; how work is treated stands in operators' profiles.
//
// Reading is strict: an unknown key, a wrong type or a value out of range is
// refused with the file, the line, the key and what is allowed.

#ifndef CACTUSMAST_SETTINGS_H_
#define CACTUSMAST_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cactusmast/api_json.h"
#include "cactusmast/guard_node.h"

namespace cactusmast {

// Common to all processes.
struct process_settings
{
  std::string mName;
  // HOST:PORT for other processes of the system, by number.
  std::string mListen;
  // HOST:PORT of the HTTP server.
  std::string mHttp;
  std::string mDataCenter;
  std::string mRegion = "default";
  // Base URL of the platform's table service.
  std::string mTableUrl;
  // Secret of the deployment, which its processes prove to each other.
  std::string mSharedKey;
  std::vector<std::string> mSeedEntries;
  uint32_t mDrainTimeoutMs = 30000;
  uint32_t mTableTimeoutMs = 2000;
  uint32_t mMaxFrameBytes = 16u << 20;
  uint32_t mMaxSendBytes = 32u << 20;
};

struct entry_settings
{
  process_settings mProcess;
  uint32_t mInitialShards = 1;
  uint32_t mRetentionMs = 300000;
  uint32_t mMaxAnswerBytes = 24u << 20;
  uint32_t mMaxOpenRequests = 20000;
  // Bearer tokens: who may change the configuration, and each team's own.
  // Without team tokens, callers name their team in a header and are
  // believed.
  std::map<std::string, std::string> mOperatorTokens;
  std::map<std::string, std::string> mTeamTokens;
  api_limits mApi;
};

struct guard_settings
{
  process_settings mProcess;
  uint32_t mShard = 0;
  uint32_t mRetentionMs = 300000;
  uint32_t mMaxRecords = 100000;
  uint32_t mMaxResultBytes = 24u << 20;
};

// Errors: BadRequest, with the file as the peer.
result<entry_settings>
ReadEntrySettings(const std::string& aText, const std::string& aFile);

result<guard_settings>
ReadGuardSettings(const std::string& aText, const std::string& aFile);

// Whether aText is settings of either kind; the "role" key tells which.
result<std::string>
CheckSettings(const std::string& aText, const std::string& aFile);

} // namespace cactusmast

#endif // CACTUSMAST_SETTINGS_H_
