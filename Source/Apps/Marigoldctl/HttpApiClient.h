#pragma once

/// The administration API over HTTP, at the first of several servers that answers.

#include "ApiClient.h"
#include "Common/Result.h"
#include "HttpTransport.h"

#include <memory>
#include <string>
#include <vector>

namespace Ctl {

/// Where to call and as whom.
struct ApiSettings {
    std::vector<std::string> servers; ///< "ip:port" each; tried in this order.
    std::string token; ///< Empty for none.
};

/// Tries the next server when one doesn't answer. A call that must not take effect twice goes on to the next server
/// only while no byte of it was sent.
class HttpApiClient : public ApiClient {
public:
    /// The transport must outlive the client.
    static Common::Result<std::unique_ptr<HttpApiClient>, CtlError> create(ApiSettings, HttpTransport&);

    FleetStatus status() override;
    std::vector<UpstreamPlace> pools() override;
    Configuration configuration() override;
    /// A lost answer is reported at once, so that the caller knows of it; the next try goes to the next server.
    PublishAnswer publish(const PublishCall&) override;
    std::vector<AuditEntry> audit(const std::string& dataCentre) override;
    void move(const MoveCall&) override;
    std::vector<WaveStatus> waves() override;
    void setWavePaused(const std::string& wave, bool paused) override;

private:
    enum class Repeat {
        Harmless,
        Harmful,
    };

    HttpApiClient(ApiSettings, HttpTransport&);
    HttpReply call(const std::string& method, const std::string& path, const std::string& body, Repeat);
    std::string get(const std::string& path);

    ApiSettings m_settings;
    HttpTransport& m_transport;
    std::size_t m_first = 0; ///< The server that answered last; tried first.
};

} // namespace Ctl
