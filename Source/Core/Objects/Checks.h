#pragma once

/// Checks that Validator runs. Each adds every error that it finds to the collector.

#include "Objects/ErrorCollector.h"
#include "Objects/Types.h"

namespace Objects {

/// Checks names, ranges, lists and references of every object against the field table.
void checkFields(const ObjectSet&, ErrorCollector&);

/// Checks the levels of failure domains and of references to them, and that domains form no cycle.
void checkDomains(const ObjectSet&, ErrorCollector&);

/// Checks rules within one kind: addresses, ranks, deadlines, connections and duplicate budgets.
void checkObjects(const ObjectSet&, ErrorCollector&);

/// Checks that the pools have the hosts and slots that pools, teams, budgets and waves require.
void checkCapacity(const ObjectSet&, ErrorCollector&);

/// Checks that nothing that must stay the same differs between `base` and `next`.
void checkChange(const ObjectSet& base, const ObjectSet& next, ErrorCollector&);

} // namespace Objects
