// The entry as a process: entry_node on the main loop, with the HTTP API for
// callers and operators.

#ifndef SHELL_ENTRY_DAEMON_H_
#define SHELL_ENTRY_DAEMON_H_

#include <map>
#include <memory>

#include "cactusmast/entry_node.h"
#include "cactusmast/settings.h"
#include "shell/product_daemon.h"
#include "shell/table_client.h"

namespace cactusmast {

// Serves the HTTP API, and connects the entry_node to its peers and the table.
class entry_daemon
  : public product_daemon
  , public caller_port
  , public random_source
{
public:
  // Errors: an address that cannot be listened on.
  static result<std::unique_ptr<entry_daemon>> Create(
    const entry_settings& aSettings);

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void Reply(caller_id aCaller, const wire::job_reply_msg& aReply) override;
  void OnChangeDone(const change_outcome& aOutcome) override;

  double NextUniform() override;

protected:
  void OnTick() override;
  void OnDrain() override;
  bool IsDrained() override;
  void OnAbort() override;

private:
  // How the answer to an open exchange is to be rendered.
  struct open_request
  {
    job_id mJob;
    bool mRaw = false; // from /v1/run/: the task's output alone
  };

  // A request for the audit trail takes two reads of the table: of accepted
  // changes, then of refused ones.
  struct audit_read
  {
    uint64_t mExchange = 0;
    std::string mName;   // of the profile or team; empty: all
    uint32_t mLimit = 0; // rows
    bool mReadingRefused = false;
    std::vector<table_row> mRows; // read so far
  };

  explicit entry_daemon(const entry_settings& aSettings);
  void Open();
  void OnTableReply(const table_reply& aReply);
  void OnRequest(http_exchange& aExchange);
  // Calls the handler of the request's path; throws failure.
  void Dispatch(http_exchange& aExchange);
  void OnJobs(http_exchange& aExchange);
  void OnJob(http_exchange& aExchange, const std::string& aId);
  void OnRun(http_exchange& aExchange, const std::string& aProfile);
  void OnProfile(http_exchange& aExchange, const std::string& aName);
  void OnTeam(http_exchange& aExchange, const std::string& aName);
  void OnAudit(http_exchange& aExchange, const std::string& aName);
  void SubmitChange(http_exchange& aExchange, config_change aChange);
  // Throws failure while this entry drains.
  void RequireNotDraining() const;
  // The team or operator whose token the request carries; throws failure when
  // there is none. Without team tokens in the settings, the team is that of the
  // X-Team header, or "default".
  std::string TeamOf(const http_exchange& aExchange) const;
  std::string OperatorOf(const http_exchange& aExchange) const;
  // The request's idempotency key; made up when it has none and aProfile
  // is idempotent, else throws failure.
  std::string IdempotencyKeyOf(const http_exchange& aExchange,
                               const profile& aProfile);
  // Throws failure when there is no such profile.
  const profile& ProfileOf(const std::string& aName) const;
  void Fail(uint64_t aExchange, const failure& aError);
  void FailAudit(const audit_read& aRead);
  http_answer Metrics() const;

  entry_settings mSettings;
  uint64_t mIncarnation;
  table_client mTable;
  std::unique_ptr<entry_node> mNode;
  std::map<uint64_t, open_request> mOpenRequests; // by exchange
  std::map<uint64_t, audit_read> mAuditReads;     // by table request
  uint64_t mNextKey = 1; // of generated keys and operations
};

} // namespace cactusmast

#endif // SHELL_ENTRY_DAEMON_H_
