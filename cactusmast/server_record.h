// The record of the backend server beside an executor in the store.
//
// Backend servers announce themselves every second or two. An executor that is
// killed and back within half a second would not know its backend server until
// the next announcement. If all executors were killed at once, entries would
// find no capacity for a second and refuse or delay jobs, although every
// backend server is up. Therefore each executor stores the last announcement
// and reads it when it starts.
//
// The record is a hint: the executor uses it only for the incarnation of the
// backend server that it names, and only for a limited time unless an
// announcement follows (task_executor::OnAnnouncementRestored).

#ifndef CACTUSMAST_SERVER_RECORD_H_
#define CACTUSMAST_SERVER_RECORD_H_

#include <string>

#include "cactusmast/backend_runner.h"
#include "util/result.h"

namespace cactusmast {

// The value of the row. mSequence, mDraining and mColdLeftMs are not stored.
std::string
EncodeServerRecord(const server_announcement& aServer);

// Errors: Protocol.
result<server_announcement>
DecodeServerRecord(const std::string& aBytes);

} // namespace cactusmast

#endif // CACTUSMAST_SERVER_RECORD_H_
