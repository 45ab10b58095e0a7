#pragma once

/// JSON Schema and reference tables of documents, generated from the field table.

#include <filesystem>
#include <string>

namespace Objects {

/// Generates the descriptions of all objects and fields, with units and defaults.
class ObjectSchema {
public:
    /// JSON Schema (draft 2020-12) of a document, committed as docs/schema/objects.schema.json.
    static std::string text();

    /// Writes text() to the file. Throws Common::Error on failure.
    static void write(const std::filesystem::path&);

    /// Markdown tables of the fields, part of docs/OBJECTS.md.
    static std::string fieldTables();
};

} // namespace Objects
