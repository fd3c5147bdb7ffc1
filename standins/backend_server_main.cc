// Stand-in for a backend server, for demonstrations, tests and measurements.
// It announces itself to its guard and answers each task after the sleep_ms of
// the task's payload, divided by the server's speed. It counts the starts of
// each task.

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "shell/daemon.h"
#include "shell/http_client.h"
#include "shell/http_server.h"

namespace {

using namespace cactusmast;
using nlohmann::json;

constexpr char kUsage[] = R"(backend-server: stand-in for a backend server.

Usage:
  backend-server --listen=HOST:PORT --guard=URL --services=LIST
                 [--slots=N] [--speed=X] [--cpus=N] [--memory-mb=N]
                 [--accelerators=N] [--fail=SHARE] [--record=FILE]

Options:
  --listen=HOST:PORT  Address to serve.
  --guard=URL         URL of the guard on the same instance.
  --services=LIST     Services it runs, separated by commas.
  --slots=N           Tasks that run at the same time [default: 8].
  --speed=X           Factor that divides the run times [default: 1].
  --cpus=N            Announced processors [default: 32].
  --memory-mb=N       Announced memory [default: 131072].
  --accelerators=N    Announced accelerators [default: 0].
  --fail=SHARE        Share of tasks, 0 to 1, that fail without running
                      [default: 0].
  --record=FILE       Append the name of each started task to FILE.
)";

constexpr size_t kMaxBodyBytes = 8u << 20;
constexpr guint kAnnounceIntervalMs = 500;

class backend_standin : public daemon_loop
{
public:
  explicit backend_standin(std::map<std::string, docopt::value> aArguments)
    : mArguments(std::move(aArguments))
    , mClient(4, 2000)
    , mSpeed(std::stod(mArguments["--speed"].asString()))
    , mFailureShare(std::stod(mArguments["--fail"].asString()))
  {
    if (mArguments["--record"]) {
      mRecord.open(mArguments["--record"].asString(), std::ios::app);
    }
  }

  void Open()
  {
    mHttp =
      std::move(http_server::Create(
                  mArguments["--listen"].asString(),
                  kMaxBodyBytes,
                  [this](http_exchange& aExchange) { OnRequest(aExchange); },
                  [](uint64_t) {})
                  .Value());
    Announce();
    g_timeout_add(
      kAnnounceIntervalMs,
      [](gpointer aData) -> gboolean {
        static_cast<backend_standin*>(aData)->Announce();
        return G_SOURCE_CONTINUE;
      },
      this);
  }

protected:
  void OnTick() override {}
  void OnDrain() override
  {
    mDraining = true;
    PostToGuard("/v1/withdraw", "{}");
  }
  bool IsDrained() override { return mRunning == 0; }
  void OnAbort() override {}

private:
  // The reply to one task; it is sent when its timer expires.
  struct pending_reply
  {
    backend_standin* mSelf;
    uint64_t mExchange;
    std::string mOutput;
    int mStatus;
  };

  void Announce()
  {
    if (mDraining) {
      return;
    }
    json services = json::array();
    std::string list = mArguments["--services"].asString();
    for (size_t start = 0; start <= list.size();) {
      size_t comma = std::min(list.find(',', start), list.size());
      services.push_back(list.substr(start, comma - start));
      start = comma + 1;
    }
    json body = { { "url", "http://" + mArguments["--listen"].asString() },
                  { "services", services },
                  { "slots", mArguments["--slots"].asLong() },
                  { "cpus", mArguments["--cpus"].asLong() },
                  { "memory_mb", mArguments["--memory-mb"].asLong() },
                  { "accelerators", mArguments["--accelerators"].asLong() } };
    PostToGuard("/v1/announce", body.dump());
  }

  void PostToGuard(const std::string& aPath, const std::string& aBody)
  {
    http_request request;
    request.mUrl = mArguments["--guard"].asString() + aPath;
    request.mBody = aBody;
    mClient.Send(request, [](const http_response&) {});
  }

  void OnRequest(http_exchange& aExchange)
  {
    if (aExchange.Path() == "/run") {
      OnRun(aExchange);
    } else if (aExchange.Path() == "/counters") {
      json counters = { { "started", mStarted },
                        { "repeated", mRepeatedStarts },
                        { "running", mRunning },
                        { "over_slots", mOverSlots } };
      mHttp->Answer(aExchange.Id(), { 200, counters.dump() });
    } else {
      mHttp->Answer(aExchange.Id(), { 200, "{}" });
    }
  }

  void OnRun(http_exchange& aExchange)
  {
    std::string task = aExchange.Header("X-Task");
    mStarted++;
    mRepeatedStarts += ++mStartCounts[task] > 1 ? 1 : 0;
    if (mRecord.is_open()) {
      mRecord << task << std::endl;
    }
    json body = json::parse(aExchange.Body(), nullptr, false);
    double sleepMs = body.is_object() ? body.value("sleep_ms", 0.0) : 0.0;
    bool fails = g_random_double() < mFailureShare ||
                 (body.is_object() && body.value("fail", false));
    mRunning++;
    mOverSlots += mRunning > uint32_t(mArguments["--slots"].asLong()) ? 1 : 0;
    auto* pending = new pending_reply{ this,
                                       aExchange.Id(),
                                       fails ? "{\"error\":\"asked to fail\"}"
                                             : "{\"done\":\"" + task + "\"}",
                                       fails ? 500 : 200 };
    g_timeout_add(
      guint(fails ? 0 : sleepMs / mSpeed),
      [](gpointer aData) -> gboolean {
        std::unique_ptr<pending_reply> pending(
          static_cast<pending_reply*>(aData));
        pending->mSelf->mRunning--;
        pending->mSelf->mHttp->Answer(pending->mExchange,
                                      { pending->mStatus, pending->mOutput });
        return G_SOURCE_REMOVE;
      },
      pending);
  }

  std::map<std::string, docopt::value> mArguments;
  http_client mClient;
  std::unique_ptr<http_server> mHttp;
  std::map<std::string, uint32_t> mStartCounts; // starts of each task
  std::ofstream mRecord;                        // closed without --record
  double mSpeed;
  double mFailureShare; // share of tasks, 0 to 1
  uint64_t mStarted = 0;
  uint64_t mRepeatedStarts = 0; // starts of tasks that had started before
  uint64_t mOverSlots = 0;      // starts while all slots were in use
  uint32_t mRunning = 0;
  bool mDraining = false;
};

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "");
  try {
    backend_standin standin(arguments);
    standin.Open();
    return standin.Run(60000);
  } catch (const failure& error) {
    std::cerr << error.Step() << ": " << error.what() << "\n";
    return 2;
  }
}
