// cactusmast-entry: serves callers and operators, and owns shards of workers.

#include <docopt/docopt.h>
#include <iostream>

#include "shell/entry_daemon.h"

namespace {

constexpr char kUsage[] = R"(cactusmast-entry: an entry instance of cactusmast.

Usage:
  cactusmast-entry --settings=FILE
  cactusmast-entry --check --settings=FILE
  cactusmast-entry (-h | --help)

Options:
  --settings=FILE  YAML settings; docs/OPERATING.md lists the keys.
  --check          Check the settings and exit.
  -h --help        This text.

Exit codes: 0 after a complete planned stop, 1 when it was cut short,
2 for bad settings or an address that cannot be used.
)";

} // namespace

int
main(int argc, char** argv)
{
  using namespace cactusmast;
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "");
  try {
    std::string file = arguments["--settings"].asString();
    entry_settings settings = ReadEntrySettings(ReadFile(file), file).Value();
    if (arguments["--check"].asBool()) {
      return 0;
    }
    auto daemon = std::move(entry_daemon::Create(settings).Value());
    return daemon->Run(settings.mProcess.mDrainTimeoutMs);
  } catch (const failure& error) {
    std::cerr << error.Step() << " (" << error.Peer() << "): " << error.what()
              << "\n";
    return 2;
  }
}
