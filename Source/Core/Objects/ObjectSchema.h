#pragma once

/// The published description of documents, made from the field table.

#include <filesystem>
#include <string>

namespace Objects {

/// Describes every object and field with unit and default.
class ObjectSchema {
public:
    /// JSON Schema (draft 2020-12) of a document, as committed under docs/schema/objects.schema.json.
    static std::string text();

    /// Writes text() to the file. Throws Common::Error when that fails.
    static void write(const std::filesystem::path&);

    /// Markdown tables of fields, as they stand in docs/OBJECTS.md.
    static std::string fieldTables();
};

} // namespace Objects
