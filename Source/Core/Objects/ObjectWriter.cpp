#include "Objects/ObjectWriter.h"

#include "Common/CompactJson.h"
#include "Objects/FieldCodec.h"
#include "Objects/FieldTable.h"

namespace Objects {

namespace {

    /// Writes an object on one line with its fields in the order of the table. Empty optional texts are left out.
    template<typename T>
    std::string writeObject(const KindTable<T>& table, const T& object)
    {
        std::string text = "{";
        for (const auto& field : table.fields) {
            const auto json = visitField(object, field, [](const auto& value) { return encode(value); });
            if (field.presence == Presence::Optional && json.isString() && json.asString().empty())
                continue;
            text += (text.size() > 1 ? ", \"" : "\"") + std::string(field.name) + "\": " + Common::compactJson(json);
        }
        return text + "}";
    }

    template<typename T>
    std::string writeSection(const KindTable<T>& table, const ObjectSet& set)
    {
        std::string text = "  \"" + std::string(sectionName(table.kind)) + "\": [";
        bool first = true;
        for (const auto& [name, object] : set.*table.objects) {
            text += (first ? "\n    " : ",\n    ") + writeObject(table, object);
            first = false;
        }
        return text + (first ? "]" : "\n  ]");
    }

} // namespace

std::string ObjectWriter::write(const ObjectSet& set)
{
    std::string text;
    forEachKind([&](const auto& table) { text += (text.empty() ? "{\n" : ",\n") + writeSection(table, set); });
    return text + "\n}\n";
}

} // namespace Objects
