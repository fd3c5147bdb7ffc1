// Holds requests that reach an entry before its first configuration.
//
// An entry listens before it knows any route, and the configuration arrives
// some tens of milliseconds later. When all entries start at once, no other
// entry can serve the requests that arrive in between, and refusing them would
// turn callers away although the entry can serve them a moment later. They are
// therefore held in order of arrival for at most kMaxStartupHold, up to
// kMaxStartupBytes in total.
//
// Invariant: each accepted request is returned exactly once, by TakeAll or
// TakeOverdue.

#ifndef CACTUSMAST_STARTUP_QUEUE_H_
#define CACTUSMAST_STARTUP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "cactusmast/ids.h"
#include "cactusmast/ports.h"

namespace cactusmast {

// How long a request is held. A configuration that is later than this means
// that the store is unreachable; the caller is then refused and can try another
// entry.
constexpr duration kMaxStartupHold = std::chrono::milliseconds(250);
// Total size of all held requests.
constexpr size_t kMaxStartupBytes = 8u << 20;

class startup_queue
{
public:
  // aBytes: size of the request. False when the queue is full; the caller must
  // then refuse the request.
  bool Add(caller_id aRequest, size_t aBytes, instant aNow);
  // Removes and returns all requests.
  std::vector<caller_id> TakeAll();
  // Removes and returns the requests that have waited for kMaxStartupHold.
  std::vector<caller_id> TakeOverdue(instant aNow);
  bool IsEmpty() const { return mHeld.empty(); }

private:
  struct held_request
  {
    caller_id mId = 0;
    size_t mBytes = 0;
    instant mUntil{};
  };

  caller_id TakeFirst();

  std::deque<held_request> mHeld;
  size_t mBytes = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_STARTUP_QUEUE_H_
