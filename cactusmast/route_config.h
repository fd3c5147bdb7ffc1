// The configuration of routes in force at an entry.
//
// A route is chosen by the request's host and the longest prefix of its path.
// A config_holder keeps the newest document it was ever offered, so that what
// is in force never goes back, whichever way documents arrive: from the
// store, late, twice, or from another entry.

#ifndef CACTUSMAST_ROUTE_CONFIG_H_
#define CACTUSMAST_ROUTE_CONFIG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "util/result.h"

namespace cactusmast {

struct route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  std::string mService;
  uint32_t mTimeoutMs = 0;
  uint32_t mObjectiveBaseMs = 0;  // added to the stretched run time
  double mObjectiveStretch = 1.0; // of the job's longest chain of run times
  uint32_t mPriority = 0;         // 0 goes first
  uint32_t mMaxAttempts = 1;
  // Only some backend servers may run its steps, by tickets that this system
  // does not obtain.
  bool mNeedsTickets = false;
};

struct service_config
{
  std::string mName;
  bool mRejectsOverload = false;
};

struct route_config
{
  uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<service_config> mServices;
  uint32_t mMaxHeaderBytes = 16384;
  uint32_t mMaxBodyBytes = 262144;
};

// Finds routes by host and path in time independent of their number.
class route_table
{
public:
  explicit route_table(route_config aConfig);

  const route_config& Config() const { return mConfig; }
  // Null when no route matches. Ports in aHost are ignored.
  const route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  route_config mConfig;
  // By host; the longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> mByHost;
};

class config_holder
{
public:
  using decoder = std::function<result<route_config>(const std::string&)>;

  explicit config_holder(decoder aDecode)
    : mDecode(std::move(aDecode))
  {
  }

  // Takes aText over when it is newer than what is in force. The result says
  // whether it was; documents that cannot be decoded are errors.
  result<bool> Update(const std::string& aText);

  // Null before the first document. Requests keep the table that they were
  // routed by.
  const std::shared_ptr<const route_table>& Table() const { return mTable; }
  uint64_t Version() const { return mVersion; }
  const std::string& Text() const { return mText; }

private:
  decoder mDecode;
  std::shared_ptr<const route_table> mTable;
  uint64_t mVersion = 0;
  std::string mText;
};

} // namespace cactusmast

#endif // CACTUSMAST_ROUTE_CONFIG_H_
