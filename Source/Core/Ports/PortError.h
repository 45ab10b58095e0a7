#pragma once

/// Error of the ports layer; adapters turn errors of their libraries into it.

#include "Common/Error.h"

namespace Ports {

/// A port could not be opened or its settings can't be used.
class PortError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Ports
