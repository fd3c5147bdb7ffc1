#include "shell/http_client.h"

#include <memory>

namespace cactusmast {
namespace {

// The client closes idle connections before the server does. A request that is
// sent over a connection which the server has just closed fails, and it is
// unknown whether it was run.
constexpr guint kIdleTimeoutS = 4;

// A request in flight.
struct pending_request
{
  http_client::callback mCallback;
  gobject_ptr<SoupMessage> mMessage;
  gobject_ptr<GCancellable> mCancellable;
  guint mTimer = 0;                 // source id; 0 without a timeout
  bool mSendStarted = false;        // whether sending has begun at least once
  uint64_t mRequiredConnection = 0; // 0: any
  uint64_t mConnection = 0;         // over which sending would have begun last
  // The following are used by requests with http_request::mBodyStallMs.
  uint32_t mBodyStallMs = 0;
  gobject_ptr<GInputStream> mBodyStream;
  std::string mBody; // received so far
};

constexpr gsize kBodyChunkBytes = 64 * 1024;

std::string
BytesToString(GBytes* aBytes)
{
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBytes, &size));
  return std::string(data == nullptr ? "" : data, size);
}

http_response
ReadResponse(SoupMessage* aMessage,
             std::string aBody,
             const GError* aError,
             bool aSendStarted)
{
  http_response response;
  if (aError != nullptr) {
    // libsoup resends a GET whose connection broke. If the resend is refused,
    // the first send may still have been carried out.
    bool refused =
      !aSendStarted &&
      (g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
       g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE));
    bool cancelled = g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CANCELLED);
    response.mFault = refused     ? http_fault::Refused
                      : cancelled ? http_fault::Cancelled
                                  : http_fault::Broken;
    response.mFaultText = aError->message;
    return response;
  }
  response.mStatus = int(soup_message_get_status(aMessage));
  response.mBody = std::move(aBody);
  const char* runHeader = soup_message_headers_get_one(
    soup_message_get_response_headers(aMessage), "X-Run");
  response.mRunHeader = runHeader == nullptr ? "" : runHeader;
  return response;
}

// Called before the first byte is written.
void
OnStarting(pending_request* aPending)
{
  aPending->mConnection =
    soup_message_get_connection_id(aPending->mMessage.get());
  uint64_t required = aPending->mRequiredConnection;
  if (required != 0 && aPending->mConnection != required) {
    g_cancellable_cancel(aPending->mCancellable.get());
    return;
  }
  aPending->mSendStarted = true;
}

gboolean
OnTimeout(gpointer aData)
{
  auto* pending = static_cast<pending_request*>(aData);
  pending->mTimer = 0;
  g_cancellable_cancel(pending->mCancellable.get());
  return G_SOURCE_REMOVE;
}

void
StopTimer(pending_request* aPending)
{
  if (aPending->mTimer != 0) {
    g_source_remove(aPending->mTimer);
    aPending->mTimer = 0;
  }
}

void
StartTimer(pending_request* aPending, uint32_t aTimeoutMs)
{
  StopTimer(aPending);
  if (aTimeoutMs > 0) {
    aPending->mTimer = g_timeout_add(aTimeoutMs, &OnTimeout, aPending);
  }
}

// Reports the response, or the fault aError, and frees the request.
void
Finish(pending_request* aPending, std::string aBody, const GError* aError)
{
  std::unique_ptr<pending_request> pending(aPending);
  StopTimer(aPending);
  g_signal_handlers_disconnect_by_data(pending->mMessage.get(), aPending);
  http_response response = ReadResponse(
    pending->mMessage.get(), std::move(aBody), aError, pending->mSendStarted);
  response.mConnection = pending->mConnection;
  bool otherConnection = pending->mRequiredConnection != 0 &&
                         pending->mConnection != pending->mRequiredConnection;
  if (otherConnection && !pending->mSendStarted) {
    response.mFault = http_fault::Unsent;
  }
  pending->mCallback(response);
}

void
OnResponse(GObject* aSession, GAsyncResult* aResult, gpointer aData)
{
  GError* error = nullptr;
  GBytes* body =
    soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  gerror_ptr errorOwner(error);
  std::string text = body == nullptr ? "" : BytesToString(body);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  Finish(static_cast<pending_request*>(aData), std::move(text), error);
}

void
OnBodyChunk(GObject* aStream, GAsyncResult* aResult, gpointer aData);

void
ReadBody(pending_request* aPending)
{
  StartTimer(aPending, aPending->mBodyStallMs);
  g_input_stream_read_bytes_async(aPending->mBodyStream.get(),
                                  kBodyChunkBytes,
                                  G_PRIORITY_DEFAULT,
                                  aPending->mCancellable.get(),
                                  &OnBodyChunk,
                                  aPending);
}

