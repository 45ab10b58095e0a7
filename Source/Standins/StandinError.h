#pragma once

#include "Common/Error.h"

namespace Standins {

/// Failure to listen on an address, or an invalid command line option.
class StandinError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Standins
