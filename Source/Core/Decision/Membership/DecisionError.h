#pragma once

/// Error of the decision layer.

#include "Common/Error.h"

namespace Decision {

/// Returned by a core's create() for invalid settings.
class DecisionError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
