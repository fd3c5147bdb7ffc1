// Operators' requests to an entry that drains.

#include <arpa/inet.h>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "shell/entry_daemon.h"
#include "shell/http_client.h"
#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

constexpr char kToken[] = "t0";
constexpr guint kRequestAtMs = 100;
constexpr guint kLongDrainMs = 4000;

uint16_t
FreePort()
{
  loopback_server found = ServeOnLoopback([](http_exchange&) {});
  return found.mPort;
}

// A table without rows, or with a large one in the audit trail, that replies to
// reads of some rows only when released.
class slow_table
{
public:
  explicit slow_table(std::string aSlowPrefix)
    : mSlowPrefix(std::move(aSlowPrefix))
    , mHttp(ServeOnLoopback([this](http_exchange& aExchange) {
      bool slow = aExchange.Path() == "/v1/read" &&
                  aExchange.Body().find(mSlowPrefix) != std::string::npos;
      if (slow) {
        mHeld.push_back(aExchange.Id());
      } else {
        bool large = aExchange.Body().find("audit/") != std::string::npos;
        Reply(aExchange.Id(), large ? mAuditRow : "[]");
      }
    }))
  {
  }

  std::string Url() const { return "http://" + mHttp.Address(); }
  size_t Held() const { return mHeld.size(); }
  // aBytes: of the audit trail's only row.
  void SetAuditRow(size_t aBytes)
  {
    mAuditRow = R"([{"key":"audit/1","version":1,"value":"{\"reason\":\")" +
                std::string(aBytes, 'x') + R"(\"}"}])";
  }
  void Release()
  {
    for (uint64_t held : mHeld) {
      Reply(held);
    }
    mHeld.clear();
  }

private:
  void Reply(uint64_t aExchange, const std::string& aRows = "[]")
  {
    mHttp.mServer->Answer(aExchange, { 200, "{\"rows\":" + aRows + "}" });
  }

  std::string mSlowPrefix;
  std::string mAuditRow = "[]";
  std::vector<uint64_t> mHeld;
  loopback_server mHttp;
};

// An entry, its table, and an operator. Create leaks each one, because sources
// of the daemon stay in the main context, which later tests run.
class operated_entry
{
public:
  static operated_entry& Create(const std::string& aSlowPrefix)
  {
    static std::vector<operated_entry*> all;
    all.push_back(new operated_entry(aSlowPrefix));
    return *all.back();
  }

  slow_table& Table() { return mTable; }
  int Run(uint32_t aDrainMs) { return mDaemon->Run(aDrainMs); }
  // The answer to the change or read; its status is 0 until it has arrived.
  const http_response& Answer() const { return mAnswer; }
  uint16_t Port() const { return mPort; }

  void SendChange()
  {
    Send("DELETE", "/v1/profiles/quote", [this](const http_response& aAnswer) {
      mAnswer = aAnswer;
    });
  }
  void SendAudit()
  {
    Send("GET", "/v1/audit", [this](const http_response& aAnswer) {
      mAnswer = aAnswer;
    });
  }
  void SendDrain()
  {
    Send("POST", "/v1/drain", [](const http_response&) {});
  }

  // Calls aAction once, after aDelayMs.
  void After(guint aDelayMs, std::function<void(operated_entry&)> aAction)
  {
    struct delayed
    {
      operated_entry& mEntry;
      std::function<void(operated_entry&)> mAction;
    };
    g_timeout_add(
      aDelayMs,
      [](gpointer aData) -> gboolean {
        std::unique_ptr<delayed> call(static_cast<delayed*>(aData));
        call->mAction(call->mEntry);
        return G_SOURCE_REMOVE;
      },
      new delayed{ *this, std::move(aAction) });
  }

private:
  explicit operated_entry(const std::string& aSlowPrefix)
    : mTable(aSlowPrefix)
    , mClient(4, 0)
  {
    entry_settings settings;
    process_settings& process = settings.mProcess;
    process.mName = "entry-1";
    process.mDataCenter = "a";
    process.mTableUrl = mTable.Url();
    process.mTableTimeoutMs = 10000;
    process.mSharedKey = "k";
    mPort = FreePort();
    process.mHttp = "127.0.0.1:" + std::to_string(mPort);
    process.mListen = "127.0.0.1:0";
    settings.mOperatorTokens["operator"] = kToken;
    mUrl = "http://" + process.mHttp;
    mDaemon = std::move(entry_daemon::Create(settings).Value());
  }

  void Send(const char* aMethod,
            const char* aPath,
            http_client::callback aOnAnswer)
  {
    http_request request;
    request.mMethod = aMethod;
    request.mUrl = mUrl + aPath;
    request.mHeaders = { { "Authorization", std::string("Bearer ") + kToken },
                         { "X-Reason", "test" },
                         { "X-Expected-Revision", "1" } };
    mClient.Send(request, std::move(aOnAnswer));
  }

