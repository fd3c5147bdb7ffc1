// Load generator for one coordinator on the same machine. It takes the place of
// the platform: a store with one route, executors whose backend servers
// simulate tasks by timers, and callers over HTTP. Prints the response times of
// the jobs and the processor time of the coordinator, from which
// docs/CAPACITY.md derives its costs per job and per executor.

#include <algorithm>
#include <cstdio>
#include <docopt/docopt.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

#include "cactusmast/task_executor.h"
#include "shell/daemon.h"
#include "shell/daemon_main.h"
#include "shell/http_client.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/peer_transport.h"

namespace {

using namespace cactusmast;
using nlohmann::json;

constexpr char kUsage[] = R"(Loads a coordinator on this machine.

Usage:
  cactusmast-platform-load [--executors=N] [--rate=N] [--seconds=N] [--pid=N]

Start the coordinator first, with `front: 127.0.0.1:8701`,
`store: 127.0.0.1:8703`, `host: 127.0.0.1`, `peer_port: 7702` and
`shared_key: load`.

Options:
  --executors=N  Number of executors, each with a backend server
                 [default: 57].
  --rate=N       Jobs a second [default: 100].
  --seconds=N    Duration of the measurement [default: 20].
  --pid=N        Process id of the coordinator, to print its processor
                 time [default: 0].
)";

constexpr char kEntryAddress[] = "127.0.0.1:7702";
constexpr char kFrontUrl[] = "http://127.0.0.1:8701";
constexpr char kStoreAddress[] = "127.0.0.1:8703";
constexpr char kConfig[] =
  R"({"version":1,"routes":[{"name":"r","host":"load.example","prefix":"/j/",)"
  R"("timeoutMs":1500,"targetDurationMs":60,"maxAttempts":3,"stretch":1.6,)"
  R"("service":"s"}],"services":[{"name":"s"}]})";
constexpr uint32_t kTasksPerJob = 3;
constexpr uint32_t kTaskRunMs = 150;

class null_event_sink : public event_sink
{
public:
  void Emit(event_code, std::vector<event_field>) override {}
};

