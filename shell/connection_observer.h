// What an http_server reports about the connections of its clients: answers
// that were not written, and connections that it closed.

#ifndef SHELL_CONNECTION_OBSERVER_H_
#define SHELL_CONNECTION_OBSERVER_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "cactusmast/ids.h"

namespace cactusmast {

// Why a request's answer was not written.
enum class unsent_cause : uint8_t
{
  ClosedAsIdle, // CloseIdle closed the connection after the answer was given
  ClientClosed, // the client closed the connection, or it broke
  ProcessExit,  // the process ended after the answer was given
  NoAnswer,     // the process ended before there was an answer
  Count
};

// The name of aCause in logs and metrics.
std::string_view
Name(unsent_cause aCause);

// A request whose client got no complete answer from this process.
struct unsent_answer
{
  uint64_t mExchange = 0; // as http_exchange::Id
  std::string mMethod;
  std::string mPath;
  duration mSinceReceived{}; // since the request was received completely
  duration mSinceAnswered{}; // zero when there was no answer
  unsent_cause mCause = unsent_cause::ClientClosed;
};

// The connections that one call of CloseIdle closed.
struct idle_sweep
{
  size_t mClosed = 0;
  // The shortest time since one of them was accepted or its last answer was
  // written.
  duration mYoungest{};
  size_t mUnused = 0;           // had not carried a request yet
  size_t mWithUnsentAnswer = 0; // had an answer that was not written yet
  size_t mWithPartRequest = 0;  // had received a part of a request
};

// Receives the reports of an http_server.
class connection_observer
{
public:
  virtual ~connection_observer() = default;
  virtual void OnAnswerNotSent(const unsent_answer& aAnswer) = 0;
  // Called only when connections were closed.
  virtual void OnIdleClosed(const idle_sweep& aSweep) = 0;
};

// Counts since the start of an http_server.
struct connection_counters
{
  std::array<uint64_t, size_t(unsent_cause::Count)>
    mAnswersNotSent{};      // by cause
  uint64_t mIdleClosed = 0; // connections closed by CloseIdle
};

} // namespace cactusmast

#endif // SHELL_CONNECTION_OBSERVER_H_
