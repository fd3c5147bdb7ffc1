// HTTP server: clients that disconnect, and many open connections.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <glib.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

constexpr char kRequest[] =
  "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}";

int
Connect(uint16_t aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aPort);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  return fd;
}

void
Send(int aFd, const std::string& aText)
{
  REQUIRE(write(aFd, aText.data(), aText.size()) == ssize_t(aText.size()));
}

// Returns a new connection over which kRequest was sent.
int
SendRequest(uint16_t aPort)
{
  int fd = Connect(aPort);
  Send(fd, kRequest);
  return fd;
}

// Runs the main loop until aCount answers have arrived on the connection, for
// at most 5 seconds.
void
AwaitAnswers(int aFd, size_t aCount)
{
  constexpr std::string_view kStatusLine = "HTTP/1.1 200";
  std::string got;
  gint64 end = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
  size_t answers = 0;
  while (answers < aCount && g_get_monotonic_time() < end) {
    g_main_context_iteration(nullptr, FALSE);
    char chunk[4096];
    ssize_t size = recv(aFd, chunk, sizeof chunk, MSG_DONTWAIT);
    got.append(chunk, size > 0 ? size_t(size) : 0);
    answers = 0;
    for (size_t at = got.find(kStatusLine); at != std::string::npos;
         at = got.find(kStatusLine, at + 1)) {
      answers++;
    }
  }
  CHECK(answers == aCount);
}

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
  bool left = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aOne) {
    left = aOne.ClientDisconnected();
    handled = true;
  });

  int waiting = SendRequest(server.mPort);
  TurnUntil(handled);
  CHECK_FALSE(left);
  close(waiting);

  handled = false;
  close(SendRequest(server.mPort));
  TurnUntil(handled);
  CHECK(left);
}

TEST_CASE("a connection stays usable for further requests after an answer")
{
  loopback_server server;
  server = ServeOnLoopback(
    [&](http_exchange& aOne) { server.mServer->Answer(aOne.Id(), {}); });
  int client = Connect(server.mPort);
  for (int i = 0; i < 3; i++) {
    Send(client, kRequest);
    AwaitAnswers(client, 1);
  }
  // Two requests at once: the second is read together with the first.
  Send(client, std::string(kRequest) + kRequest);
  AwaitAnswers(client, 2);
  close(client);
}

TEST_CASE("a deferred answer is sent without waiting for other traffic")
{
  // Guards against a deferred answer that stays unsent until another connection
  // of the same group is ready.
  uint64_t held = 0;
  bool handled = false;
  loopback_server server = ServeOnLoopback([&](http_exchange& aOne) {
    held = aOne.Id();
    handled = true;
  });
  int client = SendRequest(server.mPort);
  TurnUntil(handled);
  server.mServer->Answer(held, {});
  gint64 answered = g_get_monotonic_time();
  AwaitAnswers(client, 1);
  CHECK(g_get_monotonic_time() - answered < G_USEC_PER_SEC / 10);
  close(client);
}

TEST_CASE("idle connections are not polled one by one by the main loop")
{
  // Guards against turns of the loop that poll every open connection: an entry
  // with hundreds of idle ones would spend most of its time on them, and its
  // callers would be answered late.
  constexpr int kIdle = 200;
  loopback_server server;
  server = ServeOnLoopback(
    [&](http_exchange& aOne) { server.mServer->Answer(aOne.Id(), {}); });
  int before = PolledDescriptors();
  std::vector<int> idle;
  for (int i = 0; i < kIdle; i++) {
    idle.push_back(SendRequest(server.mPort));
    AwaitAnswers(idle.back(), 1);
  }
  CHECK(PolledDescriptors() - before <= 16);
  // All are still served, also on descriptors that closed ones had used.
  for (int i = 0; i < kIdle; i += 2) {
    close(idle[size_t(i)]);
  }
  for (int i = 0; i < kIdle; i += 2) {
    idle[size_t(i)] = SendRequest(server.mPort);
    AwaitAnswers(idle[size_t(i)], 1);
  }
  for (int one : idle) {
    Send(one, kRequest);
    AwaitAnswers(one, 1);
    close(one);
  }
}

TEST_CASE("a drain closes idle connections but none with a request in progress")
{
  // Guards against two failures: a caller that reuses a kept connection to a
  // draining process and is refused, and a connection that is closed in the
  // middle of its request.
  loopback_server server;
  uint64_t held = 0;
  server = ServeOnLoopback([&](http_exchange& aOne) {
    if (aOne.Method() == "POST") {
      held = aOne.Id();
    } else {
      server.mServer->Answer(aOne.Id(), {});
    }
  });
  constexpr char kAsk[] = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
  int idle = Connect(server.mPort);
  int sending = Connect(server.mPort);
  for (int one : { idle, sending }) {
    Send(one, kAsk);
    AwaitAnswers(one, 1);
  }
  // The body is sent later.
  int half = Connect(server.mPort);
  Send(half,
       "PUT /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n");
  int waiting = SendRequest(server.mPort);
  while (held == 0) {
    g_main_context_iteration(nullptr, FALSE);
  }
  Send(sending, kAsk); // not read yet
  server.mServer->CloseIdle();
  AwaitAnswers(sending, 1);
  server.mServer->Answer(held, {});
  AwaitAnswers(waiting, 1);
  Send(half, "{}");
  AwaitAnswers(half, 1);
  char byte = 0;
  CHECK(recv(idle, &byte, 1, 0) == 0);
  for (int one : { idle, sending, half, waiting }) {
    close(one);
  }
}

TEST_CASE("a client that disconnects before its answer is detected in time")
{
  // A caller disconnects while its job runs and resubmits it to another entry
  // 1300 ms later. If the first entry did not detect this within a second, the
  // tasks of both would run and the job would be carried out twice.
  bool handled = false;
  bool gone = false;
  uint64_t held = 0;
  loopback_server server = ServeOnLoopback(
    [&](http_exchange& aOne) {
      held = aOne.Id();
      handled = true;
    },
    [&](uint64_t aId) { gone = aId == held; });
  int client = SendRequest(server.mPort);
  TurnUntil(handled);
  CHECK_FALSE(gone);
  gint64 closed = g_get_monotonic_time();
  close(client);
  TurnUntil(gone);
  CHECK(g_get_monotonic_time() - closed < G_USEC_PER_SEC);
  CHECK(server.mServer->Open() == 0);
}

} // namespace cactusmast::testing
