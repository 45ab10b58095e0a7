/// Soak test of the job subsystem with injected faults: runs the real program as processes and checks its guarantees by what callers
/// and workers observe. Exit codes: 0 no violation, 1 some guarantee was violated, 2 invalid command line.
///
///   job_soak --program=PATH --logs=DIRECTORY [--seed=N] [--seeds=N] [--seconds=N] [--hosts=N] [--workers=N] [--nofaults] [--nobrief_restarts]

#include "SoakFleet.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(program, "", "the marigoldstile program");
DEFINE_string(logs, "", "directory for the hosts' logs; one below it for each seed");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds to run, one after the other");
DEFINE_uint32(seconds, 20, "length of the phase with faults in seconds");
DEFINE_uint32(hosts, 3, "hosts");
DEFINE_uint32(workers, 5, "workers");
DEFINE_uint32(first_port, 21000, "first port; each host uses five consecutive ports");
DEFINE_uint32(submit_ms, 60, "milliseconds between submissions");
DEFINE_bool(demo, false, "kill one host and crash one worker instead of random faults");
DEFINE_bool(faults, true, "inject faults");
DEFINE_bool(brief_restarts, true, "workers also restart briefly under their ids, and a part of the tasks takes seconds");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_program.empty() || FLAGS_logs.empty()) {
        std::cerr << "missing option; required: --program=PATH --logs=DIRECTORY\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    unsigned failed = 0;
    for (unsigned n = 0; n < FLAGS_seeds; ++n) {
        SoakSettings settings;
        settings.seed = FLAGS_seed + n;
        settings.faults = std::chrono::seconds(FLAGS_seconds);
        settings.hosts = FLAGS_hosts;
        settings.workers = FLAGS_workers;
        settings.firstPort = FLAGS_first_port;
        settings.program = FLAGS_program;
        settings.submitInterval = std::chrono::milliseconds(FLAGS_submit_ms);
        settings.hasFaults = FLAGS_faults;
        settings.hasBriefRestarts = FLAGS_brief_restarts && !FLAGS_demo;
        settings.isDemo = FLAGS_demo;
        settings.logDirectory = FLAGS_logs + "/seed-" + std::to_string(settings.seed);
        std::filesystem::create_directories(settings.logDirectory);
        const auto result = SoakFleet(settings).run();
        std::printf("seed %lu: %u faults, %u accepted, %u completed, %u refused, %u unknown, %zu violations\n", settings.seed, result.faults, result.accepted, result.completed, result.refused, result.unknown, result.violations.size());
        for (const auto& it : result.violations)
            std::printf("  violation: %s\n", it.c_str());
        std::fflush(stdout);
        failed += result.violations.empty() ? 0 : 1;
    }
    std::printf("%u of %u seeds had violations\n", failed, FLAGS_seeds);
    return failed == 0 ? 0 : 1;
}
