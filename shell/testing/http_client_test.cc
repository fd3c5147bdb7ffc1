// An HTTP client whose server closes connections.

#include <arpa/inet.h>
#include <atomic>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "shell/http_client.h"
#include "shell/testing/loopback.h"

namespace cactusmast::testing {
namespace {

// What the server does with a request.
enum class reaction : uint8_t
{
  Answer,
  AnswerAndClose, // without announcing it
  Truncate,       // closes the connection within the answer
  Close           // without any answer
};

// Serves each connection on a thread of its own.
class raw_server
{
public:
  explicit raw_server(std::vector<reaction> aReactions)
    : mReactions(std::move(aReactions))
    , mListener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(mListener, generic, size) == 0);
    REQUIRE(listen(mListener, 16) == 0);
    REQUIRE(getsockname(mListener, generic, &size) == 0);
    mPort = ntohs(address.sin_port);
    mAcceptor = std::thread([this] { Accept(); });
  }
  // The client must have been destroyed, which closes its connections.
  ~raw_server()
  {
    shutdown(mListener, SHUT_RDWR);
    mAcceptor.join();
    for (std::thread& connection : mConnections) {
      connection.join();
    }
    close(mListener);
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/x";
  }
  size_t Requests() const { return mNext; }

private:
  void Accept()
  {
    for (;;) {
      int connection = accept(mListener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      mConnections.emplace_back([this, connection] {
        while (ServeRequest(connection)) {
        }
        close(connection);
      });
    }
  }

  // False if the connection is to be closed.
  bool ServeRequest(int aConnection)
  {
    std::string request;
    char chunk[4096];
    auto complete = [&request] {
      bool hasBody = request.rfind("POST", 0) == 0;
      return request.find(hasBody ? "{}" : "\r\n\r\n") != std::string::npos;
    };
    while (!complete()) {
      ssize_t count = recv(aConnection, chunk, sizeof chunk, 0);
      if (count <= 0) {
        return false;
      }
      request.append(chunk, size_t(count));
    }
    reaction now = mReactions[mNext++];
    if (now == reaction::Close) {
      return false;
    }
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    answer += now == reaction::Truncate ? "ab" : "abcd";
    send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
    return now == reaction::Answer;
  }

  std::vector<reaction> mReactions; // by request
  std::atomic<size_t> mNext{ 0 };   // index of the next reaction
  int mListener;
  uint16_t mPort = 0;
  std::thread mAcceptor;
  std::vector<std::thread> mConnections; // used by mAcceptor until it has ended
};

http_response
SendTo(const raw_server& aServer,
       http_client& aClient,
       const std::string& aMethod,
       bool aIdempotent,
       uint64_t aConnection = 0)
{
  http_request request;
  request.mConnection = aConnection;
  request.mMethod = aMethod;
  request.mUrl = aServer.Url();
  request.mBody = aMethod == "POST" ? "{}" : "";
  request.mIdempotent = aIdempotent;
  http_response answer;
  bool done = false;
  aClient.Send(request, [&](const http_response& aResponse) {
    answer = aResponse;
    done = true;
  });
  RunLoopUntil(done);
  return answer;
}

} // namespace

TEST_CASE("a request is never sent twice because its connection broke")
{
  // Guards against a task that is started again without its owner's knowledge.
  bool idempotent = false;
  SUBCASE("idempotent")
  {
    idempotent = true;
  }
  SUBCASE("not idempotent") {}
  raw_server server({ reaction::Answer, reaction::Close, reaction::Answer });
  http_client client(4, 2000);
  CHECK(SendTo(server, client, "POST", true).mStatus == 200);
  http_response broken = SendTo(server, client, "POST", idempotent);
  CHECK(broken.mFault == http_fault::Broken);
  CHECK(server.Requests() == 2);
}

TEST_CASE("a read is sent again if the kept connection broke")
{
  // Guards against a read that fails because its connection was just closed.
  raw_server server({ reaction::Answer, reaction::Close, reaction::Answer });
  http_client client(4, 2000);
  CHECK(SendTo(server, client, "GET", false).mStatus == 200);
  CHECK(SendTo(server, client, "GET", false).mStatus == 200);
  CHECK(server.Requests() == 3);
}

TEST_CASE("a request does not fail because an idle connection was closed")
{
  // Guards against a request that is sent over a connection closed before it.
  bool idempotent = false;
  SUBCASE("idempotent")
  {
    idempotent = true;
  }
  SUBCASE("not idempotent") {}
  raw_server server({ reaction::AnswerAndClose, reaction::Answer });
  http_client client(4, 2000);
  CHECK(SendTo(server, client, "POST", true).mStatus == 200);
  CHECK(SendTo(server, client, "POST", idempotent).mStatus == 200);
  CHECK(server.Requests() == 2);
}

TEST_CASE("an answer that is cut off counts as none")
{
  // Guards against part of an answer that is taken for all of it.
  raw_server server({ reaction::Truncate });
  http_client client(4, 2000);
  http_response answer = SendTo(server, client, "POST", false);
  CHECK(answer.mFault == http_fault::Broken);
  CHECK(answer.mStatus == 0);
  CHECK(answer.mBody.empty());
}

TEST_CASE("a request that requires a connection is sent over that one only")
{
  // Guards against an order that reaches the next incarnation of its server.
  raw_server server(
    { reaction::Answer, reaction::AnswerAndClose, reaction::Answer });
  http_client client(1, 2000);
  uint64_t connection = SendTo(server, client, "POST", true).mConnection;
  REQUIRE(connection != 0);
  http_response same = SendTo(server, client, "POST", true, connection);
  CHECK(same.mStatus == 200);
  CHECK(same.mConnection == connection);
  http_response unsent = SendTo(server, client, "POST", true, connection);
  CHECK(unsent.mFault == http_fault::Unsent);
  CHECK(server.Requests() == 2);
  CHECK(SendTo(server, client, "POST", true).mStatus == 200);
}

TEST_CASE("a request that was sent over its connection is not taken for unsent")
{
  // Guards against an order that is decided anew although it was carried out.
  raw_server server({ reaction::Answer, reaction::Close, reaction::Answer });
  http_client client(1, 2000);
  uint64_t connection = SendTo(server, client, "POST", true).mConnection;
  http_response broken = SendTo(server, client, "POST", true, connection);
  CHECK(broken.mFault != http_fault::Unsent);
  CHECK(broken.mFault != http_fault::Refused);
  CHECK(server.Requests() == 2);
}

} // namespace cactusmast::testing
