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

    constexpr milliseconds quietTime { 2600 }; ///< For the balancer to see that the host isn't ready: two checks, a second apart.
    constexpr milliseconds exitReserve { 900 }; ///< Of the grace, kept for the end of the process.
    constexpr milliseconds lastAnswers { 60 }; ///< For the answers to what was waiting to leave the process.
    constexpr milliseconds drainStep { 50 };
    constexpr milliseconds lastRequests { 250 }; ///< Without an unanswered call before the listeners close.

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
    explicit Private(Kernel::Settings given)
        : settings(std::move(given))
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
        platform->onSignal(SIGTERM, [this] { beginStop("SIGTERM"); });
        platform->onSignal(SIGINT, [this] { beginStop("SIGINT"); });
        platform->onSignal(SIGHUP, [] { writeEvent("host", { "reload-ignored", {}, { { "note", "the settings name addresses and promises of the platform, which hold for the life of the process" } } }); });
        peers->start(*node);
        platform->callers().start(*node);
        node->start();
        writeEvent("host", { "started", settings.host, { { "dataCentre", settings.dataCentre }, { "region", settings.region } } });
        platform->run();
    }

    void beginStop(const char* signal)
    {
        if (isStopping)
            return;
        isStopping = true;
        writeEvent("host", { "stopping", settings.host, { { "signal", signal } } });
        stoppedAt = platform->loop().now();
        node->leave([] {});
        platform->callers().closeAfterAnswers();
        platform->loop().after(quietTime, [this] { drain(); });
    }

    /// Ends once no call has waited for an answer for a moment, at the latest shortly before the grace is over.
    void drain()
    {
        const auto now = platform->loop().now();
        if (platform->callers().unanswered() > 0)
            lastBusy = now;
        const bool isQuiet = now - lastBusy > lastRequests && now - stoppedAt > quietTime + lastRequests;
        if (isQuiet || now - stoppedAt > settings.jobs.stopGrace - exitReserve) {
            writeEvent("host", { "stopped", settings.host, { { "unanswered", std::to_string(platform->callers().unanswered()) } } });
            node->abandon();
            platform->loop().after(lastAnswers, [this] { platform->stop(); });
            return;
        }
        platform->loop().after(drainStep, [this] { drain(); });
    }

    Kernel::Settings settings;
    std::unique_ptr<Ports::JobPlatform> platform;
    std::unique_ptr<Ports::PeerPort> peers;
    std::unique_ptr<JobNode> node;
    Common::Instant stoppedAt {};
    Common::Instant lastBusy {};
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
