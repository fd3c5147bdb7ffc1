// HTTP through libsoup's server. Callers keep many connections open of which
// few are in use, so these are kept in groups that the main loop looks at only
// when something comes over one of them (nested_context). A handler gets a
// request and answers it at once or later, exactly once; when the client goes
// away first, the answer is dropped and the handler is told.

#ifndef SHELL_HTTP_SERVER_H_
#define SHELL_HTTP_SERVER_H_

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shell/nested_context.h"
#include "util/gobject_ptr.h"
#include "util/result.h"

namespace cactusmast {

struct http_answer
{
  int mStatus = 200;
  std::string mBody;
  std::string mType = "application/json";
  int64_t mRetryAfterMs = 0;
  bool mClose = false; // the connection, after this answer
};

// The answer that carries aError to the client.
http_answer
ErrorAnswer(const failure& aError);

class http_exchange
{
public:
  uint64_t Id() const { return mId; }
  const std::string& Method() const { return mMethod; }
  const std::string& Path() const { return mPath; }
  const std::string& Body() const { return mBody; }
  // Empty when absent.
  std::string Header(const char* aName) const;
  std::string Query(const char* aName) const;
  // Whether the client has closed the connection. Asks the socket: a process
  // that stood still or fell behind reads requests whose clients left long ago,
  // and the library tells of that only when it reads on.
  bool ClientDisconnected() const;
  // A whole number from the query, or aDefault; values that are no number or
  // over aMax count as aMax.
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
  nested_context* mContext = nullptr; // of the message's sources
  gulong mFinishedHandler = 0;
  bool mPaused = false;
};

class http_server
{
public:
  // Receives every request. May call Answer before it returns.
  using handler = std::function<void(http_exchange&)>;
  // The client closed its connection, or that broke, before its answer: told
  // within 200 ms. A client that only stops sending counts as gone.
  using disconnect_handler = std::function<void(uint64_t)>;

  static result<std::unique_ptr<http_server>> Create(const std::string& aListen,
                                                     size_t aMaxBody,
                                                     handler aHandler,
                                                     disconnect_handler aGone);
  ~http_server();

  // Null when the exchange is over.
  http_exchange* Find(uint64_t aExchange);
  // Ignored when the exchange is over.
  void Answer(uint64_t aExchange, const http_answer& aAnswer);

  // Closes connections over which nothing is under way, so that their clients
  // open others, elsewhere if this process takes no more. One whose client has
  // just sent something stays open.
  void CloseIdle();

  size_t Open() const { return mOpen.size(); }
  uint64_t Served() const { return mServed; }

private:
  // Connections whose sources share a context.
  struct connection_group
  {
    std::unique_ptr<nested_context> mContext;
    gobject_ptr<SoupServer> mServer;
    std::set<GSocket*> mSockets; // of its connections
    std::set<GSocket*> mReading; // those with a request read in part
  };

  http_server(size_t aMaxBody, handler aHandler, disconnect_handler aGone);
  static gboolean OnAcceptReady(GSocket* aListener,
                                GIOCondition aCondition,
                                gpointer aData);
  void Accept(gobject_ptr<GSocket> aSocket);
  // For as long as the socket is there.
  static void Remember(const std::shared_ptr<connection_group>& aGroup,
                       GSocket* aSocket);
  static void ForgetSocket(gpointer aData, GObject* aGone);
  // The one with the fewest connections; null when none can be made.
  std::shared_ptr<connection_group> ChooseGroup();
  std::shared_ptr<connection_group> MakeGroup();
  // Null for a server that is none of ours.
  connection_group* GroupOf(SoupServer* aServer) const;
  static void OnRequest(SoupServer* aServer,
                        SoupServerMessage* aMessage,
                        const char* aPath,
                        GHashTable* aQuery,
                        gpointer aData);
  static void OnEarly(SoupServer* aServer,
                      SoupServerMessage* aMessage,
                      const char* aPath,
                      GHashTable* aQuery,
                      gpointer aData);
  static void OnFinished(SoupServerMessage* aMessage, gpointer aData);
  static gboolean OnHangUpTimer(gpointer aData);
  void WatchHangUps();
  void DropHungUp();

  gobject_ptr<GSocket> mListener;
  GSource* mAcceptSource = nullptr;
  std::vector<std::shared_ptr<connection_group>> mGroups;
  size_t mMaxBody;
  handler mHandler;
  disconnect_handler mOnDisconnect;
  std::map<uint64_t, std::unique_ptr<http_exchange>> mOpen;
  std::map<SoupServerMessage*, uint64_t> mByMessage;
  uint64_t mNextId = 1;
  uint64_t mServed = 0;
  guint mHangUpTimer = 0; // while exchanges are open
};

} // namespace cactusmast

#endif // SHELL_HTTP_SERVER_H_
