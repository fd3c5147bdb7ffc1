// Structured logs: one JSON object a line on standard error, by Boost.Log.

#ifndef SHELL_LOG_SINK_H_
#define SHELL_LOG_SINK_H_

#include <string>

#include "cactusmast/events.h"

namespace cactusmast {

class log_sink : public event_sink
{
public:
  // aProcess stands in every line. Events below aLeast are dropped.
  log_sink(std::string aProcess, severity aLeast);
  void Emit(event_code aCode, std::vector<event_field> aFields) override;

private:
  std::string mProcess;
  severity mLeast;
};

} // namespace cactusmast

#endif // SHELL_LOG_SINK_H_
