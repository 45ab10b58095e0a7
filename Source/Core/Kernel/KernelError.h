#pragma once

/// Errors of the kernel layer; it turns those of the layers below into these.

#include "Common/Error.h"
#include "Common/Result.h"

namespace Kernel {

/// The process can't be set up or can't go on.
class KernelError : public Common::Error {
public:
    using Common::Error::Error;
};

/// The value of a factory's result; throws KernelError with the text of an error from a layer below.
template<typename Value, typename Error>
Value valueOrThrow(Common::Result<Value, Error> result)
{
    if (!result)
        throw KernelError(result.error().what());
    return result.take();
}

} // namespace Kernel
