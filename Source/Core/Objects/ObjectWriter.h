#pragma once

/// Canonical text of a set: the form in which it is published.

#include "Objects/Types.h"

#include <string>

namespace Objects {

/// Writes sets so that equal sets have equal text.
class ObjectWriter {
public:
    /// JSON with sections, objects and fields in a fixed order and defaults written out; parsing it gives an equal set.
    static std::string write(const ObjectSet&);
};

} // namespace Objects
