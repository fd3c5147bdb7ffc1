// Everything the decision core needs from outside, as abstract interfaces.
// A node takes messages and time in and calls these; a daemon implements them
// with sockets and HTTP, a test with fakes.

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

// Connections to other processes. A connection either delivers in order or
// goes down; it may also fall silent without going down.
class peer_network
{
public:
  virtual ~peer_network() = default;
  // Ignored when aPeer is no longer connected.
  virtual void Send(peer_id aPeer, message aMessage) = 0;
  // The node sees no more of aPeer; OnPeerDown is not called.
  virtual void Close(peer_id aPeer) = 0;
  // Asks for a connection to aAddress; OnPeerUp follows if it succeeds.
  virtual void Connect(const std::string& aAddress) = 0;
};

// Row that holds the version of the configuration alone.
constexpr char kConfigVersionKey[] = "config/version";

struct table_row
{
  std::string mKey;
  std::string mValue;
  uint64_t mVersion = 0;
};

struct table_write
{
  std::string mKey;
  std::string mValue;
  // The version the row must have: 0 for "must not exist", none for any.
  std::optional<uint64_t> mExpected;
  bool mErase = false;
};

enum class table_status : uint8_t
{
  Ok,
  Conflict,    // a condition did not hold; nothing was written
  Unavailable, // no answer: a write may or may not have taken effect
  Count
};

struct table_reply
{
  uint64_t mRequest = 0;
  table_status mStatus = table_status::Unavailable;
  std::vector<table_row> mRows;
};

// The platform's transactional table. Calls return a request number at once;
// the reply comes through the node's OnTableReply, Unavailable included.
class table_store
{
public:
  virtual ~table_store() = default;
  // At most aLimit rows whose keys begin with aPrefix, in the order of their
  // keys or, newest first, in the reverse.
  virtual uint64_t Read(const std::string& aPrefix,
                        uint32_t aLimit,
                        bool aNewestFirst) = 0;
  // All writes or none.
  virtual uint64_t Commit(std::vector<table_write> aWrites) = 0;
};

class random_source
{
public:
  virtual ~random_source() = default;
  // Uniform in [0, 1).
  virtual double NextUniform() = 0;
};

// Who a peer proved to be when it connected.
struct peer_identity
{
  process_role mRole = process_role::Entry;
  std::string mName;
  uint64_t mIncarnation = 0;
  std::string mAddress;
  std::string mDataCenter;
  std::string mRegion;
  uint32_t mShard = 0;
};

} // namespace cactusmast

#endif // CACTUSMAST_PORTS_H_
