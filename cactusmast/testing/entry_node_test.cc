// An entry alone, with peers whose configuration is older.

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

#include "cactusmast/entry_node.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

struct recording_network : peer_network
{
  void Send(peer_id aPeer, message aMessage) override
  {
    mSent.emplace_back(aPeer, std::move(aMessage));
  }
  void Close(peer_id) override {}
  void Connect(const std::string& aAddress) override
  {
    mConnects.push_back(aAddress);
  }

  // Configurations sent to aPeer.
  int64_t Pushes(peer_id aPeer) const
  {
    return std::count_if(mSent.begin(), mSent.end(), [&](const auto& aSent) {
      return aSent.first == aPeer &&
             aSent.second.type == message_kind::config_push;
    });
  }

  std::vector<std::pair<peer_id, message>> mSent;
  std::vector<std::string> mConnects;
};

// A table that is unavailable.
struct absent_table : table_store
{
  uint64_t Read(const std::string& aPrefix, uint32_t, bool) override
  {
    return mRequests[aPrefix] = ++mLast;
  }
  uint64_t Commit(std::vector<table_write>) override { return ++mLast; }
  uint64_t mLast = 0;
  std::map<std::string, uint64_t> mRequests; // the last read of each prefix
};

struct no_callers : caller_port
{
  void Reply(caller_id, const wire::job_reply_msg&) override {}
  void OnChangeDone(const change_outcome&) override {}
};

struct no_events : event_sink
{
  void Emit(event_code, std::vector<event_field>) override {}
};

struct fixed_random : random_source
{
  double NextUniform() override { return 0.5; }
};

// An entry with configuration version 7, which it got from peer 1.
struct entry_fixture
{
  entry_fixture()
    : mEntry(Options(), mNetwork, mTable, mCallers, mEvents, mRandom, mNow)
  {
    mEntry.Tick(mNow, 0);
    for (uint64_t request = 1; request <= mTable.mLast; request++) {
      table_reply reply;
      reply.mRequest = request;
      mEntry.OnTableReply(reply, mNow);
    }
    Connect(1);
    deployment_config config;
    config.mVersion = 7;
    wire::config_push_msg push;
    push.version = 7;
    push.document = config.Serialize();
    mEntry.OnMessage(1, MakeMessage(std::move(push)), mNow);
  }

  static entry_options Options()
  {
    entry_options options;
    options.mName = "entry-0";
    return options;
  }

  void Connect(peer_id aPeer)
  {
    peer_identity identity;
    identity.mName = "entry-" + std::to_string(aPeer);
    identity.mIncarnation = aPeer;
    mEntry.OnPeerUp(aPeer, identity, mNow);
  }

  // A second passes, and aPeer reports that it has aVersion in force.
  void Report(peer_id aPeer, uint64_t aVersion)
  {
    mNow += seconds(1);
    wire::peer_status_msg status;
    status.config_version = aVersion;
    mEntry.OnMessage(aPeer, MakeMessage(std::move(status)), mNow);
    mEntry.Tick(mNow, 0);
  }

  // The table replies to the read of aPrefix with the rows.
  void ReplyToRead(const std::string& aPrefix, std::vector<table_row> aRows)
  {
    table_reply reply;
    reply.mRequest = mTable.mRequests.at(aPrefix);
    reply.mStatus = table_status::Ok;
    reply.mRows = std::move(aRows);
    mEntry.OnTableReply(reply, mNow);
  }

  instant mNow = seconds(100);
  recording_network mNetwork;
  absent_table mTable;
  no_callers mCallers;
  no_events mEvents;
  fixed_random mRandom;
  entry_node mEntry;
};

} // namespace

TEST_CASE(
  "a configuration that is on its way is not sent again with each status")
{
  // Guards against a connection that fills up with copies of a document which
  // takes longer than a second to arrive.
  entry_fixture entry;
  entry.Connect(2);
  for (int second = 0; second < 4; second++) {
    entry.Report(2, 3);
  }
  CHECK(entry.mNetwork.Pushes(2) == 1);
  entry.Report(2, 7);
  CHECK(entry.mNetwork.Pushes(2) == 1);
}

TEST_CASE("odd rows of entries and workers end nothing; the others are used")
{
  // Guards against an entry that ends each time it reads the table.
  const std::string nested = std::string(100000, '[');
  const char* const kOdd[] = { "",
                               "7",
                               "[]",
                               R"({"name":"e","address":7,"renewed":0})",
                               R"({"name":"e","address":"a","renewed":"x"})",
                               R"({"name":"e","address":"a","renewed":1e300})",
                               nested.c_str() };
  entry_fixture entry;
  entry.mNow += seconds(6);
  entry.mEntry.Tick(entry.mNow, 0); // reads the table
  std::vector<table_row> rows;
  for (const char* odd : kOdd) {
    rows.push_back({ "entry/" + std::to_string(rows.size()), odd, 1 });
  }
  std::string good = R"({"name":"entry-9","address":"10.0.0.9:7","renewed":0})";
  rows.push_back({ "entry/9", good, 1 });
  CHECK_NOTHROW(entry.ReplyToRead("entry/", rows));
  entry.mNow += seconds(2);
  entry.mEntry.Tick(entry.mNow, 0);
  CHECK(entry.mNetwork.mConnects == std::vector<std::string>{ "10.0.0.9:7" });

  const char* const kOddWorkers[] = {
    R"([7])",
    R"([{"name":7}])",
    R"([{"name":"w","incarnation":"x","last":0}])",
    R"([{"name":"w","incarnation":1,"last":-1e300}])",
    nested.c_str()
  };
  rows.clear();
  for (const char* odd : kOddWorkers) {
    rows.push_back({ "roster/" + std::to_string(rows.size()), odd, 1 });
  }
  CHECK_NOTHROW(entry.ReplyToRead("roster/", rows));
}

TEST_CASE("a configuration that didn't take effect is sent again after a while")
{
  entry_fixture entry;
  entry.Connect(2);
  for (int second = 0; second < 12; second++) {
    entry.Report(2, 3);
  }
  CHECK(entry.mNetwork.Pushes(2) >= 2);
  CHECK(entry.mNetwork.Pushes(2) <= 3);
}

} // namespace cactusmast::testing
