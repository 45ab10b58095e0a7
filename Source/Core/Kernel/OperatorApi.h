#pragma once

/// The administration API over HTTP (docs/OPERATORS.md): routes, authorisation and JSON.

#include "Kernel/ControlService.h"
#include "Kernel/Metrics.h"
#include "Kernel/Settings.h"
#include "Ports/OperatorPort.h"

#include <memory>

namespace Kernel {

/// Answers operators. /health, /ready and /metrics are open; everything else needs an operator's token,
/// unless the settings name no operators.
class OperatorApi : public Ports::OperatorSink {
public:
    static std::unique_ptr<OperatorApi> create(const Settings&, ControlService&, RequestService&, Metrics&);

    void onOperatorRequest(Ports::OperatorRequest, Ports::OperatorReplyCallback) override;

private:
    struct Call {
        Ports::OperatorRequest request;
        std::string who;
        Ports::OperatorReplyCallback reply;
    };

    struct Route {
        const char* method;
        const char* path;
        bool open; ///< Needs no token.
        void (OperatorApi::*handle)(Call&);
    };

    OperatorApi(const Settings&, ControlService&, RequestService&, Metrics&);
    static const Route* find(const std::string& method, const std::string& path, bool& pathKnown);
    static bool matches(const std::string& path, const std::string& pattern);
    std::string whoIs(const std::string& token) const;

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
    void publishControlMetrics();
    void editWave(Call&, bool paused);
    void publishDocument(Call&, Decision::PublishRequest);

    const Settings& m_settings;
    ControlService& m_control;
    RequestService& m_requests;
    Metrics& m_metrics;
};

} // namespace Kernel
