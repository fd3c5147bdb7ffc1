#include "cactusmast/load_pacing.h"

#include <algorithm>

#include "cactusmast/route_demand.h"

namespace cactusmast {
namespace {

// A load that is not due yet at one heartbeat waits for the next one.
constexpr duration kMaxPause = kMaxLoadInterval - kEntryHeartbeatInterval;

// The time in which all copies of aLoad use up the budget.
duration
TimeToPay(const wire::entry_load_msg& aLoad, size_t aReceivers)
{
  double bytes = double(EncodedBytes(aLoad)) * double(aReceivers);
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(bytes / kLoadBytesPerSecond));
}

} // namespace

size_t
EncodedBytes(const wire::entry_load_msg& aLoad)
{
  flatbuffers::FlatBufferBuilder builder(256);
  builder.Finish(wire::entry_load::Pack(builder, &aLoad));
  return builder.GetSize();
}

void
load_pacing::OnSend(size_t aReceivers,
                    instant aNow,
                    wire::entry_load_msg* aLoad)
{
  while (!aLoad->demand.empty() && TimeToPay(*aLoad, aReceivers) > kMaxPause) {
    aLoad->demand.pop_back();
  }
  duration pause = TimeToPay(*aLoad, aReceivers);
  mNextAt = aNow + std::clamp(pause, kEntryHeartbeatInterval, kMaxPause);
}

} // namespace cactusmast
