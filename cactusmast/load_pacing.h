// When an entry sends its load to the other entries, and how much of it.
//
// A load goes to every other entry with a heartbeat. With 39 other entries and
// ten routes, a load in every heartbeat would take 40 KB/s, more than a node's
// whole control overhead may. The interval between loads therefore grows with
// their size and the number of receivers, and where the longest interval does
// not suffice, only the routes of greatest demand are sent.
//
//   load_pacing pacing;
//   if (isHeartbeatDue || pacing.IsOverdue(now)) {
//     if (pacing.IsDue(now)) {
//       pacing.OnSend(receivers, now, &load);
//     }
//     ... // send the heartbeats, with the load if it is due
//   }
//
// Invariants:
// - A load that has been sent is followed by an interval in which all its
//   copies take at most kLoadBytesPerSecond.
// - Two loads are at most kMaxLoadInterval apart, because a heartbeat is sent
//   early when a load is overdue.

#ifndef CACTUSMAST_LOAD_PACING_H_
#define CACTUSMAST_LOAD_PACING_H_

#include <cstddef>

#include "cactusmast/ids.h"
#include "cactusmast/route_demand.h"

namespace cactusmast {

// Between heartbeats to other entries.
constexpr duration kEntryHeartbeatInterval = std::chrono::milliseconds(300);
// Of all copies of an entry's loads together. The rest of the 3 KB/s of control
// overhead of a node is left to other messages.
constexpr double kLoadBytesPerSecond = 2000;

class load_pacing
{
public:
  // Whether the next heartbeat is to carry a load.
  bool IsDue(instant aNow) const { return aNow >= mNextAt; }
  // Whether a load must not wait for the next heartbeat.
  bool IsOverdue(instant aNow) const
  {
    return aNow >= mSentAt + kMaxLoadInterval;
  }
  // To be called before aLoad is sent to aReceivers entries. Drops the last
  // routes of aLoad, those of least demand, until it fits the longest interval.
  void OnSend(size_t aReceivers, instant aNow, wire::entry_load_msg* aLoad);

private:
  instant mSentAt{};
  instant mNextAt{};
};

// The bytes by which aLoad lengthens a heartbeat.
size_t
EncodedBytes(const wire::entry_load_msg& aLoad);

} // namespace cactusmast

#endif // CACTUSMAST_LOAD_PACING_H_
