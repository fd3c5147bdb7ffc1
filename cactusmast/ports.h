// Interfaces through which the decision core reaches the outside. A node is
// given messages and the time and calls these; a daemon implements them with
// sockets and HTTP, a test with fakes.

#ifndef CACTUSMAST_PORTS_H_
#define CACTUSMAST_PORTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactusmast/events.h"
#include "cactusmast/ids.h"
#include "cactusmast/message.h"

namespace cactusmast {

// Connections to other processes. A connection delivers in order until it goes
// down; it may also stop delivering without going down.
class peer_network
{
public:
  virtual ~peer_network() = default;
  // Ignored when aPeer is no longer connected.
  virtual void Send(peer_id aPeer, message aMessage) = 0;
  // Nothing more is delivered from aPeer, and OnPeerDown is not called.
  virtual void Close(peer_id aPeer) = 0;
  // Asks for a connection to aAddress; OnPeerUp follows if it succeeds.
  virtual void Connect(const std::string& aAddress) = 0;
};

// The row that holds only the version of the configuration, as a decimal
// number.
constexpr char kConfigVersionKey[] = "config/version";

struct table_row
{
  std::string mKey;
  std::string mValue;
  uint64_t mVersion = 0; // grows with each write of the row
};

struct table_write
{
  std::string mKey;
  std::string mValue;
  // The version that the row must have: 0 if it must not exist, nullopt for
  // any.
  std::optional<uint64_t> mExpected;
  bool mErase = false; // deletes the row; mValue is ignored
};

enum class table_status : uint8_t
{
  Ok,
  Conflict,    // an expected version did not match; nothing was written
  Unavailable, // no reply: a write may or may not have taken effect
  Count
};

struct table_reply
{
  uint64_t mRequest = 0; // as returned by Read or Commit
  table_status mStatus = table_status::Unavailable;
  std::vector<table_row> mRows;
};

// The transactional table that entries and guards use; coordinators and
// executors use metadata_store (table_watcher.h). Calls return a request number
// at once. The reply, including one of Unavailable, arrives through the node's
// OnTableReply.
class table_store
{
public:
  virtual ~table_store() = default;
  // Reads at most aLimit rows whose keys begin with aPrefix, in ascending order
  // of their keys, or in descending order if aNewestFirst.
  virtual uint64_t Read(const std::string& aPrefix,
                        uint32_t aLimit,
                        bool aNewestFirst) = 0;
  // Carries out all writes or none.
  virtual uint64_t Commit(std::vector<table_write> aWrites) = 0;
};

class random_source
{
public:
  virtual ~random_source() = default;
  // Uniform in [0, 1).
  virtual double NextUniform() = 0;
};

// The identity that a peer proved in the handshake.
struct peer_identity
{
  process_role mRole = process_role::Entry;
  std::string mName;
  uint64_t mIncarnation = 0;
  std::string mAddress; // of its listener
  std::string mDataCenter;
  std::string mRegion;
  uint32_t mShard = 0; // of a guard; 0 for other roles
};

} // namespace cactusmast

#endif // CACTUSMAST_PORTS_H_
