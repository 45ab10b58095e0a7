#include "Jobs/Host/JobHost.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/JobNode.h"
#include "Ports/JobPlatform.h"
#include "Ports/PortError.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds readinessDelay { 2600 }; ///< Until the load balancer has seen that the host isn't ready: two checks, 1 s apart.
    constexpr milliseconds exitReserve { 900 }; ///< Part of the stop grace that is kept for the end of the process.
    constexpr milliseconds answerFlushTime { 60 }; ///< For the last answers to be sent before the process ends.
    constexpr milliseconds drainPollInterval { 50 };
    constexpr milliseconds idleTime { 250 }; ///< Without unanswered calls before the listeners close.

    std::uint64_t newIncarnation()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

    JobNodeSettings nodeSettings(const Kernel::Settings& settings)
    {
        constexpr double permille = 1000;
        JobNodeSettings node;
        node.ownership.self = { settings.host, settings.peers.listen, settings.dataCentre, static_cast<unsigned>(settings.jobs.processorShare * permille) };
        node.ownership.incarnation = newIncarnation();
        node.pool.retention = settings.jobs.stateRetention;
        node.pool.remoteFactorPermille = static_cast<unsigned>(settings.jobs.remoteFactor * permille);
        node.session.leaseTime = std::min(node.session.leaseTime, settings.jobs.workerLease);
        node.session.longestLease = settings.jobs.workerLease;
        node.pool.longestLease = settings.jobs.workerLease;
        node.fleet.holderSilence = settings.jobs.holderSilence;
        node.fleet.moveTime = milliseconds(static_cast<std::int64_t>(settings.jobs.moveSeconds * permille));
        node.fleet.maintenanceTime = milliseconds(static_cast<std::int64_t>(settings.jobs.maintenanceSeconds * permille));
        node.fleet.movesMachines = settings.jobs.movesMachines;
        return node;
    }

    Ports::JobPlatformSettings platformSettings(const Kernel::Settings& settings)
    {
        Ports::JobPlatformSettings platform;
        platform.host = settings.host;
        platform.callerAddress = settings.callers.listen;
        platform.readyAddress = settings.jobs.readyListen;
        platform.metricsAddress = settings.operators.listen;
        platform.storeAddress = settings.platform.keyValueAddress;
        platform.machineAddress = settings.jobs.machineAddress;
        platform.adviceAddress = settings.jobs.adviceAddress;
        return platform;
    }

} // namespace

struct JobHost::Private {
    explicit Private(Kernel::Settings hostSettings)
        : settings(std::move(hostSettings))
        , platform(Ports::JobPlatformRegistry::instance().create(settings.jobs.platform, platformSettings(settings)))
    {
        if (!platform)
            throw Kernel::KernelError("no job platform is built in under the name " + settings.jobs.platform);
        Ports::PeerSettings peerSettings;
        peerSettings.self = settings.host;
        peerSettings.listenAddress = settings.peers.listen;
        peerSettings.reconnectDelay = settings.peers.reconnectDelay;
        peers = Ports::PeerPortRegistry::instance().create(settings.adapters.peers, peerSettings);
        if (!peers)
            throw Kernel::KernelError("no adapter is registered under the name " + settings.adapters.peers);
        const JobNodePorts ports { platform->loop(), platform->store(), platform->workers(), platform->machines(), platform->published(), *peers };
        node = std::make_unique<JobNode>(ports, nodeSettings(settings));
    }

    void serve()
    {
        platform->onSignal(SIGTERM, [this] { requestStop("SIGTERM"); });
        platform->onSignal(SIGINT, [this] { requestStop("SIGINT"); });
        platform->onSignal(SIGHUP, [] { writeEvent("host", { "reload-ignored", {}, { { "note", "settings are read at start only, as they name addresses and guarantees of the platform that hold for the life of the process; restart it to apply changes" } } }); });
        peers->start(*node);
        platform->callers().start(*node);
        node->start();
        writeEvent("host", { "started", settings.host, { { "dataCentre", settings.dataCentre }, { "region", settings.region } } });
        platform->run();
    }

    void requestStop(const char* signal)
    {
        if (isStopping)
            return;
        isStopping = true;
        writeEvent("host", { "stopping", settings.host, { { "signal", signal } } });
        stopRequestedAt = platform->loop().now();
        node->leave([] {});
        platform->callers().closeAfterAnswers();
        platform->loop().after(readinessDelay, [this] { drain(); });
    }

    /// Stops once no call has been unanswered for `idleTime`, at the latest `exitReserve` before the stop grace is over.
    void drain()
    {
        const auto now = platform->loop().now();
        if (platform->callers().unanswered() > 0)
            lastUnansweredAt = now;
        const bool isIdle = now - lastUnansweredAt > idleTime && now - stopRequestedAt > readinessDelay + idleTime;
        if (isIdle || now - stopRequestedAt > settings.jobs.stopGrace - exitReserve) {
            writeEvent("host", { "stopped", settings.host, { { "unanswered", std::to_string(platform->callers().unanswered()) } } });
            node->abandon();
            platform->loop().after(answerFlushTime, [this] { platform->stop(); });
            return;
        }
        platform->loop().after(drainPollInterval, [this] { drain(); });
    }

    Kernel::Settings settings;
    std::unique_ptr<Ports::JobPlatform> platform;
    std::unique_ptr<Ports::PeerPort> peers;
    std::unique_ptr<JobNode> node;
    Common::Instant stopRequestedAt {};
    Common::Instant lastUnansweredAt {};
    bool isStopping = false;
};

JobHost::JobHost(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

JobHost::~JobHost() = default;

Common::Result<std::unique_ptr<JobHost>, Kernel::KernelError> JobHost::create(Kernel::Settings settings)
{
    try {
        return std::unique_ptr<JobHost>(new JobHost(std::make_unique<Private>(std::move(settings))));
    } catch (const Common::Error& e) {
        return Kernel::KernelError(e.what());
    }
}

void JobHost::run()
{
    try {
        m_private->serve();
    } catch (const Ports::PortError& e) {
        throw Kernel::KernelError(e.what());
    }
    m_private->platform->callers().stop();
    m_private->peers->stop();
}

} // namespace Jobs
