#pragma once

/// Errors of the kernel layer, which converts the errors of the layers below to its own.

#include "Common/Error.h"
#include "Common/Result.h"

namespace Kernel {

/// The process can't be set up or can't continue.
class KernelError : public Common::Error {
public:
    using Common::Error::Error;
};

/// Returns the value of a factory's result. Throws KernelError with the error's text when the factory failed.
template<typename Value, typename Error>
Value valueOrThrow(Common::Result<Value, Error> result)
{
    if (!result)
        throw KernelError(result.error().what());
    return result.take();
}

} // namespace Kernel
