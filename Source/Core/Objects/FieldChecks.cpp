#include "Objects/Checks.h"
#include "Objects/FieldCodec.h"
#include "Objects/FieldTable.h"

#include <algorithm>
#include <set>
#include <string>
#include <type_traits>

namespace Objects {

namespace {

    constexpr std::size_t maximumNameLength = 63;
    constexpr auto nameExample = "1 to 63 lower-case letters, digits and inner hyphens, such as \"desk-imlil-1\"";

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    }

    bool isValidName(const std::string& name)
    {
        if (name.empty() || name.size() > maximumNameLength || name.front() == '-' || name.back() == '-')
            return false;
        return std::all_of(name.begin(), name.end(), isNameCharacter);
    }

    std::string formatBound(std::uint64_t bound, bool isDuration)
    {
        return isDuration ? formatDuration(std::chrono::milliseconds(bound)) : std::to_string(bound);
    }

    template<typename T>
    void checkBounds(const KindTable<T>& table, const Field<T>& field, const T& object, ErrorCollector& errors)
    {
        const auto n = visitField(object, field, [](const auto& value) { return magnitude(value); });
        if (!field.bounds || !n || (*n >= field.bounds->minimum && *n <= field.bounds->maximum))
            return;
        const bool isDuration = !std::holds_alternative<unsigned T::*>(field.member) && !std::holds_alternative<std::size_t T::*>(field.member);
        const auto accepted = formatBound(field.bounds->minimum, isDuration) + " to " + formatBound(field.bounds->maximum, isDuration);
        errors.addError(table.kind, object.name, field.name, "out of range", accepted);
    }

    /// A required list or reference must not be empty, and a list must not have duplicates.
    template<typename T>
    void checkList(const KindTable<T>& table, const Field<T>& field, const T& object, ErrorCollector& errors)
    {
        const auto names = namesIn(object, field);
        if (names.empty() && field.presence == Presence::Required && field.refersTo)
            errors.addError(table.kind, object.name, field.name, "must not be empty", "the name of a " + std::string(kindName(*field.refersTo)));
        std::set<std::string> seen;
        for (const auto& name : names) {
            if (!seen.insert(name).second)
                errors.addError(table.kind, object.name, field.name, "\"" + name + "\" is listed twice", "each name once");
        }
    }

    template<typename T>
    void checkReferences(const KindTable<T>& table, const Field<T>& field, const T& object, const ObjectSet& set, ErrorCollector& errors)
    {
        if (!field.refersTo)
            return;
        forEachKind([&](const auto& target) {
            if (target.kind != *field.refersTo)
                return;
            const auto& objects = set.*target.objects;
            for (const auto& name : namesIn(object, field)) {
                if (!objects.contains(name))
                    errors.addError(table.kind, object.name, field.name, "no " + std::string(kindName(target.kind)) + " is named \"" + name + "\"", oneOf(objects));
            }
        });
    }

    template<typename T>
    void checkKind(const KindTable<T>& table, const ObjectSet& set, ErrorCollector& errors)
    {
        for (const auto& [name, object] : set.*table.objects) {
            if (!isValidName(name))
                errors.addError(table.kind, name, "name", "ill-formed name", nameExample);
            if (name != object.name)
                errors.addError(table.kind, name, "name", "stored under a name that differs from its own, \"" + object.name + "\"", name);
            for (const auto& field : table.fields) {
                checkBounds(table, field, object, errors);
                checkList(table, field, object, errors);
                checkReferences(table, field, object, set, errors);
            }
        }
    }

} // namespace

void checkFields(const ObjectSet& set, ErrorCollector& errors)
{
    forEachKind([&](const auto& table) { checkKind(table, set, errors); });
}

} // namespace Objects
