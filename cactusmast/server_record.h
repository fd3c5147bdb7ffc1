// What the store keeps of the backend server beside an executor.
//
// Backend servers announce themselves every second or two. An executor that
// was killed and is back within half a second would know of its backend server
// only with the next announcement; if all executors are killed at once, their
// entries find no room for a second and refuse or delay what comes, although
// every backend server is up. So each executor keeps the last announcement in
// the store and reads it when it starts.
//
// The record is a hint: the executor uses it only for the very life of the
// backend server that it names, and only for a while unless an announcement
// follows (task_executor::OnServerRestored).

#ifndef CACTUSMAST_SERVER_RECORD_H_
#define CACTUSMAST_SERVER_RECORD_H_

#include <string>

#include "cactusmast/backend_runner.h"
#include "util/result.h"

namespace cactusmast {

// As bytes of a row.
std::string
EncodeServerRecord(const server_announcement& aServer);

// Errors: Protocol.
result<server_announcement>
DecodeServerRecord(const std::string& aBytes);

} // namespace cactusmast

#endif // CACTUSMAST_SERVER_RECORD_H_
