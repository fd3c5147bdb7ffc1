#include "shell/received_bytes.h"

#include <cstddef>
#include <linux/tcp.h> // glibc's tcp_info has no tcpi_bytes_received
#include <netinet/in.h>
#include <sys/socket.h>

namespace cactusmast {

uint64_t
ReceivedBytes(int aFd)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  bool told = getsockopt(aFd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
              size >= offsetof(tcp_info, tcpi_bytes_received) +
                        sizeof info.tcpi_bytes_received;
  return told ? info.tcpi_bytes_received : 0;
}

} // namespace cactusmast
