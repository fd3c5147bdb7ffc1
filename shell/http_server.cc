#include "shell/http_server.h"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "cactusmast/api_json.h"
#include "shell/daemon.h"
#include "shell/peer_transport.h"
#include "shell/served_socket.h"

namespace cactusmast {

using detail::AttachSocket;
using detail::Peek;
using detail::peek_result;
using detail::SocketOf;

namespace {

// The size limit of a request body. A body that exceeds it is refused while it
// arrives instead of being buffered.
struct body_limit
{
  size_t mMax;          // bytes
  size_t mReceived = 0; // bytes received so far
};

void
OnBodyChunk(SoupServerMessage* aMessage, GBytes* aChunk, gpointer aData)
{
  auto* limit = static_cast<body_limit*>(aData);
  limit->mReceived += g_bytes_get_size(aChunk);
  if (limit->mReceived > limit->mMax) {
    soup_server_message_set_status(
      aMessage, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    GIOStream* stream = soup_server_message_steal_connection(aMessage);
    if (stream != nullptr) {
      g_io_stream_close(stream, nullptr, nullptr);
      g_object_unref(stream);
    }
  }
}

// libsoup's own listener has a backlog of 10. The kernel drops connections
// beyond the backlog, and a client that opens many at once sees some of them
// reset a second later without knowing whether their requests were run.
constexpr int kListenBacklog = 1024;

// While a request waits for its answer, libsoup does not read from the
// connection and does not detect that the client has closed it. The client's
// tasks would keep running, even after it resubmits its job to another entry,
// which it does 1300 ms later. Checking each socket at this interval leaves one
// second to stop them.
constexpr guint kDisconnectCheckIntervalMs = 200;

gobject_ptr<GSocket>
OpenListener(const std::string& aListen, GError** aError)
{
  gobject_ptr<GSocketAddress> address = ParseAddress(aListen);
  if (address == nullptr) {
    return nullptr;
  }
  gobject_ptr<GSocket> socket(
    g_socket_new(g_socket_address_get_family(address.get()),
                 G_SOCKET_TYPE_STREAM,
                 G_SOCKET_PROTOCOL_TCP,
                 aError));
  if (socket == nullptr) {
    return nullptr;
  }
  g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  g_socket_set_blocking(socket.get(), FALSE);
  bool listening = g_socket_bind(socket.get(), address.get(), TRUE, aError) &&
                   g_socket_listen(socket.get(), aError);
  return listening ? std::move(socket) : nullptr;
}

// Each group costs the main loop one descriptor to poll, and each connection of
// a group is polled whenever another one of the group is ready.
constexpr size_t kConnectionsPerGroup = 16;
constexpr size_t kMaxGroups = 64;
// In one turn of the loop, so that a burst of new connections does not delay
// other work.
constexpr int kMaxAccepts = 32;

// libsoup keeps a connection open after an answer only while its server is
// listening. Since http_server accepts connections itself and distributes them
// over the groups, libsoup's listener is attached to a context that is never
// run.
bool
ListenWithoutAccepting(SoupServer* aServer, GSocket* aListener)
{
  GMainContext* unused = g_main_context_new();
  g_main_context_push_thread_default(unused);
  bool listening = soup_server_listen_socket(
    aServer, aListener, SoupServerListenOptions(0), nullptr);
  g_main_context_pop_thread_default(unused);
  g_main_context_unref(unused);
  return listening;
}

void
FreeBodyLimit(gpointer aData, GClosure* /*aClosure*/)
{
  delete static_cast<body_limit*>(aData);
}

} // namespace

http_answer
ErrorAnswer(const failure& aError)
{
  http_answer answer;
  answer.mStatus = HttpStatus(aError.Code());
  answer.mBody = RenderError(aError);
  answer.mRetryAfterMs = aError.RetryAfter().count();
  return answer;
}

std::string
http_exchange::Header(const char* aName) const
{
  const char* value = soup_message_headers_get_one(
    soup_server_message_get_request_headers(mMessage.get()), aName);
  return value == nullptr ? "" : value;
}

std::string
http_exchange::Query(const char* aName) const
{
  auto found = mQuery.find(aName);
  return found == mQuery.end() ? "" : found->second;
}

bool
http_exchange::ClientDisconnected() const
{
  GSocket* socket = SocketOf(mMessage.get());
  if (socket == nullptr || g_socket_is_closed(socket)) {
    return true;
  }
  return Peek(socket) == peek_result::End;
}

uint32_t
http_exchange::QueryNumber(const char* aName,
                           uint32_t aDefault,
                           uint32_t aMax) const
{
  std::string text = Query(aName);
  if (text.empty()) {
    return aDefault;
  }
  guint64 value = 0;
  bool valid =
    g_ascii_string_to_unsigned(text.c_str(), 10, 0, aMax, &value, nullptr);
  return valid ? uint32_t(value) : aMax;
}

http_server::http_server(size_t aMaxBody,
                         handler aHandler,
                         disconnect_handler aOnDisconnect)
  : mMaxBody(aMaxBody)
  , mHandler(std::move(aHandler))
  , mOnDisconnect(std::move(aOnDisconnect))
{
}

http_server::~http_server()
{
  for (guint timer : { mDisconnectTimer, mAbandonedTimer }) {
    if (timer != 0) {
      g_source_remove(timer);
    }
  }
  for (auto& [id, exchange] : mExchanges) {
    g_signal_handler_disconnect(exchange->mMessage.get(),
                                exchange->mFinishedHandler);
  }
  for (auto& [message, exchange] : mUnsentAnswers) {
    g_signal_handler_disconnect(message, exchange->mFinishedHandler);
    g_signal_handler_disconnect(message, exchange->mWrittenHandler);
  }
  if (mAcceptSource != nullptr) {
    g_source_destroy(mAcceptSource);
    g_source_unref(mAcceptSource);
  }
  for (const auto& group : mGroups) {
    group->mContext->Invoke(
      [&] { soup_server_disconnect(group->mServer.get()); });
  }
}

result<std::unique_ptr<http_server>>
http_server::Create(const std::string& aListen,
                    size_t aMaxBody,
                    handler aHandler,
                    disconnect_handler aOnDisconnect)
{
  std::unique_ptr<http_server> server(
    new http_server(aMaxBody, std::move(aHandler), std::move(aOnDisconnect)));
  GError* error = nullptr;
  server->mListener = OpenListener(aListen, &error);
  gerror_ptr errorOwner(error);
  if (server->mListener == nullptr) {
    return failure(error_code::Unavailable,
                   "listen",
                   aListen,
                   error == nullptr ? "bad address" : error->message);
  }
  server->mAcceptSource =
    g_socket_create_source(server->mListener.get(), G_IO_IN, nullptr);
  g_source_set_callback(server->mAcceptSource,
                        G_SOURCE_FUNC(&http_server::OnAcceptReady),
                        server.get(),
                        nullptr);
  g_source_attach(server->mAcceptSource, nullptr);
  server->StartAbandonedTimer();
  return server;
}

gboolean
http_server::OnAcceptReady(GSocket* /*aListener*/,
                           GIOCondition /*aCondition*/,
                           gpointer aData)
{
  static_cast<http_server*>(aData)->AcceptPending(kMaxAccepts);
  return G_SOURCE_CONTINUE;
}

void
http_server::AcceptPending(int aMax)
{
  for (int i = 0; i < aMax; i++) {
    gobject_ptr<GSocket> accepted(
      g_socket_accept(mListener.get(), nullptr, nullptr));
    if (accepted == nullptr) {
      break; // no pending connection, or it was closed again
    }
    Accept(std::move(accepted));
  }
}

void
http_server::StopAccepting()
{
  if (mAcceptSource == nullptr) {
    return;
  }
  AcceptPending(kListenBacklog);
  g_source_destroy(mAcceptSource);
  g_source_unref(mAcceptSource);
  mAcceptSource = nullptr;
  g_socket_close(mListener.get(), nullptr);
}

void
http_server::Accept(gobject_ptr<GSocket> aSocket)
{
  std::shared_ptr<connection_group> group = ChooseGroup();
  gobject_ptr<GSocketAddress> local(
    g_socket_get_local_address(aSocket.get(), nullptr));
  gobject_ptr<GSocketAddress> client(
    g_socket_get_remote_address(aSocket.get(), nullptr));
  if (group == nullptr || local == nullptr || client == nullptr) {
    return; // the client disconnected, or no descriptor is left for a group
  }
  g_socket_set_option(aSocket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  AttachSocket(client.get(), aSocket.get());
  gobject_ptr<GSocketConnection> connection(
    g_socket_connection_factory_create_connection(aSocket.get()));
  AddSocket(group, aSocket.get());
  group->mContext->RemoveDescriptor(g_socket_get_fd(aSocket.get()));
  group->mContext->Invoke([&] {
    soup_server_accept_iostream(group->mServer.get(),
                                G_IO_STREAM(connection.get()),
                                local.get(),
                                client.get(),
                                nullptr);
  });
}

void
http_server::AddSocket(const std::shared_ptr<connection_group>& aGroup,
                       GSocket* aSocket)
{
  auto connection = std::make_shared<client_connection>();
  connection->mLastActivity = Now();
  aGroup->mOpenSockets[aSocket] = std::move(connection);
  g_object_weak_ref(G_OBJECT(aSocket),
                    &OnSocketFinalized,
                    new std::weak_ptr<connection_group>(aGroup));
}

void
http_server::OnSocketFinalized(gpointer aData, GObject* aSocket)
{
  auto* group = static_cast<std::weak_ptr<connection_group>*>(aData);
  if (auto liveGroup = group->lock()) {
    liveGroup->mOpenSockets.erase(reinterpret_cast<GSocket*>(aSocket));
    liveGroup->mReadingRequest.erase(reinterpret_cast<GSocket*>(aSocket));
  }
  delete group;
}

std::shared_ptr<http_server::connection_group>
http_server::ChooseGroup()
{
  std::shared_ptr<connection_group> smallest;
  for (const auto& group : mGroups) {
    if (smallest == nullptr ||
        group->mOpenSockets.size() < smallest->mOpenSockets.size()) {
      smallest = group;
    }
  }
  bool hasSpace =
    smallest != nullptr && smallest->mOpenSockets.size() < kConnectionsPerGroup;
  if (hasSpace || mGroups.size() == kMaxGroups) {
    return smallest;
  }
  std::shared_ptr<connection_group> added = AddGroup();
  return added == nullptr ? smallest : added;
}

std::shared_ptr<http_server::connection_group>
http_server::AddGroup()
{
  auto group = std::make_shared<connection_group>();
  auto context =
    nested_context::Create(&mQueue, [this, group = group.get()](int aFd) {
      return RefuseUnread(*group, aFd);
    });
  if (!context.Ok()) {
    return nullptr;
  }
  group->mContext = std::move(context.Value());
  group->mServer.reset(soup_server_new("server-header", "cactusmast", nullptr));
  if (!ListenWithoutAccepting(group->mServer.get(), mListener.get())) {
    return nullptr;
  }
  soup_server_add_early_handler(group->mServer.get(),
                                nullptr,
                                &http_server::OnRequestHeaders,
                                this,
                                nullptr);
  soup_server_add_handler(
    group->mServer.get(), nullptr, &http_server::OnRequest, this, nullptr);
  mGroups.push_back(group);
  return group;
}

http_server::connection_group*
http_server::GroupOf(SoupServer* aServer) const
{
  for (const auto& group : mGroups) {
    if (group->mServer.get() == aServer) {
      return group.get();
    }
  }
  return nullptr;
}

void
http_server::OnRequestHeaders(SoupServer* aServer,
                              SoupServerMessage* aMessage,
                              const char* /*aPath*/,
                              GHashTable* /*aQuery*/,
                              gpointer aData)
{
  auto* self = static_cast<http_server*>(aData);
  goffset contentLength = soup_message_headers_get_content_length(
    soup_server_message_get_request_headers(aMessage));
  if (contentLength > goffset(self->mMaxBody)) {
    failure error(error_code::TooLarge,
                  "read request",
                  "caller",
                  "a body may have at most " + std::to_string(self->mMaxBody) +
                    " bytes");
    soup_server_message_set_status(
      aMessage, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    soup_message_headers_replace(
      soup_server_message_get_response_headers(aMessage),
      "Connection",
      "close");
    return;
  }
  self->GroupOf(aServer)->mReadingRequest.insert(SocketOf(aMessage));
  g_signal_connect_data(aMessage,
                        "got-chunk",
                        G_CALLBACK(&OnBodyChunk),
                        new body_limit{ self->mMaxBody },
                        &FreeBodyLimit,
                        GConnectFlags(0));
}

void
http_server::OnRequest(SoupServer* aServer,
                       SoupServerMessage* aMessage,
                       const char* aPath,
                       GHashTable* aQuery,
                       gpointer aData)
{
  auto* self = static_cast<http_server*>(aData);
  connection_group* group = self->GroupOf(aServer);
  if (DropRefused(*group, aMessage)) {
    return;
  }
  self->mRequestCount++;
  auto owned = std::make_unique<http_exchange>();
  http_exchange& exchange = *owned;
  exchange.mId = self->mNextId++;
  exchange.mContext = group->mContext.get();
  group->mReadingRequest.erase(SocketOf(aMessage));
  exchange.mMethod = soup_server_message_get_method(aMessage);
  exchange.mPath = aPath;
  exchange.mMessage.reset(SOUP_SERVER_MESSAGE(g_object_ref(aMessage)));
  self->NoteReceived(*group, &exchange);
  SoupMessageBody* body = soup_server_message_get_request_body(aMessage);
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0) {
    exchange.mBody.assign(data, size);
  }
  g_bytes_unref(bytes);
  if (aQuery != nullptr) {
    GHashTableIter iterator;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iterator, aQuery);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
      exchange.mQuery[static_cast<const char*>(key)] =
        static_cast<const char*>(value);
    }
  }
  exchange.mFinishedHandler = g_signal_connect(
    aMessage, "finished", G_CALLBACK(&http_server::OnFinished), self);
  uint64_t id = exchange.mId;
  self->mExchangeIds[aMessage] = id;
  self->mExchanges[id] = std::move(owned);
  InvokeInMainContext([&] { self->mHandler(exchange); });
  auto unanswered = self->mExchanges.find(id);
  if (unanswered != self->mExchanges.end()) {
    unanswered->second->mPaused = true;
    soup_server_message_pause(aMessage);
    self->StartDisconnectTimer();
  }
}

void
http_server::StartDisconnectTimer()
{
  if (mDisconnectTimer == 0) {
    mDisconnectTimer = g_timeout_add(
      kDisconnectCheckIntervalMs, &http_server::OnDisconnectTimer, this);
  }
}

gboolean
http_server::OnDisconnectTimer(gpointer aData)
{
  auto* self = static_cast<http_server*>(aData);
  self->CheckDisconnects();
  if (!self->mExchanges.empty()) {
    return G_SOURCE_CONTINUE;
  }
  self->mDisconnectTimer = 0;
  return G_SOURCE_REMOVE;
}

void
http_server::CheckDisconnects()
{
  std::vector<uint64_t> disconnected;
  for (const auto& [id, exchange] : mExchanges) {
    if (exchange->ClientDisconnected()) {
      disconnected.push_back(id);
    }
  }
  for (uint64_t id : disconnected) {
    http_exchange* exchange = Find(id);
    if (exchange != nullptr) {
      exchange->mAbandoned = true;
    }
    // Nobody reads this answer. It makes libsoup close its end.
    http_answer answer;
    answer.mStatus = SOUP_STATUS_SERVICE_UNAVAILABLE;
    answer.mCloseConnection = true;
    Answer(id, answer);
    mOnDisconnect(id);
  }
}

void
http_server::OnFinished(SoupServerMessage* aMessage, gpointer aData)
{
  auto* self = static_cast<http_server*>(aData);
  auto found = self->mExchangeIds.find(aMessage);
  if (found == self->mExchangeIds.end()) {
    self->EndAnswered(aMessage);
    return;
  }
  uint64_t id = found->second;
  self->mExchangeIds.erase(found);
  auto open = self->mExchanges.find(id);
  if (open != self->mExchanges.end()) {
    std::unique_ptr<http_exchange> ended = std::move(open->second);
    self->mExchanges.erase(open);
    InvokeInMainContext([&] { self->mOnDisconnect(id); });
  }
}

http_exchange*
http_server::Find(uint64_t aExchange)
{
  auto found = mExchanges.find(aExchange);
  return found == mExchanges.end() ? nullptr : found->second.get();
}

void
http_server::Answer(uint64_t aExchange, const http_answer& aAnswer)
{
  auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  std::unique_ptr<http_exchange> exchange = std::move(found->second);
  mExchanges.erase(found);
  SoupServerMessage* message = exchange->mMessage.get();
  mExchangeIds.erase(message);
  soup_server_message_set_status(message, guint(aAnswer.mStatus), nullptr);
  soup_server_message_set_response(message,
                                   aAnswer.mContentType.c_str(),
                                   SOUP_MEMORY_COPY,
                                   aAnswer.mBody.data(),
                                   aAnswer.mBody.size());
  if (aAnswer.mRetryAfterMs > 0) {
    soup_message_headers_replace(
      soup_server_message_get_response_headers(message),
      "Retry-After",
      std::to_string(aAnswer.RetryAfterSeconds()).c_str());
  }
  if (aAnswer.mCloseConnection) {
    soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
  }
  bool paused = exchange->mPaused;
  nested_context* context = exchange->mContext;
  AwaitWritten(std::move(exchange));
  if (paused) {
    soup_server_message_unpause(message);
    context->Wake();
  }
}

} // namespace cactusmast
