#include "shell/log_sink.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cactusmast {
namespace {

// Limit of lines below severity Error. An entry with 100 jobs per second writes
// about 400 lines per second, four per job.
constexpr uint32_t kMaxLinesPerSecond = 600;
// Part of the limit above that progress events of jobs may use. There are
// several for each job, so that under load they would exhaust the limit, the
// endings of jobs would be dropped, and a failed job could not be found in the
// log.
constexpr uint32_t kMaxProgressLinesPerSecond = 350;

// Added to the limit for lines that tell how a process stops and which requests
// it leaves without an answer: a burst of refusals would hide them.
constexpr uint32_t kStopLinesPerSecond = 100;

// Lines that the stream did not accept and that were not reported yet.
uint64_t gUnwrittenLines = 0;

// Writes lines to a descriptor, which it makes non-blocking.
class descriptor_backend
  : public boost::log::sinks::basic_formatted_sink_backend<
      char,
      boost::log::sinks::synchronized_feeding>
{
public:
  explicit descriptor_backend(int aFd)
    : mFd(aFd)
  {
    fcntl(mFd, F_SETFL, fcntl(mFd, F_GETFL) | O_NONBLOCK);
  }

  // Boost.Log requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view& /*aRecord*/,
               const std::string& aLine)
  {
    std::string line = aLine + '\n';
    ssize_t written = write(mFd, line.data(), line.size());
    if (written != ssize_t(line.size())) {
      gUnwrittenLines++;
    }
  }

private:
  int mFd;
};

void
InstallBackend(log_stream aStream)
{
  static bool installed = false;
  if (installed) {
    return;
  }
  installed = true;
  int fd = aStream == log_stream::Output ? STDOUT_FILENO : STDERR_FILENO;
  auto backend = boost::make_shared<descriptor_backend>(fd);
  using frontend = boost::log::sinks::synchronous_sink<descriptor_backend>;
  boost::log::core::get()->add_sink(boost::make_shared<frontend>(backend));
}

int64_t
WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Whether the text needs no escaping in JSON.
bool
NeedsNoEscaping(std::string_view aText)
{
  for (char character : aText) {
    bool plain = character >= ' ' && character <= '~' && character != '"' &&
                 character != '\\';
    if (!plain) {
      return false;
    }
  }
  return true;
}

// Appends a text as a JSON string.
void
AppendText(std::string_view aText, std::string* aOut)
{
  if (!NeedsNoEscaping(aText)) {
    *aOut += nlohmann::json(aText).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  *aOut += '"';
  *aOut += aText;
  *aOut += '"';
}

void
AppendField(std::string_view aName, std::string_view aValue, std::string* aOut)
{
  *aOut += ',';
  AppendText(aName, aOut);
  *aOut += ':';
  AppendText(aValue, aOut);
}

// Whether the event tells the progress of a job before its ending.
bool
IsJobProgress(event_code aCode)
{
  return aCode == event_code::JobAccepted || aCode == event_code::TasksPlaced ||
         aCode == event_code::AttemptEnded;
}

// Whether the event tells how a process stops, a request ends without answer,
// or how much there is to do: what a burst of other lines must not hide.
bool
IsAboutStopOrLoad(event_code aCode)
{
  switch (aCode) {
    case event_code::EntryLoad:
    case event_code::ProcessDraining:
    case event_code::ProcessStopped:
    case event_code::DrainDeadline:
    case event_code::SignalReceived:
    case event_code::AnswerNotSent:
    case event_code::IdleConnectionsClosed:
      return true;
    default:
      return false;
  }
}

} // namespace

std::string
RenderLogLine(const event_row& aRow,
              int64_t aNowMs,
              const std::string& aProcess,
              const std::vector<event_field>& aFields)
{
  constexpr size_t kTypicalLineSize = 400;
  std::string line;
  line.reserve(kTypicalLineSize);
  line += "{\"time_ms\":" + std::to_string(aNowMs);
  line += ",\"event\":" + std::to_string(int(aRow.mCode));
  AppendField("name", aRow.mName, &line);
  AppendField("severity", Name(aRow.mSeverity), &line);
  AppendField("process", aProcess, &line);
  for (const event_field& field : aFields) {
    AppendField(field.mName, field.mValue, &line);
  }
  line += '}';
  return line;
}

log_sink::log_sink(std::string aProcess,
                   severity aMinSeverity,
                   log_stream aStream)
  : mProcess(std::move(aProcess))
  , mMinSeverity(aMinSeverity)
{
  InstallBackend(aStream);
}

bool
log_sink::TakeFromBudget(int64_t aNowMs, const event_row& aRow)
{
  int64_t second = aNowMs / 1000;
  if (second != mSecond) {
    mSecond = second;
    mLinesInSecond = 0;
    mProgressLinesInSecond = 0;
    uint64_t dropped = mDroppedLines + gUnwrittenLines;
    if (dropped > 0) {
      mDroppedLines = 0;
      gUnwrittenLines = 0;
      Write(EventOf(event_code::LinesDropped),
            aNowMs,
            { { "lines", std::to_string(dropped) } });
    }
  }
  // The last line of a process tells how it ended.
  if (aRow.mSeverity == severity::Error ||
      aRow.mCode == event_code::ProcessStopped) {
    return true;
  }
  bool isProgress = IsJobProgress(aRow.mCode);
  uint32_t limit = kMaxLinesPerSecond +
                   (IsAboutStopOrLoad(aRow.mCode) ? kStopLinesPerSecond : 0);
  bool over =
    mLinesInSecond >= limit ||
    (isProgress && mProgressLinesInSecond >= kMaxProgressLinesPerSecond);
  if (over) {
    mDroppedLines++;
    return false;
  }
  mLinesInSecond++;
  mProgressLinesInSecond += isProgress ? 1 : 0;
  return true;
}

void
log_sink::Emit(event_code aCode, std::vector<event_field> aFields)
{
  const event_row& row = EventOf(aCode);
  if (row.mSeverity < mMinSeverity) {
    return;
  }
  int64_t now = WallClockMs();
  if (TakeFromBudget(now, row)) {
    Write(row, now, aFields);
  }
}

void
log_sink::Write(const event_row& aRow,
                int64_t aNowMs,
                const std::vector<event_field>& aFields)
{
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << RenderLogLine(aRow, aNowMs, mProcess, aFields);
}

} // namespace cactusmast
