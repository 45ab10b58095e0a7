#pragma once

/// Reads, parses and validates documents.

#include "Common/Result.h"
#include "Objects/ObjectError.h"
#include "Objects/ObjectParser.h"
#include "Objects/Types.h"

#include <filesystem>
#include <string>
#include <vector>

namespace Objects {

/// Loads complete sets. The load functions return a valid set or all parse and validation errors.
class ObjectSetLoader {
public:
    /// Loads one set from files. A directory stands for its *.jsonc and *.json files.
    static Common::Result<ObjectSet, ObjectErrors> loadFiles(const std::vector<std::filesystem::path>&);

    /// Loads a set from one document; `name` is for messages.
    static Common::Result<ObjectSet, ObjectErrors> loadText(const std::string& name, const std::string& text);

    /// Loads one set from several documents and keeps the locations of its objects, for Validator::validateChange().
    static Common::Result<ParsedSet, ObjectErrors> load(const std::vector<Document>&);

    /// Reads files without parsing them. A directory stands for its *.jsonc and *.json files.
    static Common::Result<std::vector<Document>, ObjectErrors> readFiles(const std::vector<std::filesystem::path>&);
};

} // namespace Objects
