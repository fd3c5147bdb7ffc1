// Parses metrics pages, for the command-line tool.

#ifndef SHELL_METRICS_READER_H_
#define SHELL_METRICS_READER_H_

#include <map>
#include <string>

namespace cactusmast {

// Returns the values of the metric aName by the value of its only label; the
// key is empty for a line without a label. aPage: Prometheus text format.
// Malformed lines are skipped.
std::map<std::string, double>
ReadGauges(const std::string& aPage, const std::string& aName);

} // namespace cactusmast

#endif // SHELL_METRICS_READER_H_
