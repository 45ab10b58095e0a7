#pragma once

/// Error of the stand-ins.

#include "Common/Error.h"

namespace Standins {

/// An address can't be had or an option can't be used.
class StandinError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Standins
