// Copies of the configuration between entries, without a network.

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "cactusmast/config_exchange.h"

namespace cactusmast::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = seconds(100);
constexpr size_t kLong = 800'000; // bytes; 4,200 routes

class seeded_random : public random_source
{
public:
  explicit seeded_random(uint32_t aSeed)
    : mGenerator(aSeed)
  {
  }
  double NextUniform() override
  {
    return std::uniform_real_distribution<>(0, 1)(mGenerator);
  }

private:
  std::mt19937 mGenerator;
};

// A document "VERSION:" with some filling.
std::string
Document(uint64_t aVersion, size_t aBytes = 10)
{
  std::string text = std::to_string(aVersion) + ":";
  return text + std::string(aBytes, char('a' + aVersion % 26));
}

config_holder
Holder(const std::string& aText = "")
{
  config_holder holder([](const std::string& aDocument) {
    route_config decoded;
    decoded.mVersion = std::stoull(aDocument);
    return result<route_config>(decoded);
  });
  if (!aText.empty()) {
    REQUIRE(holder.Update(aText).Ok());
  }
  return holder;
}

// Requests and receives parts until the document is complete. The version at
// the provider changes to aNext after the first part, unless that is empty.
std::optional<std::string>
Fetch(config_fetcher& aFetcher,
      config_holder& aSource,
      uint64_t aInForce,
      const std::string& aNext = "")
{
  config_provider provider;
  instant now = kStart;
  for (int i = 0; i < 100; i++) {
    auto next = aFetcher.NextRequest(aInForce, now);
    now += milliseconds(50);
    if (!next) {
      continue;
    }
    auto part = provider.Reply(1, next->mMessage, aSource);
    REQUIRE(part);
    if (auto text = aFetcher.OnPart(*part)) {
      return text;
    }
    if (!aNext.empty()) {
      aSource.Update(aNext);
    }
  }
  return std::nullopt;
}

// A thin link on which what is sent to an entry waits its turn.
struct thin_link
{
  static constexpr double kBytesPerMicrosecond = 25e6 / 8 / 1e6;

  // Returns when the last byte arrives.
  instant Send(size_t aBytes, instant aNow)
  {
    mFreeAt = std::max(mFreeAt, aNow) +
              microseconds(int64_t(double(aBytes) / kBytesPerMicrosecond));
    mBytes += aBytes;
    return mFreeAt + milliseconds(2);
  }

  instant mFreeAt{};
  size_t mBytes = 0;
};

} // namespace

TEST_CASE("a configuration is put together from its parts")
{
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  config_holder source = Holder(Document(7, kLong));
  CHECK(Fetch(fetcher, source, 3) == Document(7, kLong));
}

TEST_CASE("an entry asks for nothing while it has the newest version")
{
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  fetcher.Announce(2, 5);
  CHECK(fetcher.NewestAnnounced() == 7);
  for (int ms = 0; ms < 5000; ms += 20) {
    CHECK(!fetcher.NextRequest(7, kStart + milliseconds(ms)));
  }
}

TEST_CASE("the store is given time to deliver, but not to an entry without any "
          "configuration")
{
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  CHECK(!fetcher.NextRequest(6, kStart));
  CHECK(!fetcher.NextRequest(6, kStart + milliseconds(250)));
  CHECK(fetcher.NextRequest(6, kStart + milliseconds(300)));
  config_fetcher fresh(random);
  fresh.Announce(1, 7);
  CHECK(fresh.NextRequest(0, kStart));
}

TEST_CASE("one part at a time is requested, however many entries have it")
{
  // Guards against a thin link that the copies of many entries fill.
  seeded_random random(1);
  config_fetcher fetcher(random);
  for (peer_id peer = 1; peer <= 35; peer++) {
    fetcher.Announce(peer, 7);
  }
  int requests = 0;
  for (int ms = 0; ms < 800; ms += 10) {
    requests += fetcher.NextRequest(6, kStart + milliseconds(ms)) ? 1 : 0;
  }
  CHECK(requests == 1);
}

TEST_CASE("another entry continues where one that stopped replying left off")
{
  // Guards against transfers that start from their first byte each time.
  seeded_random random(1);
  config_fetcher fetcher(random);
  config_provider provider;
  config_holder source = Holder(Document(7, kLong));
  fetcher.Announce(1, 7);
  auto first = fetcher.NextRequest(0, kStart);
  REQUIRE(first);
  CHECK(!fetcher.OnPart(*provider.Reply(1, first->mMessage, source)));
  REQUIRE(fetcher.NextRequest(0, kStart)); // not replied to
  fetcher.Announce(2, 7);
  CHECK(!fetcher.NextRequest(0, kStart + milliseconds(400)));
  auto next = fetcher.NextRequest(0, kStart + milliseconds(500));
  REQUIRE(next);
  CHECK(next->mPeer == 2);
  CHECK(next->mMessage.offset == kConfigPartBytes);
  fetcher.Remove(2);
  next = fetcher.NextRequest(0, kStart + milliseconds(510));
  REQUIRE(next);
  CHECK(next->mPeer == 1);
  CHECK(next->mMessage.offset == kConfigPartBytes);
}