void
OnBodyChunk(GObject* aStream, GAsyncResult* aResult, gpointer aData)
{
  auto* pending = static_cast<pending_request*>(aData);
  GError* error = nullptr;
  GBytes* chunk =
    g_input_stream_read_bytes_finish(G_INPUT_STREAM(aStream), aResult, &error);
  gerror_ptr errorOwner(error);
  std::string text = chunk == nullptr ? "" : BytesToString(chunk);
  if (chunk != nullptr) {
    g_bytes_unref(chunk);
  }
  if (error != nullptr || text.empty()) {
    Finish(pending, std::move(pending->mBody), error);
    return;
  }
  pending->mBody += text;
  ReadBody(pending);
}

void
OnResponseHeaders(GObject* aSession, GAsyncResult* aResult, gpointer aData)
{
  auto* pending = static_cast<pending_request*>(aData);
  GError* error = nullptr;
  pending->mBodyStream.reset(
    soup_session_send_finish(SOUP_SESSION(aSession), aResult, &error));
  gerror_ptr errorOwner(error);
  if (error != nullptr) {
    Finish(pending, "", error);
    return;
  }
  ReadBody(pending);
}

gobject_ptr<SoupMessage>
MakeSoupMessage(const http_request& aRequest)
{
  gobject_ptr<SoupMessage> message(
    soup_message_new(aRequest.mMethod.c_str(), aRequest.mUrl.c_str()));
  if (message == nullptr) {
    return message;
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(message.get());
  for (const auto& [name, value] : aRequest.mHeaders) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (!aRequest.mBody.empty()) {
    GBytes* body = g_bytes_new(aRequest.mBody.data(), aRequest.mBody.size());
    soup_message_set_request_body_from_bytes(
      message.get(), "application/json", body);
    g_bytes_unref(body);
  }
  // A redirect would send the request to a server that the caller did not
  // choose.
  soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
  if (aRequest.mIdempotent) {
    soup_message_add_flags(message.get(), SOUP_MESSAGE_IDEMPOTENT);
  }
  return message;
}

} // namespace

http_client::http_client(uint32_t aMaxConnections, uint32_t aTimeoutMs)
  : mSession(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION,
                                       "max-conns",
                                       int(aMaxConnections),
                                       "max-conns-per-host",
                                       int(aMaxConnections),
                                       "idle-timeout",
                                       kIdleTimeoutS,
                                       // All addresses are numeric; the
                                       // default proxy resolver reads desktop
                                       // settings.
                                       "proxy-resolver",
                                       nullptr,
                                       nullptr)))
  , mTimeoutMs(aTimeoutMs)
{
  // Responses are never compressed, and the decoder costs time in each request.
  soup_session_remove_feature_by_type(mSession.get(),
                                      SOUP_TYPE_CONTENT_DECODER);
}

http_client::~http_client()
{
  soup_session_abort(mSession.get());
}

gobject_ptr<GCancellable>
http_client::Send(const http_request& aRequest, callback aCallback)
{
  auto pending = std::make_unique<pending_request>();
  pending->mCallback = std::move(aCallback);
  pending->mMessage = MakeSoupMessage(aRequest);
  pending->mCancellable.reset(g_cancellable_new());
  gobject_ptr<GCancellable> handle(
    G_CANCELLABLE(g_object_ref(pending->mCancellable.get())));
  pending->mBodyStallMs = aRequest.mBodyStallMs;
  pending->mRequiredConnection = aRequest.mConnection;
  StartTimer(pending.get(),
             aRequest.mTimeoutMs > 0 ? aRequest.mTimeoutMs : mTimeoutMs);
  SoupMessage* message = pending->mMessage.get();
  g_signal_connect_swapped(
    message, "starting", G_CALLBACK(&OnStarting), pending.get());
  GCancellable* cancellable = pending->mCancellable.get();
  if (pending->mBodyStallMs > 0) {
    soup_session_send_async(mSession.get(),
                            message,
                            G_PRIORITY_DEFAULT,
                            cancellable,
                            &OnResponseHeaders,
                            pending.release());
    return handle;
  }
  soup_session_send_and_read_async(mSession.get(),
                                   message,
                                   G_PRIORITY_DEFAULT,
                                   cancellable,
                                   &OnResponse,
                                   pending.release());
  return handle;
}

http_response
SendAndWait(const http_request& aRequest, uint32_t aTimeoutMs)
{
  gobject_ptr<SoupSession> session(SOUP_SESSION(g_object_new(
    SOUP_TYPE_SESSION, "timeout", guint((aTimeoutMs + 999) / 1000), nullptr)));
  gobject_ptr<SoupMessage> message = MakeSoupMessage(aRequest);
  if (message == nullptr) {
    http_response response;
    response.mFault = http_fault::Refused;
    response.mFaultText = "not a URL: " + aRequest.mUrl;
    return response;
  }
  GError* error = nullptr;
  GBytes* body =
    soup_session_send_and_read(session.get(), message.get(), nullptr, &error);
  gerror_ptr errorOwner(error);
  std::string text = body == nullptr ? "" : BytesToString(body);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  return ReadResponse(message.get(), std::move(text), error, false);
}

} // namespace cactusmast
