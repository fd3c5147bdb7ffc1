#include "shell/product_daemon.h"

namespace cactusmast {

product_daemon::product_daemon(const std::string& aName, severity aMinSeverity)
  : mLog(aName, aMinSeverity)
  , mConnectionLog(mLog, [this](std::vector<event_field>* aFields) {
    AddDrainTime(aFields);
  })
{
}

bool
product_daemon::OutputPending() const
{
  return mHttp->UnsentAnswers() > 0 || mTransport->OutputPending();
}

void
product_daemon::OnExit(std::vector<event_field>* aFields)
{
  ReportAtExit(mHttp.get(), aFields);
}

} // namespace cactusmast