// A backend server whose tasks end kTaskRunMs after their start.
class timed_runner : public backend_runner
{
public:
  explicit timed_runner(task_executor** aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Start(const start_request& aRequest) override
  {
    mRunning[aRequest.mTask] = { aRequest.mRunNumber,
                                 Now() + milliseconds(kTaskRunMs) };
    (*mExecutor)
      ->OnStartReply(aRequest.mTask,
                     aRequest.mRunNumber,
                     start_result::Started,
                     ToClock(Now()),
                     Now());
  }
  void Stop(const stop_request& aRequest) override
  {
    mRunning.erase(aRequest.mTask);
    (*mExecutor)->OnStopReply(aRequest.mTask, aRequest.mRunNumber, true, Now());
  }
  void Poll(const poll_request& aRequest) override
  {
    mPoll = aRequest;
    mPollDeadline = Now() + milliseconds(aRequest.mWaitMs);
  }
  void ExpectInstance(const std::string&) override {}

  // Ends the tasks that are due. Replies to the long poll if a task has ended
  // or the poll's wait is over.
  void Tick()
  {
    instant now = Now();
    for (auto task = mRunning.begin(); task != mRunning.end();) {
      if (task->second.second > now) {
        ++task;
        continue;
      }
      mEnded.push_back(
        { ++mLastEnd, task->first, task->second.first, end_kind::Done });
      task = mRunning.erase(task);
    }
    bool replyDue =
      mPoll.mNumber != 0 && (!mEnded.empty() || now >= mPollDeadline);
    if (!replyDue) {
      return;
    }
    server_snapshot snapshot;
    snapshot.mClockMs = ToClock(now);
    snapshot.mStartTimeMs = 1;
    for (const auto& [key, run] : mRunning) {
      snapshot.mRunning.push_back({ key, run.first, 1 });
    }
    snapshot.mEnded = std::move(mEnded);
    mEnded.clear();
    uint64_t number = mPoll.mNumber;
    mPoll = {};
    (*mExecutor)->OnPollReply(number, poll_result::Ok, snapshot, now);
  }

private:
  static int64_t ToClock(instant aWhen) { return aWhen.count() / 1000; }

  task_executor** mExecutor;
  // Run number and end time of each task.
  std::map<task_key, std::pair<uint32_t, instant>> mRunning;
  std::vector<ended_task> mEnded;
  uint64_t mLastEnd = 0;
  poll_request mPoll; // unanswered poll; its number is 0 if there is none
  instant mPollDeadline{};
};

class loaded_executor
  : public transport_listener
  , public executor_links
{
public:
  explicit loaded_executor(uint32_t aIndex)
    : mRunner(&mExecutorPointer)
    , mExecutor(1, "s", "a", *this, mRunner, mEventSink)
  {
    transport_options options;
    // Each executor listens on its own address in 127.0.0.0/8, since all use
    // the same port.
    constexpr uint32_t kHosts = 250;
    options.mListen = "127.0." + std::to_string(1 + aIndex / kHosts) + "." +
                      std::to_string(1 + aIndex % kHosts) + ":7702";
    options.mSharedKey = "load";
    options.mSelf.mRole = process_role::Guard;
    options.mSelf.mName = "side-" + std::to_string(aIndex);
    options.mSelf.mIncarnation = MakeIncarnation() + aIndex;
    options.mSelf.mAddress = options.mListen;
    options.mSelf.mDataCenter = "a";
    mTransport =
      std::move(peer_transport::Create(options, *this, mEventSink).Value());
    server_announcement announcement;
    announcement.mId = "i-" + std::to_string(aIndex);
    announcement.mService = "s";
    announcement.mStartTimeMs = 1;
    announcement.mSequence = 1;
    announcement.mCapacity = { 32000, 131072, 0 };
    announcement.mLabels = { "a", "r1-3" };
    mExecutor.OnAnnouncement(announcement, Now());
    mTransport->Connect(kEntryAddress);
  }

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override
  {
    mExecutor.OnEntryUp(aPeer, aIdentity.mName, Now());
  }
  void OnPeerDown(peer_id aPeer) override
  {
    mExecutor.OnEntryDown(aPeer, Now());
    mTransport->Connect(kEntryAddress);
  }
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override
  {
    if (aMessage.type == message_kind::start_tasks) {
      mExecutor.OnStartTasks(aPeer, *aMessage.Asstart_tasks(), Now());
    } else if (aMessage.type == message_kind::stop_tasks) {
      mExecutor.OnStopTasks(aPeer, *aMessage.Asstop_tasks(), Now());
    } else if (aMessage.type == message_kind::report_subscription) {
      mExecutor.OnSubscription(aPeer, aMessage.Asreport_subscription()->wanted);
    } else if (aMessage.type == message_kind::entry_pulse) {
      mExecutor.OnHeartbeat(
        aPeer, aMessage.Asentry_pulse()->receiver_clock_ms, Now());
    }
  }
  void Report(peer_id aEntry, const wire::server_report_msg& aReport) override
  {
    mTransport->Send(aEntry, MakeMessage(aReport));
  }
  void Close(peer_id aEntry) override { mTransport->Close(aEntry); }

  void Tick()
  {
    mRunner.Tick();
    mExecutor.Tick(Now());
    mTransport->Flush();
    mTransport->Sweep();
  }
  uint64_t MessagesSent() const { return mTransport->Counters().mMessagesOut; }

private:
  null_event_sink mEventSink;
  task_executor* mExecutorPointer = &mExecutor;
  timed_runner mRunner;
  task_executor mExecutor;
  std::unique_ptr<peer_transport> mTransport;
};

// The state of one run.
struct load_state
{
  std::vector<std::unique_ptr<loaded_executor>> mExecutors;
  std::unique_ptr<http_server> mStore;
  http_client mCallers{ 64, 10000 };
  double mJobsPerSecond = 0; // jobs a second; 0 before the load starts
  double mDueJobs = 0;       // jobs that are due and not sent yet
  instant mLastTick{};
  uint64_t mNextJob = 1;
  std::vector<double> mResponseTimesMs;
  uint64_t mNotOk = 0; // replies without status 200
};

void
AnswerStoreRequest(load_state* aState, http_exchange& aExchange)
{
  if (aExchange.Path() == "/-/rows-feed") {
    return; // rows never change, so the feed has nothing to send
  }
  gchar* value = g_base64_encode(reinterpret_cast<const guchar*>(kConfig),
                                 sizeof kConfig - 1);
  http_answer answer;
  json rows = json::array();
  if (aExchange.Query("table") == "op") {
    rows.push_back({ { "key", "config" }, { "value", value } });
  }
  g_free(value);
  answer.mBody = json{ { "rows", rows }, { "rowVersion", 1 } }.dump();
  aState->mStore->Answer(aExchange.Id(), answer);
}

void
SubmitJob(load_state* aState)
{
  char name[17];
  std::snprintf(
    name, sizeof name, "%016llx", (unsigned long long)aState->mNextJob++);
  http_request request;
  request.mUrl = std::string(kFrontUrl) + "/j/" + name;
  request.mHeaders = { { "Host", "load.example" },
                       { "X-Deadline-Ms", "8000" } };
  request.mIdempotent = true;
  request.mBody = json{
    { "spec", std::string(150, 'x') },
    { "bestEffort", true },
    { "steps",
      { { { "count", kTasksPerJob },
          { "cpu", 3100 },
          { "memMb", 64 },
          { "estimateMs", kTaskRunMs } } } }
  }.dump();
  instant sent = Now();
  aState->mCallers.Send(request,
                        [aState, sent](const http_response& aResponse) {
                          if (aResponse.mStatus == 200) {
                            aState->mResponseTimesMs.push_back(
                              double((Now() - sent).count()) / 1000);
                          } else {
                            aState->mNotOk++;
                          }
                        });
}

gboolean
OnLoadTimer(gpointer aData)
{
  auto* self = static_cast<load_state*>(aData);
  for (auto& executor : self->mExecutors) {
    executor->Tick();
  }
  instant now = Now();
  double seconds = double((now - self->mLastTick).count()) / 1e6;
  self->mLastTick = now;
  self->mDueJobs += seconds * self->mJobsPerSecond;
  for (; self->mDueJobs >= 1; self->mDueJobs--) {
    SubmitJob(self);
  }
  return G_SOURCE_CONTINUE;
}

// User and system time of a process in seconds; 0 if there is no such process.
double
ProcessorSeconds(long aPid)
{
  std::ifstream stat("/proc/" + std::to_string(aPid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)),
                   std::istreambuf_iterator<char>());
  size_t close = text.rfind(')');
  if (close == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(close + 1));
  std::string ignored;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; i++) {
    fields >> ignored;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / double(sysconf(_SC_CLK_TCK));
}

