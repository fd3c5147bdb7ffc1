// Addresses written as HOST:PORT.

#ifndef UTIL_HOST_PORT_H_
#define UTIL_HOST_PORT_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusmast {

struct host_port
{
  std::string mHost;
  uint16_t mPort = 0;
};

// Nothing without a host or with a port that is not a number up to 65535. The
// host is not checked further.
inline std::optional<host_port>
ParseHostPort(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view port = aText.substr(colon + 1);
  host_port parsed;
  parsed.mHost = std::string(aText.substr(0, colon));
  const char* end = port.data() + port.size();
  auto [rest, error] = std::from_chars(port.data(), end, parsed.mPort);
  bool valid = error == std::errc() && rest == end;
  return valid ? std::optional(parsed) : std::nullopt;
}

} // namespace cactusmast

#endif // UTIL_HOST_PORT_H_
