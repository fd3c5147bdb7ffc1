// HTTP server: clients that disconnect, and many open connections.

#include <algorithm>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <glib.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "cactusmast/time_spans.h"
#include "shell/daemon.h"
#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

constexpr char kRequest[] =
  "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}";

// Long enough for the server to accept a connection and read what was sent.
constexpr guint kReadMs = 50;
constexpr duration kNoMinIdle{};
const http_answer kRefusal{ 503, "{}", "application/json", 1000, true };

int
Connect(uint16_t aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0);
  return fd;
}

void
Send(int aFd, const std::string& aText)
{
  REQUIRE(write(aFd, aText.data(), aText.size()) == ssize_t(aText.size()));
}

// Keeps what a server reports.
class fake_connection_observer : public connection_observer
{
public:
  void OnAnswerNotSent(const unsent_answer& aAnswer) override
  {
    mNotSent.push_back(aAnswer);
  }
  void OnIdleClosed(const idle_sweep& aSweep) override
  {
    mSweeps.push_back(aSweep);
  }

  std::vector<unsent_answer> mNotSent;
  std::vector<idle_sweep> mSweeps;
};

// Refuses every request that it is shown while it is active.
class fake_screen : public request_screen
{
public:
  bool IsActive(duration /*aWaited*/) const override { return mActive; }
  std::optional<http_answer> Screen(const unread_request& aRequest) override
  {
    mShown.push_back(aRequest.mMethod + " " + aRequest.mPath);
    return http_answer{ 429, "{}", "application/json", 1000, false };
  }

  bool mActive = false;
  std::vector<std::string> mShown;
};

// Closes a connection in a way that makes the other side's writes fail.
void
Reset(int aFd)
{
  linger now{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(aFd);
}

// Runs the main loop until aServer has no answer left to write.
void
RunUntilWritten(const http_server& aServer)
{
  RunLoopUntil([&] { return aServer.UnsentAnswers() == 0; });
}

// Returns a new connection over which kRequest was sent.
int
SendRequest(uint16_t aPort)
{
  int fd = Connect(aPort);
  Send(fd, kRequest);
  return fd;
}

// Appends what has arrived on the connection. True once its end has arrived.
bool
Receive(int aFd, std::string* aReceived)
{
  char chunk[4096];
  ssize_t size = recv(aFd, chunk, sizeof chunk, MSG_DONTWAIT);
  aReceived->append(chunk, size > 0 ? size_t(size) : 0);
  return size == 0;
}

size_t
Occurrences(const std::string& aText, std::string_view aWord)
{
  size_t count = 0;
  for (size_t at = aText.find(aWord); at != std::string::npos;
       at = aText.find(aWord, at + 1)) {
    count++;
  }
  return count;
}

// Runs the main loop until aCount answers have arrived on the connection.
void
ExpectAnswers(int aFd, size_t aCount)
{
  std::string received;
  RunLoopUntil([&] {
    Receive(aFd, &received);
    return Occurrences(received, "HTTP/1.1 200") >= aCount;
  });
  CHECK(Occurrences(received, "HTTP/1.1 200") == aCount);
}

// Runs the main loop until the client has read all that comes, which must be
// one refusal.
void
ExpectRefusalAndEnd(int aFd)
{
  std::string received;
  RunLoopUntil([&] { return Receive(aFd, &received); });
  CHECK(received.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(received.find("\r\nRetry-After: 1\r\n") != std::string::npos);
  CHECK(received.find("\r\nContent-Length: 2\r\n") != std::string::npos);
  CHECK(received.substr(received.size() - 6) == "\r\n\r\n{}");
}

// Runs the main loop until aServer has no connection left.
void
RunUntilNoConnection(const http_server& aServer)
{
  constexpr int64_t kMaxMs = 10000;
  RunLoopUntil([&] { return aServer.OpenConnections() == 0; }, kMaxMs);
}

// A server with a fake_screen, and a client that has got one answer from it.
struct screened_client
{
  screened_client()
  {
    mServer = ServeOnLoopback([this](http_exchange& aExchange) {
      mHandled++;
      mServer.mServer->Answer(aExchange.Id(), {});
    });
    mServer.mServer->ScreenRequests(&mScreen);
    mClient = SendRequest(mServer.mPort);
    RunLoopUntil([this] { return Got("HTTP/1.1 200") == 1; });
    RunUntilWritten(*mServer.mServer);
    mScreen.mActive = true;
  }
  ~screened_client() { close(mClient); }

  // How often aWord is in all that the client has received.
  size_t Got(std::string_view aWord)
  {
    Receive(mClient, &mReceived);
    return Occurrences(mReceived, aWord);
  }

  fake_screen mScreen;
  loopback_server mServer;
  int mClient = -1;
  int mHandled = 0;
  std::string mReceived;
};

// The number of descriptors that the main loop polls in each turn.
int
PolledDescriptors()
{
  GMainContext* main = g_main_context_default();
  int priority = 0;
  int timeout = 0;
  REQUIRE(g_main_context_acquire(main));
  g_main_context_prepare(main, &priority);
  int count = g_main_context_query(main, G_MAXINT, &timeout, nullptr, 0);
  g_main_context_release(main);
  return count;
}

} // namespace

TEST_CASE("a request whose client has disconnected is not taken for a live one")
{
  // Requests arrive while a process is suspended. Their clients time out, close
  // the connections and send the requests to another entry. If the resumed
  // process took the requests for live ones, a job would run twice.
  bool handled = false;
  bool disconnected = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aExchange) {
    disconnected = aExchange.ClientDisconnected();
    handled = true;
  });

  int waiting = SendRequest(server.mPort);
  RunLoopUntil(handled);
  CHECK_FALSE(disconnected);
  close(waiting);

  handled = false;
  close(SendRequest(server.mPort));
  RunLoopUntil(handled);
  CHECK(disconnected);
}

