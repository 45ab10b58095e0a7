#include "Kernel/EntryHost.h"

#include "Kernel/ControlService.h"
#include "Kernel/Logging.h"
#include "Kernel/OperatorApi.h"
#include "Kernel/RequestService.h"
#include "Ports/OperatorPort.h"
#include "Ports/PortError.h"

#include <algorithm>
#include <exception>
#include <random>
#include <thread>
#include <utility>

namespace Kernel {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds requestTickInterval { 20 }; ///< Answers at deadlines are at most this late.
    constexpr milliseconds controlTickInterval { 100 };
    constexpr milliseconds balancerGrace { 1000 }; ///< Time for the balancer and the peers to notice that this host isn't ready.
    constexpr milliseconds drainReportInterval { 1000 };
    constexpr milliseconds leaveTimeout { 3000 };
    constexpr unsigned connectionsPerUpstream = 64;
    constexpr unsigned maximumEntryHosts = 8; ///< Entry hosts that share an upstream's connections.

    std::uint64_t newIncarnation()
    {
        std::random_device device;
        // Claim tokens carry the lower 32 bits, so those must not be zero either.
        return (static_cast<std::uint64_t>(device()) << 32) | (device() | 1U);
    }

    template<typename Port>
    std::unique_ptr<Port> require(std::unique_ptr<Port> port, const std::string& name)
    {
        if (!port)
            throw KernelError("no adapter is registered under the name " + name);
        return port;
    }

} // namespace

struct EntryHost::Private {
    explicit Private(Settings hostSettings);
    void serve(const std::atomic<bool>& stopRequested);
    void drain();
    void waitForRequests();
    void tickUntil(Common::Instant, const std::function<bool()>& done);
    void tick(Common::Instant now);
    void stopPorts();

    Settings settings;
    std::uint64_t incarnation;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Ports::CallerPort> callers;
    std::unique_ptr<Ports::UpstreamPort> upstreams;
    std::unique_ptr<Ports::PeerPort> peers;
    std::unique_ptr<Ports::PlatformPort> platform;
    std::unique_ptr<Ports::OperatorPort> operators;
    std::unique_ptr<WorkerPool> workers;
    std::unique_ptr<RequestService> requests;
    std::unique_ptr<ControlService> control;
    std::unique_ptr<OperatorApi> api;
    Common::Instant nextControlTick {};
};

EntryHost::Private::Private(Settings hostSettings)
    : settings(std::move(hostSettings))
    , incarnation(newIncarnation())
    , metrics(Metrics::create())
{
    const auto& names = settings.adapters;
    const Ports::CallerSettings callerSettings { settings.callers.listen, settings.callers.threads, settings.limits.maximumBodyBytes, settings.limits.defaultDeadline, settings.callers.readTimeout };
    callers = require(Ports::CallerPortRegistry::instance().create(names.callers, callerSettings), names.callers);
    const Ports::UpstreamSettings upstreamSettings { connectionsPerUpstream / maximumEntryHosts, settings.limits.connectTimeout, settings.limits.maximumAnswerBytes };
    upstreams = require(Ports::UpstreamPortRegistry::instance().create(names.upstreams, upstreamSettings), names.upstreams);
    Ports::PeerSettings peerSettings;
    peerSettings.self = settings.host;
    peerSettings.listenAddress = settings.peers.listen;
    peerSettings.reconnectDelay = settings.peers.reconnectDelay;
    peers = require(Ports::PeerPortRegistry::instance().create(names.peers, peerSettings), names.peers);
    const Ports::PlatformSettings platformSettings { settings.platform.keyValueAddress, settings.platform.hostListAddress, settings.platform.callTimeout, settings.dataCentre };
    platform = require(Ports::PlatformPortRegistry::instance().create(settings.platform.kind, platformSettings), settings.platform.kind);
    operators = require(Ports::OperatorPortRegistry::instance().create(names.operators, Ports::OperatorSettings { settings.operators.listen }), names.operators);
    workers = WorkerPool::create(settings.workerThreads);
    requests = RequestService::create(settings, incarnation, { *callers, *upstreams, *peers }, *workers, *metrics);
    control = ControlService::create(settings, incarnation, { *platform, *peers }, *requests, *workers, *metrics);
    api = OperatorApi::create(settings, *control, *requests, *metrics);
}

void EntryHost::Private::tickUntil(Common::Instant until, const std::function<bool()>& done)
{
    for (auto now = Common::BootClock::now(); now < until && !done(); now = Common::BootClock::now()) {
        try {
            tick(now);
        } catch (const std::exception& e) {
            // As in WorkerPool, one failing event must not end the process.
            Logging::write(LogLevel::Error, "kernel", std::string("a tick failed; continuing with the next one: ") + e.what());
        }
        std::this_thread::sleep_for(requestTickInterval);
    }
}

void EntryHost::Private::tick(Common::Instant now)
{
    requests->run([](auto& core, Decision::Moment at) { core.tick(at); });
    if (now < nextControlTick)
        return;
    nextControlTick = now + controlTickInterval;
    control->tick();
}

void EntryHost::Private::serve(const std::atomic<bool>& stopRequested)
{
    platform->start();
    peers->start(*control);
    upstreams->start(*requests);
    operators->start(*api);
    callers->start(*requests);
    Logging::write(LogLevel::Info, "kernel", "started", { {}, {}, {}, { { "host", settings.host }, { "dataCentre", settings.dataCentre } } });
    tickUntil(Common::Instant::max(), [&] { return stopRequested.load(); });
}

void EntryHost::Private::waitForRequests()
{
    const auto until = Common::BootClock::now() + settings.limits.drainLimit;
    const auto isDone = [&] { return requests->inFlight() == 0 && callers->unanswered() == 0; };
    for (auto now = Common::BootClock::now(); now < until && !isDone(); now = Common::BootClock::now()) {
        Logging::write(LogLevel::Info, "kernel", "waiting for requests in flight",
            { {}, {}, {}, { { "requests", std::to_string(requests->inFlight()) }, { "unanswered", std::to_string(callers->unanswered()) } } });
        tickUntil(std::min(until, now + drainReportInterval), isDone);
    }
}

void EntryHost::Private::drain()
{
    Logging::write(LogLevel::Info, "kernel", "draining");
    control->beginDrain();
    tickUntil(Common::BootClock::now() + balancerGrace, [] { return false; });
    waitForRequests();
    if (requests->inFlight() > 0)
        Logging::write(LogLevel::Warn, "kernel", "the drain limit has passed; stopping with requests in flight");
    control->leave();
    tickUntil(Common::BootClock::now() + leaveTimeout, [&] { return control->hasLeft(); });
}

void EntryHost::Private::stopPorts()
{
    callers->stop();
    operators->stop();
    peers->stop();
    upstreams->stop();
    platform->stop();
    workers->stop();
}

EntryHost::EntryHost(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

EntryHost::~EntryHost() = default;

Common::Result<std::unique_ptr<EntryHost>, KernelError> EntryHost::create(Settings settings)
{
    try {
        return std::unique_ptr<EntryHost>(new EntryHost(std::make_unique<Private>(std::move(settings))));
    } catch (const Common::Error& e) {
        return KernelError(e.what());
    }
}

void EntryHost::run(const std::atomic<bool>& stopRequested)
{
    try {
        m_private->serve(stopRequested);
    } catch (const Ports::PortError& e) {
        m_private->stopPorts();
        throw KernelError(e.what());
    }
    m_private->drain();
    m_private->stopPorts();
    Logging::write(LogLevel::Info, "kernel", "stopped");
}

} // namespace Kernel
