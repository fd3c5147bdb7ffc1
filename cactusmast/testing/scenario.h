// Scenarios: who does what at which virtual time, and what must hold
// afterwards, read from YAML. docs/TESTING.md describes the language.

#ifndef CACTUSMAST_TESTING_SCENARIO_H_
#define CACTUSMAST_TESTING_SCENARIO_H_

#include <string>
#include <vector>

#include "cactusmast/testing/world.h"

namespace cactusmast::testing {

struct scenario_safeguards
{
  entry_safeguards mEntry;
  guard_safeguards mGuard;
  health_options mHealth;
};

// Runs the scenario in aPath. Returns what did not hold: broken promises and
// unmet expectations; empty when all is well. Throws std::runtime_error when
// the file is not a scenario.
std::vector<std::string>
RunScenario(const std::string& aPath,
            const scenario_safeguards& aSafeguards = {});

// The profiles that every scenario starts with.
std::vector<profile>
ScenarioProfiles();

// A world with those profiles in force everywhere; the run's time zero is its
// present.
std::unique_ptr<world>
PrepareWorld(const world_options& aOptions);

// The name of the entry that owns aShard: "entry-N", or empty.
std::string
OwnerOf(world& aWorld, uint32_t aEntries, uint32_t aShard);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SCENARIO_H_
