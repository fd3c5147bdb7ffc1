#include "shell/socket_input.h"

#include <cstddef>
#include <linux/tcp.h> // glibc's tcp_info has no tcpi_bytes_received
#include <netinet/in.h>
#include <sys/socket.h>

namespace cactusmast {

socket_input
InputOf(int aFd)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  socket_input input;
  if (getsockopt(aFd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return input;
  }
  auto told = [size](size_t aOffset, size_t aSize) {
    return size >= aOffset + aSize;
  };
  if (told(offsetof(tcp_info, tcpi_bytes_received),
           sizeof info.tcpi_bytes_received)) {
    input.mBytes = info.tcpi_bytes_received;
  }
  if (told(offsetof(tcp_info, tcpi_last_data_recv),
           sizeof info.tcpi_last_data_recv)) {
    input.mSinceLast = std::chrono::milliseconds(info.tcpi_last_data_recv);
  }
  return input;
}

} // namespace cactusmast
