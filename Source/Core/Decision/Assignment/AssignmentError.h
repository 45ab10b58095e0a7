#pragma once

/// Error of the assignment library.

#include "Common/Error.h"

namespace Decision {

/// Invalid settings, or a record that can't be decoded.
class AssignmentError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
