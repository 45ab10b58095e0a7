/// marigoldstile: runs one entry host. Exit codes: 0 stopped by a signal or settings valid, 1 could not start or failed, 2 usage error
/// or invalid settings.

#include "Jobs/Host/JobHost.h"
#include "Kernel/EntryHost.h"
#include "Kernel/Logging.h"
#include "Kernel/Settings.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>

DEFINE_string(settings, "", "settings file of this host, JSON with comments; defaults to the file named by MARIGOLDSTILE_SETTINGS");
DEFINE_bool(check, false, "validate the settings, print every error and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/// Set by SIGTERM and SIGINT; EntryHost::run() returns after a graceful shutdown once it is set. A JobHost
/// replaces the signal handlers by its own.
std::atomic<bool> stopRequested { false };

void handleStopSignal(int)
{
    stopRequested = true;
}

/// A topic of `marigoldstile --help TOPIC`.
struct HelpTopic {
    const char* name;
    std::string (*text)();
};

std::string usageText()
{
    return "Runs one entry host.\n\n"
           "  marigoldstile --settings FILE          serve until SIGTERM or SIGINT\n"
           "  marigoldstile --settings FILE --check  validate the settings, print every error and exit\n"
           "Without --settings, the file named by the environment variable MARIGOLDSTILE_SETTINGS is read.\n\n"
           "  marigoldstile --help TOPIC             one of: usage, settings, exit-codes, signals\n";
}

std::string exitCodesText()
{
    return "0  stopped by a signal, or the settings are valid\n"
           "1  could not start or failed, for example because an address is in use\n"
           "2  usage error or invalid settings\n";
}

std::string signalsText()
{
    return "SIGTERM, SIGINT  graceful shutdown: report not ready to the load balancer, finish requests in flight, leave the view, exit\n";
}

int help(const std::string& topic)
{
    static const HelpTopic s_topics[] = {
        { "usage", usageText },
        { "settings", Kernel::Settings::help },
        { "exit-codes", exitCodesText },
        { "signals", signalsText },
    };
    for (const auto& it : s_topics) {
        if (topic == it.name || topic.empty()) {
            std::cout << it.text();
            return exitOk;
        }
    }
    std::cerr << "no help topic '" << topic << "'; topics: usage, settings, exit-codes, signals\n";
    return exitUsage;
}

int serveJobs(const Kernel::Settings& settings)
{
    auto host = Jobs::JobHost::create(settings);
    if (!host) {
        std::cerr << host.error().what() << "\n";
        return exitFailed;
    }
    try {
        host.value()->run();
    } catch (const Kernel::KernelError& e) {
        std::cerr << e.what() << "\n";
        return exitFailed;
    }
    return exitOk;
}

int serve(const Kernel::Settings& settings)
{
    auto logging = Kernel::Logging::create(settings.logging);
    if (!logging) {
        std::cerr << logging.error().what() << "\n";
        return exitUsage;
    }
    if (!settings.jobs.platform.empty())
        return serveJobs(settings);
    auto host = Kernel::EntryHost::create(settings);
    if (!host) {
        std::cerr << host.error().what() << "\n";
        return exitFailed;
    }
    try {
        host.value()->run(stopRequested);
    } catch (const Kernel::KernelError& e) {
        std::cerr << e.what() << "\n";
        return exitFailed;
    }
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && (std::string(argv[1]) == "--help" || std::string(argv[1]) == "help"))
        return help(argc > 2 ? argv[2] : "");
    gflags::SetUsageMessage("runs one entry host; see marigoldstile --help");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const char* path = std::getenv("MARIGOLDSTILE_SETTINGS"); path && FLAGS_settings.empty())
        FLAGS_settings = path;
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings FILE is required\n";
        return exitUsage;
    }
    const auto settings = Kernel::Settings::create(FLAGS_settings);
    if (!settings) {
        std::cerr << settings.error().what() << "\n";
        return exitUsage;
    }
    if (FLAGS_check) {
        std::cout << "the settings are valid\n";
        return exitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, handleStopSignal);
    std::signal(SIGINT, handleStopSignal);
    return serve(settings.value());
}
