// Tables in the docs must agree with those in the code.

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

#include "cactusmast/error.h"
#include "cactusmast/events.h"

namespace cactusmast::testing {
namespace {

std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

TEST_CASE("docs/EVENTS.md contains the table of events")
{
  std::string expected;
  for (const event_row& row : EventTable()) {
    expected += "| " + std::to_string(int(row.mCode)) + " | " +
                std::string(row.mName) + " | " +
                std::string(Name(row.mSeverity)) + " | " +
                std::string(row.mMeaning) + " |\n";
  }
  std::string text = ReadText("docs/EVENTS.md");
  CHECK_MESSAGE(text.find(expected) != std::string::npos, expected);
}

TEST_CASE("docs/API.md lists every error that callers see")
{
  std::string text = ReadText("docs/API.md");
  for (uint8_t i = 1; i < uint8_t(error_code::Count); i++) {
    auto code = error_code(i);
    bool internal =
      code == error_code::Protocol || code == error_code::Internal;
    std::string row = "| " + std::string(Name(code)) + " | " +
                      std::to_string(HttpStatus(code)) + " |";
    CHECK_MESSAGE((internal || text.find(row) != std::string::npos), row);
  }
}

} // namespace cactusmast::testing
