// Runs tasks on the backend server of a guard, over loopback HTTP
// (docs/API.md, "Backend servers").

#ifndef SHELL_BACKEND_CLIENT_H_
#define SHELL_BACKEND_CLIENT_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "cactusmast/guard_node.h"
#include "shell/http_client.h"

namespace cactusmast {

class backend_client : public backend_port
{
public:
  using callback = std::function<void(const task_completion&)>;

  // aOnCompletion is called once for each started task, from the main loop.
  explicit backend_client(callback aOnCompletion);

  // Sets the URL, without a path, of the backend server for later requests.
  void SetUrl(const std::string& aUrl) { mUrl = aUrl; }

  void Start(const task_start& aTask) override;
  void Cancel(const task_ref& aRef) override;

private:
  static task_completion Decode(const task_ref& aRef,
                                const http_response& aResponse);

  std::string mUrl;
  http_client mClient;
  callback mOnCompletion;
  std::unordered_map<task_ref,
                     gobject_ptr<GCancellable>,
                     task_ref_hash,
                     task_ref_equal>
    mRunning;
};

} // namespace cactusmast

#endif // SHELL_BACKEND_CLIENT_H_
