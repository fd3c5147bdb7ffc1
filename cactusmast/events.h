// Numbered log events. Every line that a daemon logs is one of these.
// docs/EVENTS.md lists them for operators; a test checks that it equals the
// table here.

#ifndef CACTUSMAST_EVENTS_H_
#define CACTUSMAST_EVENTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusmast {

enum class severity : uint8_t
{
  Info,
  Warning,
  Error,
  Count
};

enum class event_code : uint16_t
{
  ProcessStarted = 100,
  ProcessDraining = 101,
  ProcessStopped = 102,
  SettingsInvalid = 103,
  DrainDeadline = 104,
  SettingsReloaded = 105,
  SignalReceived = 106,
  PeerUp = 200,
  PeerDown = 201,
  PeerRefused = 202,
  PeerSilent = 203,
  PeerProtocolError = 204,
  EntryKnown = 205,
  ShardClaimed = 300,
  ShardComplete = 301,
  ShardReleased = 302,
  ShardInDoubt = 303,
  WorkerAttached = 310,
  WorkerLost = 311,
  WorkerLeft = 312,
  WorkerSetAside = 313,
  LeaseGranted = 320,
  LeaseExpired = 321,
  LeaseRefused = 322,
  DispatchRefused = 323,
  BackendAnnounced = 330,
  BackendWithdrawn = 331,
  BackendExpired = 332,
  BackendReborn = 333,
  BackendRecalled = 334,
  BackendCold = 335,
  OrphansStopped = 340,
  StartNotMade = 341,
  StrayStopped = 342,
  ServerStateChanged = 343,
  SubsetResized = 344,
  ServerSpeedChanged = 345,
  TaskStalled = 346,
  DispatchExpired = 347,
  StopUnconfirmed = 348,
  JobAccepted = 400,
  JobRefused = 401,
  JobDecided = 402,
  JobCancelled = 403,
  TasksPlaced = 404,
  AttemptEnded = 405,
  TaskTooSlow = 406,
  BudgetSpent = 410,
  LinesDropped = 411,
  AnswerNotSent = 420,
  IdleConnectionsClosed = 421,
  SharesChanged = 430,
  JobDeferred = 431,
  JobForwarded = 432,
  ForwardEnded = 433,
  ForwardingChanged = 434,
  EntryLoad = 435,
  ConfigAccepted = 500,
  ConfigRefused = 501,
  ConfigInForce = 502,
  ConfigStale = 503,
  ConfigFresh = 504,
  ConfigUnreadable = 505,
  EvacuationsChanged = 506,
  ConfigCopySent = 507,
  ConfigCopyReceived = 508,
  TableUnavailable = 510,
  TableAvailable = 511,
};

struct event_row
{
  event_code mCode;
  severity mSeverity;
  std::string_view mName;    // as logged, in lower case with underscores
  std::string_view mMeaning; // one sentence for operators
};

// All events in ascending order of their numbers.
const std::vector<event_row>&
EventTable();

// Throws std::logic_error when the table has no row for aCode.
const event_row&
EventOf(event_code aCode);

std::string_view
Name(severity aSeverity);

// A key and its value on a log line.
struct event_field
{
  std::string_view mName;
  std::string mValue;
};

// Receives the events of the decision core; a daemon logs them.
class event_sink
{
public:
  virtual ~event_sink() = default;
  virtual void Emit(event_code aCode, std::vector<event_field> aFields) = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_EVENTS_H_
