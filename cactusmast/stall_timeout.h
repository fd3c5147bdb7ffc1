// How long a running task may make no progress before it counts as stalled.
//
// Answers the load of a backend server that accepts tasks and replies to polls,
// but whose tasks stand still: its executor would report it as ready, and every
// task placed there would be lost when its caller's timeout has passed.
//
// Progress is reported in whole percent, so a long task shows none for a while
// although it runs. The timeout therefore grows with the expected run time and
// allows for tasks that take many times as long as expected.

#ifndef CACTUSMAST_STALL_TIMEOUT_H_
#define CACTUSMAST_STALL_TIMEOUT_H_

#include "cactusmast/ids.h"

namespace cactusmast {

// aExpectedRun: by the declared run time and the speed of the backend server.
duration
StallTimeout(duration aExpectedRun);

} // namespace cactusmast

#endif // CACTUSMAST_STALL_TIMEOUT_H_
