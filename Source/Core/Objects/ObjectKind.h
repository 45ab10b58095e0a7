#pragma once

/// Kinds of operators' objects and their names in documents and messages.

#include <string_view>

namespace Objects {

/// Kind of an operators' object, in the order in which documents are written.
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

/// Singular name for messages, for example "pool".
std::string_view kindName(ObjectKind);

/// Key of the kind's list in a document, for example "pools".
std::string_view sectionName(ObjectKind);

} // namespace Objects
