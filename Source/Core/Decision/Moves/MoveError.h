#pragma once

/// Error type of the moves library.

#include "Common/Error.h"

namespace Decision {

/// Invalid settings.
class MoveError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
