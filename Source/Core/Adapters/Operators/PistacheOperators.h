#pragma once

/// Operator port based on Pistache.

#include "Common/Result.h"
#include "Ports/OperatorPort.h"
#include "Ports/PortError.h"

#include <memory>

namespace Adapters {

/// Passes each call to the sink and writes the first reply; further ones are dropped. A body above the limit is answered with
/// 413. Registered as "pistache".
class PistacheOperators final : public Ports::OperatorPort {
public:
    /// Fails if maximumBodyBytes is zero.
    static Common::Result<std::unique_ptr<PistacheOperators>, Ports::PortError> create(const Ports::OperatorSettings&);
    ~PistacheOperators() override;

    void start(Ports::OperatorSink&) override;
    void stop() override;

private:
    class Private;
    explicit PistacheOperators(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
