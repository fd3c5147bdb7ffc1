// What an entry does when processors of the backend servers are short. Each
// part is off unless the settings ask for it.

#ifndef CACTUSMAST_OVERLOAD_SETTINGS_H_
#define CACTUSMAST_OVERLOAD_SETTINGS_H_

#include <cstdint>

namespace cactusmast {

struct overload_settings
{
  // Whether scarce capacity is shared between the routes of a service by their
  // priority.
  bool mRouteShares = false;
  // With mRouteShares: share of the capacity that no route with that much
  // demand is pushed below.
  uint32_t mGuaranteedPercent = 0;
  // Whether jobs that can only be late may wait for spare capacity.
  bool mLateDeferral = false;
};

} // namespace cactusmast

#endif // CACTUSMAST_OVERLOAD_SETTINGS_H_
