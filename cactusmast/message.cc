#include "cactusmast/message.h"

#include <array>
#include <cstring>
#include <memory>

namespace cactusmast {
namespace {

constexpr std::array<std::string_view, size_t(process_role::Count)> kRoles = {
  "entry",
  "guard"
};

constexpr std::array<std::string_view, size_t(task_outcome::Count)>
  kOutcomes = { "pending", "succeeded", "failed", "refused" };

constexpr std::array<std::string_view, size_t(task_reason::Count)> kReasons = {
  "none",          "stale_lease",       "no_slot",
  "withdrawn",     "tombstone",         "budget",
  "backend_error", "backend_lost",      "timed_out",
  "cancelled",     "worker_lost",       "result_gone",
  "unsatisfiable", "retries_exhausted", "shed"
};

constexpr std::array<std::string_view, size_t(job_state::Count)> kJobStates = {
  "running",
  "complete",
  "failed"
};

template<size_t N, typename E>
std::string_view
Lookup(const std::array<std::string_view, N>& aNames, E aValue)
{
  size_t index = size_t(aValue);
  return index < N ? aNames[index] : "invalid";
}

constexpr size_t kLengthBytes = 4;

} // namespace

std::string_view
Name(process_role aRole)
{
  return Lookup(kRoles, aRole);
}

std::string_view
Name(task_outcome aOutcome)
{
  return Lookup(kOutcomes, aOutcome);
}

std::string_view
Name(task_reason aReason)
{
  return Lookup(kReasons, aReason);
}

std::string_view
Name(job_state aState)
{
  return Lookup(kJobStates, aState);
}

std::string_view
Name(message_kind aKind)
{
  return wire::EnumNamebody(aKind);
}

wire::job_reply_msg
ErrorReply(const failure& aError)
{
  wire::job_reply_msg reply;
  reply.error = uint8_t(aError.Code());
  reply.text = aError.what();
  reply.step = aError.Step();
  reply.peer = aError.Peer();
  reply.run = uint8_t(aError.RunState());
  reply.retry_after_ms = uint32_t(aError.RetryAfter().count());
  return reply;
}

void
EncodeFrame(const message& aMessage, std::string* aOut)
{
  flatbuffers::FlatBufferBuilder builder(256);
  auto body = aMessage.Pack(builder);
  builder.Finish(wire::Createenvelope(builder, aMessage.type, body));
  uint32_t length = builder.GetSize();
  char prefix[kLengthBytes];
  for (size_t i = 0; i < kLengthBytes; i++) {
    prefix[i] = char(length >> (8 * i) & 0xff);
  }
  aOut->append(prefix, kLengthBytes);
  aOut->append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               length);
}

result<message>
DecodeFrame(const std::string& aBytes, const std::string& aPeer)
{
  return ResultOf<message>([&] {
    frame_reader reader(aBytes.size());
    reader.Append(aBytes);
    std::string_view frame;
    if (!reader.Next(&frame)) {
      throw failure(
        error_code::Protocol, "decode", aPeer, "frame is truncated");
    }
    return std::move(DecodeEnvelope(frame, aPeer).Value());
  });
}

result<message>
DecodeEnvelope(std::string_view aBytes, const std::string& aPeer)
{
  // FlatBuffers reads scalars in place and needs them aligned, which a slice
  // of a byte stream is not.
  std::vector<uint64_t> aligned((aBytes.size() + 7) / 8);
  if (!aBytes.empty()) {
    std::memcpy(aligned.data(), aBytes.data(), aBytes.size());
  }
  const auto* data = reinterpret_cast<const uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(data, aBytes.size());
  if (!wire::VerifyenvelopeBuffer(verifier)) {
    return failure(error_code::Protocol, "decode", aPeer, "malformed envelope");
  }
  const wire::envelope* envelope = wire::Getenvelope(data);
  if (envelope->content() == nullptr) {
    return failure(error_code::Protocol, "decode", aPeer, "envelope is empty");
  }
  message decoded;
  decoded.type = envelope->content_type();
  decoded.value =
    message::UnPack(envelope->content(), envelope->content_type(), nullptr);
  if (decoded.value == nullptr) {
    // A message of a newer peer that this build does not know.
    decoded.type = message_kind::NONE;
  }
  return decoded;
}

bool
frame_reader::Next(std::string_view* aFrame)
{
  // Compacting only once half of the buffer is consumed keeps the cost of
  // reading many small frames linear in their bytes.
  if (mConsumed > 0 && mConsumed * 2 >= mBuffer.size()) {
    mBuffer.erase(0, mConsumed);
    mConsumed = 0;
  }
  std::string_view unread = std::string_view(mBuffer).substr(mConsumed);
  if (unread.size() < kLengthBytes) {
    return false;
  }
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; i++) {
    length |= uint32_t(uint8_t(unread[i])) << (8 * i);
  }
  if (length > mMaxFrame) {
    throw failure(error_code::TooLarge,
                  "read frame",
                  "",
                  "frame of " + std::to_string(length) +
                    " bytes exceeds the limit of " + std::to_string(mMaxFrame));
  }
  if (unread.size() < kLengthBytes + length) {
    return false;
  }
  *aFrame = unread.substr(kLengthBytes, length);
  mConsumed += kLengthBytes + length;
  return true;
}

} // namespace cactusmast
