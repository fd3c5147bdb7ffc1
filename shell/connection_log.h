// Logs what an http_server reports about its connections, and adds the counts
// to metrics and to the line of the exit.

#ifndef SHELL_CONNECTION_LOG_H_
#define SHELL_CONNECTION_LOG_H_

#include <functional>
#include <string>
#include <vector>

#include "cactusmast/events.h"
#include "shell/connection_observer.h"
#include "shell/http_server.h"
#include "shell/metrics_page.h"

namespace cactusmast {

// Requests without an answer that a process lists when it exits.
constexpr size_t kMaxReportedAtExit = 100;

// The path of a request as log lines carry it: of a long one only its end.
std::string
LoggedPath(const std::string& aPath);

// Emits an event for each report.
class connection_log : public connection_observer
{
public:
  // aAddDrainTime adds the time since the drain began to a line's fields.
  using field_adder = std::function<void(std::vector<event_field>*)>;
  connection_log(event_sink& aEvents, field_adder aAddDrainTime);

  void OnAnswerNotSent(const unsent_answer& aAnswer) override;
  void OnIdleClosed(const idle_sweep& aSweep) override;

private:
  event_sink& mEvents;
  field_adder mAddDrainTime;
};

// Reports the answers that aServer leaves unsent at the exit, and adds the
// state of its connections to the line of the exit.
void
ReportAtExit(http_server* aServer, std::vector<event_field>* aFields);

// Adds the counts of aServer's connections.
void
AddConnectionMetrics(const http_server& aServer, metrics_page* aPage);

} // namespace cactusmast

#endif // SHELL_CONNECTION_LOG_H_
