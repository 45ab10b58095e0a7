#pragma once

/// Soak test of the job subsystem: real host processes use the platform stand-in through proxies, under random faults.

#include "Adapters/Platform/CurlClient.h"
#include "Process/Process.h"
#include "SoakProxy.h"
#include "Standin/PlatformServer.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct SoakSettings {
    std::uint64_t seed = 1;
    std::chrono::seconds faults { 20 }; ///< Length of the phase with faults; afterwards jobs have this time and 30 s to complete.
    unsigned hosts = 3;
    unsigned workers = 5;
    unsigned firstPort = 21000; ///< Each host uses five consecutive ports.
    std::string program; ///< Path of marigoldstile.
    std::string logDirectory; ///< Existing directory for the hosts' settings and logs.
    std::chrono::milliseconds submitInterval { 60 };
    bool hasFaults = true;
    bool hasBriefRestarts = false; ///< Workers also restart briefly under their ids, and a part of the tasks takes seconds.
    bool isDemo = false; ///< Kills one host and crashes one worker instead of random faults.
};

/// Counts of what callers observed, and violated guarantees.
struct SoakResult {
    unsigned accepted = 0;
    unsigned refused = 0; ///< Attempts that certainly had no effect.
    unsigned unknown = 0; ///< Attempts whose effect is unknown.
    unsigned completed = 0;
    unsigned faults = 0;
    std::vector<std::string> violations; ///< Descriptions of violated guarantees.
};

/// One soak test; run() may be called once.
class SoakFleet {
public:
    explicit SoakFleet(SoakSettings);
    /// Blocks until all jobs have completed or the time for it has passed; then kills the hosts.
    SoakResult run();

private:
    struct Host {
        std::string name;
        unsigned firstPort = 0;
        std::unique_ptr<SoakProxy> store;
        ProcessTests::Process process;
        bool isUp = false;
        bool isFrozen = false;
    };

    /// A job from its caller's point of view.
    struct Job {
        std::string id;
        unsigned tasks = 0;
        std::chrono::milliseconds runTime {}; ///< Of each task.
        unsigned attempts = 0;
        bool isAccepted = false;
        bool isRefusedOnly = true; ///< Every attempt so far certainly had no effect.
        bool isDone = false;
    };

    void startHost(Host&);
    void submitNext();
    void submit(const std::shared_ptr<Job>&);
    void poll(const std::shared_ptr<Job>&);
    void scheduleFault();
    void injectFault();
    void killHost();
    void stopHost();
    void freezeHost();
    void sendHangUp();
    void takeStoreDown();
    void crashWorker();
    /// Two workers crash and are back under their ids soon; calls that arrive in between reach their next incarnations. Each is cut off soon
    /// after in half of the cases.
    void restartBriefly();
    void restartBriefly(unsigned number);
    /// Drops all bytes to and from a worker for some seconds; in half of the cases a host is killed meanwhile.
    void cutWorker(unsigned number);
    void disturbProxy();
    void clearProxyFaults();
    void endFaults();
    void waitForCompletion(std::chrono::milliseconds left);
    void finish();
    void check();
    /// A random number from 0 to `below` - 1.
    unsigned draw(unsigned below);
    std::string url(const Host&, const std::string& id) const;
    /// The status is 0 when the connection broke, and -1 when the call can't have been sent.
    void call(const std::string& method, const std::string& target, const std::string& body, std::function<void(int status, const std::string& body)>);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<Adapters::CurlClient> m_client;
    std::unique_ptr<PlatformAdapter::PlatformServer> m_platform;
    std::vector<std::unique_ptr<SoakProxy>> m_workerProxies;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::shared_ptr<Job>> m_jobs;
    unsigned m_pendingSubmissions = 0;
    SoakResult m_result;
    bool m_haveFaultsEnded = false; ///< The phase with faults has ended: no new faults and jobs.
};
