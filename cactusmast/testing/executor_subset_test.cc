// Tests which executors entries take into their subsets, and how the size of a
// subset follows its free capacity.

#include <doctest/doctest.h>

#include <algorithm>

#include "cactusmast/executor_subset.h"
#include "cactusmast/testing/sized_world.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

constexpr double kAmpleFreeShare = 0.7;
constexpr double kLowFreeShare = 0.05;

std::string
ExecutorName(peer_id aPeer)
{
  return "side-" + std::to_string(aPeer);
}

// A subset with executors 1 to aCount, all ready, spread over aDataCenters.
executor_subset
MakeSubset(const std::string& aEntryName, size_t aCount, size_t aDataCenters)
{
  executor_subset subset(aEntryName, "dc-0");
  for (peer_id peer = 1; peer <= aCount; peer++) {
    std::string dataCenter = "dc-" + std::to_string(peer % aDataCenters);
    subset.Add(peer, ExecutorName(peer), dataCenter);
    subset.SetUsable(peer, true);
  }
  return subset;
}

std::set<peer_id>
Members(const executor_subset& aSubset, size_t aCount)
{
  std::set<peer_id> members;
  for (peer_id peer = 1; peer <= aCount; peer++) {
    if (aSubset.Has(peer)) {
      members.insert(peer);
    }
  }
  return members;
}

} // namespace

TEST_CASE(
  "all executors are members if there are fewer than the size of the subset")
{
  executor_subset subset = MakeSubset("entry", 11, 4);
  CHECK(subset.Update().mJoined.size() == 11);
  CHECK(Members(subset, 11).size() == 11);
}

TEST_CASE("a subset takes executors of its own data centre first")
{
  executor_subset subset = MakeSubset("entry", 160, 8);
  subset.Update();
  std::set<peer_id> members = Members(subset, 160);
  CHECK(members.size() == kMinSubsetSize);
  for (peer_id nearPeer = 8; nearPeer <= 160; nearPeer += 8) {
    CHECK(members.count(nearPeer) == 1);
  }
}

TEST_CASE("the subsets of many entries cover the fleet evenly")
{
  std::map<peer_id, size_t> uses;
  constexpr size_t kEntries = 40;
  constexpr size_t kExecutors = 160;
  for (size_t i = 0; i < kEntries; i++) {
    executor_subset subset =
      MakeSubset("entry-" + std::to_string(i), kExecutors, 1);
    subset.Update();
    for (peer_id peer : Members(subset, kExecutors)) {
      uses[peer]++;
    }
  }
  CHECK(uses.size() == kExecutors);
  for (const auto& [peer, count] : uses) {
    CHECK(count <= 3 * kEntries * kMinSubsetSize / kExecutors);
  }
}

TEST_CASE("a lost member is replaced by exactly one executor")
{
  executor_subset subset = MakeSubset("entry", 100, 1);
  subset.Update();
  std::set<peer_id> before = Members(subset, 100);
  subset.Remove(*before.begin());
  executor_subset::change change = subset.Update();
  CHECK(change.mJoined.size() == 1);
  CHECK(change.mLeft.empty());
  CHECK(Members(subset, 100).size() == kMinSubsetSize);
}

TEST_CASE("a member that becomes unusable is replaced by another executor")
{
  executor_subset subset = MakeSubset("entry", 100, 1);
  subset.Update();
  peer_id unusable = *Members(subset, 100).begin();
  subset.SetUsable(unusable, false);
  executor_subset::change change = subset.Update();
  CHECK(change.mLeft == std::vector<peer_id>{ unusable });
  CHECK(change.mJoined.size() == 1);
}

TEST_CASE("a subset grows while its free capacity is scarce, up to the maximum")
{
  executor_subset subset = MakeSubset("entry", 500, 1);
  instant now = seconds(1);
  subset.Update();
  for (int i = 0; i < 100; i++) {
    now += milliseconds(20);
    subset.AdjustSize(kLowFreeShare, false, now);
    subset.Update();
  }
  CHECK(Members(subset, 500).size() == kMaxSubsetSize);
}

TEST_CASE("a subset with fewer members than its size does not grow")
{
  executor_subset subset = MakeSubset("entry", 0, 1);
  instant now = seconds(1);
  for (peer_id peer = 1; peer < kMinSubsetSize; peer++) {
    subset.Add(peer, ExecutorName(peer), "dc-0");
    subset.SetUsable(peer, true);
    subset.Update();
    now += milliseconds(20);
    CHECK(!subset.AdjustSize(0, true, now));
  }
  CHECK(subset.Size() == kMinSubsetSize);
}

