// The entry as a process: entry_node on the main loop, with its HTTP side
// towards callers and operators.

#ifndef SHELL_ENTRY_DAEMON_H_
#define SHELL_ENTRY_DAEMON_H_

#include <map>
#include <memory>

#include "cactusmast/entry_node.h"
#include "cactusmast/settings.h"
#include "shell/daemon.h"
#include "shell/http_server.h"
#include "shell/log_sink.h"
#include "shell/peer_transport.h"
#include "shell/table_client.h"

namespace cactusmast {

class entry_daemon
  : public daemon_loop
  , public transport_listener
  , public caller_port
  , public random_source
{
public:
  static result<std::unique_ptr<entry_daemon>> Create(
    const entry_settings& aSettings);

  void OnPeerUp(peer_id aPeer, const peer_identity& aIdentity) override;
  void OnPeerDown(peer_id aPeer) override;
  void OnPeerMessage(peer_id aPeer, const message& aMessage) override;

  void Reply(caller_id aCaller, const wire::job_reply_msg& aReply) override;
  void ChangeDone(const change_outcome& aOutcome) override;

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
    bool mRaw = false; // one-shot: the task's output alone
  };

  explicit entry_daemon(const entry_settings& aSettings);
  void Open();
  void OnTableReply(const table_reply& aReply);
  void OnRequest(http_exchange& aExchange);
  void Dispatch(http_exchange& aExchange);
  void OnJobs(http_exchange& aExchange);
  void OnJob(http_exchange& aExchange, const std::string& aId);
  void OnRun(http_exchange& aExchange, const std::string& aProfile);
  void OnProfile(http_exchange& aExchange, const std::string& aName);
  void OnTeam(http_exchange& aExchange, const std::string& aName);
  void OnAudit(http_exchange& aExchange, const std::string& aName);
  void SubmitChange(http_exchange& aExchange, config_change aChange);
  // The team whose token the request carries, and the operator's name.
  std::string TeamOf(const http_exchange& aExchange) const;
  std::string OperatorOf(const http_exchange& aExchange) const;
  std::string KeyOf(const http_exchange& aExchange, const profile& aProfile);
  const profile& ProfileOf(const std::string& aName) const;
  void Fail(uint64_t aExchange, const failure& aError);
  http_answer Metrics() const;

  entry_settings mSettings;
  log_sink mLog;
  uint64_t mIncarnation;
  std::unique_ptr<peer_transport> mTransport;
  table_client mTable;
  std::unique_ptr<http_server> mHttp;
  std::unique_ptr<entry_node> mNode;
  std::map<uint64_t, open_request> mOpen;
  // Reads of the audit trail by their table request; the exchange, the name
  // that is asked for, and the rows of the first of two reads.
  struct audit_read
  {
    uint64_t mExchange = 0;
    std::string mName;
    uint32_t mLimit = 0;
    bool mSecond = false;
    std::vector<table_row> mRows;
  };
  std::map<uint64_t, audit_read> mAuditReads;
  uint64_t mNextKey = 1;
};

} // namespace cactusmast

#endif // SHELL_ENTRY_DAEMON_H_
