#include "cactusmast/load_pacing.h"

#include <algorithm>

namespace cactusmast {
namespace {

// Beside the load itself: its offset and vtable entry in the heartbeat, and
// padding.
constexpr size_t kFieldBytes = 8;

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
  return builder.GetSize() + kFieldBytes;
}

void
load_pacing::OnSend(size_t aReceivers,
                    instant aNow,
                    wire::entry_load_msg* aLoad)
{
  while (!aLoad->demand.empty() &&
         TimeToPay(*aLoad, aReceivers) > kMaxLoadInterval) {
    aLoad->demand.pop_back();
  }
  mSentAt = aNow;
  mNextAt = aNow + std::clamp(TimeToPay(*aLoad, aReceivers),
                              kEntryHeartbeatInterval,
                              kMaxLoadInterval);
}

} // namespace cactusmast
