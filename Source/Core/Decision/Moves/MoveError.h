#pragma once

/// Error of the moves library.

#include "Common/Error.h"

namespace Decision {

/// Settings that can't be used.
class MoveError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
