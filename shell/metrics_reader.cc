#include "shell/metrics_reader.h"

#include <cstdlib>
#include <sstream>

namespace cactusmast {
namespace {

// Returns the text between the first two quotes; empty if there are none.
std::string
FirstQuoted(const std::string& aText)
{
  size_t first = aText.find('"');
  size_t last = aText.find('"', first + 1);
  bool found = first != std::string::npos && last != std::string::npos;
  return found ? aText.substr(first + 1, last - first - 1) : "";
}

} // namespace

std::map<std::string, double>
ReadGauges(const std::string& aPage, const std::string& aName)
{
  std::map<std::string, double> values;
  std::istringstream lines(aPage);
  std::string line;
  while (std::getline(lines, line)) {
    size_t space = line.rfind(' ');
    size_t nameEnd = line.find_first_of("{ ");
    bool matches =
      space != std::string::npos && line.substr(0, nameEnd) == aName;
    if (!matches) {
      continue;
    }
    char* end = nullptr;
    double value = std::strtod(line.c_str() + space, &end);
    if (*end == '\0') {
      values[FirstQuoted(line.substr(nameEnd, space - nameEnd))] = value;
    }
  }
  return values;
}

} // namespace cactusmast
