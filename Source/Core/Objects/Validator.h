#pragma once

/// Checks of the meaning of a whole set, and of a change from a published set to the next. docs/OBJECTS.md lists the rules.

#include "Objects/ObjectError.h"
#include "Objects/SourceMap.h"
#include "Objects/Types.h"

#include <vector>

namespace Objects {

/// Finds every fault of a set at once. An empty list means that the set may be published.
class Validator {
public:
    /// Checks one set; the source map gives the places for messages and may be empty.
    static std::vector<ObjectError> validate(const ObjectSet&, const SourceMap& = {});

    /// Checks what may not change between two sets that are each valid; places are those of `next`.
    static std::vector<ObjectError> validateChange(const ObjectSet& base, const ObjectSet& next, const SourceMap& = {});
};

} // namespace Objects
