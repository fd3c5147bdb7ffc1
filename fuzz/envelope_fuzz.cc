// libFuzzer target for the decoding of frames and envelopes from a peer.

#include "cactusmast/message.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace cactusmast;
  std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  DecodeEnvelope(bytes, "peer");
  frame_reader reader(1 << 16);
  reader.Append(bytes);
  try {
    std::string_view frame;
    while (reader.Next(&frame)) {
      DecodeEnvelope(frame, "peer");
    }
  } catch (const failure&) {
    return 0;
  }
  return 0;
}
