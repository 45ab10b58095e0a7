#pragma once

/// Tables of all fields of all objects. Parser, writer, JSON schema, reference page and checkFields() are driven by them.

#include "Objects/ObjectKind.h"
#include "Objects/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Objects {

/// Pointer to a field of T.
template<typename T>
using FieldMember = std::variant<std::string T::*, std::vector<std::string> T::*, bool T::*, unsigned T::*, std::size_t T::*,
    std::chrono::milliseconds T::*, std::chrono::seconds T::*, Common::WallTime T::*, DomainLevel T::*>;

/// Whether a document must contain the field.
enum class Presence {
    Required,
    Optional,
};

/// Closed range of a number, or of a duration in milliseconds.
struct Bounds {
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

/// Describes one field of T. An omitted optional field has the value of its default member initializer in T.
template<typename T>
struct Field {
    std::string_view name;
    FieldMember<T> member;
    Presence presence = Presence::Optional;
    std::string_view unit; ///< Empty for text and lists of names.
    std::string_view doc;
    std::optional<Bounds> bounds = std::nullopt;
    std::optional<ObjectKind> refersTo = std::nullopt; ///< Kind of the objects that the field names.
};

/// Describes one kind of object.
template<typename T>
struct KindTable {
    ObjectKind kind;
    std::map<std::string, T> ObjectSet::*objects;
    std::string_view doc;
    std::vector<Field<T>> fields;
};

/// The table of T, which is one of the eight object types. The first field is always the name.
template<typename T>
const KindTable<T>& kindTable();

template<>
const KindTable<FailureDomain>& kindTable();
template<>
const KindTable<Pool>& kindTable();
template<>
const KindTable<Service>& kindTable();
template<>
const KindTable<Priority>& kindTable();
template<>
const KindTable<Team>& kindTable();
template<>
const KindTable<Budget>& kindTable();
template<>
const KindTable<Wave>& kindTable();
template<>
const KindTable<Upstream>& kindTable();

/// Calls the visitor with the table of each kind, in the order of ObjectKind.
template<typename Visitor>
void forEachKind(Visitor&& visitor)
{
    visitor(kindTable<FailureDomain>());
    visitor(kindTable<Pool>());
    visitor(kindTable<Service>());
    visitor(kindTable<Priority>());
    visitor(kindTable<Team>());
    visitor(kindTable<Budget>());
    visitor(kindTable<Wave>());
    visitor(kindTable<Upstream>());
}

/// Calls the visitor with a reference to the value of the field.
template<typename Object, typename T, typename Visitor>
decltype(auto) visitField(Object& object, const Field<T>& field, Visitor&& visitor)
{
    return std::visit([&](auto member) -> decltype(auto) { return visitor(object.*member); }, field.member);
}

/// Names in a field: the items of a list, or the value of a text field unless that is empty.
template<typename T>
std::vector<std::string> namesIn(const T& object, const Field<T>& field)
{
    return visitField(object, field, [](const auto& value) -> std::vector<std::string> {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, std::vector<std::string>>)
            return value;
        else if constexpr (std::is_same_v<Value, std::string>)
            return value.empty() ? std::vector<std::string> {} : std::vector<std::string> { value };
        else
            return {};
    });
}

} // namespace Objects
