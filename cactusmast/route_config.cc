#include "cactusmast/route_config.h"

#include <algorithm>

namespace cactusmast {

route_table::route_table(route_config aConfig)
  : mConfig(std::move(aConfig))
{
  for (const route& candidate : mConfig.mRoutes) {
    mByHost[candidate.mHost].push_back(&candidate);
  }
  for (auto& [host, routes] : mByHost) {
    std::sort(routes.begin(),
              routes.end(),
              [](const route* aLeft, const route* aRight) {
                return aLeft->mPrefix.size() > aRight->mPrefix.size();
              });
  }
}

const route*
route_table::Find(std::string_view aHost, std::string_view aPath) const
{
  auto found = mByHost.find(std::string(aHost.substr(0, aHost.find(':'))));
  if (found == mByHost.end()) {
    return nullptr;
  }
  for (const route* candidate : found->second) {
    if (aPath.substr(0, candidate->mPrefix.size()) == candidate->mPrefix) {
      return candidate;
    }
  }
  return nullptr;
}

result<bool>
config_holder::Update(const std::string& aText)
{
  if (aText == *mText) {
    return false;
  }
  result<route_config> decoded = mDecode(aText);
  if (!decoded.Ok()) {
    return decoded.Error();
  }
  uint64_t version = decoded.Value().mVersion;
  if (version <= mVersion) {
    return false;
  }
  mTable = std::make_shared<const route_table>(std::move(decoded.Value()));
  mVersion = version;
  mText = std::make_shared<const std::string>(aText);
  return true;
}

} // namespace cactusmast
