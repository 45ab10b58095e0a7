#pragma once

/// Differences between two sets, typed and as text.

#include "Objects/ObjectKind.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Objects {

/// What happened to an object.
enum class ChangeType {
    Added,
    Removed,
    Changed,
};

/// A field with its values as compact JSON; the old one is empty for an added object, the new one for a removed object.
struct FieldChange {
    std::string field;
    std::string oldValue;
    std::string newValue;

    bool operator==(const FieldChange&) const = default;
};

/// An object that differs, with the fields that differ.
struct ObjectChange {
    ChangeType type = ChangeType::Changed;
    ObjectKind kind = ObjectKind::Domain;
    std::string name;
    std::vector<FieldChange> fields;

    bool operator==(const ObjectChange&) const = default;
};

/// Compares sets.
class Diff {
public:
    /// Changes that lead from `base` to `next`, by kind and name.
    static std::vector<ObjectChange> between(const ObjectSet& base, const ObjectSet& next);

    /// Text for a person: "+", "-" or "~" before each object, its changed fields indented below; empty without changes.
    static std::string describe(const std::vector<ObjectChange>&);
};

} // namespace Objects