TEST_CASE("a connection stays usable for further requests after an answer")
{
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  int client = Connect(server.mPort);
  for (int i = 0; i < 3; i++) {
    Send(client, kRequest);
    ExpectAnswers(client, 1);
  }
  // Two requests at once: the second is read together with the first.
  Send(client, std::string(kRequest) + kRequest);
  ExpectAnswers(client, 2);
  close(client);
}

TEST_CASE("a deferred answer is sent without waiting for other traffic")
{
  // Guards against a deferred answer that stays unsent until another connection
  // of the same group is ready.
  uint64_t pendingId = 0;
  bool handled = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aExchange) {
    pendingId = aExchange.Id();
    handled = true;
  });
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  server.mServer->Answer(pendingId, {});
  gint64 answeredAt = g_get_monotonic_time();
  ExpectAnswers(client, 1);
  CHECK(g_get_monotonic_time() - answeredAt < G_USEC_PER_SEC / 10);
  close(client);
}

TEST_CASE("idle connections are not polled one by one by the main loop")
{
  // Guards against turns of the loop that poll every open connection: an entry
  // with hundreds of idle ones would spend most of its time on them, and its
  // callers would be answered late.
  constexpr int kIdle = 200;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  int before = PolledDescriptors();
  std::vector<int> idle;
  for (int i = 0; i < kIdle; i++) {
    idle.push_back(SendRequest(server.mPort));
    ExpectAnswers(idle.back(), 1);
  }
  CHECK(PolledDescriptors() - before <= 16);
  // All are still served, also on descriptors that closed ones had used.
  for (int i = 0; i < kIdle; i += 2) {
    close(idle[size_t(i)]);
  }
  for (int i = 0; i < kIdle; i += 2) {
    idle[size_t(i)] = SendRequest(server.mPort);
    ExpectAnswers(idle[size_t(i)], 1);
  }
  for (int fd : idle) {
    Send(fd, kRequest);
    ExpectAnswers(fd, 1);
    close(fd);
  }
}

TEST_CASE("a backlog of requests does not hold up the rest of the loop")
{
  // Guards against heartbeats that are sent late, so that executors stop the
  // tasks of an entry that has many callers.
  constexpr int kClients = 150;
  constexpr gulong kHandlingUs = 3000;
  constexpr duration kHeartbeatInterval = std::chrono::milliseconds(150);
  int answered = 0;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    g_usleep(kHandlingUs);
    server.mServer->Answer(aExchange.Id(), {});
    answered++;
  });
  std::vector<int> clients;
  for (int i = 0; i < kClients; i++) {
    clients.push_back(SendRequest(server.mPort));
  }
  RunLoopUntil([&] { return answered == kClients; });

  for (int client : clients) {
    Send(client, kRequest);
  }
  struct
  {
    instant mLast;
    duration mLongest{};
  } timer{ Now() };
  guint source = g_timeout_add(
    5,
    [](gpointer aTimer) -> gboolean {
      auto* self = static_cast<decltype(timer)*>(aTimer);
      self->mLongest = std::max(self->mLongest, Now() - self->mLast);
      self->mLast = Now();
      return G_SOURCE_CONTINUE;
    },
    &timer);
  RunLoopUntil([&] { return answered == 2 * kClients; });
  g_source_remove(source);
  CHECK(ToMs(timer.mLongest) < ToMs(kHeartbeatInterval));
  for (int client : clients) {
    close(client);
  }
}

