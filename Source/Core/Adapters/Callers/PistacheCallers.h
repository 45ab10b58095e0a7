#pragma once

/// Caller port based on Pistache.

#include "Adapters/Callers/Connection.h"
#include "Common/Result.h"
#include "Ports/CallerPort.h"
#include "Ports/PortError.h"

#include <memory>

namespace Adapters {

/// Serves the HTTP protocol for callers (docs/CALLERS.md). Malformed requests are rejected with a 4xx and don't reach the sink.
/// Registered as "pistache".
class PistacheCallers final : public Ports::CallerPort {
public:
    /// Fails if the settings have no threads.
    static Common::Result<std::unique_ptr<PistacheCallers>, Ports::PortError> create(const Ports::CallerSettings&, CallerGuards = {});
    ~PistacheCallers() override;

    void start(Ports::CallerSink&) override;
    void answer(Ports::CallerHandle, const Ports::Answer&) override;
    std::size_t unanswered() const override;
    void stop() override;

private:
    class Private;
    explicit PistacheCallers(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
