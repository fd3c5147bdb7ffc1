// The error type of the library. Every error names the operation that failed
// and the peer involved, and states whether the request was executed.

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
  BadRequest,       // malformed or out of range; a retry cannot help
  Unauthorized,     // the token is missing or wrong
  NotFound,         // no such job, profile or path
  Conflict,         // compare-and-set failed, or a key reused for other content
  TooLarge,         // over the limit of a body, frame or job
  Overloaded,       // queue is full or deadline cannot be met; retry later
  Unsatisfiable,    // no known backend server can ever run it
  DeadlineExceeded, // the deadline passed before the request ended
  Cancelled,        // the caller cancelled it
  InDoubt,          // an earlier submission may have started on a lost worker
  Unavailable,      // no owner, no backend server, or no table at present
  Draining,         // this process is draining
  Protocol,         // a peer violated the wire protocol
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

// Names for callers and logs; "invalid" for values outside the enumeration.
std::string_view
Name(error_code aCode);
std::string_view
Name(run_state aState);

// The HTTP status that carries aCode to callers.
int
HttpStatus(error_code aCode);

// An error as it is thrown, and as result<T> holds it. what() is the text for
// people.
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
  // Name of the operation that failed, such as "decode".
  const std::string& Step() const { return mStep; }
  // The process or caller that the operation concerned; empty for none.
  const std::string& Peer() const { return mPeer; }
  run_state RunState() const { return mRunState; }
  // How long to wait before a retry; zero gives no advice.
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
