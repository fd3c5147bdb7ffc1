// cactusmast-guard: starts tasks on the backend server beside it.

#include "shell/daemon_main.h"
#include "shell/guard_daemon.h"

namespace {

constexpr char kUsage[] =
  R"(cactusmast-guard: the cactusmast process beside a backend server.

Usage:
  cactusmast-guard --settings=FILE
  cactusmast-guard --check --settings=FILE
  cactusmast-guard (-h | --help)

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
  return RunDaemon<guard_daemon, guard_settings>(
    argc, argv, kUsage, &ReadGuardSettings);
}
