#pragma once

/// Kinds of objects that operators configure, with their names in documents and messages.

#include <string_view>

namespace Objects {

/// Kind of an object, in the order in which ObjectWriter writes them.
enum class ObjectKind {
    Domain,
    Pool,
    Service,
    Priority,
    Team,
    Budget,
    Wave,
    Upstream,
};

/// Name of one object of the kind in messages, for example "pool".
std::string_view kindName(ObjectKind);

/// Key of the kind's list of objects in a document, for example "pools".
std::string_view sectionName(ObjectKind);

} // namespace Objects
