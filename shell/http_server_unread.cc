// How an http_server refuses requests that libsoup has not read.

#include <algorithm>
#include <string_view>
#include <sys/socket.h>

#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/rendered_answer.h"
#include "shell/served_socket.h"
#include "shell/socket_input.h"

namespace cactusmast {
namespace {

// A longer request is left to libsoup.
constexpr size_t kMaxUnreadBytes = 8192;
constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

struct parsed_request
{
  unread_request mRequest;
  size_t mBytes = 0; // of headers and body
};

// None unless aText begins with the headers of a request whose length they
// tell.
std::optional<parsed_request>
ParseRequest(std::string_view aText)
{
  size_t headerBytes = aText.find(kEndOfHeaders);
  if (headerBytes == std::string_view::npos) {
    return std::nullopt;
  }
  SoupMessageHeaders* headers =
    soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
  gchar* method = nullptr;
  gchar* path = nullptr;
  SoupHTTPVersion version = SOUP_HTTP_1_0;
  guint status = soup_headers_parse_request(
    aText.data(), int(headerBytes) + 2, headers, &method, &path, &version);
  std::optional<parsed_request> parsed;
  bool keepsOpen =
    version == SOUP_HTTP_1_1 &&
    !soup_message_headers_header_contains(headers, "Connection", "close");
  bool toldLength = soup_message_headers_get_encoding(headers) ==
                      SOUP_ENCODING_CONTENT_LENGTH &&
                    soup_message_headers_get_expectations(headers) == 0;
  if (status == SOUP_STATUS_OK && keepsOpen && toldLength) {
    parsed.emplace();
    parsed->mRequest.mMethod = method;
    parsed->mRequest.mPath = path;
    parsed->mBytes = headerBytes + kEndOfHeaders.size() +
                     size_t(soup_message_headers_get_content_length(headers));
  }
  g_free(method);
  g_free(path);
  soup_message_headers_unref(headers);
  return parsed;
}

} // namespace

bool
http_server::RefuseUnread(connection_group& aGroup, int aFd)
{
  auto found = std::find_if(
    aGroup.mOpenSockets.begin(),
    aGroup.mOpenSockets.end(),
    [aFd](const auto& aOpen) { return g_socket_get_fd(aOpen.first) == aFd; });
  if (found == aGroup.mOpenSockets.end()) {
    return false;
  }
  client_connection& connection = *found->second;
  bool refused =
    mScreen != nullptr && mScreen->IsActive(mQueue.CurrentWait()) &&
    IsIdle(aGroup, found->first, connection) && !connection.mInExchange &&
    !connection.mClosedAsIdle && RefuseFirst(aFd, connection);
  connection.mInExchange = connection.mInExchange || !refused;
  return refused;
}

bool
http_server::RefuseFirst(int aFd, client_connection& aConnection)
{
  char bytes[kMaxUnreadBytes];
  ssize_t size = recv(aFd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
  if (size <= 0) {
    return false;
  }
  std::optional<parsed_request> parsed =
    ParseRequest(std::string_view(bytes, size_t(size)));
  // With less, the request is not complete; with more, another one follows that
  // the client sent without waiting for the answer.
  if (!parsed || parsed->mBytes != size_t(size)) {
    return false;
  }
  parsed->mRequest.mWaited = mQueue.CurrentWait();
  std::optional<http_answer> answer = mScreen->Screen(parsed->mRequest);
  if (!answer || recv(aFd, bytes, size_t(size), MSG_DONTWAIT) != size) {
    return false;
  }
  mRequestCount++;
  aConnection.mUsed = true;
  aConnection.mLastActivity = Now();
  aConnection.mBytesAtLastRequest = InputOf(aFd).mBytes;
  std::string text = RenderAnswer(*answer);
  ssize_t sent =
    send(aFd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent != ssize_t(text.size())) {
    // The client does not read its answers. It must not take the part for one.
    shutdown(aFd, SHUT_RDWR);
  }
  return true;
}

} // namespace cactusmast
