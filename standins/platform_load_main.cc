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

constexpr char kEntry[] = "127.0.0.1:7702";
constexpr char kFront[] = "http://127.0.0.1:8701";
constexpr char kStore[] = "127.0.0.1:8703";
constexpr char kConfig[] =
  R"({"version":1,"routes":[{"name":"r","host":"load.example","prefix":"/j/",)"
  R"("timeoutMs":1500,"targetDurationMs":60,"maxAttempts":3,"stretch":1.6,)"
  R"("service":"s"}],"services":[{"name":"s"}]})";
constexpr uint32_t kTasks = 3;
constexpr uint32_t kWorkMs = 150;

class no_events : public event_sink
{
public:
  void Emit(event_code, std::vector<event_field>) override {}
};

// A backend server whose tasks end kWorkMs after their start.
class timed_runner : public backend_runner
{
public:
  explicit timed_runner(task_executor** aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Start(const start_request& aOrder) override
  {
    mRunning[aOrder.mTask] = { aOrder.mRunNumber,
                               Now() + milliseconds(kWorkMs) };
    (*mExecutor)
      ->OnStartReply(aOrder.mTask,
                     aOrder.mRunNumber,
                     start_result::Started,
                     ToClock(Now()),
                     Now());
  }
  void Stop(const stop_request& aOrder) override
  {
    mRunning.erase(aOrder.mTask);
    (*mExecutor)->OnStopReply(aOrder.mTask, aOrder.mRunNumber, true, Now());
  }
  void Poll(const poll_request& aOrder) override
  {
    mLook = aOrder;
    mLookEnds = Now() + milliseconds(aOrder.mWaitMs);
  }
  void ExpectInstance(const std::string&) override {}

  // Ends the tasks that are due. Replies to the long poll if a task has ended
  // or the poll's wait is over.
  void Turn()
  {
    instant now = Now();
    for (auto at = mRunning.begin(); at != mRunning.end();) {
      if (at->second.second > now) {
        ++at;
        continue;
      }
      mEnded.push_back(
        { ++mEnds, at->first, at->second.first, end_kind::Done });
      at = mRunning.erase(at);
    }
    bool answers = mLook.mNumber != 0 && (!mEnded.empty() || now >= mLookEnds);
    if (!answers) {
      return;
    }
    server_snapshot seen;
    seen.mClockMs = ToClock(now);
    seen.mStartTimeMs = 1;
    for (const auto& [task, run] : mRunning) {
      seen.mRunning.push_back({ task, run.first, 1 });
    }
    seen.mEnded = std::move(mEnded);
    mEnded.clear();
    uint64_t number = mLook.mNumber;
    mLook = {};
    (*mExecutor)->OnPollReply(number, poll_result::Ok, seen, now);
  }

private:
  static int64_t ToClock(instant aWhen) { return aWhen.count() / 1000; }

  task_executor** mExecutor;
  // Run number and end time of each task.
  std::map<task_key, std::pair<uint32_t, instant>> mRunning;
  std::vector<ended_task> mEnded;
  uint64_t mEnds = 0;
  poll_request mLook; // unanswered poll; its number is 0 if there is none
  instant mLookEnds{};
};

class loaded_executor
  : public transport_listener
  , public executor_links
{
public:
  explicit loaded_executor(uint32_t aIndex)
    : mRunner(&mSelf)
    , mExecutor(1, "s", "a", *this, mRunner, mEvents)
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
      std::move(peer_transport::Create(options, *this, mEvents).Value());
    server_announcement said;
    said.mId = "i-" + std::to_string(aIndex);
    said.mService = "s";
    said.mStartTimeMs = 1;
    said.mSequence = 1;
    said.mCapacity = { 32000, 131072, 0 };
    said.mLabels = { "a", "r1-3" };
    mExecutor.OnAnnouncement(said, Now());
    mTransport->Connect(kEntry);
  }

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override
  {
    mExecutor.OnEntryUp(aPeer, aIdentity.mName, Now());
  }
  void OnPeerDown(peer_id aPeer) override
  {
    mExecutor.OnEntryDown(aPeer, Now());
    mTransport->Connect(kEntry);
  }
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override
  {
    if (aMessage.type == message_kind::start_tasks) {
      mExecutor.OnStartTasks(aPeer, *aMessage.Asstart_tasks(), Now());
    } else if (aMessage.type == message_kind::stop_tasks) {
      mExecutor.OnStopTasks(aPeer, *aMessage.Asstop_tasks(), Now());
    } else if (aMessage.type == message_kind::report_subscription) {
      mExecutor.OnSubscription(
        aPeer, aMessage.Asreport_subscription()->wanted, Now());
    } else {
      mExecutor.OnHeartbeat(aPeer, Now());
    }
  }
  void Report(peer_id aEntry, const wire::server_report_msg& aSaid) override
  {
    mTransport->Send(aEntry, MakeMessage(aSaid));
  }
  void Close(peer_id aEntry) override { mTransport->Close(aEntry); }

  void Turn()
  {
    mRunner.Turn();
    mExecutor.Tick(Now());
    mTransport->Flush();
    mTransport->Sweep();
  }
  uint64_t Sent() const { return mTransport->Counters().mMessagesOut; }

private:
  no_events mEvents;
  task_executor* mSelf = &mExecutor;
  timed_runner mRunner;
  task_executor mExecutor;
  std::unique_ptr<peer_transport> mTransport;
};

