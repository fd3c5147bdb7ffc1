#include "shell/connection_log.h"

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

// Paths come from clients. A job's identity is the last part of its path.
constexpr size_t kMaxLoggedPath = 160;

} // namespace

std::string
LoggedPath(const std::string& aPath)
{
  return aPath.size() <= kMaxLoggedPath
           ? aPath
           : aPath.substr(aPath.size() - kMaxLoggedPath);
}

connection_log::connection_log(event_sink& aEvents, field_adder aAddDrainTime)
  : mEvents(aEvents)
  , mAddDrainTime(std::move(aAddDrainTime))
{
}

void
connection_log::OnAnswerNotSent(const unsent_answer& aAnswer)
{
  std::vector<event_field> fields = {
    { "request", std::to_string(aAnswer.mExchange) },
    { "method", aAnswer.mMethod },
    { "path", LoggedPath(aAnswer.mPath) },
    { "cause", std::string(Name(aAnswer.mCause)) },
    { "received_ms_ago", std::to_string(ToMs(aAnswer.mSinceReceived)) }
  };
  if (aAnswer.mCause != unsent_cause::NoAnswer) {
    fields.push_back(
      { "answered_ms_ago", std::to_string(ToMs(aAnswer.mSinceAnswered)) });
  }
  mAddDrainTime(&fields);
  mEvents.Emit(event_code::AnswerNotSent, std::move(fields));
}

void
connection_log::OnIdleClosed(const idle_sweep& aSweep)
{
  std::vector<event_field> fields = {
    { "closed", std::to_string(aSweep.mClosed) },
    { "youngest_ms", std::to_string(ToMs(aSweep.mYoungest)) },
    { "unused", std::to_string(aSweep.mUnused) },
    { "unsent_answers", std::to_string(aSweep.mWithUnsentAnswer) },
    { "part_requests", std::to_string(aSweep.mWithPartRequest) }
  };
  mAddDrainTime(&fields);
  mEvents.Emit(event_code::IdleConnectionsClosed, std::move(fields));
}

void
ReportAtExit(http_server* aServer, std::vector<event_field>* aFields)
{
  aServer->ReportUnsent(kMaxReportedAtExit);
  aFields->push_back(
    { "open_requests", std::to_string(aServer->OpenExchanges()) });
  aFields->push_back(
    { "unsent_answers", std::to_string(aServer->UnsentAnswers()) });
  aFields->push_back(
    { "connections", std::to_string(aServer->OpenConnections()) });
  aFields->push_back(
    { "abandoned", std::to_string(aServer->AbandonedConnections()) });
}

void
AddConnectionMetrics(const http_server& aServer, metrics_page* aPage)
{
  const connection_counters& counts = aServer.Counters();
  std::map<std::string, double> notSent;
  for (size_t i = 0; i < counts.mAnswersNotSent.size(); i++) {
    notSent[std::string(Name(unsent_cause(i)))] =
      double(counts.mAnswersNotSent[i]);
  }
  aPage->Counters("cactusmast_answers_not_sent",
                  "Requests whose answer was not written, by cause.",
                  "cause",
                  notSent);
  aPage->Counter("cactusmast_idle_connections_closed",
                 "Idle connections closed while draining.",
                 double(counts.mIdleClosed));
  aPage->Gauge("cactusmast_connections_open",
               "Connections of clients that have a descriptor.",
               double(aServer.OpenConnections()));
  aPage->Gauge("cactusmast_connections_abandoned",
               "Those of them that their clients have closed.",
               double(aServer.AbandonedConnections()));
  aPage->Gauge("cactusmast_requests_open",
               "Requests that have not been answered yet.",
               double(aServer.OpenExchanges()));
  aPage->Gauge("cactusmast_answers_unsent",
               "Answers that are not written yet.",
               double(aServer.UnsentAnswers()));
}

} // namespace cactusmast
