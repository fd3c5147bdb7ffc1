#include "shell/rendered_answer.h"

namespace cactusmast {

std::string
RenderAnswer(const http_answer& aAnswer)
{
  auto status = guint(aAnswer.mStatus);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     soup_status_get_phrase(status) + "\r\n";
  if (aAnswer.mCloseConnection) {
    text += "Connection: close\r\n";
  }
  text += "Content-Type: " + aAnswer.mContentType +
          "\r\nContent-Length: " + std::to_string(aAnswer.mBody.size()) +
          "\r\n";
  if (aAnswer.mRetryAfterMs > 0) {
    text +=
      "Retry-After: " + std::to_string(aAnswer.RetryAfterSeconds()) + "\r\n";
  }
  return text + "\r\n" + aAnswer.mBody;
}

} // namespace cactusmast
