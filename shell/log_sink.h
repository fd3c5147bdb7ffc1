// Structured logs: one JSON object per line, written through Boost.Log.
//
// Writing never blocks. Lines that the stream does not accept immediately are
// dropped. Lines below severity Error are limited to kMaxLinesPerSecond, of
// which progress events of jobs get only a part; those beyond are dropped as
// well, except the one of the exit. Events of a stop have a further
// kStopLinesPerSecond. The number of dropped lines is logged, at most once a
// second.

#ifndef SHELL_LOG_SINK_H_
#define SHELL_LOG_SINK_H_

#include <string>

#include "cactusmast/events.h"

namespace cactusmast {

// A standard stream.
enum class log_stream : uint8_t
{
  Output,
  Error,
  Count
};

// Returns an event as a JSON object on one line. Does not use the JSON library,
// which takes several times as long, because an entry writes hundreds of lines
// per second. aNowMs: wall-clock time in ms since 1970.
std::string
RenderLogLine(const event_row& aRow,
              int64_t aNowMs,
              const std::string& aProcess,
              const std::vector<event_field>& aFields);

// Writes events to a standard stream.
class log_sink : public event_sink
{
public:
  // aProcess is the process name in every line. Events below aMinSeverity are
  // not logged. All sinks of a process write to the stream of the first one.
  log_sink(std::string aProcess,
           severity aMinSeverity,
           log_stream aStream = log_stream::Error);
  void Emit(event_code aCode, std::vector<event_field> aFields) override;

private:
  // Counts the line; false when it is over the limit and must be dropped.
  bool TakeFromBudget(int64_t aNowMs, const event_row& aRow);
  void Write(const event_row& aRow,
             int64_t aNowMs,
             const std::vector<event_field>& aFields);

  std::string mProcess;
  severity mMinSeverity;
  int64_t mSecond = 0; // since 1970; the second that is being counted
  uint32_t mLinesInSecond = 0;
  uint32_t mProgressLinesInSecond = 0;
  uint64_t mDroppedLines = 0; // lines over the limit that were not reported yet
};

} // namespace cactusmast

#endif // SHELL_LOG_SINK_H_
