#include "cactusmast/events.h"

#include <array>
#include <stdexcept>

namespace cactusmast {

const std::vector<event_row>&
EventTable()
{
  using e = event_code;
  using s = severity;
  static const std::vector<event_row> kTable = {
    { e::ProcessStarted, s::Info, "process_started", "The process serves." },
    { e::ProcessDraining,
      s::Info,
      "process_draining",
      "The process drains: nothing new is admitted." },
    { e::ProcessStopped, s::Info, "process_stopped", "The process exits." },
    { e::SettingsInvalid,
      s::Error,
      "settings_invalid",
      "The settings file was refused; the text names file, line and key." },
    { e::DrainDeadline,
      s::Warning,
      "drain_deadline",
      "The drain did not finish in time; what remained was marked failed." },
    { e::SettingsReloaded,
      s::Info,
      "settings_reloaded",
      "The settings file was read again after a signal or a change." },
    { e::PeerUp, s::Info, "peer_up", "A process of the system connected." },
    { e::PeerDown, s::Info, "peer_down", "A connection closed." },
    { e::PeerRefused,
      s::Warning,
      "peer_refused",
      "A connection was refused: wrong proof, version or role." },
    { e::PeerSilent,
      s::Warning,
      "peer_silent",
      "A connection was closed because nothing arrived over it before its "
      "timeout." },
    { e::PeerProtocolError,
      s::Warning,
      "peer_protocol_error",
      "A peer sent a malformed or oversized frame; the connection was "
      "closed." },
    { e::EntryKnown,
      s::Info,
      "entry_known",
      "The address of another entry became known; the source says from whom." },
    { e::ShardClaimed,
      s::Info,
      "shard_claimed",
      "This entry began to own a shard." },
    { e::ShardComplete,
      s::Info,
      "shard_complete",
      "Every worker that may hold start records has reported them." },
    { e::ShardReleased,
      s::Info,
      "shard_released",
      "This entry gave a shard up." },
    { e::ShardInDoubt,
      s::Warning,
      "shard_in_doubt",
      "Start records are missing: unknown keys are refused until the time "
      "shown." },
    { e::WorkerAttached,
      s::Info,
      "worker_attached",
      "A worker granted its slots to this entry." },
    { e::WorkerLost,
      s::Warning,
      "worker_lost",
      "A worker stopped answering or restarted; tasks on it are unknown." },
    { e::WorkerLeft,
      s::Info,
      "worker_left",
      "A worker's guard drained and handed over its records." },
    { e::WorkerSetAside,
      s::Warning,
      "worker_set_aside",
      "A worker fails what others complete and is quarantined; it gets single "
      "trials only." },
    { e::LeaseGranted,
      s::Info,
      "lease_granted",
      "This guard's slots are leased to an entry." },
    { e::LeaseExpired,
      s::Warning,
      "lease_expired",
      "The lease expired without renewal; nothing starts until it is "
      "renewed." },
    { e::LeaseRefused,
      s::Info,
      "lease_refused",
      "An entry asked for a lease that another one holds." },
    { e::DispatchRefused,
      s::Warning,
      "dispatch_refused",
      "A dispatch was not started; the reason is given." },
    { e::BackendAnnounced,
      s::Info,
      "backend_announced",
      "A backend server announced itself." },
    { e::BackendWithdrawn,
      s::Info,
      "backend_withdrawn",
      "A backend server withdrew; nothing new is sent to it." },
    { e::BackendExpired,
      s::Warning,
      "backend_expired",
      "A backend server stopped renewing its announcement." },
    { e::BackendReborn,
      s::Warning,
      "backend_reborn",
      "A backend server restarted; what ran in its earlier incarnation is "
      "lost." },
    { e::BackendRecalled,
      s::Info,
      "backend_recalled",
      "The stored state of the backend server is used, or no longer used." },
    { e::BackendCold,
      s::Info,
      "backend_cold",
      "A backend server announced that it is slow for a while, or no longer." },
    { e::OrphansStopped,
      s::Warning,
      "orphans_stopped",
      "The tasks of an entry that was lost or has timed out are being "
      "stopped." },
    { e::StartNotMade,
      s::Info,
      "start_not_made",
      "A backend server did not confirm a start; the result says why." },
    { e::StrayStopped,
      s::Warning,
      "stray_stopped",
      "A task ran that this process did not start; it is being stopped." },
    { e::ServerStateChanged,
      s::Info,
      "server_state_changed",
      "An entry's view of a backend server changed." },
    { e::SubsetResized,
      s::Info,
      "subset_resized",
      "An entry places on more or fewer executors, because of the free "
      "capacity it knew." },
    { e::JobAccepted, s::Info, "job_accepted", "A job was admitted." },
    { e::JobRefused, s::Info, "job_refused", "A submission was refused." },
    { e::JobDecided,
      s::Info,
      "job_decided",
      "A job's answer is final: complete or failed." },
    { e::JobCancelled, s::Info, "job_cancelled", "A caller cancelled a job." },
    { e::TasksPlaced,
      s::Info,
      "tasks_placed",
      "Tasks of a job were dispatched to an executor, chosen by its known free "
      "capacity and the age of that." },
    { e::AttemptEnded,
      s::Info,
      "attempt_ended",
      "An attempt at a task ended other than done." },
    { e::TaskTooSlow,
      s::Info,
      "task_too_slow",
      "A running task will miss its deadline where it is, by its progress." },
    { e::BudgetSpent,
      s::Warning,
      "budget_spent",
      "A limit on memory or work was reached; the defined answer was given." },
    { e::LinesDropped,
      s::Warning,
      "lines_dropped",
      "Log lines were left out to keep the volume bounded." },
    { e::ConfigAccepted,
      s::Info,
      "config_accepted",
      "A configuration change was committed." },
    { e::ConfigRefused,
      s::Warning,
      "config_refused",
      "A configuration change was refused." },
    { e::ConfigInForce,
      s::Info,
      "config_in_force",
      "A configuration version took effect in this process." },
    { e::ConfigStale,
      s::Warning,
      "config_stale",
      "The table did not answer for some time; the version in force may be "
      "old." },
    { e::ConfigFresh,
      s::Info,
      "config_fresh",
      "The configuration in force is confirmed again." },
    { e::ConfigUnreadable,
      s::Error,
      "config_unreadable",
      "A stored configuration could not be read; the previous one stays." },
    { e::EvacuationsChanged,
      s::Info,
      "evacuations_changed",
      "Other data centres than before are being evacuated, as this process "
      "knows it." },
    { e::TableUnavailable,
      s::Warning,
      "table_unavailable",
      "The platform's table service does not answer." },
    { e::TableAvailable,
      s::Info,
      "table_available",
      "The platform's table service answers again." },
  };
  return kTable;
}

const event_row&
EventOf(event_code aCode)
{
  for (const event_row& row : EventTable()) {
    if (row.mCode == aCode) {
      return row;
    }
  }
  throw std::logic_error("event code has no row in the event table");
}

std::string_view
Name(severity aSeverity)
{
  static constexpr std::array<std::string_view, size_t(severity::Count)>
    kNames = { "info", "warning", "error" };
  return kNames[size_t(aSeverity) % kNames.size()];
}

} // namespace cactusmast
