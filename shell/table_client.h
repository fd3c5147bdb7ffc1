// Client of the platform's table service over HTTP (docs/PROTOCOL.md).

#ifndef SHELL_TABLE_CLIENT_H_
#define SHELL_TABLE_CLIENT_H_

#include <functional>
#include <string>

#include "cactusmast/ports.h"
#include "shell/http_client.h"

namespace cactusmast {

// Totals since the client was created.
struct table_counters
{
  uint64_t mReads = 0;       // requests
  uint64_t mWrites = 0;      // commits, of one or more rows each
  uint64_t mUnavailable = 0; // replies with status Unavailable
};

class table_client : public table_store
{
public:
  using callback = std::function<void(const table_reply&)>;

  // aUrl: of the service, without a path. aTimeoutMs: of one request; 0 for
  // none. aOnReply is called once for each request, from the main loop.
  table_client(std::string aUrl, uint32_t aTimeoutMs, callback aOnReply);

  uint64_t Read(const std::string& aPrefix,
                uint32_t aLimit,
                bool aNewestFirst) override;
  uint64_t Commit(std::vector<table_write> aWrites) override;

  const table_counters& Counters() const { return mCounters; }

private:
  void Send(uint64_t aRequest, const std::string& aPath, std::string aBody);
  table_reply Decode(uint64_t aRequest, const http_response& aResponse) const;

  std::string mUrl;
  http_client mClient;
  callback mOnReply;
  uint64_t mNextRequest = 1; // next request number
  table_counters mCounters;
};

} // namespace cactusmast

#endif // SHELL_TABLE_CLIENT_H_
