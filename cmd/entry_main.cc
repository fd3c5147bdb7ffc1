// cactusmast-entry: serves callers and operators, and owns shards of workers.

#include "shell/daemon_main.h"
#include "shell/entry_daemon.h"

namespace {

constexpr char kUsage[] = R"(cactusmast-entry: the entry process of cactusmast.

Usage:
  cactusmast-entry --settings=FILE
  cactusmast-entry --check --settings=FILE
  cactusmast-entry (-h | --help)

Options:
  --settings=FILE  YAML settings; docs/OPERATIONS.md lists the keys.
  --check          Check the settings and exit.
  -h --help        This text.

Exit codes: 0 after a complete drain, 1 when it was cut short, 2 for bad
settings or an address that cannot be used.
)";

} // namespace

int
main(int argc, char** argv)
{
  using namespace cactusmast;
  return RunDaemon<entry_daemon, entry_settings>(
    argc, argv, kUsage, &ReadEntrySettings);
}
