// The socket of a connection that libsoup serves, and what can be read from it.

#ifndef SHELL_SERVED_SOCKET_H_
#define SHELL_SERVED_SOCKET_H_

#include <cstdint>
#include <libsoup/soup.h>

namespace cactusmast::detail {

// What can be read from a connection.
enum class peek_result : uint8_t
{
  Nothing,
  Data,
  End // the client closed the connection, or it broke
};

peek_result
Peek(GSocket* aSocket);

// Lets SocketOf find the socket of a connection, whose client's address aClient
// is: libsoup does not know the sockets of streams passed to it.
void
AttachSocket(GSocketAddress* aClient, GSocket* aSocket);

// Null when the connection of aMessage is gone.
GSocket*
SocketOf(SoupServerMessage* aMessage);

} // namespace cactusmast::detail

#endif // SHELL_SERVED_SOCKET_H_
