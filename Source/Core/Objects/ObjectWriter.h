#pragma once

/// Writes sets in the canonical form in which they are published.

#include "Objects/Types.h"

#include <string>

namespace Objects {

/// Writes sets; equal sets have equal texts.
class ObjectWriter {
public:
    /// JSON with all sections and fields in a fixed order, objects sorted by name, and defaults included. Parses to an equal set.
    static std::string write(const ObjectSet&);
};

} // namespace Objects
