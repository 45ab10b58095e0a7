#pragma once

/// Upstream port over libcurl's multi interface.

#include "Adapters/Upstreams/Attempt.h"
#include "Common/Result.h"
#include "Ports/PortError.h"
#include "Ports/UpstreamPort.h"

#include <memory>

namespace Adapters {

/// Sends each attempt at most once over a pool of kept connections. Registered as "curl".
class CurlUpstreams final : public Ports::UpstreamPort {
public:
    static Common::Result<std::unique_ptr<CurlUpstreams>, Ports::PortError> create(const Ports::UpstreamSettings&, UpstreamGuards = {});
    ~CurlUpstreams() override;

    void start(Ports::UpstreamSink&) override;
    void dispatch(Ports::UpstreamCall) override;
    void cancel(Ports::AttemptId) override;
    /// Ends every running attempt first: Lost, or NotSent where that is certain.
    void stop() override;

private:
    class Private;
    explicit CurlUpstreams(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
