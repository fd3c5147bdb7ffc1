#include "cactusmast/server_record.h"

#include "cactusmast/message.h"

namespace cactusmast {
namespace {

// Of each resource; more would not fit into messages.
constexpr int64_t kMaxResource = 1 << 30;

bool
IsPlausible(const server_announcement& aServer)
{
  const resources& capacity = aServer.mCapacity;
  resources most{ kMaxResource, kMaxResource, kMaxResource };
  return !aServer.mId.empty() && aServer.mStartTimeMs >= 0 &&
         capacity.FitsIn(most) && resources{}.FitsIn(capacity);
}

} // namespace

std::string
EncodeServerRecord(const server_announcement& aServer)
{
  wire::server_record_msg record;
  record.id = aServer.mId;
  record.service = aServer.mService;
  record.born_ms = aServer.mStartTimeMs;
  record.cpu_millis = aServer.mCapacity.mCpuMillis;
  record.memory_mb = aServer.mCapacity.mMemoryMb;
  record.gpus = aServer.mCapacity.mAccelerators;
  record.labels = aServer.mLabels;
  std::string bytes;
  EncodeFrame(MakeMessage(std::move(record)), &bytes);
  return bytes;
}

result<server_announcement>
DecodeServerRecord(const std::string& aBytes)
{
  return ResultOf<server_announcement>([&] {
    message decoded = std::move(DecodeFrame(aBytes, "store").Value());
    const wire::server_record_msg* record = decoded.Asserver_record();
    if (record == nullptr) {
      throw failure(error_code::Protocol,
                    "decode",
                    "store",
                    "message is not a server record");
    }
    server_announcement announcement;
    announcement.mId = record->id;
    announcement.mService = record->service;
    announcement.mStartTimeMs = record->born_ms;
    announcement.mCapacity = { record->cpu_millis,
                               record->memory_mb,
                               record->gpus };
    announcement.mLabels = record->labels;
    if (!IsPlausible(announcement)) {
      throw failure(error_code::Protocol,
                    "decode",
                    "store",
                    "server record with a number out of range");
    }
    return announcement;
  });
}

} // namespace cactusmast
