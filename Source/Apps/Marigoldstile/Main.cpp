/// marigoldstile: one entry host. Exit codes: 0 stopped as asked, 1 could not run, 2 wrong command line or settings.

#include "Kernel/EntryHost.h"
#include "Kernel/Logging.h"
#include "Kernel/Settings.h"

#include <atomic>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "file with the settings of this host, JSON with comments");
DEFINE_bool(check, false, "check the settings, print every error and exit");
DEFINE_bool(explain_settings, false, "print every setting with its default and accepted values, and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

std::atomic<bool> stopAsked { false };

void askToStop(int)
{
    stopAsked = true;
}

int serve(const Kernel::Settings& settings)
{
    auto logging = Kernel::Logging::create(settings.logging);
    if (!logging) {
        std::cerr << logging.error().what() << "\n";
        return exitUsage;
    }
    auto host = Kernel::EntryHost::create(settings);
    if (!host) {
        std::cerr << host.error().what() << "\n";
        return exitFailed;
    }
    try {
        host.value()->run(stopAsked);
    } catch (const Kernel::KernelError& e) {
        std::cerr << e.what() << "\n";
        return exitFailed;
    }
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs one entry host\n\n  marigoldstile --settings FILE [--check]\n  marigoldstile --explain_settings");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_explain_settings) {
        std::cout << Kernel::Settings::help();
        return exitOk;
    }
    if (FLAGS_settings.empty()) {
        std::cerr << "needed: --settings FILE\n";
        return exitUsage;
    }
    const auto settings = Kernel::Settings::create(FLAGS_settings);
    if (!settings) {
        std::cerr << settings.error().what() << "\n";
        return exitUsage;
    }
    if (FLAGS_check) {
        std::cout << "the settings are fine\n";
        return exitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, askToStop);
    std::signal(SIGINT, askToStop);
    return serve(settings.value());
}
