// Tests of the JSON form of log lines and of the limit of lines per second.

#include "shell/log_sink.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cactusmast {
namespace {

// Returns how often aText occurs in what aWrite writes to standard error.
size_t
CountOccurrences(const std::string& aText, const std::function<void()>& aWrite)
{
  char path[] = "/tmp/cactusmast-log-XXXXXX";
  int file = mkstemp(path);
  int saved = dup(STDERR_FILENO);
  dup2(file, STDERR_FILENO);
  aWrite();
  dup2(saved, STDERR_FILENO);
  close(saved);
  lseek(file, 0, SEEK_SET);
  std::string output;
  char chunk[4096];
  for (ssize_t n = 0; (n = read(file, chunk, sizeof chunk)) > 0;) {
    output.append(chunk, size_t(n));
  }
  close(file);
  unlink(path);
  size_t count = 0;
  for (size_t at = output.find(aText); at != std::string::npos;
       at = output.find(aText, at + 1)) {
    count++;
  }
  return count;
}

} // namespace

TEST_CASE("a log line is one JSON object whatever bytes its fields contain")
{
  const std::string values[] = {
    "plain",       "a \"quoted\" one", "back\\slash",       "two\nlines",
    "caf\xc3\xa9", "not \xff utf-8",   std::string(1, '\0')
  };
  for (const std::string& value : values) {
    std::string line = RenderLogLine(
      EventOf(event_code::JobDecided), 17, "edge-1", { { "reason", value } });
    nlohmann::json read = nlohmann::json::parse(line);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(read["time_ms"] == 17);
    CHECK(read["event"] == int(event_code::JobDecided));
    CHECK(read["process"] == "edge-1");
    bool valid = value.find('\xff') == std::string::npos;
    if (valid) {
      CHECK(read["reason"] == value);
    }
  }
}

TEST_CASE("progress events of jobs do not crowd out the endings under load")
{
  // An entry gets 250 jobs per second and logs several lines for each. If the
  // progress events at the start of a second exhausted the limit, the endings
  // would be dropped, and operators could not find out how a job ended.
  log_sink log("edge-1", severity::Info);
  size_t endings = CountOccurrences("job_decided", [&] {
    for (int i = 0; i < 250; i++) {
      for (int n = 0; n < 6; n++) {
        log.Emit(event_code::TasksPlaced, { { "job", std::to_string(i) } });
      }
      log.Emit(event_code::JobDecided, { { "job", std::to_string(i) } });
    }
  });
  CHECK(endings == 250);
}

TEST_CASE("a burst of refusals does not crowd out how a process stops")
{
  // Guards against a drain whose sweeps, signals and exit are not in the log.
  log_sink log("edge-1", severity::Info);
  size_t lines = CountOccurrences("\"drain_ms\"", [&] {
    for (int i = 0; i < 1000; i++) {
      log.Emit(event_code::JobRefused, { { "reason", "draining" } });
    }
    for (int i = 0; i < 10; i++) {
      log.Emit(event_code::SignalReceived, { { "drain_ms", "1" } });
      log.Emit(event_code::IdleConnectionsClosed, { { "drain_ms", "1" } });
      log.Emit(event_code::AnswerNotSent, { { "drain_ms", "1" } });
    }
    log.Emit(event_code::ProcessStopped, { { "drain_ms", "1" } });
  });
  CHECK(lines == 31);
}

} // namespace cactusmast
