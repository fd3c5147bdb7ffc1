// Stand-in for the platform's transactional table service, for demonstrations
// and tests. It keeps rows in memory, applies conditional transactions
// atomically and in order, and limits reads and writes to the platform's rates.
// POST /control injects faults: outages, slow replies, and replies that are
// lost after the write took effect.

#include <deque>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "shell/daemon.h"
#include "shell/http_server.h"

namespace {

using namespace cactusmast;
using nlohmann::json;

constexpr char kUsage[] = R"(platform-table: stand-in for the platform's table.

Usage:
  platform-table --listen=HOST:PORT [--writes=N] [--reads=N] [--sync-ms=N]

Options:
  --listen=HOST:PORT  Address to serve.
  --writes=N          Maximum commits a second [default: 400].
  --reads=N           Maximum reads a second [default: 2000].
  --sync-ms=N         Duration of a write to stable storage [default: 4].
)";

constexpr size_t kMaxBodyBytes = 64u << 20;

// A token bucket that holds the tokens of one second. Requests without a token
// are refused, as by the platform.
class rate_limit
{
public:
  explicit rate_limit(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  bool TryTake()
  {
    instant now = Now();
    mTokens += double((now - mLast).count()) / 1e6 * mPerSecond;
    mTokens = std::min(mTokens, mPerSecond);
    mLast = now;
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mPerSecond;
  double mTokens;
  instant mLast = Now();
};

struct stored_row
{
  std::string mValue;
  uint64_t mVersion = 0; // 0 stands for a row that does not exist
};

// Faults that POST /control injects; the defaults are no faults.
struct fault_settings
{
  bool mDown = false;         // every read and commit is refused
  uint32_t mDelayMs = 0;      // added to replies to reads and commits
  double mLostReplyShare = 0; // share of commits whose reply is lost
};

class table_standin : public daemon_loop
{
public:
  table_standin(double aWrites, double aReads, uint32_t aSyncMs)
    : mWriteLimit(aWrites)
    , mReadLimit(aReads)
    , mSyncMs(aSyncMs)
  {
  }

  void Open(const std::string& aListen)
  {
    mHttp =
      std::move(http_server::Create(
                  aListen,
                  kMaxBodyBytes,
                  [this](http_exchange& aExchange) { OnRequest(aExchange); },
                  [](uint64_t) {})
                  .Value());
  }

protected:
  void OnTick() override {}
  void OnDrain() override {}
  bool IsDrained() override { return true; }
  void OnAbort() override {}

private:
  void OnRequest(http_exchange& aExchange)
  {
    json body = json::parse(aExchange.Body(), nullptr, false);
    if (aExchange.Path() == "/counters") {
      AnswerNow(aExchange.Id(), 200, Counters());
    } else if (!body.is_object()) {
      AnswerNow(aExchange.Id(), 400, "{}");
    } else if (aExchange.Path() == "/control") {
      SetFaults(body);
      AnswerNow(aExchange.Id(), 200, "{}");
    } else if (mFaults.mDown) {
      AnswerNow(aExchange.Id(), 503, "{}");
    } else if (aExchange.Path() == "/v1/read") {
      OnRead(aExchange.Id(), body);
    } else if (aExchange.Path() == "/v1/commit") {
      OnCommit(aExchange.Id(), body);
    } else {
      AnswerNow(aExchange.Id(), 404, "{}");
    }
  }

  void SetFaults(const json& aBody)
  {
    mFaults.mDown = aBody.value("down", false);
    mFaults.mDelayMs = aBody.value("delay_ms", 0u);
    mFaults.mLostReplyShare = aBody.value("lose_reply", 0.0);
  }

  std::string Counters() const
  {
    json counters = { { "reads", mReadCount },
                      { "commits", mCommitCount },
                      { "rows_written", mRowsWritten },
                      { "limited", mRateLimited },
                      { "rows", mRows.size() } };
    return counters.dump();
  }

  void OnRead(uint64_t aId, const json& aBody)
  {
    if (!mReadLimit.TryTake()) {
      mRateLimited++;
      AnswerNow(aId, 429, "{}");
      return;
    }
    mReadCount++;
    std::string prefix = aBody.value("prefix", "");
    size_t limit = aBody.value("limit", size_t(100));
    bool newestFirst = aBody.value("newest_first", false);
    std::vector<std::string> keys;
    for (auto row = mRows.lower_bound(prefix);
         row != mRows.end() && row->first.rfind(prefix, 0) == 0;
         ++row) {
      keys.push_back(row->first);
    }
    if (newestFirst) {
      std::reverse(keys.begin(), keys.end());
    }
    json rows = json::array();
    for (size_t i = 0; i < keys.size() && i < limit; i++) {
      const stored_row& row = mRows[keys[i]];
      rows.push_back({ { "key", keys[i] },
                       { "value", row.mValue },
                       { "version", row.mVersion } });
    }
    AnswerLater(aId, 200, json({ { "rows", rows } }).dump(), 0);
  }

  void OnCommit(uint64_t aId, const json& aBody)
  {
    if (!mWriteLimit.TryTake()) {
      mRateLimited++;
      AnswerNow(aId, 429, "{}");
      return;
    }
    mCommitCount++;
    json writes = aBody.value("writes", json::array());
    for (const json& write : writes) {
      auto row = mRows.find(write.value("key", ""));
      uint64_t version = row == mRows.end() ? 0 : row->second.mVersion;
      if (write.contains("expected") &&
          write["expected"].get<uint64_t>() != version) {
        AnswerLater(aId, 409, "{}", mSyncMs);
        return;
      }
    }
    for (const json& write : writes) {
      Apply(write);
    }
    if (g_random_double() < mFaults.mLostReplyShare) {
      return; // the writes took effect, but no reply is sent
    }
    AnswerLater(aId, 200, "{}", mSyncMs);
  }

  void Apply(const json& aWrite)
  {
    std::string key = aWrite.value("key", "");
    mRowsWritten++;
    if (aWrite.value("erase", false)) {
      mRows.erase(key);
      return;
    }
    stored_row& row = mRows[key];
    row.mValue = aWrite.value("value", "");
    row.mVersion = ++mLastVersion;
  }

  void AnswerNow(uint64_t aId, int aStatus, const std::string& aBody)
  {
    mHttp->Answer(aId, { aStatus, aBody });
  }

  void AnswerLater(uint64_t aId,
                   int aStatus,
                   const std::string& aBody,
                   uint32_t aMs)
  {
    uint32_t delay = aMs + mFaults.mDelayMs;
    if (delay == 0) {
      AnswerNow(aId, aStatus, aBody);
      return;
    }
    struct delayed_reply
    {
      table_standin* mSelf;
      uint64_t mId;
      http_answer mAnswer;
    };
    auto* delayed = new delayed_reply{ this, aId, { aStatus, aBody } };
    g_timeout_add(
      delay,
      [](gpointer aData) -> gboolean {
        std::unique_ptr<delayed_reply> delayed(
          static_cast<delayed_reply*>(aData));
        delayed->mSelf->mHttp->Answer(delayed->mId, delayed->mAnswer);
        return G_SOURCE_REMOVE;
      },
      delayed);
  }

  rate_limit mWriteLimit;
  rate_limit mReadLimit;
  uint32_t mSyncMs;
  fault_settings mFaults;
  std::unique_ptr<http_server> mHttp;
  std::map<std::string, stored_row> mRows;
  uint64_t mLastVersion = 0;
  uint64_t mReadCount = 0;
  uint64_t mCommitCount = 0;
  uint64_t mRowsWritten = 0;
  uint64_t mRateLimited = 0; // requests refused by the rate limits
};

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "");
  try {
    table_standin standin(double(arguments["--writes"].asLong()),
                          double(arguments["--reads"].asLong()),
                          uint32_t(arguments["--sync-ms"].asLong()));
    standin.Open(arguments["--listen"].asString());
    return standin.Run(1000);
  } catch (const failure& error) {
    std::cerr << error.Step() << ": " << error.what() << "\n";
    return 2;
  }
}
