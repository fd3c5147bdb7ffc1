// Frames and envelopes: complete, split over several reads, and malformed.

#include <doctest/doctest.h>
#include <random>

#include "cactusmast/message.h"

namespace cactusmast::testing {
namespace {

message
SampleDispatch()
{
  wire::dispatch_msg dispatch;
  dispatch.epoch = 7;
  for (uint32_t i = 0; i < 3; i++) {
    wire::dispatch_item_msg item;
    item.ref = RefOf({ 1, 2 }, i);
    item.payload = "payload " + std::to_string(i);
    dispatch.items.push_back(item);
  }
  return MakeMessage(std::move(dispatch));
}

} // namespace

TEST_CASE("messages are decoded however the byte stream is split into reads")
{
  std::string bytes;
  EncodeFrame(SampleDispatch(), &bytes);
  EncodeFrame(SampleDispatch(), &bytes);
  for (size_t chunk = 1; chunk < bytes.size(); chunk += 7) {
    frame_reader reader(1 << 20);
    int messages = 0;
    for (size_t offset = 0; offset < bytes.size(); offset += chunk) {
      reader.Append(std::string_view(bytes).substr(offset, chunk));
      std::string_view frame;
      while (reader.Next(&frame)) {
        result<message> decoded = DecodeEnvelope(frame, "peer");
        REQUIRE(decoded.Ok());
        CHECK(decoded.Value().Asdispatch()->items[2].payload == "payload 2");
        messages++;
      }
    }
    CHECK(messages == 2);
  }
}

TEST_CASE("a frame over the limit is refused before it is buffered")
{
  frame_reader reader(100);
  reader.Append(std::string("\xff\xff\xff\x7f", 4));
  std::string_view frame;
  CHECK_THROWS_AS(reader.Next(&frame), failure);
}

TEST_CASE("malformed envelopes are errors that name the peer")
{
  // A peer sends a frame that is damaged in a few places or truncated.
  // Decoding must end with a message or an error, never with a read out of
  // bounds.
  std::string encoded;
  EncodeFrame(SampleDispatch(), &encoded);
  std::string_view body = std::string_view(encoded).substr(4);
  std::mt19937 random(3);
  int errors = 0;
  for (int i = 0; i < 20000; i++) {
    std::string damaged(body);
    for (int flips = 1 + int(random() % 4); flips > 0; flips--) {
      damaged[random() % damaged.size()] = char(random());
    }
    if (random() % 4 == 0) {
      damaged.resize(random() % damaged.size());
    }
    result<message> decoded = DecodeEnvelope(damaged, "peer-9");
    if (!decoded.Ok()) {
      errors++;
      CHECK(decoded.Error().Peer() == "peer-9");
      CHECK(decoded.Error().Code() == error_code::Protocol);
    }
  }
  CHECK(errors > 1000);
}

} // namespace cactusmast::testing
