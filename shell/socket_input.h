// What the kernel tells of the bytes that a TCP connection has received.

#ifndef SHELL_SOCKET_INPUT_H_
#define SHELL_SOCKET_INPUT_H_

#include <cstdint>

#include "cactusmast/ids.h"

namespace cactusmast {

// Zero where the kernel does not tell.
struct socket_input
{
  // Since the connection was accepted, whether they were read or not.
  uint64_t mBytes = 0;
  // Since the last of them arrived, in whole milliseconds.
  duration mSinceLast{};
};

socket_input
InputOf(int aFd);

} // namespace cactusmast

#endif // SHELL_SOCKET_INPUT_H_