TEST_CASE("a request that is refused unread gets a whole answer")
{
  // Guards against callers of an overloaded entry who get no answer, or the
  // answer to another request.
  screened_client client;
  Send(client.mClient, kRequest);
  RunLoopUntil([&] { return client.Got("\r\n\r\n{}") == 1; });
  CHECK(client.Got("HTTP/1.1 429") == 1);
  CHECK(client.Got("\r\nRetry-After: 1\r\n") == 1);
  CHECK(client.mScreen.mShown == std::vector<std::string>{ "POST /job" });
  CHECK(client.mHandled == 1);
  client.mScreen.mActive = false;
  Send(client.mClient, kRequest);
  RunLoopUntil([&] { return client.Got("HTTP/1.1 200") == 2; });
  CHECK(client.mHandled == 2);
}

TEST_CASE("a request that comes in parts or with another one is not refused "
          "unread")
{
  // Guards against answers to a part of a request, and answers out of order.
  screened_client client;
  std::string request = kRequest;
  for (size_t split : { size_t(10), request.size() - 2 }) {
    size_t before = client.Got("HTTP/1.1 200");
    Send(client.mClient, request.substr(0, split));
    RunLoopFor(kReadMs);
    Send(client.mClient, request.substr(split));
    RunLoopUntil([&] { return client.Got("HTTP/1.1 200") == before + 1; });
    RunUntilWritten(*client.mServer.mServer);
  }
  size_t before = client.Got("HTTP/1.1 200");
  Send(client.mClient, request + request);
  RunLoopUntil([&] { return client.Got("HTTP/1.1 200") >= before + 1; });
  RunLoopUntil([&] { return client.Got("HTTP/1.1") == before + 2; });
  CHECK(client.mHandled >= int(before) + 1);
}

TEST_CASE("a drain closes idle connections but none with a request in progress")
{
  // Guards against two failures: a caller that reuses a kept connection to a
  // draining process and is refused, and a connection that is closed in the
  // middle of its request.
  loopback_server server;
  uint64_t pendingId = 0;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    if (aExchange.Method() == "POST") {
      pendingId = aExchange.Id();
    } else {
      server.mServer->Answer(aExchange.Id(), {});
    }
  });
  constexpr char kGetRequest[] = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
  int idle = Connect(server.mPort);
  int sending = Connect(server.mPort);
  for (int fd : { idle, sending }) {
    Send(fd, kGetRequest);
    ExpectAnswers(fd, 1);
  }
  // The body is sent later.
  int partial = Connect(server.mPort);
  Send(partial,
       "PUT /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n");
  int waiting = SendRequest(server.mPort);
  RunLoopUntil([&] { return pendingId != 0; });
  Send(sending, kGetRequest); // not read yet
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  ExpectAnswers(sending, 1);
  server.mServer->Answer(pendingId, {});
  ExpectAnswers(waiting, 1);
  Send(partial, "{}");
  ExpectAnswers(partial, 1);
  ExpectRefusalAndEnd(idle);
  for (int fd : { idle, sending, partial, waiting }) {
    close(fd);
  }
}

TEST_CASE("a drain does not close a connection whose answer is not written yet")
{
  // Guards against a caller whose job has run and who gets no answer.
  uint64_t pendingId = 0;
  bool handled = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aExchange) {
    pendingId = aExchange.Id();
    handled = true;
  });
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  server.mServer->Answer(pendingId, {});
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  ExpectAnswers(client, 1);
  close(client);
}

TEST_CASE(
  "a drain does not close a connection before its first request arrives")
{
  // Guards against a caller who connects to a draining entry and is cut off.
  bool handled = false;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
    handled = true;
  });
  int client = Connect(server.mPort);
  RunLoopFor(kReadMs);
  constexpr duration kMinIdle = std::chrono::seconds(10);
  server.mServer->CloseIdle(kMinIdle, kRefusal);
  Send(client, kRequest);
  ExpectAnswers(client, 1);
  close(client);
}

TEST_CASE(
  "a drain does not close a connection in the middle of request headers")
{
  // Guards against a request that is cut off because its headers come in parts.
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  constexpr size_t kFirstPart = 20;
  const std::string request = kRequest;
  int client = Connect(server.mPort);
  Send(client, request.substr(0, kFirstPart));
  RunLoopFor(kReadMs);
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  Send(client, request.substr(kFirstPart));
  ExpectAnswers(client, 1);
  close(client);
}

