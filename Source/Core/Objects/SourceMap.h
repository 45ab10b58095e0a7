#pragma once

/// Locations of objects and fields in the documents of a set.

#include "Objects/ObjectKind.h"

#include <map>
#include <string>
#include <tuple>

namespace Objects {

/// A line of a document; zero if unknown.
struct SourceLocation {
    std::string document;
    unsigned line = 0;
};

/// A field of an object; an empty field stands for the object as a whole.
struct SourceKey {
    ObjectKind kind = ObjectKind::Domain;
    std::string name;
    std::string field;

    bool operator<(const SourceKey& other) const { return std::tie(kind, name, field) < std::tie(other.kind, other.name, other.field); }
};

/// Finds the locations of objects and fields for messages.
class SourceMap {
public:
    /// Adds a location. A key that already has one keeps it.
    void add(SourceKey, SourceLocation);

    /// Location of the field, else of its object, else an empty location.
    SourceLocation find(const SourceKey&) const;

private:
    std::map<SourceKey, SourceLocation> m_locations;
};

} // namespace Objects
