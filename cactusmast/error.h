// Errors of the library. Every error names the step that failed and the peer
// it concerned, and says whether the request it answers was run.

#ifndef CACTUSMAST_ERROR_H_
#define CACTUSMAST_ERROR_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cactusmast {

// Values go over the wire: append only.
enum class error_code : uint8_t
{
  None,
  BadRequest,       // malformed or out of range; retrying cannot help
  Unauthorized,     // the token is missing or wrong
  NotFound,         // no such job, profile or path
  Conflict,         // compare-and-set lost, or a key reused with other content
  TooLarge,         // over a body, frame or job budget
  Overloaded,       // queue bound or deadline cannot be met; come back later
  Unsatisfiable,    // no known backend server can ever run it
  DeadlineExceeded, // the deadline passed before the end
  Cancelled,        // the caller cancelled it
  InDoubt,     // an earlier submission may have started and cannot be asked
  Unavailable, // no owner, no backend server, or no table at present
  Draining,    // this process is stopping
  Protocol,    // a peer sent something that is not the protocol
  Internal,
  Count
};

// What is known about the execution of a refused or failed request.
enum class run_state : uint8_t
{
  NotRun,  // certainly never started
  Run,     // certainly started
  Unknown, // may have started
  Count
};

std::string_view
Name(error_code aCode);
std::string_view
Name(run_state aState);

// The HTTP status that carries aCode to callers.
int
HttpStatus(error_code aCode);

class failure : public std::runtime_error
{
public:
  failure(error_code aCode,
          std::string aStep,
          std::string aPeer,
          const std::string& aText,
          run_state aRun = run_state::NotRun,
          std::chrono::milliseconds aRetryAfter = {})
    : std::runtime_error(aText)
    , mCode(aCode)
    , mStep(std::move(aStep))
    , mPeer(std::move(aPeer))
    , mRunState(aRun)
    , mRetryAfter(aRetryAfter)
  {
  }

  error_code Code() const { return mCode; }
  const std::string& Step() const { return mStep; }
  const std::string& Peer() const { return mPeer; }
  run_state RunState() const { return mRunState; }
  // Zero: no advice.
  std::chrono::milliseconds RetryAfter() const { return mRetryAfter; }

private:
  error_code mCode;
  std::string mStep;
  std::string mPeer;
  run_state mRunState;
  std::chrono::milliseconds mRetryAfter;
};

} // namespace cactusmast

#endif // CACTUSMAST_ERROR_H_
