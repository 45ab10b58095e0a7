#include "Adapters/Callers/PistacheCallers.h"

#include "Adapters/Callers/HttpEndpoint.h"
#include "Adapters/Callers/RequestReader.h"

#include <utility>

namespace Adapters {

class PistacheCallers::Private {
public:
    Private(const Ports::CallerSettings& settings, CallerGuards guards)
        : m_settings(settings)
        , m_endpoint({ settings.listenAddress, settings.threads, settings.maximumBodyBytes, settings.readTimeout, maximumTimeout }, hooks(), guards)
    {
    }

    void start(Ports::CallerSink& sink)
    {
        m_sink = &sink;
        m_endpoint.start();
    }

    void answer(Ports::CallerHandle handle, const Ports::Answer& answer) { m_endpoint.reply(handle, formatAnswer(answer)); }

    std::size_t unanswered() const { return m_endpoint.unanswered(); }

    void stop() { m_endpoint.stop(); }

private:
    HttpEndpoint::Hooks hooks()
    {
        HttpEndpoint::Hooks result;
        result.request = [this](Ports::CallerHandle handle, const Pistache::Http::Request& request) {
            std::visit([&](auto command) { run(handle, std::move(command)); }, readCommand(request, m_settings));
        };
        result.disconnected = [this](Ports::CallerHandle handle) { m_sink->onCallerDisconnected(handle); };
        return result;
    }

    void run(Ports::CallerHandle handle, RequestFault fault) { m_endpoint.reply(handle, formatFault(fault)); }

    void run(Ports::CallerHandle handle, Ports::CallerRequest request)
    {
        request.handle = handle;
        m_sink->onCallerRequest(std::move(request));
    }

    void run(Ports::CallerHandle handle, const CancelCommand& command)
    {
        m_endpoint.reply(handle, formatCancellation(m_sink->cancelByKey(command.team, command.idempotencyKey)));
    }

    void run(Ports::CallerHandle handle, HealthCheck) { m_endpoint.reply(handle, formatCheck(true)); }

    void run(Ports::CallerHandle handle, ReadinessCheck) { m_endpoint.reply(handle, formatCheck(m_sink->isReady())); }

    Ports::CallerSettings m_settings;
    Ports::CallerSink* m_sink = nullptr;
    HttpEndpoint m_endpoint;
};

PistacheCallers::PistacheCallers(std::unique_ptr<Private> impl)
    : m_impl(std::move(impl))
{
}

PistacheCallers::~PistacheCallers() { stop(); }

Common::Result<std::unique_ptr<PistacheCallers>, Ports::PortError> PistacheCallers::create(const Ports::CallerSettings& settings, CallerGuards guards)
{
    if (settings.threads == 0)
        return Ports::PortError("callers: threads must be at least 1");
    return std::unique_ptr<PistacheCallers>(new PistacheCallers(std::make_unique<Private>(settings, guards)));
}

void PistacheCallers::start(Ports::CallerSink& sink) { m_impl->start(sink); }

void PistacheCallers::answer(Ports::CallerHandle handle, const Ports::Answer& answer) { m_impl->answer(handle, answer); }

std::size_t PistacheCallers::unanswered() const { return m_impl->unanswered(); }

void PistacheCallers::stop() { m_impl->stop(); }

namespace {

    const Ports::CallerPortRegistration registration("pistache", [](const Ports::CallerSettings& settings) -> std::unique_ptr<Ports::CallerPort> {
        auto port = PistacheCallers::create(settings);
        if (!port)
            throw port.error();
        return port.take();
    });

} // namespace

} // namespace Adapters
