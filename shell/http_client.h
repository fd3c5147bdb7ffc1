// An HTTP client on top of libsoup.

#ifndef SHELL_HTTP_CLIENT_H_
#define SHELL_HTTP_CLIENT_H_

#include <functional>
#include <libsoup/soup.h>
#include <string>
#include <utility>
#include <vector>

#include "util/gobject_ptr.h"

namespace cactusmast {

// A failure below HTTP: the request got no HTTP response.
enum class http_fault : uint8_t
{
  None,
  Refused,   // no connection was established, so nothing was sent
  Broken,    // some or all of it may have been sent; no response
  Cancelled, // by the caller or by the timeout
  Unsent,    // it would have used another connection than that required
  Count
};

struct http_request
{
  std::string mMethod = "POST";
  std::string mUrl;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  // Whether the request may be carried out twice without harm. Only idempotent
  // requests reuse an open connection: libsoup opens a new one for every other
  // POST, because the server may close an idle connection at the moment a
  // request is sent over it. When that happens, a GET is sent again; another
  // request is reported as broken, idempotent or not.
  bool mIdempotent = false;
  uint32_t mTimeoutMs = 0; // 0: the client's timeout applies
  // If not 0, the timeout ends with the headers of the response, and its body
  // may take any time as long as some of it arrives within each mBodyStallMs.
  uint32_t mBodyStallMs = 0;
  // If not 0, it is sent over this connection, as named by an earlier response,
  // or not at all.
  uint64_t mConnection = 0;
};

struct http_response
{
  http_fault mFault = http_fault::None;
  int mStatus = 0;        // HTTP status code; 0 after a fault
  std::string mBody;      // empty after a fault
  std::string mFaultText; // empty without a fault
  std::string mRunHeader; // value of X-Run; empty when absent
  // Names the connection among all of this client; 0: none was established.
  uint64_t mConnection = 0;
};

// Sends requests asynchronously and reuses connections.
class http_client
{
public:
  using callback = std::function<void(const http_response&)>;

  // aMaxConnections: maximum number of open connections, in total and to one
  // server. aTimeoutMs: default timeout of a request; 0 for none.
  http_client(uint32_t aMaxConnections, uint32_t aTimeoutMs);
  ~http_client();

  // The callback runs exactly once, from the main loop. The returned object
  // cancels the request; the callback then gets http_fault::Cancelled.
  gobject_ptr<GCancellable> Send(const http_request& aRequest,
                                 callback aCallback);

private:
  gobject_ptr<SoupSession> mSession;
  uint32_t mTimeoutMs; // default; 0 for none
};

// Sends one request and blocks until its response; for command-line tools.
// aTimeoutMs is rounded up to seconds; 0 for none.
http_response
SendAndWait(const http_request& aRequest, uint32_t aTimeoutMs);

} // namespace cactusmast

#endif // SHELL_HTTP_CLIENT_H_
