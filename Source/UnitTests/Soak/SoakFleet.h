#pragma once

/// Real hosts of the job subsystem as processes, against the stand-in platform through proxies, under random faults.

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

/// Of one soak.
struct SoakSettings {
    std::uint64_t seed = 1;
    std::chrono::seconds faults { 20 }; ///< How long faults go on; jobs have as long again, at most, to complete.
    unsigned hosts = 3;
    unsigned workers = 5;
    unsigned firstPort = 21000; ///< Five for each host.
    std::string program;
    std::string logDirectory;
    std::chrono::milliseconds submitInterval { 60 };
    bool hasFaults = true;
    bool isDemo = false; ///< One host is killed and one worker crashes, in place of random faults.
};

/// What callers and workers saw.
struct SoakResult {
    unsigned accepted = 0;
    unsigned refused = 0;
    unsigned unknown = 0;
    unsigned completed = 0;
    unsigned faults = 0;
    std::vector<std::string> broken; ///< Promises that were broken.
};

/// Runs one soak to its end.
class SoakFleet {
public:
    explicit SoakFleet(SoakSettings);
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

    /// What a caller knows of its job.
    struct Job {
        std::string id;
        unsigned tasks = 0;
        unsigned tries = 0;
        bool isAccepted = false;
        bool isRefusedOnly = true; ///< Every try was surely refused.
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
    void signalHangUp();
    void takeStoreDown();
    void crashWorker();
    void disturbProxy();
    void healProxies();
    void endFaults();
    void waitForCompletion(std::chrono::milliseconds left);
    void finish();
    void check();
    unsigned draw(unsigned below);
    std::string url(const Host&, const std::string& id) const;
    void call(const std::string& method, const std::string& target, const std::string& body, std::function<void(int status, const std::string& body)>);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<Adapters::CurlClient> m_client;
    std::unique_ptr<PlatformAdapter::PlatformServer> m_platform;
    std::vector<std::unique_ptr<SoakProxy>> m_workerProxies;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::shared_ptr<Job>> m_jobs;
    unsigned m_submissionsUnderWay = 0;
    SoakResult m_result;
    bool m_isOver = false; ///< No more faults and jobs.
};
