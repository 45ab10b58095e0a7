#pragma once

/// Error of the decision layer.

#include "Common/Error.h"

namespace Decision {

/// A core was given settings that it can't work with.
class DecisionError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
