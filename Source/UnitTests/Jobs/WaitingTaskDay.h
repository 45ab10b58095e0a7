#pragma once

/// A random day of a small fleet, for finding tasks that wait although workers have room for them.

#include "JobFleet.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// What a day is drawn from. Times are in virtual time.
struct WaitingTaskDayOptions {
    std::uint64_t seed = 1;
    std::chrono::milliseconds impairedFor { 20000 }; ///< Jobs and faults come until then.
    std::chrono::milliseconds calmFor { 14000 }; ///< From then until the check; the platform's time for jobs to finish.
    bool logsTime = false; ///< Writes the time to the log, of which the events have none.
};

/// The longest time that a task has waited during the check, although it would have fitted twice.
struct LongestWait {
    std::chrono::milliseconds time { 0 };
    Jobs::TaskKey task;
};

/// Plays a day of short and lasting jobs, of which some crash their workers, beside faults of hosts, workers, network and store.
class WaitingTaskDay {
public:
    explicit WaitingTaskDay(const WaitingTaskDayOptions&);

    /// Plays the whole day, and checks all tasks at its end.
    void play();

    /// Tasks of jobs with nothing else running, by the platform's rule only where less than half of the capacity is in use.
    const LongestWait& longestWait() const { return m_longestWait; }
    /// The same of each lasting task, however much is in use.
    const LongestWait& longestLastingWait() const { return m_longestLastingWait; }
    /// Jobs that were accepted, don't crash workers, and are shown as failed.
    unsigned wronglyFailed() const;
    /// Jobs shown as failed of which no task had two workers crash while they ran it. No task of a day fails by itself.
    std::vector<Jobs::JobId> givenUpEarly() const;
    /// Lasting jobs shown as failed that have no crashing task.
    std::vector<Jobs::JobId> lastingGivenUp() const;
    unsigned duplicateRuns() const { return m_fleet.runMonitor.duplicateRuns; }
    std::size_t acceptedJobs() const { return m_accepted.size(); }
    std::size_t unfinishedJobs() const;
    unsigned workerCrashes() const { return m_fleet.workerCrashes; }
    /// One line about the fleet, for a person who looks into a seed.
    std::string description() const;

private:
    struct JobRecord {
        Jobs::JobSpec spec;
        Jobs::JobState state = Jobs::JobState::Queued;
    };
    struct Wait {
        std::chrono::milliseconds time { 0 };
        Common::Instant latestRun {}; ///< When the task last ran.
    };
    using Fault = void (WaitingTaskDay::*)();

    unsigned draw(unsigned limit) { return static_cast<unsigned>(m_random() % limit); }
    unsigned drawFrom(unsigned least, unsigned most) { return least + draw(most - least + 1); }
    std::chrono::milliseconds drawTime(unsigned least, unsigned most) { return std::chrono::milliseconds(drawFrom(least, most)); }
    template<class Map>
    const std::string& drawName(const Map& map) { return std::next(map.begin(), draw(static_cast<unsigned>(map.size())))->first; }

    void drawFleet();
    void submitSome();
    void submit(Jobs::JobSpec, unsigned crashingPermille);
    void call(Ports::JobVerb, const std::string& id, std::optional<Jobs::JobSpec>, Ports::JobReply);
    void askForStates();
    void injectFault();
    void crashWorker();
    void crashWorkers();
    void cutWorker();
    void cutWorkers();
    void killOwner();
    void pauseOwner();
    void cutOwnerFromStore();
    void takeStoreDown();
    void loseAnswers();
    void delayStarts();
    void refuseStarts();
    void failMachineLists();
    void unpublishWorkers();
    void endImpairments();
    /// Jobs that were accepted and are shown as failed.
    std::vector<Jobs::JobId> failedJobs() const;
    bool hasCrashingTask(const Jobs::JobId&) const;
    void sampleWaits(std::chrono::milliseconds interval);
    Jobs::Resources usedOn(const FakeWorker&) const;
    void addWait(const Jobs::TaskKey&, bool isWaiting, std::chrono::milliseconds interval, LongestWait&);

    WaitingTaskDayOptions m_options;
    std::mt19937_64 m_random;
    JobFleet m_fleet;
    unsigned m_coresPerWorker;
    unsigned m_crashingPermille = 0;
    unsigned m_crashingLastingPermille = 0;
    unsigned m_jobsPerSecond = 0;
    unsigned m_faultsPerTenSeconds = 0;
    std::chrono::milliseconds m_crashDelay { 10 };
    unsigned m_lastJob = 0;
    std::map<Jobs::JobId, JobRecord> m_submitted;
    std::set<Jobs::JobId> m_accepted;
    std::map<Jobs::TaskKey, Wait> m_waits;
    std::map<std::string, Common::Instant> m_upSince; ///< By worker.
    LongestWait m_longestWait;
    LongestWait m_longestLastingWait;
};
