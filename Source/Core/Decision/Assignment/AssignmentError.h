#pragma once

/// Error of the assignment library.

#include "Common/Error.h"

namespace Decision {

/// A record that can't be decoded, or settings that can't be used.
class AssignmentError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
