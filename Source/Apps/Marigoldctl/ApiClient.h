#pragma once

/// The administration API as the commands use it; HttpApiClient implements it, tests replace it.

#include "ApiTypes.h"
#include "CtlError.h"

#include <string>
#include <vector>

namespace Ctl {

/// Why a call failed.
enum class ApiFailure {
    Unreachable, ///< No server could be reached; the call had no effect.
    AnswerLost, ///< The request was sent but not answered; it may have taken effect.
    Refused, ///< A server answered with an error, or the answer can't be decoded.
};

/// A failed call. Ends the program with ExitCode::Unreachable or ExitCode::Failed.
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

/// Blocking calls of the administration API. Each throws ApiError when it fails.
class ApiClient {
public:
    virtual ~ApiClient() = default;

    virtual FleetStatus status() = 0;
    virtual std::vector<UpstreamAssignment> pools() = 0;
    virtual Configuration configuration() = 0;
    /// One attempt. The server deduplicates by change id, so the caller may retry with the same one.
    virtual PublishAnswer publish(const PublishRequest&) = 0;
    /// Audit trail of a data centre, oldest first; an empty name means the data centre of the answering host.
    virtual std::vector<AuditEntry> audit(const std::string& dataCentre) = 0;
    /// Requests the move; the upstream is moved after the call has returned. Not idempotent.
    virtual void move(const MoveRequest&) = 0;
    virtual std::vector<WaveStatus> waves() = 0;
    virtual void setWavePaused(const std::string& wave, bool paused) = 0;
};

} // namespace Ctl
