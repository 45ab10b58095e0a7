#pragma once

/// Operator port over Pistache.

#include "Common/Result.h"
#include "Ports/OperatorPort.h"
#include "Ports/PortError.h"

#include <memory>

namespace Adapters {

/// Passes every call to the sink and writes its one reply. Registered as "pistache".
class PistacheOperators final : public Ports::OperatorPort {
public:
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
