#pragma once

/// A small deployment for one trial: the platform and eight executors as stand-ins, a client, and hosts that run.sh has started. A
/// case derives from it, submits jobs and causes its disruption.

#include "Adapters/Platform/CurlClient.h"
#include "Executor.h"
#include "Platform.h"
#include "Record.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review {

struct TrialSettings {
    std::vector<std::string> hosts; ///< Addresses at which the hosts take calls of clients.
    std::string directory; ///< Where the addresses of the platform are written.
    std::string recordPath;
    std::size_t executorsOfFirst = 8; ///< Executors of the first service; the others are of the second.
    std::string trouble = "1"; ///< "0": the same without the disruption. A name: with that part of it only.
};

/// A job as the client sees it.
struct Job {
    std::string path; ///< Prefix of its queue and id.
    std::string id;
    std::string body;
    bool isAccepted = false;
    Common::Instant acceptedAt {};
    std::string state; ///< As last shown.
};

class Trial {
public:
    explicit Trial(TrialSettings);
    virtual ~Trial() = default;
    Trial(const Trial&) = delete;
    Trial& operator=(const Trial&) = delete;

    /// Runs the trial. Returns 1 if a rule was broken, 0 if not, 2 if the trial couldn't run.
    int run();

protected:
    /// Called once the hosts serve. Ends with a call of awaitJobs() or finish().
    virtual void begin() = 0;
    /// Called for each state that a job is shown in.
    virtual void onShown(const Job&) { }
    /// Called when a GET for an accepted job was answered 410.
    virtual void onUnknown(const Job&, milliseconds /*sinceAcceptance*/) { }

    /// Submits a job with one step of equal tasks, again until it is accepted. The id is derived from the number.
    void submit(unsigned tasks, milliseconds length, std::int64_t milliCores);
    /// The same for a job whose tasks last, and of which so many may be away by the system's orders.
    void submitLasting(unsigned tasks, unsigned mayMiss, std::int64_t milliCores);
    /// The same for a job of the second queue, with steps that follow each other.
    void submitSteps(std::size_t steps, unsigned tasks, milliseconds length, std::int64_t milliCores);
    /// Writes a configuration without the second queue.
    void removeSecondQueue();
    /// Writes a configuration with the second queue again, now for the first service.
    void addSecondQueueToFirstService();
    /// Sends the submissions of all accepted jobs again.
    void submitOnceMore();
    /// Lets run.sh stop and start the hosts in turn.
    void restartHosts();
    /// Asks for the states of all jobs, until the trial ends.
    void showRepeatedly();
    /// Asks for the states of all jobs until all are final, at most so long, and ends the trial.
    void awaitJobs(milliseconds limit);
    void finish(const std::string& problem = {});
    void after(milliseconds delay, std::function<void()> task) { m_loop->after(delay, std::move(task)); }
    bool isTroubled() const { return m_settings.trouble != "0"; }
    bool hasTrouble(const std::string& part) const { return m_settings.trouble == "1" || m_settings.trouble == part; }
    Record& record() { return *m_record; }
    TaskLedger& ledger() { return *m_ledger; }
    Platform& platform() { return *m_platform; }
    std::size_t executorCount() const { return m_executors.size(); }
    Executor& executor(std::size_t n) { return *m_executors.at(n); }
    /// Crashes an executor, and starts it again after a while. With another id the whole machine is down meanwhile.
    void crash(std::size_t n, milliseconds pause, const std::string& newId = {});

private:
    using Answer = std::function<void(int status, const std::string& body)>;

    void addJob(const std::string& prefix, Json::Value steps, milliseconds length);
    /// `secondService` is that of the second queue; empty for no such queue.
    void configure(unsigned version, const std::string& secondService);
    void call(const std::string& method, const std::string& path, const std::string& body, Answer);
    void awaitHosts(unsigned attempts);
    void submitAgain(const std::shared_ptr<Job>&);
    void show(const std::shared_ptr<Job>&);
    void heartbeat();
    Json::Value listMachines();

    TrialSettings m_settings;
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<Record> m_record;
    std::unique_ptr<TaskLedger> m_ledger;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::unique_ptr<Platform> m_platform;
    std::unique_ptr<Adapters::CurlClient> m_client;
    std::map<std::size_t, Common::Instant> m_downSince; ///< Executors that are down.
    std::set<std::string> m_machinesDown; ///< Machines whose executor won't come back under its id.
    std::vector<std::shared_ptr<Job>> m_jobs;
    std::size_t m_nextHost = 0;
    int m_exitCode = 2;
    bool m_isOver = false;
};

} // namespace Review
