#pragma once

/// Reading of one document's text into JSON values whose lines are known.

#include "Common/Result.h"
#include "Objects/ObjectError.h"

#include <cstddef>
#include <json/value.h>
#include <string>
#include <vector>

namespace Objects {

/// A document's JSON and the offsets at which its lines start.
struct ReadDocument {
    std::string name;
    Json::Value root;
    std::vector<std::ptrdiff_t> lineStarts;

    /// Line of the value, counted from one.
    unsigned lineOf(const Json::Value&) const;
};

/// Reads JSON with comments. Refuses duplicate keys, trailing commas and text after the end.
class DocumentReader {
public:
    /// The document, or its faults of syntax.
    static Common::Result<ReadDocument, ObjectErrors> read(const std::string& name, const std::string& text);
};

} // namespace Objects
