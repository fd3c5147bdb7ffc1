// Runs scenarios, which are read from YAML files. A scenario lists steps
// (faults and requests) at virtual times, and what must hold after the last
// one. docs/TESTING.md describes the format.

#ifndef CACTUSMAST_TESTING_SCENARIO_H_
#define CACTUSMAST_TESTING_SCENARIO_H_

#include <string>
#include <vector>

#include "cactusmast/testing/world.h"

namespace cactusmast::testing {

// The safeguards of all processes, of which a test may switch off some.
struct scenario_safeguards
{
  entry_safeguards mEntry;
  guard_safeguards mGuard;
  health_options mHealth;
};

// Runs the scenario in file aPath. Returns one text for each broken promise and
// each unmet expectation; empty if the scenario passes. Throws
// std::runtime_error if the file is not a valid scenario.
std::vector<std::string>
RunScenario(const std::string& aPath,
            const scenario_safeguards& aSafeguards = {});

// The profiles that are in force at the start of every scenario.
std::vector<profile>
ScenarioProfiles();

// Returns a world in which every process has these profiles. Its current time
// is time zero of the scenario.
std::unique_ptr<world>
PrepareWorld(const world_options& aOptions);

// The name of the entry that owns aShard, "entry-N"; empty if there is none.
std::string
OwnerOf(world& aWorld, uint32_t aEntries, uint32_t aShard);

} // namespace cactusmast::testing

#endif // CACTUSMAST_TESTING_SCENARIO_H_
