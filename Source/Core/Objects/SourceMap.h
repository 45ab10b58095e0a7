#pragma once

/// Where each object and field of a set was written.

#include "Objects/ObjectKind.h"

#include <map>
#include <string>
#include <tuple>

namespace Objects {

/// A line of a document; line zero means unknown.
struct SourceLocation {
    std::string document;
    unsigned line = 0;
};

/// A field of an object; the empty field stands for the object as a whole.
struct SourceKey {
    ObjectKind kind = ObjectKind::Domain;
    std::string name;
    std::string field;

    bool operator<(const SourceKey& other) const { return std::tie(kind, name, field) < std::tie(other.kind, other.name, other.field); }
};

/// Finds the line of a field for messages.
class SourceMap {
public:
    /// Records a place; the first one recorded for a key stays.
    void add(SourceKey, SourceLocation);

    /// Place of the field, else of its object, else an empty place.
    SourceLocation find(const SourceKey&) const;

private:
    std::map<SourceKey, SourceLocation> m_places;
};

} // namespace Objects
