#pragma once

/// Error of the ports layer. Adapters convert errors of their libraries to it.

#include "Common/Error.h"

namespace Ports {

/// A port can't be opened, or its settings are invalid.
class PortError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Ports
