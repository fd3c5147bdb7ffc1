// The main function that the daemons share: reads the settings, runs the daemon
// and returns its exit code.

#ifndef SHELL_DAEMON_MAIN_H_
#define SHELL_DAEMON_MAIN_H_

#include <docopt/docopt.h>
#include <iostream>
#include <string>

#include "shell/daemon.h"
#include "shell/own_wakeups.h"

namespace cactusmast {

// Returns the exit code of aMain. A failure that it throws is printed on
// standard error, with exit code 2.
template<typename Main>
int
RunOrReport(Main aMain)
{
  HoldSignals();
  IgnoreOwnWakeups();
  try {
    return aMain();
  } catch (const failure& error) {
    std::cerr << error.Step() << " (" << error.Peer() << "): " << error.what()
              << "\n";
    return 2;
  }
}

// Exit codes: 0 after a complete drain, 1 when it was cut short, 2 for bad
// settings or an address that cannot be used.
template<typename Daemon, typename Settings>
int
RunDaemon(int aCount,
          char** aArguments,
          const char* aUsage,
          result<Settings> (*aReadSettings)(const std::string&,
                                            const std::string&))
{
  auto arguments =
    docopt::docopt(aUsage, { aArguments + 1, aArguments + aCount }, true, "");
  return RunOrReport([&] {
    std::string file = arguments["--settings"].asString();
    Settings settings = aReadSettings(ReadFile(file), file).Value();
    if (arguments["--check"].asBool()) {
      return 0;
    }
    auto daemon = std::move(Daemon::Create(settings).Value());
    return daemon->Run(settings.mProcess.mDrainTimeoutMs);
  });
}

} // namespace cactusmast

#endif // SHELL_DAEMON_MAIN_H_