  slow_table mTable;
  http_client mClient;
  std::string mUrl;
  uint16_t mPort = 0;
  std::unique_ptr<entry_daemon> mDaemon;
  http_response mAnswer;
};

// Sends a request over a new connection, which it returns.
int
SendOverSocket(uint16_t aPort, const std::string& aRequestLine)
{
  int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval patience{ 20, 0 };
  setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address);
  std::string request = aRequestLine +
                        " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
                        "Authorization: Bearer " +
                        kToken + "\r\n\r\n";
  send(client, request.data(), request.size(), MSG_NOSIGNAL);
  return client;
}

// Asks for the audit trail; when its answer begins to arrive, tells the entry
// to drain, and reads the answer only aDelay later. Returns the bytes of the
// answer.
size_t
ReadAuditInDrain(uint16_t aPort, std::chrono::milliseconds aDelay)
{
  int client = SendOverSocket(aPort, "GET /v1/audit");
  char first = 0;
  recv(client, &first, 1, MSG_PEEK);
  int other = SendOverSocket(aPort, "POST /v1/drain");
  recv(other, &first, 1, 0);
  std::this_thread::sleep_for(aDelay);
  std::vector<char> chunk(1u << 20);
  size_t received = 0;
  ssize_t count = 0;
  while ((count = recv(client, chunk.data(), chunk.size(), 0)) > 0) {
    received += size_t(count);
  }
  close(other);
  close(client);
  return received;
}

constexpr char kDocument[] = "config/document";
constexpr int kRefused = 503;

} // namespace

TEST_CASE("a drain waits for the answer to an operator's change")
{
  // Guards against an entry that exits while a change waits for the table.
  operated_entry& entry = operated_entry::Create(kDocument);
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendChange(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  entry.After(1000, [](auto& aEntry) { aEntry.Table().Release(); });
  CHECK(entry.Run(kLongDrainMs) == 0);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == kRefused); // the table has no configuration
}

TEST_CASE("a drain waits for the answer to a read of the audit trail")
{
  // Guards against an entry that exits while such a read waits for the table.
  operated_entry& entry = operated_entry::Create("audit/");
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendAudit(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  entry.After(1000, [](auto& aEntry) { aEntry.Table().Release(); });
  CHECK(entry.Run(kLongDrainMs) == 0);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == 200);
}

TEST_CASE("a drain waits until a large answer is written")
{
  // Guards against an entry that exits while its client is still reading.
  constexpr size_t kRowBytes = 32u << 20;
  operated_entry& entry = operated_entry::Create("nothing");
  entry.Table().SetAuditRow(kRowBytes);
  size_t received = 0;
  std::thread client([&] {
    constexpr std::chrono::milliseconds kAfterExitFlush{ 1000 };
    received = ReadAuditInDrain(entry.Port(), kAfterExitFlush);
  });
  constexpr guint kVeryLongDrainMs = 60000;
  CHECK(entry.Run(kVeryLongDrainMs) == 0);
  client.join();
  CHECK(received > kRowBytes);
}

TEST_CASE("an entry that drains refuses an operator's change")
{
  // Guards against a change that is accepted just before the exit.
  operated_entry& entry = operated_entry::Create(kDocument);
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendChange(); });
  CHECK(entry.Run(kLongDrainMs) == 0);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == kRefused);
  CHECK(entry.Answer().mBody.find("draining") != std::string::npos);
  CHECK(entry.Table().Held() == 0);
}

TEST_CASE("an entry that drains refuses a read of the audit trail")
{
  // Guards against such a read that waits for the table beyond the exit.
  operated_entry& entry = operated_entry::Create("audit/");
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendAudit(); });
  CHECK(entry.Run(kLongDrainMs) == 0);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == kRefused);
  CHECK(entry.Table().Held() == 0);
}

TEST_CASE("a drain that is cut short answers an operator's change")
{
  // Guards against a change that is left without an answer at the deadline.
  operated_entry& entry = operated_entry::Create(kDocument);
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendChange(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  constexpr uint32_t kShortDrainMs = 300;
  CHECK(entry.Run(kShortDrainMs) == 1);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == kRefused);
  CHECK(entry.Answer().mBody.find("\"not_run\"") != std::string::npos);
}

TEST_CASE("a drain that is cut short answers a read of the audit trail")
{
  // Guards against a read that is left without an answer at the deadline.
  operated_entry& entry = operated_entry::Create("audit/");
  entry.After(kRequestAtMs, [](auto& aEntry) { aEntry.SendAudit(); });
  entry.After(2 * kRequestAtMs, [](auto& aEntry) { aEntry.SendDrain(); });
  constexpr uint32_t kShortDrainMs = 300;
  CHECK(entry.Run(kShortDrainMs) == 1);
  CHECK(entry.Answer().mFault == http_fault::None);
  CHECK(entry.Answer().mStatus == kRefused);
}

} // namespace cactusmast::testing
