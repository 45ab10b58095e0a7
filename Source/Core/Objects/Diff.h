#pragma once

/// Differences between two sets, as data and as text.

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

/// A changed field with its values as compact JSON. The old value is empty for an added object, the new one for a removed object.
struct FieldChange {
    std::string field;
    std::string oldValue;
    std::string newValue;

    bool operator==(const FieldChange&) const = default;
};

/// A changed object with its changed fields; for an added or removed object, with all fields but the name.
struct ObjectChange {
    ChangeType type = ChangeType::Changed;
    ObjectKind kind = ObjectKind::Domain;
    std::string name;
    std::vector<FieldChange> fields;

    bool operator==(const ObjectChange&) const = default;
};

/// Compares sets of objects.
class Diff {
public:
    /// Changes from `base` to `next`, grouped by kind; within a kind, removed and changed objects by name, then added ones.
    static std::vector<ObjectChange> between(const ObjectSet& base, const ObjectSet& next);

    /// Human-readable text: "+", "-" or "~" before each object and its fields indented below it. Empty if there are no changes.
    static std::string describe(const std::vector<ObjectChange>&);
};

} // namespace Objects
