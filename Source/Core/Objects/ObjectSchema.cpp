#include "Objects/ObjectSchema.h"

#include "Common/Error.h"
#include "Objects/FieldCodec.h"
#include "Objects/FieldTable.h"

#include <fstream>
#include <json/writer.h>

namespace Objects {

namespace {

    constexpr auto schemaDialect = "https://json-schema.org/draft/2020-12/schema";

    template<typename T>
    Json::Value defaultOf(const Field<T>& field)
    {
        const T object;
        return visitField(object, field, [](const auto& value) { return encode(value); });
    }

    template<typename T>
    bool isInteger(const Field<T>& field)
    {
        return std::holds_alternative<unsigned T::*>(field.member) || std::holds_alternative<std::size_t T::*>(field.member);
    }

    template<typename T>
    std::string rangeOf(const Field<T>& field)
    {
        if (!field.bounds)
            return "";
        const auto bound = [&](std::uint64_t n) { return isInteger(field) ? std::to_string(n) : formatDuration(std::chrono::milliseconds(n)); };
        return bound(field.bounds->minimum) + " to " + bound(field.bounds->maximum);
    }

    template<typename T>
    Json::Value fieldSchema(const Field<T>& field)
    {
        const T object;
        auto schema = visitField(object, field, [](const auto& value) { return schemaOf(value); });
        schema["description"] = std::string(field.doc);
        if (!field.unit.empty())
            schema["x-unit"] = std::string(field.unit);
        if (field.refersTo)
            schema["x-refersTo"] = std::string(sectionName(*field.refersTo));
        if (field.presence == Presence::Optional)
            schema["default"] = defaultOf(field);
        if (field.bounds && isInteger(field)) {
            schema["minimum"] = Json::Value::UInt64(field.bounds->minimum);
            schema["maximum"] = Json::Value::UInt64(field.bounds->maximum);
        } else if (field.bounds) {
            schema["x-range"] = rangeOf(field);
        }
        return schema;
    }

    template<typename T>
    Json::Value sectionSchema(const KindTable<T>& table)
    {
        Json::Value object;
        object["type"] = "object";
        object["additionalProperties"] = false;
        for (const auto& field : table.fields) {
            object["properties"][std::string(field.name)] = fieldSchema(field);
            if (field.presence == Presence::Required)
                object["required"].append(std::string(field.name));
        }
        Json::Value section;
        section["type"] = "array";
        section["description"] = std::string(table.doc);
        section["items"] = object;
        return section;
    }

    std::string defaultText(const Json::Value& json)
    {
        if (json.isString())
            return json.asString().empty() ? "none" : json.asString();
        if (json.isArray())
            return "empty";
        return json.asString();
    }

    template<typename T>
    std::string fieldRow(const Field<T>& field)
    {
        const auto unit = field.refersTo ? "name in `" + std::string(sectionName(*field.refersTo)) + "`" : std::string(field.unit);
        const auto initial = field.presence == Presence::Required ? "required" : defaultText(defaultOf(field));
        return "| `" + std::string(field.name) + "` | " + unit + " | " + initial + " | " + rangeOf(field) + " | " + std::string(field.doc) + " |\n";
    }

} // namespace

std::string ObjectSchema::text()
{
    Json::Value schema;
    schema["$schema"] = schemaDialect;
    schema["title"] = "marigoldstile objects";
    schema["description"] = "A document with operators' objects. A set may be spread over several documents.";
    schema["type"] = "object";
    schema["additionalProperties"] = false;
    forEachKind([&](const auto& table) { schema["properties"][std::string(sectionName(table.kind))] = sectionSchema(table); });
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, schema) + "\n";
}

void ObjectSchema::write(const std::filesystem::path& path)
{
    std::ofstream file(path, std::ios::binary);
    file << text();
    file.close();
    if (!file)
        throw Common::Error("can't write " + path.string());
}

std::string ObjectSchema::fieldTables()
{
    std::string text;
    forEachKind([&](const auto& table) {
        text += (text.empty() ? "### " : "\n### ") + std::string(sectionName(table.kind)) + "\n\n" + std::string(table.doc) + "\n\n";
        text += "| Field | Unit | Default | Range | Meaning |\n|---|---|---|---|---|\n";
        for (const auto& field : table.fields)
            text += fieldRow(field);
    });
    return text;
}

} // namespace Objects
