/// Program of the stand-ins; --role selects which one the process runs.

#include "Adapters/Platform/EventLoop.h"
#include "Standins/ExecutorStandin.h"
#include "Standins/LoadRunner.h"
#include "Standins/PlatformStandin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>
#include <uv.h>

DEFINE_string(role, "", "platform, executor or load");
DEFINE_uint32(port, 0, "platform: port of the key-value service and the host list on 127.0.0.1 (0: any free one)");
DEFINE_uint32(admin_port, 0, "platform: port for faults that stays open while the service is down (0: any free one)");
DEFINE_string(addresses, "", "executor: addresses in 127.0.0.0/8, as ip:port,ip:port; instead of --ports");
DEFINE_string(ports, "", "executor: ports on 127.0.0.1, as 18100 or 18100-18111; one executor each");
DEFINE_uint32(slots, 8, "executor: tasks run at once");
DEFINE_uint32(run_ms, 100, "executor: mean run time in milliseconds");
DEFINE_double(jitter, 0.2, "executor: fraction by which run times vary around the mean");
DEFINE_uint64(seed, 1, "executor, load: seed of run times, arrivals and choices");
DEFINE_string(targets, "", "load: caller addresses of entry hosts, as ip:port,ip:port");
DEFINE_string(executors, "", "load: addresses of the executor stand-ins, for reading their run counts, as ip:port,ip:port");
DEFINE_string(services, "", "load: services to call, comma-separated");
DEFINE_string(teams, "", "load: teams of the requests, comma-separated");
DEFINE_string(priorities, "", "load: priorities of the requests, comma-separated");
DEFINE_double(rate, 50, "load: mean requests per second");
DEFINE_double(peak_factor, 5, "load: rate at a peak, as a multiple of the mean");
DEFINE_double(peak_seconds, 3, "load: length of a peak in seconds; 0 for a constant rate");
DEFINE_double(seconds, 20, "load: length of the load in seconds");
DEFINE_uint32(timeout_ms, 5000, "load: deadline of a request in milliseconds");
DEFINE_double(idempotent_share, 0.5, "load: share of requests marked idempotent");
DEFINE_uint32(body_bytes, 200, "load: minimum length of a body in bytes");

namespace {

constexpr int exitViolation = 1; ///< The load found a violated guarantee.
constexpr int exitUsage = 2;
constexpr int stopSignals[] = { SIGTERM, SIGINT };

using Standins::StandinError;

std::vector<std::string> listOf(const std::string& text)
{
    std::vector<std::string> list;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it, ',');) {
        if (!it.empty())
            list.push_back(it);
    }
    return list;
}

std::vector<unsigned> portsOf(const std::string& text)
{
    unsigned first = 0;
    unsigned last = 0;
    const int n = std::sscanf(text.c_str(), "%u-%u", &first, &last);
    if (n < 1 || !first)
        throw StandinError("--ports: expected a port or a range such as 18100-18111");
    std::vector<unsigned> ports;
    for (unsigned it = first; it <= (n == 2 ? last : first); ++it)
        ports.push_back(it);
    return ports;
}

/// Runs the callback on SIGTERM and SIGINT until close().
class StopSignals {
public:
    StopSignals(Adapters::EventLoop& loop, std::function<void()> callback)
        : m_callback(std::move(callback))
    {
        for (std::size_t i = 0; i < std::size(stopSignals); ++i) {
            uv_signal_init(loop.handle(), &m_handles[i]);
            m_handles[i].data = this;
            uv_signal_start(
                &m_handles[i], [](uv_signal_t* it, int) { static_cast<StopSignals*>(it->data)->m_callback(); }, stopSignals[i]);
        }
    }

    void close()
    {
        for (auto& it : m_handles) {
            if (!uv_is_closing(reinterpret_cast<uv_handle_t*>(&it)))
                uv_close(reinterpret_cast<uv_handle_t*>(&it), nullptr);
        }
    }

private:
    std::function<void()> m_callback;
    uv_signal_t m_handles[std::size(stopSignals)] {};
};