uint64_t
MessagesSent(const load_state& aState)
{
  uint64_t sum = 0;
  for (const auto& executor : aState.mExecutors) {
    sum += executor->MessagesSent();
  }
  return sum;
}

void
RunLoopFor(double aSeconds)
{
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_timeout_add(
    guint(aSeconds * 1000),
    [](gpointer aLoop) -> gboolean {
      g_main_loop_quit(static_cast<GMainLoop*>(aLoop));
      return G_SOURCE_REMOVE;
    },
    loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
}

void
Print(load_state* aState, double aSeconds, double aCpu, uint64_t aReports)
{
  std::vector<double>& responseTimesMs = aState->mResponseTimesMs;
  std::sort(responseTimesMs.begin(), responseTimesMs.end());
  auto quantile = [&responseTimesMs](double aShare) {
    return responseTimesMs.empty()
             ? 0
             : responseTimesMs[size_t(aShare *
                                      double(responseTimesMs.size() - 1))];
  };
  std::printf("%zu executors, %.0f jobs/s of %u tasks: answered %zu, otherwise "
              "%llu, p50 %.1f ms, p99 %.1f ms, %.0f reports/s, coordinator "
              "%.4f core\n",
              aState->mExecutors.size(),
              aState->mJobsPerSecond,
              kTasksPerJob,
              responseTimesMs.size(),
              (unsigned long long)aState->mNotOk,
              quantile(0.5),
              quantile(0.99),
              double(aReports) / aSeconds,
              aCpu / aSeconds);
}

int
Run(std::map<std::string, docopt::value> aOptions)
{
  load_state self;
  self.mStore = std::move(http_server::Create(
                            kStoreAddress,
                            1u << 20,
                            [&self](http_exchange& aExchange) {
                              AnswerStoreRequest(&self, aExchange);
                            },
                            [](uint64_t) {})
                            .Value());
  for (long i = 0; i < aOptions["--executors"].asLong(); i++) {
    self.mExecutors.push_back(std::make_unique<loaded_executor>(uint32_t(i)));
  }
  self.mLastTick = Now();
  g_timeout_add(2, &OnLoadTimer, &self);
  constexpr double kConnectSeconds = 2;
  RunLoopFor(kConnectSeconds);
  self.mJobsPerSecond = double(aOptions["--rate"].asLong());
  RunLoopFor(1);
  long pid = aOptions["--pid"].asLong();
  double cpu = ProcessorSeconds(pid);
  uint64_t reports = MessagesSent(self);
  double seconds = double(aOptions["--seconds"].asLong());
  RunLoopFor(seconds);
  Print(
    &self, seconds, ProcessorSeconds(pid) - cpu, MessagesSent(self) - reports);
  return 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  auto options = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc });
  return RunOrReport([&options] { return Run(options); });
}