TEST_CASE("a request that crosses the close of an idle connection is refused")
{
  // Guards against a caller who cannot tell whether its request was handled.
  size_t handled = 0;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
    handled++;
  });
  int client = SendRequest(server.mPort);
  ExpectAnswers(client, 1);
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  Send(client, kRequest);
  RunLoopFor(kReadMs);
  ExpectRefusalAndEnd(client);
  CHECK(handled == 1);
  close(client);
}

TEST_CASE("connections that clients close while idle free their descriptors")
{
  // Guards against a process that runs out of descriptors after a while.
  constexpr int kClients = 20;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  for (int i = 0; i < kClients; i++) {
    int client = SendRequest(server.mPort);
    ExpectAnswers(client, 1);
    close(client);
  }
  RunUntilNoConnection(*server.mServer);
}

TEST_CASE(
  "clients that leave in the middle of a request free their descriptors")
{
  // Guards against a process that runs out of descriptors after a while.
  constexpr int kClients = 20;
  loopback_server server = ServeOnLoopback([](http_exchange&) {});
  for (int i = 0; i < kClients; i++) {
    int client = Connect(server.mPort);
    Send(client, "POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{");
    RunLoopFor(5);
    close(client);
  }
  RunUntilNoConnection(*server.mServer);
}

TEST_CASE("a server that stops accepting serves the connections it has")
{
  // Guards against clients that wait in the queue of a process that exits.
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  int pending = SendRequest(server.mPort); // not accepted yet
  server.mServer->StopAccepting();
  ExpectAnswers(pending, 1);
  close(pending);
  int late = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.mPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK(connect(late, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0);
  close(late);
}

TEST_CASE("a client that disconnects before its answer is detected in time")
{
  // A caller disconnects while its job runs and resubmits it to another entry
  // 1300 ms later. If the first entry did not detect this within a second, the
  // tasks of both would run and the job would be carried out twice.
  bool handled = false;
  bool disconnected = false;
  uint64_t pendingId = 0;
  loopback_server server = ServeOnLoopback(
    [&](http_exchange& aExchange) {
      pendingId = aExchange.Id();
      handled = true;
    },
    [&](uint64_t aId) { disconnected = aId == pendingId; });
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  CHECK_FALSE(disconnected);
  gint64 closedAt = g_get_monotonic_time();
  close(client);
  RunLoopUntil(disconnected);
  CHECK(g_get_monotonic_time() - closedAt < G_USEC_PER_SEC);
  CHECK(server.mServer->OpenExchanges() == 0);
}

TEST_CASE("an answer over a broken connection is reported as not sent")
{
  // Guards against a caller without an answer that no log line tells of.
  fake_connection_observer observer;
  uint64_t pendingId = 0;
  bool handled = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aExchange) {
    pendingId = aExchange.Id();
    handled = true;
  });
  server.mServer->Observe(&observer);
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  Reset(client);
  server.mServer->Answer(pendingId, {});
  CHECK(server.mServer->UnsentAnswers() == 1);
  CHECK(server.mServer->OpenExchanges() == 0);
  RunUntilWritten(*server.mServer);
  REQUIRE(observer.mNotSent.size() == 1);
  const unsent_answer& reported = observer.mNotSent[0];
  CHECK(reported.mExchange == pendingId);
  CHECK(reported.mMethod == "POST");
  CHECK(reported.mPath == "/job");
  CHECK(reported.mCause == unsent_cause::ClientClosed);
  CHECK(reported.mSinceReceived >= reported.mSinceAnswered);
  CHECK(server.mServer->Counters()
          .mAnswersNotSent[size_t(unsent_cause::ClientClosed)] == 1);
}

TEST_CASE("a client that gave up before its answer counts as none not sent")
{
  // Guards against a warning for each caller that stops waiting.
  fake_connection_observer observer;
  bool handled = false;
  bool disconnected = false;
  loopback_server server =
    ServeOnLoopback([&](http_exchange&) { handled = true; },
                    [&](uint64_t) { disconnected = true; });
  server.mServer->Observe(&observer);
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  Reset(client);
  RunLoopUntil(disconnected);
  RunUntilWritten(*server.mServer);
  CHECK(observer.mNotSent.empty());
}

