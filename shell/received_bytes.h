// The number of bytes that a TCP connection has received.

#ifndef SHELL_RECEIVED_BYTES_H_
#define SHELL_RECEIVED_BYTES_H_

#include <cstdint>

namespace cactusmast {

// Bytes received since the connection was accepted, whether they were read or
// not. 0 when the kernel does not tell.
uint64_t
ReceivedBytes(int aFd);

} // namespace cactusmast

#endif // SHELL_RECEIVED_BYTES_H_
