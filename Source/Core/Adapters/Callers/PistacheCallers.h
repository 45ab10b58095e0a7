#pragma once

/// Caller port over Pistache.

#include "Adapters/Callers/Connection.h"
#include "Common/Result.h"
#include "Ports/CallerPort.h"
#include "Ports/PortError.h"

#include <memory>

namespace Adapters {

/// Serves the callers' HTTP protocol; see docs/CALLERS.md. Registered as "pistache".
class PistacheCallers final : public Ports::CallerPort {
public:
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
