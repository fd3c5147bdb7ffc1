// What an http_server knows of requests and answers in flight: which answers
// are not written yet, and which were never sent.

#include <algorithm>

#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/served_socket.h"
#include "shell/socket_input.h"

namespace cactusmast {

void
http_server::NoteReceived(const connection_group& aGroup,
                          http_exchange* aExchange) const
{
  aExchange->mReceivedAt = Now();
  aExchange->mWaited = mQueue.CurrentWait();
  GSocket* socket = detail::SocketOf(aExchange->mMessage.get());
  auto found = aGroup.mOpenSockets.find(socket);
  if (found == aGroup.mOpenSockets.end()) {
    aExchange->mConnection = std::make_shared<client_connection>();
    return;
  }
  aExchange->mConnection = found->second;
  aExchange->mConnection->mUsed = true;
  aExchange->mConnection->mInExchange = true;
  socket_input input = InputOf(g_socket_get_fd(socket));
  aExchange->mConnection->mBytesAtLastRequest = input.mBytes;
  aExchange->mWaited = std::max(aExchange->mWaited, input.mSinceLast);
}

void
http_server::OnWritten(SoupServerMessage* aMessage, gpointer aData)
{
  auto* self = static_cast<http_server*>(aData);
  auto found = self->mUnsentAnswers.find(aMessage);
  if (found != self->mUnsentAnswers.end()) {
    found->second->mWritten = true;
    found->second->mConnection->mLastActivity = Now();
  }
}

void
http_server::EndAnswered(SoupServerMessage* aMessage)
{
  auto found = mUnsentAnswers.find(aMessage);
  if (found == mUnsentAnswers.end()) {
    return;
  }
  std::unique_ptr<http_exchange> ended = std::move(found->second);
  mUnsentAnswers.erase(found);
  ended->mConnection->mUnsentAnswers--;
  ended->mConnection->mInExchange = false;
  if (!ended->mWritten && !ended->mAbandoned) {
    ReportNotSent(*ended,
                  ended->mConnection->mClosedAsIdle
                    ? unsent_cause::ClosedAsIdle
                    : unsent_cause::ClientClosed);
  }
}

void
http_server::ReportNotSent(const http_exchange& aExchange, unsent_cause aCause)
{
  mCounters.mAnswersNotSent[size_t(aCause)]++;
  if (mObserver == nullptr) {
    return;
  }
  instant now = Now();
  unsent_answer unsent;
  unsent.mExchange = aExchange.mId;
  unsent.mMethod = aExchange.mMethod;
  unsent.mPath = aExchange.mPath;
  unsent.mSinceReceived = now - aExchange.mReceivedAt;
  if (aExchange.mAnsweredAt != instant{}) {
    unsent.mSinceAnswered = now - aExchange.mAnsweredAt;
  }
  unsent.mCause = aCause;
  InvokeInMainContext([&] { mObserver->OnAnswerNotSent(unsent); });
}

void
http_server::ReportUnsent(size_t aMax)
{
  size_t reported = 0;
  for (const auto& [message, exchange] : mUnsentAnswers) {
    if (!exchange->mWritten && !exchange->mAbandoned && reported < aMax) {
      reported++;
      ReportNotSent(*exchange,
                    exchange->mConnection->mClosedAsIdle
                      ? unsent_cause::ClosedAsIdle
                      : unsent_cause::ProcessExit);
    }
  }
  for (const auto& [id, exchange] : mExchanges) {
    if (reported < aMax) {
      reported++;
      ReportNotSent(*exchange, unsent_cause::NoAnswer);
    }
  }
}

void
http_server::AwaitWritten(std::unique_ptr<http_exchange> aExchange)
{
  SoupServerMessage* message = aExchange->mMessage.get();
  aExchange->mBody.clear();
  aExchange->mBody.shrink_to_fit();
  aExchange->mAnsweredAt = Now();
  aExchange->mConnection->mUnsentAnswers++;
  aExchange->mWrittenHandler = g_signal_connect(
    message, "wrote-body", G_CALLBACK(&http_server::OnWritten), this);
  mUnsentAnswers[message] = std::move(aExchange);
}

} // namespace cactusmast
