#pragma once

/// Parses documents of objects: JSON with comments, strict about fields and types. Reports all errors at once.

#include "Common/Result.h"
#include "Objects/ObjectError.h"
#include "Objects/SourceMap.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Objects {

/// A document with some or all objects of a set.
struct Document {
    std::string name; ///< For messages; usually the path of the file.
    std::string text;
};

/// A set of objects with their locations in the documents.
struct ParsedSet {
    ObjectSet set;
    SourceMap sources;
};

/// Result of parsing with errors: the objects that could be parsed, and the errors.
struct PartialSet {
    ParsedSet parsed;
    std::vector<ObjectError> errors;
    bool complete = true; ///< False if a document, section or object couldn't be parsed, so that objects may be missing.
};

/// Parses documents into one set. Checks syntax, field names and types; Validator checks the values.
class ObjectParser {
public:
    /// The set, or every parse error of every document. Throws nothing but std::bad_alloc.
    static Common::Result<ParsedSet, ObjectErrors> parse(const std::vector<Document>&);

    /// Like parse(), but also returns the objects that could be parsed, so that they can be validated despite parse errors.
    static PartialSet parsePartially(const std::vector<Document>&);
};

} // namespace Objects
