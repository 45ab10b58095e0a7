#pragma once

/// Upstream port based on libcurl's multi interface.

#include "Adapters/Upstreams/Attempt.h"
#include "Common/Result.h"
#include "Ports/PortError.h"
#include "Ports/UpstreamPort.h"

#include <memory>

namespace Adapters {

/// Sends each attempt at most once over a pool of persistent connections. An attempt whose time is up is cancelled. Results are
/// delivered on the thread of the loop, and on the calling thread for a dispatch() after stop(). Registered as "curl".
class CurlUpstreams final : public Ports::UpstreamPort {
public:
    /// Fails if connectionsPerUpstream is zero.
    static Common::Result<std::unique_ptr<CurlUpstreams>, Ports::PortError> create(const Ports::UpstreamSettings&, UpstreamGuards = {});
    ~CurlUpstreams() override;

    /// Throws Ports::PortError if libcurl can't be initialized.
    void start(Ports::UpstreamSink&) override;
    void dispatch(Ports::UpstreamCall) override;
    /// An attempt that was not sent yet ends as Withdrawn; else the upstream is told to stop the request (fire and forget) and
    /// the attempt ends as Cancelled. Unknown attempts are ignored.
    void cancel(Ports::AttemptId) override;
    /// Ends every running attempt as Lost, or as NotSent if no byte was sent, and joins the thread.
    void stop() override;

private:
    class Private;
    explicit CurlUpstreams(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
