// An HTTP server on top of libsoup's. Callers keep many connections open, most
// of which are idle, so connections are divided into groups that the main loop
// polls only when one of the group is ready (nested_context). The handler
// receives each request and answers it exactly once, immediately or later. If
// the client disconnects first, the answer is discarded and the disconnect
// handler is called.

#ifndef SHELL_HTTP_SERVER_H_
#define SHELL_HTTP_SERVER_H_

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shell/connection_observer.h"
#include "shell/context_queue.h"
#include "shell/nested_context.h"
#include "shell/request_screen.h"
#include "util/gobject_ptr.h"
#include "util/result.h"

namespace cactusmast {

// The response to a request.
struct http_answer
{
  int mStatus = 200;
  std::string mBody;
  // The Content-Type.
  std::string mContentType = "application/json";
  // Sent as Retry-After, rounded up to seconds. 0 sends no such header.
  int64_t mRetryAfterMs = 0;
  // Whether the connection is closed after this answer.
  bool mCloseConnection = false;

  int64_t RetryAfterSeconds() const { return (mRetryAfterMs + 999) / 1000; }
};

// The answer that carries aError to the client.
http_answer
ErrorAnswer(const failure& aError);

// What is known of a client's connection.
struct client_connection
{
  // When it was accepted or its last answer was written.
  instant mLastActivity{};
  bool mUsed = false; // has carried a request
  // Bytes received when its last request was complete.
  uint64_t mBytesAtLastRequest = 0;
  size_t mUnsentAnswers = 0;  // answers that are not written yet
  bool mClosedAsIdle = false; // by CloseIdle
  // Libsoup may have begun to read a request, and has not ended its exchange.
  bool mInExchange = false;
  // The client had closed it when CloseAbandoned last looked.
  bool mClientClosed = false;
};

// A request that has not been answered yet, or whose answer is not written yet.
class http_exchange
{
public:
  // Unique within its server.
  uint64_t Id() const { return mId; }
  const std::string& Method() const { return mMethod; }
  const std::string& Path() const { return mPath; }
  const std::string& Body() const { return mBody; }
  // When the request was complete.
  instant ReceivedAt() const { return mReceivedAt; }
  // How long its last byte had waited by then, as far as that is known.
  duration Waited() const { return mWaited; }
  // The value of a request header; empty when absent.
  std::string Header(const char* aName) const;
  // The value of a query parameter; empty when absent.
  std::string Query(const char* aName) const;
  // Whether the client has closed the connection. This checks the socket
  // itself: a process that was suspended or fell behind reads requests whose
  // clients disconnected long ago, and libsoup reports that only when it reads
  // from the connection again.
  bool ClientDisconnected() const;
  // The value of a query parameter as a non-negative integer. Returns aDefault
  // when the parameter is absent, and aMax when its value is not a number or
  // greater than aMax.
  uint32_t QueryNumber(const char* aName,
                       uint32_t aDefault,
                       uint32_t aMax) const;

private:
  friend class http_server;
  uint64_t mId = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::map<std::string, std::string> mQuery;
  gobject_ptr<SoupServerMessage> mMessage;
  // The context that the sources of the message's connection belong to.
  nested_context* mContext = nullptr;
  gulong mFinishedHandler = 0; // signal handler ids
  gulong mWrittenHandler = 0;
  std::shared_ptr<client_connection> mConnection;
  instant mReceivedAt{};
  duration mWaited{};
  instant mAnsweredAt{}; // zero: not answered
  bool mWritten = false; // the kernel has the whole answer
  // The client disconnected before the answer, so that nobody waits for it.
  bool mAbandoned = false;
  // Whether the message is paused in libsoup until the answer.
  bool mPaused = false;
};

// Serves requests from the default main context.
class http_server
{
public:
  // Receives every request. It may call Answer before it returns.
  using handler = std::function<void(http_exchange&)>;
  // Called with the exchange's id when the client closed its connection, or the
  // connection broke, before the answer; at most 200 ms after that. A client
  // that only shuts down its sending side counts as disconnected.
  using disconnect_handler = std::function<void(uint64_t)>;

  // Listens on aListen (HOST:PORT, both numeric). Requests whose body is larger
  // than aMaxBody bytes are refused. Errors: Unavailable.
  static result<std::unique_ptr<http_server>> Create(
    const std::string& aListen,
    size_t aMaxBody,
    handler aHandler,
    disconnect_handler aOnDisconnect);
  ~http_server();

  // Null when the exchange was answered or its client disconnected.
  http_exchange* Find(uint64_t aExchange);
  // Ignored when the exchange was answered or its client disconnected.
  void Answer(uint64_t aExchange, const http_answer& aAnswer);

  // Requests from now on are shown to aScreen before they are read; it must
  // outlive the server.
  void ScreenRequests(request_screen* aScreen) { mScreen = aScreen; }
  // Reports from now on go to aObserver, which must outlive the server.
  void Observe(connection_observer* aObserver) { mObserver = aObserver; }
  // Reports the requests that get no answer because the process exits, at most
  // aMax of them.
  void ReportUnsent(size_t aMax);

  // Closes connections that have been idle for at least aMinIdle, so that their
  // clients open new ones, to another process if this one no longer accepts
  // any. A connection on which a request is being read or handled, or an answer
  // being written, is not idle.
  //
  // A client may be sending a request just then. aRefusal is therefore written
  // to each connection before it is closed, and requests that arrive after that
  // are dropped: such a client gets a refusal, and its request is not handled.
  void CloseIdle(duration aMinIdle, const http_answer& aRefusal);

