// Shares of routes in scarce processors, without an entry.

#include <doctest/doctest.h>

#include "cactusmast/route_shares.h"

namespace cactusmast::testing {

TEST_CASE("a surge of a low-priority route leaves the others their demand")
{
  // Guards against a surge that takes the capacity of more urgent routes.
  auto limits = AllocateShares(
    1000,
    { { "long", 2, 900 }, { "urgent", 0, 200 }, { "middle", 1, 500 } },
    0.1);
  CHECK(limits == std::map<std::string, double>{ { "long", 300 } });
}

TEST_CASE("the guarantee holds for the route of lowest priority")
{
  // Guards against a route that gets nothing while urgent ones are overloaded.
  auto limits =
    AllocateShares(1000, { { "urgent", 0, 2000 }, { "long", 2, 500 } }, 0.15);
  CHECK(limits["urgent"] == doctest::Approx(850));
  CHECK(limits["long"] == doctest::Approx(150));
  // A route that asks for less than its guarantee has no limit.
  limits =
    AllocateShares(1000, { { "urgent", 0, 2000 }, { "long", 2, 50 } }, 0.15);
  CHECK(limits.count("long") == 0);
  CHECK(limits["urgent"] == doctest::Approx(950));
}

TEST_CASE("guarantees of many routes do not exceed the capacity")
{
  // Guards against limits that add up to more than there is.
  std::vector<route_claim> claims;
  for (uint32_t i = 0; i < 8; i++) {
    claims.push_back({ std::to_string(i), i, 400 });
  }
  double sum = 0;
  for (const auto& [route, millis] : AllocateShares(1000, claims, 0.3)) {
    sum += millis;
  }
  CHECK(sum == doctest::Approx(1000));
}

TEST_CASE("routes of one priority divide what is left by max-min fairness")
{
  // Guards against a share in proportion to demand, which rewards a surge.
  auto limits = AllocateShares(1000,
                               { { "urgent", 0, 100 },
                                 { "small", 1, 200 },
                                 { "large", 1, 500 },
                                 { "huge", 1, 5000 } },
                               0);
  CHECK(limits.size() == 2);
  CHECK(limits["large"] == doctest::Approx(350));
  CHECK(limits["huge"] == doctest::Approx(350));
}

TEST_CASE("no route is limited below nine tenths of the capacity or without "
          "demand")
{
  // Guards against jobs refused although everything fits.
  CHECK(AllocateShares(1000, { { "a", 0, 500 }, { "b", 1, 399 } }, 0).empty());
  CHECK(AllocateShares(1000, { { "a", 0, 500 }, { "b", 1, 500 } }, 0).empty());
  CHECK(AllocateShares(1000, {}, 0.1).empty());
  CHECK(AllocateShares(1000, { { "a", 0, 0 } }, 0.1).empty());
  CHECK(AllocateShares(0, { { "a", 0, 500 } }, 0.1).empty());
}

TEST_CASE("an entry's limit moves by a quarter of the difference, to its part")
{
  // Guards against limits that jump with each error in the measured demand.
  smoothed_limit limit;
  limit.Update({ 8000, 0.5, 6000, 8000, 1000 });
  CHECK(limit.Millis() == doctest::Approx(7000));
  limit.Update({ 8000, 0.5, 6000, 8000, 1000 });
  CHECK(limit.Millis() == doctest::Approx(6250));
  // It is lifted in steps too.
  limit.Update({ std::nullopt, 0.5, 20000, 6000, 1000 });
  CHECK(limit.IsLimited());
  limit.Update({ std::nullopt, 0.5, 20000, 6000, 1000 });
  CHECK_FALSE(limit.IsLimited());
}

TEST_CASE("an entry's limit is at least one task")
{
  // Guards against an entry of small demand that serves nothing of a route.
  smoothed_limit limit;
  for (int i = 0; i < 40; i++) {
    limit.Update({ 1000, 0.01, 10, 0, 2400 });
  }
  CHECK(limit.Millis() == doctest::Approx(2400));
  route_share share{ "s", 2, limit, 0, 0, 2400, 0 };
  CHECK_FALSE(share.IsUsedUp());
  share.mUsedMillis = 2400;
  CHECK(share.IsUsedUp());
}

TEST_CASE("Retry-After is from one to five seconds, spread by a tenth")
{
  // Guards against refused callers that come back at the same moment.
  using std::chrono::milliseconds;
  CHECK(OverShareRetryAfter(20, 0) == milliseconds(1000));
  CHECK(OverShareRetryAfter(2000, 0.5) == milliseconds(2100));
  CHECK(OverShareRetryAfter(90000, 1) == milliseconds(5500));
}

} // namespace cactusmast::testing