// The state of one run.
struct load
{
  std::vector<std::unique_ptr<loaded_executor>> mExecutors;
  std::unique_ptr<http_server> mStore;
  http_client mCallers{ 64, 10000 };
  double mRate = 0; // jobs a second; 0 before the load starts
  double mOwed = 0; // jobs that are due and not sent yet
  instant mLastTurn{};
  uint64_t mNextJob = 1;
  std::vector<double> mTookMs;
  uint64_t mOtherwise = 0; // replies without status 200
};

void
AnswerStore(load* aLoad, http_exchange& aOne)
{
  if (aOne.Path() == "/-/rows-feed") {
    return; // rows never change, so the feed has nothing to send
  }
  gchar* value = g_base64_encode(reinterpret_cast<const guchar*>(kConfig),
                                 sizeof kConfig - 1);
  http_answer answer;
  json rows = json::array();
  if (aOne.Query("table") == "op") {
    rows.push_back({ { "key", "config" }, { "value", value } });
  }
  g_free(value);
  answer.mBody = json{ { "rows", rows }, { "rowVersion", 1 } }.dump();
  aLoad->mStore->Answer(aOne.Id(), answer);
}

void
SubmitOne(load* aLoad)
{
  char name[17];
  std::snprintf(
    name, sizeof name, "%016llx", (unsigned long long)aLoad->mNextJob++);
  http_request request;
  request.mUrl = std::string(kFront) + "/j/" + name;
  request.mHeaders = { { "Host", "load.example" },
                       { "X-Deadline-Ms", "8000" } };
  request.mIdempotent = true;
  request.mBody = json{
    { "spec", std::string(150, 'x') },
    { "bestEffort", true },
    { "steps",
      { { { "count", kTasks },
          { "cpu", 3100 },
          { "memMb", 64 },
          { "estimateMs", kWorkMs } } } }
  }.dump();
  instant sent = Now();
  aLoad->mCallers.Send(request, [aLoad, sent](const http_response& aResponse) {
    if (aResponse.mStatus == 200) {
      aLoad->mTookMs.push_back(double((Now() - sent).count()) / 1000);
    } else {
      aLoad->mOtherwise++;
    }
  });
}

gboolean
OnTurn(gpointer aData)
{
  auto* self = static_cast<load*>(aData);
  for (auto& one : self->mExecutors) {
    one->Turn();
  }
  instant now = Now();
  double seconds = double((now - self->mLastTurn).count()) / 1e6;
  self->mLastTurn = now;
  self->mOwed += seconds * self->mRate;
  for (; self->mOwed >= 1; self->mOwed--) {
    SubmitOne(self);
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
  std::istringstream rest(text.substr(close + 1));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; i++) {
    rest >> skipped;
  }
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / double(sysconf(_SC_CLK_TCK));
}

uint64_t
Reports(const load& aLoad)
{
  uint64_t sum = 0;
  for (const auto& one : aLoad.mExecutors) {
    sum += one->Sent();
  }
  return sum;
}

void
Turn(double aSeconds)
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
Print(load* aLoad, double aSeconds, double aCpu, uint64_t aReports)
{
  std::vector<double>& took = aLoad->mTookMs;
  std::sort(took.begin(), took.end());
  auto at = [&took](double aShare) {
    return took.empty() ? 0 : took[size_t(aShare * double(took.size() - 1))];
  };
  std::printf("%zu executors, %.0f jobs/s of %u tasks: answered %zu, otherwise "
              "%llu, p50 %.1f ms, p99 %.1f ms, %.0f reports/s, coordinator "
              "%.4f core\n",
              aLoad->mExecutors.size(),
              aLoad->mRate,
              kTasks,
              took.size(),
              (unsigned long long)aLoad->mOtherwise,
              at(0.5),
              at(0.99),
              double(aReports) / aSeconds,
              aCpu / aSeconds);
}

int
Run(std::map<std::string, docopt::value> aOptions)
{
  load self;
  self.mStore =
    std::move(http_server::Create(
                kStore,
                1u << 20,
                [&self](http_exchange& aOne) { AnswerStore(&self, aOne); },
                [](uint64_t) {})
                .Value());
  for (long i = 0; i < aOptions["--executors"].asLong(); i++) {
    self.mExecutors.push_back(std::make_unique<loaded_executor>(uint32_t(i)));
  }
  self.mLastTurn = Now();
  g_timeout_add(2, &OnTurn, &self);
  constexpr double kSettleSeconds = 2;
  Turn(kSettleSeconds);
  self.mRate = double(aOptions["--rate"].asLong());
  Turn(1);
  long pid = aOptions["--pid"].asLong();
  double cpu = ProcessorSeconds(pid);
  uint64_t reports = Reports(self);
  double seconds = double(aOptions["--seconds"].asLong());
  Turn(seconds);
  Print(&self, seconds, ProcessorSeconds(pid) - cpu, Reports(self) - reports);
  return 0;
}

} // namespace

int
main(int aCount, char** aWords)
{
  auto options = docopt::docopt(kUsage, { aWords + 1, aWords + aCount });
  return RunOrReport([&options] { return Run(options); });
}
