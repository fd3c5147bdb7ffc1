// Surges and waves of load on a service with several routes, and failures of
// entries meanwhile.

#include <doctest/doctest.h>

#include "cactusmast/testing/sized_load.h"

namespace cactusmast::testing {
namespace {

using std::chrono::seconds;

overload_settings
AllParts()
{
  overload_settings settings;
  settings.mRouteShares = true;
  settings.mGuaranteedPercent = 10;
  settings.mLateDeferral = true;
  return settings;
}

} // namespace

TEST_CASE("entries learn each other's demand by route, except over a cut link")
{
  // Guards against shares computed from demand that is stale or of another
  // route.
  sized_world world(3, 4, 1, {}, 1, AllParts());
  world.SetRoutes({ { "urgent", 0 }, { "middle", 1 } });
  world.CutEntries(2, 0, seconds(8));
  for (int i = 0; i < 40; i++) {
    world.At(milliseconds(25 * i),
             [&world] { world.Submit(0, 2, 100, 1500, 0, 1); });
  }
  world.Run(seconds(1));
  double own = world.Coordinator(0).Demand().Own().at("middle").mOfferedMillis;
  auto seenBy = [&world](size_t aEntry, const std::string& aRoute) {
    return world.Coordinator(aEntry)
      .Demand()
      .Others(aRoute, world.Now())
      .mOfferedMillis;
  };
  CHECK(seenBy(1, "middle") == doctest::Approx(own).epsilon(0.01));
  CHECK(seenBy(1, "urgent") == 0);
  CHECK(seenBy(2, "middle") == 0);
  CHECK(world.Violations().empty());
}

} // namespace cactusmast::testing
