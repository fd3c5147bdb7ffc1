#include "shell/connection_observer.h"

namespace cactusmast {

std::string_view
Name(unsent_cause aCause)
{
  static constexpr std::array<std::string_view, size_t(unsent_cause::Count)>
    kNames = { "closed_as_idle", "client_closed", "process_exit", "no_answer" };
  return kNames[size_t(aCause) % kNames.size()];
}

} // namespace cactusmast
