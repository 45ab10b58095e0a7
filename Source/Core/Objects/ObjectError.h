#pragma once

/// Errors of the objects layer: every fault of a set, each with its place and what would be accepted.

#include "Common/Error.h"

#include <string>
#include <vector>

namespace Objects {

/// One fault of a document or of the whole set.
struct ObjectError {
    std::string document; ///< Name of the document; empty when the set didn't come from one.
    unsigned line = 0; ///< Counted from one; zero when unknown.
    std::string object; ///< Kind and name, for example "pool desk"; empty for a fault of the document itself.
    std::string field; ///< Empty for a fault of the object as a whole.
    std::string message;
    std::string accepted; ///< What would be accepted in its place.

    bool operator==(const ObjectError&) const = default;
};

/// One line of text: "document:line: object, field: message (accepted: ...)".
std::string describe(const ObjectError&);

/// Every fault found, ordered by document and line.
class ObjectErrors : public Common::Error {
public:
    explicit ObjectErrors(std::vector<ObjectError>);

    const std::vector<ObjectError>& all() const { return m_errors; }

private:
    std::vector<ObjectError> m_errors;
};

} // namespace Objects
