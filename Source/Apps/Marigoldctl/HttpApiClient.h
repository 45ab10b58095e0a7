#pragma once

/// The administration API over HTTP, with failover between several servers.

#include "ApiClient.h"
#include "Common/Result.h"
#include "HttpTransport.h"

#include <memory>
#include <string>
#include <vector>

namespace Ctl {

/// Servers to call and the credentials to send.
struct ApiSettings {
    std::vector<std::string> servers; ///< "ip:port" or "[ipv6]:port" each; tried in this order.
    std::string token; ///< Bearer token; empty for none.
};

/// Fails over to the next server when one doesn't answer. A call that isn't idempotent fails over only while no byte of it was sent.
class HttpApiClient : public ApiClient {
public:
    /// The transport must outlive the client. Fails with ExitCode::UsageError when there is no server, a server isn't an address
    /// or the token can't be sent in a header.
    static Common::Result<std::unique_ptr<HttpApiClient>, CtlError> create(ApiSettings, HttpTransport&);

    FleetStatus status() override;
    std::vector<UpstreamAssignment> pools() override;
    Configuration configuration() override;
    /// Throws ApiFailure::AnswerLost at once when the answer is lost, so that the caller can retry with the same change id; the next
    /// call goes to the next server.
    PublishAnswer publish(const PublishRequest&) override;
    std::vector<AuditEntry> audit(const std::string& dataCentre) override;
    void move(const MoveRequest&) override;
    std::vector<WaveStatus> waves() override;
    void setWavePaused(const std::string& wave, bool paused) override;

private:
    enum class Idempotency {
        Idempotent,
        NotIdempotent,
    };

    HttpApiClient(ApiSettings, HttpTransport&);
    /// Throws ApiError when no server answers; error statuses are returned.
    HttpReply call(const std::string& method, const std::string& path, const std::string& body, Idempotency);
    /// The body of a successful answer; throws ApiError for an error status too.
    std::string get(const std::string& path);

    ApiSettings m_settings;
    HttpTransport& m_transport;
    std::size_t m_preferredServer = 0; ///< Index of the server to try first: the one that answered last, or the one after a lost answer.
};

} // namespace Ctl
