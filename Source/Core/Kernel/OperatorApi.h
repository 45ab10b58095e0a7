#pragma once

/// The administration API over HTTP (docs/OPERATORS.md): routes, authorisation and JSON.

#include "Kernel/ControlService.h"
#include "Kernel/Metrics.h"
#include "Kernel/Settings.h"
#include "Ports/OperatorPort.h"

#include <memory>

namespace Kernel {

/// Handles operators' requests. /health, /ready and /metrics are public; everything else needs an operator's bearer
/// token, unless the settings name no operators. Thread-safe.
class OperatorApi : public Ports::OperatorSink {
public:
    /// Everything passed by reference must outlive the API.
    static std::unique_ptr<OperatorApi> create(const Settings&, ControlService&, RequestService&, Metrics&);

    void onOperatorRequest(Ports::OperatorRequest, Ports::OperatorReplyCallback) override;

private:
    struct Call {
        Ports::OperatorRequest request;
        std::string operatorName; ///< Empty when the token is unknown.
        Ports::OperatorReplyCallback reply;
    };

    struct Route {
        const char* method;
        const char* path;
        bool isPublic; ///< Needs no token.
        void (OperatorApi::*handle)(Call&);
    };

    OperatorApi(const Settings&, ControlService&, RequestService&, Metrics&);
    /// Null when no route matches; `pathKnown` is set when the path exists for any method.
    static const Route* findRoute(const std::string& method, const std::string& path, bool& pathKnown);
    /// A pattern may contain one '*', which matches one or more characters.
    static bool matchesPattern(const std::string& path, const std::string& pattern);
    /// Name of the operator with the token; empty when there is none. "anonymous" when the settings name no operators.
    std::string authenticate(const std::string& token) const;

    void health(Call&);
    void ready(Call&);
    void metrics(Call&);
    void status(Call&);
    void pools(Call&);
    void configuration(Call&);
    void validate(Call&);
    void publish(Call&);
    void audit(Call&);
    void move(Call&);
    void waves(Call&);
    void pauseWave(Call&);
    void resumeWave(Call&);
    /// Copies the control service's figures to the metrics, once per scrape.
    void publishControlMetrics();
    /// Publishes the configuration in force with the wave paused or resumed.
    void editWave(Call&, bool paused);
    void publishDocument(Call&, Decision::PublishRequest);

    const Settings& m_settings;
    ControlService& m_control;
    RequestService& m_requests;
    Metrics& m_metrics;
};

} // namespace Kernel
