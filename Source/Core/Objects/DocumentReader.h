#pragma once

/// Parses the text of a document into JSON values and maps these to lines.

#include "Common/Result.h"
#include "Objects/ObjectError.h"

#include <cstddef>
#include <json/value.h>
#include <string>
#include <vector>

namespace Objects {

/// JSON of a document, with the offsets at which its lines start.
struct ParsedDocument {
    std::string name;
    Json::Value root;
    std::vector<std::ptrdiff_t> lineStarts;

    /// Line of the value, starting at 1.
    unsigned lineOf(const Json::Value&) const;
};

/// Parses JSON with comments. Rejects duplicate keys, trailing commas and text after the end.
class DocumentReader {
public:
    /// The parsed document or its syntax errors; `name` is for messages.
    static Common::Result<ParsedDocument, ObjectErrors> read(const std::string& name, const std::string& text);
};

} // namespace Objects
