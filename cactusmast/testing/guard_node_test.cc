// A guard alone, with peers that send what a faulty, stale or hostile entry
// could send. For most safeguards, the same messages start the task when the
// safeguard is switched off; mMonotonicConfig and mCloseLinksAfterPause are
// tested by scenarios.

#include <doctest/doctest.h>

#include "cactusmast/guard_node.h"

namespace cactusmast::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct recording_network : peer_network
{
  void Send(peer_id aPeer, message aMessage) override
  {
    mSent.emplace_back(aPeer, std::move(aMessage));
  }
  void Close(peer_id aPeer) override { mClosed.push_back(aPeer); }
  void Connect(const std::string&) override {}

  std::vector<std::pair<peer_id, message>> mSent;
  std::vector<peer_id> mClosed;
};

struct unresponsive_table : table_store
{
  uint64_t Read(const std::string&, uint32_t, bool) override { return ++mLast; }
  uint64_t Commit(std::vector<table_write>) override { return ++mLast; }
  uint64_t mLast = 0;
};

struct counting_backend : backend_port
{
  void Start(const task_start&) override { mStarts++; }
  void Cancel(const task_ref&) override { mCancels++; }
  int mStarts = 0;
  int mCancels = 0;
};

struct no_events : event_sink
{
  void Emit(event_code, std::vector<event_field>) override {}
};

// One guard with an announced backend server of two slots, and two entries
// that may connect to it.
struct guard_fixture
{
  explicit guard_fixture(guard_safeguards aSafeguards = {},
                         guard_options aOptions = {})
    : mGuard(aOptions, mNetwork, mTable, mBackend, mEvents, aSafeguards)
  {
    mGuard.Tick(mNow);
    Announce();
    mGuard.OnPeerUp(1, Entry("entry-1", 11), mNow);
    mGuard.OnPeerUp(2, Entry("entry-2", 22), mNow);
  }

  static peer_identity Entry(const char* aName, uint64_t aIncarnation)
  {
    peer_identity identity;
    identity.mName = aName;
    identity.mIncarnation = aIncarnation;
    return identity;
  }

  void Announce()
  {
    backend_announcement server;
    server.mServices = { "ordering" };
    server.mSlots = 2;
    mGuard.Announce(server, mNow);
  }

  // Advances the time by aTime; the backend server renews its announcement and
  // the guard ticks every 100 ms.
  void Advance(duration aTime)
  {
    instant end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds(100);
      Announce();
      mGuard.Tick(mNow);
    }
  }

  void RequestLease(peer_id aPeer, uint64_t aEpoch)
  {
    wire::lease_request_msg request;
    request.epoch = aEpoch;
    request.sequence = ++mSequence;
    mGuard.OnMessage(aPeer, MakeMessage(std::move(request)), mNow);
  }

  void Dispatch(peer_id aPeer, uint64_t aEpoch, uint32_t aIndex)
  {
    wire::dispatch_msg dispatch;
    dispatch.epoch = aEpoch;
    dispatch.sequence = ++mSequence;
    wire::dispatch_item_msg item;
    item.ref = RefOf({ 1, 2 }, aIndex);
    item.service = "ordering";
    item.timeout_ms = 5000;
    dispatch.items.push_back(item);
    mGuard.OnMessage(aPeer, MakeMessage(std::move(dispatch)), mNow);
  }

  void Settle(peer_id aPeer, uint64_t aEpoch, uint32_t aIndex)
  {
    wire::settle_msg settle;
    settle.epoch = aEpoch;
    settle.refs.push_back(RefOf({ 1, 2 }, aIndex));
    mGuard.OnMessage(aPeer, MakeMessage(std::move(settle)), mNow);
  }

  void EndTask(uint32_t aIndex, const std::string& aOutput = "done")
  {
    mGuard.OnTaskEnded({ RefOf({ 1, 2 }, aIndex),
                         task_outcome::Succeeded,
                         run_state::Run,
                         task_reason::None,
                         aOutput },
                       mNow);
    mGuard.Tick(mNow);
  }

  // The reason of the latest refusal.
  task_reason LastRefusal() const
  {
    auto reason = task_reason::None;
    for (const auto& [peer, sent] : mNetwork.mSent) {
      if (sent.type != message_kind::results) {
        continue;
      }
      for (const auto& item : sent.Asresults()->items) {
        if (item.outcome == uint8_t(task_outcome::Refused)) {
          reason = task_reason(item.reason);
        }
      }
    }
    return reason;
  }

  instant mNow = seconds(100);
  recording_network mNetwork;
  unresponsive_table mTable;
  counting_backend mBackend;
  no_events mEvents;
  guard_node mGuard;
  uint64_t mSequence = 0;
};

} // namespace

TEST_CASE("a superseded owner's dispatch is refused")
{
  // An entry was replaced as the shard's owner, does not know it and continues
  // to dispatch. If its dispatch were accepted, the new owner could start the
  // same task elsewhere, and the task would run twice.
  for (bool enabled : { true, false }) {
    guard_safeguards safeguards;
    safeguards.mCheckEpoch = enabled;
    guard_fixture fixture(safeguards);
    fixture.RequestLease(1, 1);
    fixture.Advance(seconds(3));
    fixture.RequestLease(2, 2);
    // The guard closed the link when the lease expired; the old owner connects
    // again.
    fixture.mGuard.OnPeerUp(
      3, guard_fixture::Entry("entry-1", 11), fixture.mNow);
    fixture.Dispatch(3, 1, 0);
    CHECK(fixture.mBackend.mStarts == (enabled ? 0 : 1));
    if (enabled) {
      CHECK(fixture.LastRefusal() == task_reason::StaleLease);
    }
  }
}