TEST_CASE("a transfer ends although newer versions come meanwhile")
{
  // Guards against a series of changes none of which ever arrives.
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  config_holder source = Holder(Document(7, kLong));
  CHECK(Fetch(fetcher, source, 3, Document(8, kLong)) == Document(7, kLong));
}

TEST_CASE("a provider that has only a newer version sends that one whole")
{
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  config_holder source = Holder(Document(9, kLong));
  CHECK(Fetch(fetcher, source, 3) == Document(9, kLong));
}

TEST_CASE("late and repeated parts are ignored")
{
  seeded_random random(1);
  config_fetcher fetcher(random);
  config_provider provider;
  config_holder source = Holder(Document(7, kLong));
  wire::config_request_msg request;
  request.version = 7;
  wire::config_part_msg part = *provider.Reply(1, request, source);
  CHECK(!fetcher.OnPart(part)); // not asked for
  fetcher.Announce(1, 7);
  REQUIRE(fetcher.NextRequest(0, kStart));
  CHECK(!fetcher.OnPart(part));
  CHECK(!fetcher.OnPart(part));
  auto next = fetcher.NextRequest(0, kStart);
  REQUIRE(next);
  CHECK(next->mMessage.offset == kConfigPartBytes);
}

TEST_CASE("a version that cannot be read is not requested again")
{
  // Guards against an older release that copies a newer document without end.
  seeded_random random(1);
  config_fetcher fetcher(random);
  fetcher.Announce(1, 7);
  REQUIRE(fetcher.NextRequest(0, kStart));
  fetcher.Reject(7);
  CHECK(!fetcher.NextRequest(0, kStart + seconds(1)));
  fetcher.Announce(1, 8);
  CHECK(fetcher.NextRequest(0, kStart + seconds(2)));
}

TEST_CASE("a request for a version that is not in force yet gets no reply")
{
  config_provider provider;
  wire::config_request_msg request;
  request.version = 8;
  CHECK(!provider.Reply(1, request, Holder(Document(7))));
  CHECK(!provider.Reply(1, request, Holder()));
}

TEST_CASE(
  "an entry on a thin link gets a long configuration once, in time, and "
  "its heartbeats are not held up")
{
  // Guards against entries that fill each other's links with copies and then
  // take each other for lost.
  constexpr milliseconds kInForceWithin(2000); // the strictest configMs
  constexpr milliseconds kMaxHeartbeatDelay(300);
  for (uint32_t seed = 0; seed < 50; seed++) {
    seeded_random random(seed);
    config_fetcher fetcher(random);
    config_provider provider;
    config_holder source = Holder(Document(7, kLong));
    config_holder own = Holder(Document(6));
    thin_link link;
    const auto peers = peer_id(1 + seed % 34);
    std::deque<std::pair<instant, wire::config_part_msg>> arriving;
    instant now = kStart;
    for (; own.Version() < 7 && now < kStart + seconds(10);
         now += milliseconds(1)) {
      for (peer_id peer = 1; peer <= peers; peer++) {
        // Each entry sends a heartbeat each 300 ms.
        if (((now - kStart) / milliseconds(1) + peer * 37) % 300 == 0) {
          instant arrival = link.Send(60, now);
          CHECK(arrival - now < kMaxHeartbeatDelay);
          fetcher.Announce(peer, 7);
        }
      }
      while (!arriving.empty() && arriving.front().first <= now) {
        if (auto text = fetcher.OnPart(arriving.front().second)) {
          own.Update(*text);
        }
        arriving.pop_front();
      }
      auto next = fetcher.NextRequest(own.Version(), now);
      // One part in fifty is lost with its connection.
      if (next && random.NextUniform() > 0.02) {
        auto part = provider.Reply(1, next->mMessage, source);
        REQUIRE(part);
        arriving.push_back({ link.Send(part->text.size(), now), *part });
      }
    }
    CHECK_MESSAGE(now - kStart < kInForceWithin, seed);
    CHECK_MESSAGE(link.mBytes < kLong * 3 / 2, seed);
  }
}

} // namespace cactusmast::testing