  // Accepts the connections that are pending, then closes the listener. Clients
  // that connect later are refused by the kernel, before they send a request.
  void StopAccepting();

  // Requests that have not been answered yet.
  size_t OpenExchanges() const { return mExchanges.size(); }
  // Answers that libsoup has neither finished writing nor given up.
  size_t UnsentAnswers() const { return mUnsentAnswers.size(); }
  // Connections that have a descriptor.
  size_t OpenConnections() const;
  // Those of them whose clients have closed them.
  size_t AbandonedConnections() const;
  const connection_counters& Counters() const { return mCounters; }
  // Requests received since the start.
  uint64_t ReceivedRequests() const { return mRequestCount; }

private:
  // Connections whose sources share a nested context.
  struct connection_group
  {
    std::unique_ptr<nested_context> mContext;
    gobject_ptr<SoupServer> mServer;
    // Its open connections by socket.
    std::map<GSocket*, std::shared_ptr<client_connection>> mOpenSockets;
    std::set<GSocket*> mReadingRequest; // those whose request is partly read
  };

  http_server(size_t aMaxBody,
              handler aHandler,
              disconnect_handler aOnDisconnect);
  static gboolean OnAcceptReady(GSocket* aListener,
                                GIOCondition aCondition,
                                gpointer aData);
  // Accepts at most aMax pending connections.
  void AcceptPending(int aMax);
  void Accept(gobject_ptr<GSocket> aSocket);
  // Adds the socket to its group until it is finalized.
  static void AddSocket(const std::shared_ptr<connection_group>& aGroup,
                        GSocket* aSocket);
  static void OnSocketFinalized(gpointer aData, GObject* aSocket);
  // The group for a new connection: the one with the fewest connections, or a
  // new one. Null when there is none and none can be created.
  std::shared_ptr<connection_group> ChooseGroup();
  // Null when no context can be created.
  std::shared_ptr<connection_group> AddGroup();
  // The group of a libsoup server; null if there is none.
  connection_group* GroupOf(SoupServer* aServer) const;
  static void OnRequest(SoupServer* aServer,
                        SoupServerMessage* aMessage,
                        const char* aPath,
                        GHashTable* aQuery,
                        gpointer aData);
  // Called when the headers of a request have been read.
  static void OnRequestHeaders(SoupServer* aServer,
                               SoupServerMessage* aMessage,
                               const char* aPath,
                               GHashTable* aQuery,
                               gpointer aData);
  // Called when libsoup has given up an exchange before its answer, or has
  // finished or given up writing the answer.
  static void OnFinished(SoupServerMessage* aMessage, gpointer aData);
  // Called when the kernel has the last byte of an answer.
  static void OnWritten(SoupServerMessage* aMessage, gpointer aData);
  // Called when an exchange ended after its answer.
  void EndAnswered(SoupServerMessage* aMessage);
  // Notes that an exchange was received over its connection.
  void NoteReceived(const connection_group& aGroup,
                    http_exchange* aExchange) const;
  // Answers the request that has arrived at a descriptor, if it is not to be
  // read. False if libsoup has to read it.
  bool RefuseUnread(connection_group& aGroup, int aFd);
  bool RefuseFirst(int aFd, client_connection& aConnection);
  // Keeps an answered exchange until its answer is written.
  void AwaitWritten(std::unique_ptr<http_exchange> aExchange);
  void ReportNotSent(const http_exchange& aExchange, unsent_cause aCause);
  // The sockets of the requests that have no answer yet.
  std::set<GSocket*> BusySockets() const;
  // Whether no request is being read or handled and no answer written.
  static bool IsIdle(const connection_group& aGroup,
                     GSocket* aSocket,
                     const client_connection& aConnection);
  static void CloseAsIdle(GSocket* aSocket,
                          client_connection& aConnection,
                          const std::string& aRefusal,
                          instant aNow,
                          idle_sweep* aSweep);
  void StartAbandonedTimer();
  static gboolean OnAbandonedTimer(gpointer aData);
  // Closes the sockets of connections that their clients closed while idle.
  // libsoup 3.2 does not, so that each would keep its descriptor.
  void CloseAbandoned();
  // Whether the request came after CloseIdle had refused it. Lets libsoup end
  // its connection.
  static bool DropRefused(const connection_group& aGroup,
                          SoupServerMessage* aMessage);
  static gboolean OnDisconnectTimer(gpointer aData);
  void StartDisconnectTimer();
  // Ends the exchanges whose clients have disconnected.
  void CheckDisconnects();

  context_queue mQueue; // of the groups' contexts
  gobject_ptr<GSocket> mListener;
  GSource* mAcceptSource = nullptr;
  std::vector<std::shared_ptr<connection_group>> mGroups;
  size_t mMaxBody;
  handler mHandler;
  disconnect_handler mOnDisconnect;
  std::map<uint64_t, std::unique_ptr<http_exchange>> mExchanges; // by id
  std::map<SoupServerMessage*, uint64_t> mExchangeIds;
  // Answered exchanges whose answer is not written yet.
  std::map<SoupServerMessage*, std::unique_ptr<http_exchange>> mUnsentAnswers;
  connection_observer* mObserver = nullptr; // null: nobody is told
  request_screen* mScreen = nullptr;        // null: all requests are read
  connection_counters mCounters;
  uint64_t mNextId = 1;
  uint64_t mRequestCount = 0;
  guint mDisconnectTimer = 0; // source id; 0 while it is not running
  guint mAbandonedTimer = 0;  // source id
};

} // namespace cactusmast

#endif // SHELL_HTTP_SERVER_H_
