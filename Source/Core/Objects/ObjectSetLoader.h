#pragma once

/// The one way in for documents: reads, parses and validates them.

#include "Common/Result.h"
#include "Objects/ObjectError.h"
#include "Objects/ObjectParser.h"
#include "Objects/Types.h"

#include <filesystem>
#include <string>
#include <vector>

namespace Objects {

/// Loads whole sets. Every function gives a valid set or every fault found, of form and of meaning.
class ObjectSetLoader {
public:
    /// Loads one set from files; a directory stands for its *.jsonc and *.json files.
    static Common::Result<ObjectSet, ObjectErrors> loadFiles(const std::vector<std::filesystem::path>&);

    /// Loads a set from one document; `name` is for messages.
    static Common::Result<ObjectSet, ObjectErrors> loadText(const std::string& name, const std::string& text);

    /// Loads a set from several documents and keeps the places, for Validator::validateChange().
    static Common::Result<ParsedSet, ObjectErrors> load(const std::vector<Document>&);

    /// Reads files without parsing them; a directory stands for its *.jsonc and *.json files.
    static Common::Result<std::vector<Document>, ObjectErrors> readFiles(const std::vector<std::filesystem::path>&);
};

} // namespace Objects
