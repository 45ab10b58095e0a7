#pragma once

/// A fleet whose first worker restarts under its id while calls to it are late, so that its next incarnation carries them out.

#include "JobFleet.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// What happens to the pool's owner.
enum class OwnerFate {
    Alive,
    Replaced, ///< Its host is killed; another one takes over.
    KilledAndBack, ///< It has the only host, which is back 500 ms later.
};

/// Workers return under their ids. Calls to w0 are late if the test says so.
class FormerCallsFleet : public JobFleet {
public:
    explicit FormerCallsFleet(unsigned workerCount = 3, unsigned hostCount = 1, std::chrono::milliseconds runTime = std::chrono::milliseconds(500))
        : JobFleet(hostCount, workerCount)
    {
        keepsWorkerIds = true;
        downTime = std::chrono::milliseconds(100);
        settle();
        setRunTime(runTime);
    }

    FakeWorkerPort& port() { return *hosts.at(ownerOf("desk"))->workers; }

    /// The next `count` calls of that kind to w0 are late.
    void makeLate(WorkerCall kind, std::chrono::milliseconds delay, unsigned count = 1)
    {
        m_late[kind] = { delay, count };
        port().lateness = [this](WorkerCall call, const std::string& worker) -> std::optional<std::chrono::milliseconds> {
            auto& [late, left] = m_late[call];
            if (worker != "w0" || left == 0)
                return std::nullopt;
            --left;
            return late;
        };
    }

    /// Runs until that many calls of the kind have been made late, for at most 5 s.
    void awaitLateCall(WorkerCall kind)
    {
        for (unsigned n = 0; n < 5000 && m_late[kind].second > 0; ++n)
            runFor(std::chrono::milliseconds(1));
        REQUIRE(m_late[kind].second == 0);
    }

    void submit(unsigned number, const Jobs::JobSpec& spec)
    {
        const auto answer = call(ownerOf("desk"), Ports::JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        REQUIRE(answer->outcome == Ports::JobOutcome::Accepted);
    }

    Jobs::JobState stateOfJob(unsigned number) { return stateOf(hosts.begin()->first, jobId(number)); }

    /// All jobs up to that number have been done, and no task has run twice.
    void checkDone(unsigned jobs)
    {
        for (unsigned n = 1; n <= jobs; ++n) {
            CAPTURE(n);
            CHECK(stateOfJob(n) == Jobs::JobState::Completed);
        }
        CHECK(runMonitor.duplicateRuns == 0);
    }

    bool runsAny(unsigned job) const
    {
        for (const auto& [key, count] : runMonitor.running) {
            if (key.job == jobId(job) && count > 0)
                return true;
        }
        return false;
    }

    /// Late calls that the next incarnation has carried out, of all owners.
    unsigned callsToNextIncarnation() const
    {
        unsigned sum = 0;
        for (const auto& [name, host] : hosts)
            sum += host->workers->callsToNextIncarnation;
        for (const auto& host : killedHosts)
            sum += host->workers->callsToNextIncarnation;
        return sum;
    }

    void meet(OwnerFate fate)
    {
        const auto owner = ownerOf("desk");
        if (fate == OwnerFate::Alive || owner.empty())
            return;
        killHost(owner);
        if (fate == OwnerFate::KilledAndBack)
            loop.after(std::chrono::milliseconds(500), [this, owner] { addHost(owner); });
    }

private:
    std::map<WorkerCall, std::pair<std::chrono::milliseconds, unsigned>> m_late;
};

inline unsigned hostsFor(OwnerFate fate) { return fate == OwnerFate::Replaced ? 3 : 1; }

/// w0 restarts at once after the next call of the kind, which its next incarnation carries out `lateBy` after it was sent.
inline void restartWithLateCall(FormerCallsFleet& fleet, WorkerCall kind, std::chrono::milliseconds lateBy)
{
    fleet.makeLate(kind, lateBy);
    fleet.awaitLateCall(kind);
    fleet.crashWorker("w0");
}
