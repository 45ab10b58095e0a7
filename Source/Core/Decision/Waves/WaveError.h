#pragma once

/// Error of the waves library.

#include "Common/Error.h"

namespace Decision {

/// Settings that can't be used, or a store record that can't be read.
class WaveError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
