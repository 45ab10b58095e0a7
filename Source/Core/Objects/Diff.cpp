#include "Objects/Diff.h"

#include "Common/CompactJson.h"
#include "Objects/FieldCodec.h"
#include "Objects/FieldTable.h"

namespace Objects {

namespace {

    template<typename T>
    std::string fieldText(const Field<T>& field, const T& object)
    {
        return Common::compactJson(visitField(object, field, [](const auto& value) { return encode(value); }));
    }

    template<typename T>
    std::vector<FieldChange> compareFields(const KindTable<T>& table, const T* before, const T* after)
    {
        std::vector<FieldChange> changes;
        for (const auto& field : table.fields) {
            if (field.name == "name")
                continue;
            FieldChange change { std::string(field.name), before ? fieldText(field, *before) : "", after ? fieldText(field, *after) : "" };
            if (change.oldValue != change.newValue)
                changes.push_back(std::move(change));
        }
        return changes;
    }

    template<typename T>
    void compareKind(const KindTable<T>& table, const ObjectSet& base, const ObjectSet& next, std::vector<ObjectChange>& changes)
    {
        const auto& before = base.*table.objects;
        const auto& after = next.*table.objects;
        for (const auto& [name, object] : before) {
            const auto it = after.find(name);
            if (it == after.end())
                changes.push_back({ ChangeType::Removed, table.kind, name, compareFields<T>(table, &object, nullptr) });
            else if (object != it->second)
                changes.push_back({ ChangeType::Changed, table.kind, name, compareFields(table, &object, &it->second) });
        }
        for (const auto& [name, object] : after) {
            if (!before.contains(name))
                changes.push_back({ ChangeType::Added, table.kind, name, compareFields<T>(table, nullptr, &object) });
        }
    }

    char symbolOf(ChangeType type)
    {
        if (type == ChangeType::Added)
            return '+';
        return type == ChangeType::Removed ? '-' : '~';
    }

    std::string describeField(const FieldChange& change)
    {
        if (change.oldValue.empty())
            return change.field + ": " + change.newValue;
        if (change.newValue.empty())
            return change.field + ": " + change.oldValue;
        return change.field + ": " + change.oldValue + " -> " + change.newValue;
    }

} // namespace

std::vector<ObjectChange> Diff::between(const ObjectSet& base, const ObjectSet& next)
{
    std::vector<ObjectChange> changes;
    forEachKind([&](const auto& table) { compareKind(table, base, next, changes); });
    return changes;
}

std::string Diff::describe(const std::vector<ObjectChange>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        text += std::string(1, symbolOf(change.type)) + " " + std::string(kindName(change.kind)) + " " + change.name + "\n";
        for (const auto& field : change.fields)
            text += "    " + describeField(field) + "\n";
    }
    return text;
}

} // namespace Objects
