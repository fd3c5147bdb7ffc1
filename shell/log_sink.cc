#include "shell/log_sink.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace cactusmast {
namespace {

void
InstallBackend()
{
  namespace sinks = boost::log::sinks;
  static bool installed = false;
  if (installed) {
    return;
  }
  installed = true;
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  using frontend = sinks::synchronous_sink<sinks::text_ostream_backend>;
  boost::log::core::get()->add_sink(boost::make_shared<frontend>(backend));
}

int64_t
WallMilliseconds()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

log_sink::log_sink(std::string aProcess, severity aLeast)
  : mProcess(std::move(aProcess))
  , mLeast(aLeast)
{
  InstallBackend();
}

void
log_sink::Emit(event_code aCode, std::vector<event_field> aFields)
{
  const event_row& row = EventOf(aCode);
  if (row.mSeverity < mLeast) {
    return;
  }
  nlohmann::ordered_json line = { { "time_ms", WallMilliseconds() },
                                  { "event", int(row.mCode) },
                                  { "name", row.mName },
                                  { "severity", Name(row.mSeverity) },
                                  { "process", mProcess } };
  for (const event_field& field : aFields) {
    line[std::string(field.mName)] = field.mValue;
  }
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace cactusmast
