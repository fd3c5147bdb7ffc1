// Asynchronous HTTP requests through libsoup.

#ifndef SHELL_HTTP_CLIENT_H_
#define SHELL_HTTP_CLIENT_H_

#include <functional>
#include <libsoup/soup.h>
#include <string>
#include <utility>
#include <vector>

#include "util/gobject_ptr.h"

namespace cactusmast {

// What went wrong below HTTP.
enum class http_fault : uint8_t
{
  None,
  Refused,   // no connection was made, so nothing was sent
  Broken,    // sent, perhaps in part; no answer
  Cancelled, // by this side, or its time limit
  Count
};

struct http_request
{
  std::string mMethod = "POST";
  std::string mUrl;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  // May be carried out twice without harm. Only such requests reuse an open
  // connection: libsoup opens a new one for every other POST, since the server
  // may close an idle connection at the moment a request is sent into it. It
  // sends an idempotent one again by itself when that happens.
  bool mIdempotent = false;
  uint32_t mTimeoutMs = 0; // 0: the client's
};

struct http_response
{
  http_fault mFault = http_fault::None;
  int mStatus = 0;
  std::string mBody;
  std::string mText;      // of the fault
  std::string mRunHeader; // X-Run, when the server sent it
};

class http_client
{
public:
  using callback = std::function<void(const http_response&)>;

  // aConnections: at most this many to one server. aTimeoutMs: of one
  // request; 0 for none.
  http_client(uint32_t aConnections, uint32_t aTimeoutMs);
  ~http_client();

  // The callback runs once, from the main loop. The result cancels it.
  gobject_ptr<GCancellable> Send(const http_request& aRequest,
                                 callback aCallback);

private:
  gobject_ptr<SoupSession> mSession;
  uint32_t mTimeoutMs;
};

// Sends one request and waits for its answer; for command-line tools.
http_response
SendAndWait(const http_request& aRequest, uint32_t aTimeoutMs);

} // namespace cactusmast

#endif // SHELL_HTTP_CLIENT_H_
