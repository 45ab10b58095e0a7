#pragma once

/// Errors in documents and sets of objects, each with its location and a description of accepted values.

#include "Common/Error.h"

#include <string>
#include <vector>

namespace Objects {

/// An error in a document or in the set.
struct ObjectError {
    std::string document; ///< Name of the document; empty if the set wasn't read from one.
    unsigned line = 0; ///< Starts at 1; zero if unknown.
    std::string object; ///< Kind and name, for example "pool desk"; empty for an error of the document itself.
    std::string field; ///< Empty for an error of the object as a whole.
    std::string message;
    std::string accepted; ///< Description of accepted values.

    bool operator==(const ObjectError&) const = default;
};

/// Formats an error as one line: "document:line: object, field: message (accepted: ...)".
std::string describe(const ObjectError&);

/// All errors found, sorted by document and line. what() has one line for each.
class ObjectErrors : public Common::Error {
public:
    explicit ObjectErrors(std::vector<ObjectError>);

    const std::vector<ObjectError>& all() const { return m_errors; }

private:
    std::vector<ObjectError> m_errors;
};

} // namespace Objects
