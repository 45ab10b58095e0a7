#pragma once

/// Parsing of operators' documents: JSON with comments, strict about fields and types, all faults at once.

#include "Common/Result.h"
#include "Objects/ObjectError.h"
#include "Objects/SourceMap.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Objects {

/// A document that holds some or all objects of a set.
struct Document {
    std::string name; ///< For messages, usually the file's name.
    std::string text;
};

/// A set and where its objects were written.
struct ParsedSet {
    ObjectSet set;
    SourceMap sources;
};

/// What could be read of the documents, beside the faults found.
struct PartialSet {
    ParsedSet parsed;
    std::vector<ObjectError> errors;
    bool complete = true; ///< False when some document or object could not be read, so that objects may be missing.
};

/// Parses documents into one set. Checks the form alone; the meaning is checked by Validator.
class ObjectParser {
public:
    /// The set, or every fault of form in every document. Throws nothing but std::bad_alloc.
    static Common::Result<ParsedSet, ObjectErrors> parse(const std::vector<Document>&);

    /// As parse(), but hands out what could be read, so that its meaning can be checked in the same go.
    static PartialSet parsePartially(const std::vector<Document>&);
};

} // namespace Objects
