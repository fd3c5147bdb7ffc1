// Tests of rendering and parsing metrics pages.

#include <doctest/doctest.h>

#include "shell/metrics_page.h"
#include "shell/metrics_reader.h"

namespace cactusmast::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a metrics page lists evacuated data centres with their duration")
{
  evacuation_tracker tracker;
  tracker.Update({ { 5, { "a", "b-2" } }, seconds(100) });
  metrics_page page;
  AddEvacuationMetrics(tracker, seconds(103) + milliseconds(500), &page);
  std::string text = page.Render();
  auto centers = ReadGauges(text, kEvacuatedMetric);
  CHECK(centers ==
        std::map<std::string, double>{ { "a", 3.5 }, { "b-2", 3.5 } });
  CHECK(ReadGauges(text, kEvacuationsAgeMetric).at("") == 3.5);
}

TEST_CASE("malformed lines of a metrics page do not hide the valid ones")
{
  std::string text =
    "# HELP m text\nm{x=\"1\"} 4\nm{x=\"2\"} ?\nm\nmm 3\n\nm 5";
  CHECK(ReadGauges(text, "m") ==
        std::map<std::string, double>{ { "", 5 }, { "1", 4 } });
}

} // namespace cactusmast::testing
