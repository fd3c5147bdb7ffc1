// What decides on requests before libsoup reads them.
//
// Reading a request with libsoup and answering it takes most of the time that a
// job costs an entry, so that an overloaded entry which reads what it refuses
// has little time left for what it serves.

#ifndef SHELL_REQUEST_SCREEN_H_
#define SHELL_REQUEST_SCREEN_H_

#include <optional>
#include <string>

#include "cactusmast/ids.h"

namespace cactusmast {

struct http_answer;

// What is known of a request that has arrived and was not read yet.
struct unread_request
{
  std::string mMethod;
  std::string mPath;  // as sent, with the query
  duration mWaited{}; // to be read
};

class request_screen
{
public:
  virtual ~request_screen() = default;
  // Whether requests that have waited for aWaited may be refused unread. Called
  // often, so it must be cheap.
  virtual bool IsActive(duration aWaited) const = 0;
  // The answer to aRequest, which is then dropped; none if it is to be read.
  virtual std::optional<http_answer> Screen(const unread_request& aRequest) = 0;
};

} // namespace cactusmast

#endif // SHELL_REQUEST_SCREEN_H_