int runPlatform()
{
    const auto loop = Adapters::EventLoop::create();
    auto created = Standins::PlatformStandin::create(*loop, { FLAGS_port, FLAGS_admin_port });
    if (!created)
        throw created.error();
    const auto platform = created.take();
    std::unique_ptr<StopSignals> signals;
    signals = std::make_unique<StopSignals>(*loop, [&] {
        platform->shutdown();
        signals->close();
        loop->stop();
    });
    std::printf("platform on 127.0.0.1:%u, faults on 127.0.0.1:%u\n", platform->port(), platform->adminPort());
    std::fflush(stdout);
    loop->run();
    return 0;
}

/// Where an executor listens.
struct ExecutorAddress {
    std::string address;
    unsigned port = 0;
};

std::vector<ExecutorAddress> executorAddresses()
{
    std::vector<ExecutorAddress> addresses;
    if (FLAGS_addresses.empty()) {
        for (const unsigned port : portsOf(FLAGS_ports))
            addresses.push_back({ "127.0.0.1", port });
        return addresses;
    }
    for (const auto& it : listOf(FLAGS_addresses)) {
        const auto colon = it.rfind(':');
        if (!it.starts_with("127.") || colon == std::string::npos)
            throw StandinError("--addresses: expected addresses such as 127.0.1.1:18200, not " + it);
        addresses.push_back({ it.substr(0, colon), static_cast<unsigned>(std::stoul(it.substr(colon + 1))) });
    }
    return addresses;
}

int runExecutors()
{
    const auto loop = Adapters::EventLoop::create();
    std::vector<std::unique_ptr<Standins::ExecutorStandin>> executors;
    for (const auto& [address, port] : executorAddresses()) {
        auto created = Standins::ExecutorStandin::create(*loop,
            { port, FLAGS_slots, std::chrono::milliseconds(FLAGS_run_ms), FLAGS_jitter, FLAGS_seed + port, address });
        if (!created)
            throw created.error();
        executors.push_back(created.take());
    }
    std::unique_ptr<StopSignals> signals;
    signals = std::make_unique<StopSignals>(*loop, [&] {
        for (const auto& it : executors)
            it->shutdown();
        signals->close();
        loop->stop();
    });
    std::printf("%zu executors on %s%s\n", executors.size(), FLAGS_ports.c_str(), FLAGS_addresses.c_str());
    std::fflush(stdout);
    loop->run();
    return 0;
}

Standins::LoadSettings loadSettings()
{
    Standins::LoadSettings settings;
    settings.targets = listOf(FLAGS_targets);
    settings.executors = listOf(FLAGS_executors);
    settings.services = listOf(FLAGS_services);
    settings.teams = listOf(FLAGS_teams);
    settings.priorities = listOf(FLAGS_priorities);
    settings.rate = FLAGS_rate;
    settings.peakFactor = FLAGS_peak_factor;
    settings.peakLength = std::chrono::milliseconds(static_cast<int>(FLAGS_peak_seconds * 1000));
    settings.length = std::chrono::milliseconds(static_cast<int>(FLAGS_seconds * 1000));
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.idempotentShare = FLAGS_idempotent_share;
    settings.bodyBytes = FLAGS_body_bytes;
    settings.seed = FLAGS_seed;
    if (settings.targets.empty() || settings.services.empty())
        throw StandinError("--targets and --services: expected at least one each");
    if (settings.rate <= 0 || settings.peakFactor < 1)
        throw StandinError("--rate: expected more than 0; --peak_factor: expected 1 or more");
    return settings;
}

int runLoad()
{
    const auto loop = Adapters::EventLoop::create();
    const auto runner = Standins::LoadRunner::create(*loop, loadSettings());
    StopSignals signals(*loop, [&] { runner->finishEarly(); });
    int exitCode = exitViolation;
    runner->start([&](const Standins::LoadSummary& summary) {
        std::fputs(Standins::tableOf(summary).c_str(), stdout);
        exitCode = summary.hasNoViolations() ? 0 : exitViolation;
        // Deferred: the client mustn't be shut down from within its own callback.
        loop->post([&] {
            runner->shutdown();
            signals.close();
            loop->stop();
        });
    });
    loop->run();
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-ins for tests and demos: --role=platform, --role=executor or --role=load");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (FLAGS_role == "platform")
            return runPlatform();
        if (FLAGS_role == "executor")
            return runExecutors();
        if (FLAGS_role == "load")
            return runLoad();
        std::fputs("--role: expected platform, executor or load\n", stderr);
    } catch (const Common::Error& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return exitUsage;
}
