#include "shell/served_socket.h"

#include <cerrno>
#include <sys/socket.h>

namespace cactusmast::detail {
namespace {

// Key under which a client's address refers to the socket of its connection.
constexpr char kSocketKey[] = "cactusmast-socket";

} // namespace

peek_result
Peek(GSocket* aSocket)
{
  char next = 0;
  ssize_t count =
    recv(g_socket_get_fd(aSocket), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return peek_result::Data;
  }
  bool open = count < 0 && (errno == EAGAIN || errno == EINTR);
  return open ? peek_result::Nothing : peek_result::End;
}

void
AttachSocket(GSocketAddress* aClient, GSocket* aSocket)
{
  g_object_set_data_full(
    G_OBJECT(aClient), kSocketKey, g_object_ref(aSocket), &g_object_unref);
}

GSocket*
SocketOf(SoupServerMessage* aMessage)
{
  GSocketAddress* client = soup_server_message_get_remote_address(aMessage);
  return client == nullptr ? nullptr
                           : static_cast<GSocket*>(
                               g_object_get_data(G_OBJECT(client), kSocketKey));
}

} // namespace cactusmast::detail
