#pragma once

/// A small deployment on loopback addresses: entry hosts as separate processes, with stand-ins for the store, the machine service and the
/// executors, and clients' calls.

#include "Executors.h"
#include "Record.h"
#include "Store.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

struct DeploymentSettings {
    std::string program; ///< The command of the deploy file.
    std::string directory; ///< For settings files and logs.
    std::string recordFile;
    unsigned hosts = 6;
};

/// A queue of the configuration.
struct QueueSetting {
    std::string name;
    std::string service;
    unsigned maximumAttempts = 2;
};

/// When the steps of a job are due; once and at once without `repeatCount`.
struct Schedule {
    Json::UInt64 repeatCount = 0;
    Json::UInt64 firstRunMs = 0;
    Json::UInt64 intervalMs = 0;
};

/// The case couldn't run, which says nothing about the program.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Deployment {
public:
    explicit Deployment(const DeploymentSettings&);
    /// Ends all processes that were started.
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() { return *m_store; }
    Executors& executors() { return *m_executors; }
    Record& record() { return *m_record; }

    /// Writes the next version of the configuration.
    void configure(const std::vector<QueueSetting>&);
    /// Starts the hosts and waits until all are ready and each service's jobs and the machines have a holder.
    void start();
    /// The host that holds the jobs of a service, as the platform's store shows it; nothing without one.
    std::optional<unsigned> holderOf(const std::string& service);
    /// A host that is none of these and holds nothing.
    unsigned hostWithoutDuty(const std::vector<unsigned>& others);

    /// Stops the host's process, or lets it continue.
    void freeze(unsigned host, bool isFrozen);

    /// Hands a job in, once; records the call and its answer.
    int submit(unsigned host, const std::string& queue, const std::string& job, const Json::Value& steps, const Schedule& schedule = {});
    /// Hands a job in until it is accepted, as clients do after a 503 and without an answer; throws CannotRun after the time.
    void submitUntilAccepted(unsigned host, const std::string& queue, const std::string& job, const Json::Value& steps, milliseconds limit);
    int cancel(unsigned host, const std::string& queue, const std::string& job);
    /// The state that a host shows of a job; empty without an answer.
    std::string stateOf(unsigned host, const std::string& queue, const std::string& job);
    /// Waits until a run of the task has been seen; false after the time.
    bool awaitRun(const std::string& job, milliseconds limit);

private:
    struct Host {
        std::string name;
        unsigned callers = 0;
        unsigned ready = 0;
        pid_t process = 0;
    };

    void startHost(unsigned number);
    std::string settingsOf(unsigned number, const Host&) const;
    HttpResponse call(unsigned host, const std::string& method, const std::string& queue, const std::string& job, const std::string& body);

    DeploymentSettings m_settings;
    std::unique_ptr<Record> m_record;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<Executors> m_executors;
    std::vector<Host> m_hosts;
    std::vector<std::string> m_services;
    unsigned m_version = 0;
};

/// A step for submit().
Json::Value stepOf(unsigned tasks, unsigned milliCores, milliseconds estimate);
void pause(milliseconds);

} // namespace Review
