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
  guint mTimer = 0;          // source id; 0 without a timeout
  bool mSendStarted = false; // whether sending has begun at least once
};

http_response
ReadResponse(SoupMessage* aMessage,
             GBytes* aBody,
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
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBody, &size));
  response.mBody.assign(data == nullptr ? "" : data, size);
  const char* runHeader = soup_message_headers_get_one(
    soup_message_get_response_headers(aMessage), "X-Run");
  response.mRunHeader = runHeader == nullptr ? "" : runHeader;
  return response;
}

void
OnStarting(pending_request* aPending)
{
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
OnResponse(GObject* aSession, GAsyncResult* aResult, gpointer aData)
{
  std::unique_ptr<pending_request> pending(
    static_cast<pending_request*>(aData));
  if (pending->mTimer != 0) {
    g_source_remove(pending->mTimer);
  }
  g_signal_handlers_disconnect_by_data(pending->mMessage.get(), pending.get());
  GError* error = nullptr;
  GBytes* body =
    soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  gerror_ptr errorOwner(error);
  http_response response =
    ReadResponse(pending->mMessage.get(), body, error, pending->mSendStarted);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  pending->mCallback(response);
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
  uint32_t timeoutMs =
    aRequest.mTimeoutMs > 0 ? aRequest.mTimeoutMs : mTimeoutMs;
  if (timeoutMs > 0) {
    pending->mTimer = g_timeout_add(timeoutMs, &OnTimeout, pending.get());
  }
  SoupMessage* message = pending->mMessage.get();
  g_signal_connect_swapped(
    message, "starting", G_CALLBACK(&OnStarting), pending.get());
  GCancellable* cancellable = pending->mCancellable.get();
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
  http_response response = ReadResponse(message.get(), body, error, false);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  return response;
}

} // namespace cactusmast
