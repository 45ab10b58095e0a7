#pragma once

/// The administration API as commands see it.

#include "ApiTypes.h"
#include "CtlError.h"

#include <string>
#include <vector>

namespace Ctl {

/// Why a call gave no result.
enum class ApiFailure {
    Unreachable, ///< No server took a byte of the request.
    AnswerLost, ///< The request may have had its effect.
    Refused, ///< A server answered with an error.
};

/// A call without a result.
class ApiError : public CtlError {
public:
    ApiError(ApiFailure failure, const std::string& message)
        : CtlError(failure == ApiFailure::Unreachable ? ExitCode::Unreachable : ExitCode::Failed, message)
        , m_failure(failure)
    {
    }

    ApiFailure failure() const { return m_failure; }

private:
    ApiFailure m_failure;
};

/// Calls of the administration API. Each throws ApiError when it has no result.
class ApiClient {
public:
    virtual ~ApiClient() = default;

    virtual FleetStatus status() = 0;
    virtual std::vector<UpstreamPlace> pools() = 0;
    virtual Configuration configuration() = 0;
    /// One try; the caller retries it with the same change id.
    virtual PublishAnswer publish(const PublishCall&) = 0;
    /// Oldest first. An empty data centre stands for that of the answering host.
    virtual std::vector<AuditEntry> audit(const std::string& dataCentre) = 0;
    virtual void move(const MoveCall&) = 0;
    virtual std::vector<WaveStatus> waves() = 0;
    virtual void setWavePaused(const std::string& wave, bool paused) = 0;
};

} // namespace Ctl
