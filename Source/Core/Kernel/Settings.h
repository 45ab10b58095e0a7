#pragma once

/// Settings of one entry host, read once at start from JSON with comments.

#include "Common/Result.h"
#include "Kernel/SettingsError.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace Kernel {

/// Listener for callers.
struct CallersSection {
    std::string listen; ///< "ip:port".
    unsigned threads = 2;
    std::chrono::milliseconds readTimeout { 10000 };
};

/// Another entry host that is known before any membership is.
struct PeerSeed {
    std::string host;
    std::string address; ///< "ip:port" of its peer listener.
    std::string dataCentre;
};

/// Listener for peers, and the peers to ask first.
struct PeersSection {
    std::string listen; ///< "ip:port".
    std::chrono::milliseconds reconnectDelay { 200 };
    std::vector<PeerSeed> seeds;
};

/// An operator who may call the administration API.
struct OperatorAccount {
    std::string name;
    std::string token; ///< Bearer token; never logged.
};

/// Listener for the administration API, and who may use it.
struct OperatorsSection {
    std::string listen; ///< "ip:port".
    std::vector<OperatorAccount> accounts;
};

/// Where the platform's services are.
struct PlatformSection {
    std::string kind = "etcd"; ///< Registered name of the platform adapter: "etcd" or "embedded".
    std::string keyValueAddress; ///< "ip:port"; unused by "embedded".
    std::string hostListAddress; ///< "ip:port"; unused by "embedded".
    std::chrono::milliseconds callTimeout { 2000 };
};

/// Registered names of the other adapters.
struct AdaptersSection {
    std::string callers = "pistache";
    std::string upstreams = "curl";
    std::string peers = "nghttp2";
    std::string operators = "pistache";
};

/// Bounds and timings of the decisions.
struct LimitsSection {
    std::size_t maximumBodyBytes = 1 << 20;
    std::size_t maximumAnswerBytes = 4 << 20;
    std::chrono::milliseconds defaultDeadline { 10000 };
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds claimRetention { 600000 };
    std::chrono::milliseconds clockSkewAllowance { 5000 };
    std::chrono::milliseconds heartbeat { 500 };
    std::chrono::milliseconds suspectAfter { 2000 };
    std::chrono::milliseconds viewLease { 5000 };
    std::chrono::milliseconds drainLimit { 60000 };
};

/// What the operators pay for; only the ratios count.
struct WeightsSection {
    double bufferCost = 1.0;
    double rollOutTime = 1.0;
    double moves = 1.0;
};

/// The job subsystem; off while no platform is named.
struct JobsSection {
    std::string platform; ///< Registered name of the job platform; empty to run without jobs.
    std::string readyListen; ///< "ip:port" of the balancer's readiness check.
    std::string machineAddress; ///< "ip:port" of the machine service.
    std::string adviceAddress; ///< "ip:port" of the teams' advice service; may be empty.
    std::chrono::milliseconds workerLease { 6000 };
    std::chrono::milliseconds stateRetention { 120000 };
    std::chrono::milliseconds holderSilence { 3000 };
    std::chrono::milliseconds stopGrace { 6000 };
    double moveSeconds = 1.5;
    double maintenanceSeconds = 2;
    double remoteFactor = 1;
    double processorShare = 1; ///< Of a core that this host has.
    bool movesMachines = true;
};

/// Where logs go.
struct LoggingSection {
    std::string level = "info"; ///< One of trace, debug, info, warn, error.
    std::string file; ///< Empty for the console.
    bool json = true;
    bool standardOutput = false; ///< Of the console: standard output in place of standard error.
    unsigned bufferedEvents = 0; ///< Of the job subsystem, written by a thread of their own; more are dropped and counted. Zero writes each at once.
};

/// The whole of the settings.
struct Settings {
    std::string host;
    std::string dataCentre;
    std::string region;
    unsigned workerThreads = 2;
    CallersSection callers;
    PeersSection peers;
    OperatorsSection operators;
    PlatformSection platform;
    AdaptersSection adapters;
    LimitsSection limits;
    WeightsSection weights;
    JobsSection jobs;
    LoggingSection logging;

    /// Reads a file. The error lists every issue found, each with its line.
    static Common::Result<Settings, SettingsError> create(const std::string& path);

    /// Reads a text; `name` stands for the file in errors.
    static Common::Result<Settings, SettingsError> parse(const std::string& text, const std::string& name);

    /// Every setting with its default, accepted range and meaning, one a line, for `--help settings`.
    static std::string help();
};

} // namespace Kernel