TEST_CASE("a dispatch after the lease has expired is refused")
{
  // The owner's renewals were lost and its dispatch was delayed. By the guard's
  // clock the lease has expired, and another entry may be granted it next.
  for (bool enabled : { true, false }) {
    guard_safeguards safeguards;
    safeguards.mCheckExpiry = enabled;
    guard_fixture fixture(safeguards);
    fixture.RequestLease(1, 1);
    // No tick after the expiry: the dispatch is read first.
    fixture.mNow += milliseconds(2400);
    fixture.mGuard.Tick(fixture.mNow);
    fixture.Announce();
    fixture.mNow += milliseconds(200);
    fixture.Dispatch(1, 1, 0);
    CHECK(fixture.mBackend.mStarts == (enabled ? 0 : 1));
  }
}

TEST_CASE("a revoked task never starts from a delayed dispatch")
{
  // The owner asks about a dispatch that has not arrived, learns that it has
  // not, and dispatches the task elsewhere. The first dispatch arrives after
  // all.
  for (bool enabled : { true, false }) {
    guard_safeguards safeguards;
    safeguards.mTombstones = enabled;
    guard_fixture fixture(safeguards);
    fixture.RequestLease(1, 1);
    fixture.Settle(1, 1, 0);
    fixture.Dispatch(1, 1, 0);
    CHECK(fixture.mBackend.mStarts == (enabled ? 0 : 1));
    if (enabled) {
      CHECK(fixture.LastRefusal() == task_reason::Tombstone);
    }
  }
}

TEST_CASE("a dispatch that arrives twice starts once")
{
  for (bool enabled : { true, false }) {
    guard_safeguards safeguards;
    safeguards.mDeduplicate = enabled;
    guard_fixture fixture(safeguards);
    fixture.RequestLease(1, 1);
    fixture.Dispatch(1, 1, 0);
    fixture.Dispatch(1, 1, 0);
    CHECK(fixture.mBackend.mStarts == (enabled ? 1 : 2));
  }
}

TEST_CASE("nothing starts on a backend server that has withdrawn")
{
  for (bool enabled : { true, false }) {
    guard_safeguards safeguards;
    safeguards.mRefuseWithdrawn = enabled;
    guard_fixture fixture(safeguards);
    fixture.RequestLease(1, 1);
    fixture.mGuard.Withdraw(fixture.mNow);
    fixture.Dispatch(1, 1, 0);
    CHECK(fixture.mBackend.mStarts == (enabled ? 0 : 1));
  }
}

TEST_CASE("a lease is not granted to another entry while it is in force")
{
  guard_fixture fixture;
  fixture.RequestLease(1, 1);
  fixture.RequestLease(2, 2);
  CHECK(fixture.mGuard.Epoch() == 1);
  fixture.Dispatch(2, 2, 0);
  CHECK(fixture.mBackend.mStarts == 0);
  fixture.Advance(seconds(3));
  fixture.RequestLease(2, 2);
  fixture.Dispatch(2, 2, 0);
  CHECK(fixture.mBackend.mStarts == 1);
}

TEST_CASE("a guard that holds the maximum number of records refuses tasks "
          "and deletes none")
{
  // If a record were deleted early, its task could start again. New tasks are
  // therefore refused until old records expire.
  guard_options options;
  options.mMaxRecords = 2;
  options.mRetention = seconds(10);
  guard_fixture fixture({}, options);
  fixture.RequestLease(1, 1);
  fixture.Dispatch(1, 1, 0);
  fixture.EndTask(0);
  fixture.Dispatch(1, 1, 1);
  fixture.EndTask(1);
  fixture.Dispatch(1, 1, 2);
  CHECK(fixture.LastRefusal() == task_reason::Budget);
  for (int i = 0; i < 12; i++) {
    fixture.Advance(seconds(1));
    fixture.RequestLease(1, 1);
  }
  fixture.Dispatch(1, 1, 3);
  CHECK(fixture.mBackend.mStarts == 3);
}

TEST_CASE("outputs over the byte limit are deleted oldest first, once "
          "acknowledged")
{
  guard_options options;
  options.mMaxResultBytes = 100;
  guard_fixture fixture({}, options);
  fixture.RequestLease(1, 1);
  for (uint32_t i = 0; i < 4; i++) {
    fixture.Dispatch(1, 1, i);
    fixture.EndTask(i, std::string(60, 'x'));
    wire::result_ack_msg ack;
    ack.refs.push_back(RefOf({ 1, 2 }, i));
    fixture.mGuard.OnMessage(1, MakeMessage(std::move(ack)), fixture.mNow);
  }
  CHECK(fixture.mBackend.mStarts == 4);
  CHECK(fixture.mGuard.ResultBytes() <= 100);
  CHECK(fixture.mGuard.Records() == 4);
}

TEST_CASE("a task that exceeds its time limit is cancelled and frees its slot")
{
  guard_fixture fixture;
  fixture.RequestLease(1, 1);
  fixture.Dispatch(1, 1, 0);
  fixture.Advance(milliseconds(5200));
  CHECK(fixture.mBackend.mCancels == 1);
  CHECK(fixture.mGuard.Running() == 0);
}

} // namespace cactusmast::testing