TEST_CASE("answers that were written leave nothing behind and report nothing")
{
  // Guards against an exchange that is kept for good, and false reports.
  fake_connection_observer observer;
  loopback_server server;
  uint64_t pendingId = 0;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    if (aExchange.Method() == "GET") {
      pendingId = aExchange.Id();
      return;
    }
    server.mServer->Answer(aExchange.Id(), {});
    CHECK(server.mServer->UnsentAnswers() > 0);
  });
  server.mServer->Observe(&observer);
  int client = Connect(server.mPort);
  for (int i = 0; i < 3; i++) {
    Send(client, kRequest);
    ExpectAnswers(client, 1);
    RunUntilWritten(*server.mServer);
  }
  Send(client, std::string(kRequest) + kRequest);
  ExpectAnswers(client, 2);
  RunUntilWritten(*server.mServer);
  CHECK(server.mServer->OpenConnections() == 1);
  Send(client, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  RunLoopUntil([&] { return pendingId != 0; });
  http_answer last;
  last.mCloseConnection = true;
  server.mServer->Answer(pendingId, last);
  ExpectAnswers(client, 1);
  RunUntilWritten(*server.mServer);
  close(client);
  RunLoopFor(20);
  CHECK(server.mServer->OpenConnections() == 0);
  CHECK(observer.mNotSent.empty());
  CHECK(observer.mSweeps.empty());
}

TEST_CASE("an answer to a client that reads slowly stays unsent until the end")
{
  // Guards against an answer that counts as written when only a part is.
  fake_connection_observer observer;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    http_answer large;
    large.mBody.assign(32u << 20, 'x');
    server.mServer->Answer(aExchange.Id(), large);
  });
  server.mServer->Observe(&observer);
  int client = SendRequest(server.mPort);
  RunLoopFor(100);
  CHECK(server.mServer->UnsentAnswers() == 1);
  SUBCASE("it reads all")
  {
    std::vector<char> chunk(1u << 20);
    RunLoopUntil([&] {
      recv(client, chunk.data(), chunk.size(), MSG_DONTWAIT);
      return server.mServer->UnsentAnswers() == 0;
    });
    CHECK(observer.mNotSent.empty());
    close(client);
  }
  SUBCASE("it disconnects")
  {
    Reset(client);
    RunUntilWritten(*server.mServer);
    CHECK(observer.mNotSent.size() == 1);
  }
  SUBCASE("the process exits")
  {
    server.mServer->ReportUnsent(10);
    REQUIRE(observer.mNotSent.size() == 1);
    CHECK(observer.mNotSent[0].mCause == unsent_cause::ProcessExit);
    server.mServer = nullptr;
    close(client);
  }
}

TEST_CASE("a sweep reports what it closed")
{
  // Guards against a drain that closes connections in use without a trace.
  fake_connection_observer observer;
  loopback_server server;
  server = ServeOnLoopback([&](http_exchange& aExchange) {
    server.mServer->Answer(aExchange.Id(), {});
  });
  server.mServer->Observe(&observer);
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  CHECK(observer.mSweeps.empty());
  int used = SendRequest(server.mPort);
  ExpectAnswers(used, 1);
  RunUntilWritten(*server.mServer);
  RunLoopFor(30);
  instant connectedAt = Now();
  int unused = Connect(server.mPort);
  int partial = Connect(server.mPort);
  Send(partial, "POST /job HT");
  RunLoopFor(20);
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  REQUIRE(observer.mSweeps.size() == 1);
  const idle_sweep& sweep = observer.mSweeps[0];
  CHECK(sweep.mClosed == 2);
  CHECK(sweep.mUnused == 1);
  CHECK(sweep.mWithPartRequest == 0);
  CHECK(sweep.mWithUnsentAnswer == 0);
  CHECK(sweep.mYoungest >= std::chrono::milliseconds(10));
  CHECK(sweep.mYoungest <= Now() - connectedAt);
  CHECK(server.mServer->Counters().mIdleClosed == 2);
  server.mServer->CloseIdle(kNoMinIdle, kRefusal);
  CHECK(observer.mSweeps.size() == 1);
  for (int fd : { used, unused, partial }) {
    close(fd);
  }
}

TEST_CASE("a request that has no answer at the exit is reported")
{
  // Guards against requests that are forgotten without a trace.
  fake_connection_observer observer;
  bool handled = false;
  loopback_server server =
    ServeOnLoopback([&](http_exchange&) { handled = true; });
  server.mServer->Observe(&observer);
  int client = SendRequest(server.mPort);
  RunLoopUntil(handled);
  server.mServer->ReportUnsent(10);
  REQUIRE(observer.mNotSent.size() == 1);
  CHECK(observer.mNotSent[0].mCause == unsent_cause::NoAnswer);
  close(client);
}

} // namespace cactusmast::testing
