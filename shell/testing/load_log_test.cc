// The line that an entry logs each second about its load.

#include <doctest/doctest.h>
#include <map>
#include <string>

#include "shell/load_log.h"

namespace cactusmast {
namespace {

using std::chrono::milliseconds;

struct recorded_events : public event_sink
{
  void Emit(event_code aCode, std::vector<event_field> aFields) override
  {
    REQUIRE(aCode == event_code::EntryLoad);
    mLines.emplace_back();
    for (const event_field& field : aFields) {
      mLines.back()[std::string(field.mName)] = field.mValue;
    }
  }
  std::vector<std::map<std::string, std::string>> mLines;
};

} // namespace

TEST_CASE("each second with work is logged with its own counts")
{
  // Guards against a busy second of which nothing is known because the lines of
  // its jobs were dropped.
  recorded_events events;
  loop_load loop;
  load_log log(events, loop);
  coordinator_counters jobs;
  load_totals totals{ jobs };
  instant now = milliseconds(1000);
  log.Tick(totals, now);
  CHECK(events.mLines.empty());

  totals.mRequests = 10;
  jobs.mAccepted = 9;
  jobs.mRefused = 2;
  log.OnRequest(milliseconds(40));
  log.Tick(totals, now += milliseconds(1000));
  totals.mRequests = 13;
  jobs.mRefused = 3;
  log.Tick(totals, now += milliseconds(500));
  log.Tick(totals, now += milliseconds(500));
  log.Tick(totals, now += milliseconds(1000));

  REQUIRE(events.mLines.size() == 2);
  CHECK(events.mLines[0]["requests"] == "10");
  CHECK(events.mLines[0]["accepted"] == "9");
  CHECK(events.mLines[0]["request_wait_ms"] == "4");
  CHECK(events.mLines[0]["longest_wait_ms"] == "40");
  CHECK(events.mLines[1]["requests"] == "3");
  CHECK(events.mLines[1]["refused"] == "1");
  CHECK(events.mLines[1]["longest_wait_ms"] == "0");
}

} // namespace cactusmast
