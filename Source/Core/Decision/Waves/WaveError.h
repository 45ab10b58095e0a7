#pragma once

/// Error of the waves library.

#include "Common/Error.h"

namespace Decision {

/// Invalid settings, or a store record that can't be decoded.
class WaveError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Decision
