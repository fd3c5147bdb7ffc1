// The configuration of routes in force at an entry.
//
// A route is chosen by the request's host and the longest prefix of its path.
// A config_holder keeps the newest document that it has received, so that the
// version in force never decreases, even if documents arrive late, twice, from
// the store or from another entry.

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
  std::string mHost;   // without a port
  std::string mPrefix; // of the path
  std::string mService;
  uint32_t mTimeoutMs = 0; // caller timeout of requests that give none
  // The objective is this plus mObjectiveStretch times the forecast run time of
  // the job's longest task.
  uint32_t mObjectiveBaseMs = 0;
  double mObjectiveStretch = 1.0;
  uint32_t mPriority = 0; // 0 is the highest, unlike profile::mPriority
  uint32_t mMaxAttempts = 1;
  // True if backend servers run its steps only with tickets, which this system
  // does not obtain. Its jobs are refused.
  bool mNeedsTickets = false;
};

struct service_config
{
  std::string mName;
  bool mRejectsOverload = false; // decoded only; nothing depends on it
};

struct route_config
{
  uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<service_config> mServices;
  uint32_t mMaxHeaderBytes = 16384;
  uint32_t mMaxBodyBytes = 262144;
};

// Finds routes by host and path in a time that does not depend on the number of
// hosts.
class route_table
{
public:
  explicit route_table(route_config aConfig);

  const route_config& Config() const { return mConfig; }
  // Null if no route matches. A port in aHost is ignored.
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

  // Puts the document aText in force if it is newer than the current one. True
  // if it is newer; an error if it cannot be decoded.
  result<bool> Update(const std::string& aText);

  // Null before the first document. Requests hold on to the table by which they
  // were routed.
  const std::shared_ptr<const route_table>& Table() const { return mTable; }
  // 0 before the first document.
  uint64_t Version() const { return mVersion; }
  // The document in force; empty before the first one.
  const std::string& Text() const { return *mText; }
  std::shared_ptr<const std::string> SharedText() const { return mText; }

private:
  decoder mDecode;
  std::shared_ptr<const route_table> mTable;
  uint64_t mVersion = 0;
  std::shared_ptr<const std::string> mText =
    std::make_shared<const std::string>();
};

} // namespace cactusmast

#endif // CACTUSMAST_ROUTE_CONFIG_H_
