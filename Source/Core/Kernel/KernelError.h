#pragma once

/// Errors of the kernel layer; it turns those of the layers below into these.

#include "Common/Error.h"

namespace Kernel {

/// The process can't be set up or can't go on.
class KernelError : public Common::Error {
public:
    using Common::Error::Error;
};

} // namespace Kernel