TEST_CASE("a subset shrinks only after seconds of ample free capacity")
{
  executor_subset subset = MakeSubset("entry", 500, 1);
  subset.Update();
  instant now = seconds(1);
  subset.AdjustSize(kLowFreeShare, false, now);
  size_t grownSize = subset.Size();
  CHECK(grownSize > kMinSubsetSize);
  subset.AdjustSize(kAmpleFreeShare, false, now + seconds(2));
  CHECK(subset.Size() == grownSize);
  for (int i = 0; i < 60; i++) {
    subset.AdjustSize(kAmpleFreeShare, false, now + seconds(6 + i));
  }
  CHECK(subset.Size() == kMinSubsetSize);
}

TEST_CASE("after random changes the members are usable and as many as intended")
{
  std::mt19937 random(7);
  constexpr size_t kExecutors = 120;
  executor_subset subset = MakeSubset("entry", kExecutors, 3);

  std::set<peer_id> usable;
  for (peer_id peer = 1; peer <= kExecutors; peer++) {

    usable.insert(peer);
  }
  std::set<peer_id> reported;
  for (int step = 0; step < 2000; step++) {
    peer_id peer = 1 + random() % kExecutors;
    bool isUsable = random() % 3 > 0;
    subset.SetUsable(peer, isUsable);
    isUsable ? (void)usable.insert(peer) : (void)usable.erase(peer);
    executor_subset::change change = subset.Update();
    for (peer_id left : change.mLeft) {
      REQUIRE(reported.erase(left) == 1);
    }
    for (peer_id joined : change.mJoined) {
      REQUIRE(reported.insert(joined).second);
    }
    std::set<peer_id> members = Members(subset, kExecutors);
    REQUIRE(reported == members);
    REQUIRE(members.size() == std::min(usable.size(), kMinSubsetSize));
    REQUIRE(std::includes(
      usable.begin(), usable.end(), members.begin(), members.end()));
  }
}

TEST_CASE("a subset whose executors are all lost is replaced and no job fails")
{
  // Guards against an entry that refuses jobs while executors outside its
  // subset have free capacity.
  constexpr size_t kServers = 60;
  sized_world world(1, kServers, 70);
  world.Run(milliseconds(200));
  for (size_t i = 0; i < kServers; i++) {
    if (world.Executor(i).SubscribedEntries() > 0) {
      world.KillExecutor(i, seconds(30));
    }
  }
  world.Run(milliseconds(100));
  for (int i = 0; i < 50; i++) {
    world.At(milliseconds(10 * i), [&world] { world.Submit(0, 4, 60); });
  }
  world.Run(seconds(2));
  CHECK(world.CountEnding(job_ending::Completed) == 50);
  CHECK(world.CountInTime(milliseconds(156)) == 50);
  CHECK(world.Violations().empty());
}

TEST_CASE("work beyond the capacity of a subset reaches executors outside it")
{
  // Guards against idle backend servers while one entry gets most of the
  // callers and its subset is full.
  constexpr size_t kServers = 60;
  sized_world world(1, kServers, 71);
  world.Run(milliseconds(200));
  for (int i = 0; i < 12; i++) {
    world.At(milliseconds(50 * i), [&world] { world.Submit(0, 40, 1000); });
  }
  world.Run(seconds(4));
  CHECK(world.CountEnding(job_ending::Completed) == 12);
  CHECK(world.CountInTime(milliseconds(1660)) == 12);
  CHECK(world.Violations().empty());
}

TEST_CASE(
  "an idle connection after a job is not taken for the loss of its executor")
{
  // Guards against closing an idle connection for a timeout, although neither
  // side has to send anything over it; the tasks of the next job would be lost
  // with it.
  sized_world world(2, 4, 73);
  world.Submit(0, 4, 60);
  world.Run(seconds(2));
  CHECK(world.ClosedLinks() == 0);
  CHECK(world.CountEnding(job_ending::Completed) == 1);
}

TEST_CASE("tasks dispatched over an idle connection that is lost run elsewhere")
{
  // Guards against dispatches over a dead connection. No reports are due over
  // an idle one, so only the missing reply to the dispatch shows that it is
  // dead.
  sized_world world(1, 2, 72);
  world.Run(seconds(2));
  world.Cut(0, 0, seconds(20));
  std::vector<uint64_t> jobs;
  for (int i = 0; i < 3; i++) {
    jobs.push_back(world.Submit(0, 4, 500, 5000));
  }
  world.Run(seconds(5));
  for (uint64_t job : jobs) {
    CHECK(world.LastSubmission(job).mEnding == job_ending::Completed);
  }
  CHECK(world.Violations().empty());
}

} // namespace cactusmast::testing
