#pragma once

/// Validates a complete set, and the change from a published set to the next. docs/OBJECTS.md lists the rules.

#include "Objects/ObjectError.h"
#include "Objects/SourceMap.h"
#include "Objects/Types.h"

#include <vector>

namespace Objects {

/// Finds all errors at once. An empty list means that the set, or the change, may be published.
class Validator {
public:
    /// Validates one set. The source map supplies locations for messages and may be empty.
    static std::vector<ObjectError> validate(const ObjectSet&, const SourceMap& = {});

    /// Validates the change between two sets that are each valid. The source map is that of `next`.
    static std::vector<ObjectError> validateChange(const ObjectSet& base, const ObjectSet& next, const SourceMap& = {});
};

} // namespace Objects
