// An answer as the bytes of an HTTP response, for a connection to which libsoup
// does not write it.

#ifndef SHELL_RENDERED_ANSWER_H_
#define SHELL_RENDERED_ANSWER_H_

#include <string>

#include "shell/http_server.h"

namespace cactusmast {

std::string
RenderAnswer(const http_answer& aAnswer);

} // namespace cactusmast

#endif // SHELL_RENDERED_ANSWER_H_
