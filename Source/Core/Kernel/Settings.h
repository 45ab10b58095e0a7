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

/// An entry host to contact at start, before the members are known.
struct PeerSeed {
    std::string host;
    std::string address; ///< "ip:port" of its peer listener.
    std::string dataCentre;
};

/// Listener for peers, and the peers to contact at start.
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

/// Adapter and addresses of the platform's services.
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

/// Sizes, timeouts and intervals of request handling and membership.
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

/// Weights of the costs that planning trades off; only their ratios matter.
struct WeightsSection {
    double bufferCost = 1.0;
    double rollOutTime = 1.0;
    double moves = 1.0;
};

/// Job subsystem; disabled while `platform` is empty.
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
    double processorShare = 1; ///< Processor cores of this host; may be a fraction.
    bool movesMachines = true;
};

/// Output of logs and events.
struct LoggingSection {
    std::string level = "info"; ///< One of trace, debug, info, warn, error.
    std::string file; ///< Empty for the console.
    bool json = true;
    bool standardOutput = false; ///< Of the console: standard output instead of standard error.
    unsigned bufferedEvents = 0; ///< Job events that may wait for a background writer; more are dropped and counted. Zero writes each one directly.
};

/// All settings of an entry host.
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

    /// Reads a settings file. The error lists every issue found, each with its line.
    static Common::Result<Settings, SettingsError> create(const std::string& path);

    /// Parses the text of a settings file; errors name it `name`.
    static Common::Result<Settings, SettingsError> parse(const std::string& text, const std::string& name);

    /// Every setting with its description, accepted values and default, for `--help settings`.
    static std::string help();
};

} // namespace Kernel
