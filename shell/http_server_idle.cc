// How an http_server ends idle connections: in a drain, and those that their
// clients have closed.

#include <algorithm>
#include <sys/socket.h>

#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/rendered_answer.h"
#include "shell/served_socket.h"
#include "shell/socket_input.h"

namespace cactusmast {

using detail::Peek;
using detail::peek_result;
using detail::SocketOf;

namespace {

// Short against the time in which closed connections could use up the
// descriptors of a process.
constexpr guint kAbandonedCheckIntervalS = 1;

// Whether bytes arrived after the last request was complete.
bool
HasPartOfRequest(GSocket* aSocket, const client_connection& aConnection)
{
  return InputOf(g_socket_get_fd(aSocket)).mBytes >
         aConnection.mBytesAtLastRequest;
}

} // namespace

std::set<GSocket*>
http_server::BusySockets() const
{
  std::set<GSocket*> busy;
  for (const auto& [id, exchange] : mExchanges) {
    busy.insert(SocketOf(exchange->mMessage.get()));
  }
  return busy;
}

bool
http_server::IsIdle(const connection_group& aGroup,
                    GSocket* aSocket,
                    const client_connection& aConnection)
{
  return aConnection.mUnsentAnswers == 0 &&
         aGroup.mReadingRequest.count(aSocket) == 0 &&
         !g_socket_is_closed(aSocket);
}

void
http_server::CloseIdle(duration aMinIdle, const http_answer& aRefusal)
{
  const std::set<GSocket*> busy = BusySockets();
  http_answer lastAnswer = aRefusal;
  lastAnswer.mCloseConnection = true;
  const std::string refusal = RenderAnswer(lastAnswer);
  instant now = Now();
  idle_sweep sweep;
  for (const auto& group : mGroups) {
    for (const auto& [socket, connection] : group->mOpenSockets) {
      bool due = !connection->mClosedAsIdle &&
                 now - connection->mLastActivity >= aMinIdle;
      if (due && busy.count(socket) == 0 &&
          IsIdle(*group, socket, *connection) &&
          !HasPartOfRequest(socket, *connection) &&
          Peek(socket) == peek_result::Nothing) {
        CloseAsIdle(socket, *connection, refusal, now, &sweep);
      }
    }
  }
  mCounters.mIdleClosed += sweep.mClosed;
  if (sweep.mClosed > 0 && mObserver != nullptr) {
    mObserver->OnIdleClosed(sweep);
  }
}

void
http_server::CloseAsIdle(GSocket* aSocket,
                         client_connection& aConnection,
                         const std::string& aRefusal,
                         instant aNow,
                         idle_sweep* aSweep)
{
  duration age = aNow - aConnection.mLastActivity;
  aSweep->mYoungest =
    aSweep->mClosed == 0 ? age : std::min(aSweep->mYoungest, age);
  aSweep->mClosed++;
  aSweep->mUnused += aConnection.mUsed ? 0 : 1;
  aSweep->mWithUnsentAnswer += aConnection.mUnsentAnswers > 0 ? 1 : 0;
  aSweep->mWithPartRequest += HasPartOfRequest(aSocket, aConnection) ? 1 : 0;
  aConnection.mClosedAsIdle = true;
  // The last answer may still be in the kernel's buffer; the refusal follows
  // it. If there is no room, the client sees only the end of the connection.
  send(g_socket_get_fd(aSocket),
       aRefusal.data(),
       aRefusal.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  // Not for reading: data that arrives after that would make the kernel reset
  // the connection, and the client might lose the refusal.
  g_socket_shutdown(aSocket, FALSE, TRUE, nullptr);
}

gboolean
http_server::OnAbandonedTimer(gpointer aData)
{
  static_cast<http_server*>(aData)->CloseAbandoned();
  return G_SOURCE_CONTINUE;
}

void
http_server::CloseAbandoned()
{
  const std::set<GSocket*> busy = BusySockets();
  for (const auto& group : mGroups) {
    for (auto it = group->mOpenSockets.begin();
         it != group->mOpenSockets.end();) {
      auto& [socket, connection] = *it;
      bool wasClosed = connection->mClientClosed;
      connection->mClientClosed = busy.count(socket) == 0 &&
                                  IsIdle(*group, socket, *connection) &&
                                  Peek(socket) == peek_result::End;
      // The second time, libsoup has read the end too and no longer polls the
      // socket.
      if (wasClosed && connection->mClientClosed) {
        g_socket_close(socket, nullptr);
        it = group->mOpenSockets.erase(it);
      } else {
        ++it;
      }
    }
  }
}

bool
http_server::DropRefused(const connection_group& aGroup,
                         SoupServerMessage* aMessage)
{
  auto found = aGroup.mOpenSockets.find(SocketOf(aMessage));
  bool refused =
    found != aGroup.mOpenSockets.end() && found->second->mClosedAsIdle;
  if (refused) {
    soup_server_message_set_status(
      aMessage, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    soup_message_headers_replace(
      soup_server_message_get_response_headers(aMessage),
      "Connection",
      "close");
  }
  return refused;
}

void
http_server::StartAbandonedTimer()
{
  mAbandonedTimer = g_timeout_add_seconds(
    kAbandonedCheckIntervalS, &http_server::OnAbandonedTimer, this);
}

size_t
http_server::OpenConnections() const
{
  size_t count = 0;
  for (const auto& group : mGroups) {
    count += group->mOpenSockets.size();
  }
  return count;
}

size_t
http_server::AbandonedConnections() const
{
  size_t count = 0;
  for (const auto& group : mGroups) {
    for (const auto& [socket, connection] : group->mOpenSockets) {
      bool abandoned = !connection->mClosedAsIdle &&
                       !g_socket_is_closed(socket) &&
                       Peek(socket) == peek_result::End;
      count += abandoned ? 1 : 0;
    }
  }
  return count;
}

} // namespace cactusmast
