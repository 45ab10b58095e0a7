#pragma once

/// Internals of the request simulation: event queue, hosts, upstreams and callers. Private to RequestSimulation*.cpp.

#include "RequestSimulation.h"

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

namespace RequestBench {

/// Events in virtual time. Events of the same instant run in the order in which they were scheduled.
class EventQueue {
public:
    using Event = std::function<void()>;

    Duration now() const { return m_now; }
    /// Schedules an event `delay` from now.
    void after(Duration delay, Event event) { m_events.push({ m_now + delay, m_next++, std::move(event) }); }
    /// Runs all events up to and including `end`, including those that are scheduled while it runs.
    void runUntil(Duration end);

private:
    struct Item {
        Duration at;
        std::uint64_t order;
        Event event;

        bool operator<(const Item& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    Duration m_now { 0 };
    std::uint64_t m_next = 0;
    std::priority_queue<Item> m_events;
};

/// A simulated upstream.
struct Upstream {
    std::string name;
    unsigned running = 0;
    bool failing = false;
    unsigned slowness = 1; ///< Factor on run times.
};

/// A simulated entry host.
struct Host {
    std::string name;
    std::unique_ptr<Decision::RequestCore> core;
    bool alive = true;
    Duration nextTick = Duration::max();
};

/// An attempt that is running on an upstream.
struct Task {
    std::size_t upstream = 0;
    std::size_t operation = 0;
    Duration begin { 0 };
};

/// One submission of a caller's operation to a host.
struct Submission {
    std::size_t operation = 0;
    std::size_t host = 0;
    Duration at { 0 };
    Duration deadline { 0 };
    bool open = true; ///< Not answered, cancelled or cut off yet.
};

/// When an operation's last successful attempt ran.
struct RunInterval {
    Duration begin { 0 };
    Duration end { 0 };
};

/// One run of a scenario: hosts, upstreams, callers and the network between them.
class Simulation {
public:
    explicit Simulation(const Scenario&);
    Figures run();

private:
    Decision::Moment moment() const;
    void makeHosts();
    void makeUpstreams();
    void setView(std::uint64_t epoch);
    std::vector<Decision::PoolUpstream> upstreamsOf(std::size_t host) const;

    // Hosts.
    /// Calls `event` with the host's core, unless the host is dead, then carries out the core's actions.
    template<typename Event>
    void drive(std::size_t host, Event event);
    void carryOut(std::size_t host, const Decision::RequestAction&);
    void scheduleTick(std::size_t host);
    /// Counts open requests that the core neither queues nor has dispatched; only with a single host.
    void countParked(std::size_t host);
    void sendHeartbeats();
    void deliver(std::size_t from, const Decision::SendPeer&);
    std::size_t hostIndex(const std::string&) const;
    void killOwner();
    void handleDetectedDeath(std::size_t dead);
    /// Whether a host died less than afterDeathPeriod ago.
    bool afterDeath() const;

    // Upstreams.
    void dispatch(std::size_t host, const Ports::UpstreamCall&);
    void startTask(std::size_t host, const Ports::UpstreamCall&);
    void endTask(std::size_t host, Ports::AttemptId, Ports::AttemptEnd, int status);
    void sendResult(std::size_t host, Ports::AttemptId, Ports::AttemptEnd, int status);
    std::size_t upstreamIndex(const std::string&) const;

    // Callers.
    /// Sends the operation to a random host that is alive, by the weights of the hosts.
    void submit(std::size_t operation, bool first);
    void handleAnswer(std::uint64_t handle, const Ports::Answer&);
    /// Schedules the next submission, or ends the operation if that would be past its retry window.
    void resubmitAfter(std::size_t operation, Duration delay);
    void cancel(std::size_t operation);

    Scenario m_scenario;
    std::vector<Operation> m_operations;
    Tally m_tally;
    EventQueue m_events;
    std::mt19937_64 m_random;
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    std::vector<Host> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::unordered_map<std::uint64_t, Task> m_tasks; ///< By taskId() of host and attempt.
    std::unordered_map<std::uint64_t, Submission> m_submissions; ///< By caller handle.
    std::vector<std::uint64_t> m_lastSubmission; ///< Caller handle of each operation's last submission.
    std::vector<RunInterval> m_lastRuns; ///< By operation.
    std::vector<bool> m_finished; ///< By operation.
    std::uint64_t m_nextHandle = 1;
    std::optional<Duration> m_diedAt;
};

template<typename Event>
void Simulation::drive(std::size_t index, Event event)
{
    Host& host = m_hosts[index];
    if (!host.alive)
        return;
    event(*host.core);
    for (const auto& action : host.core->takeActions())
        carryOut(index, action);
    countParked(index);
    scheduleTick(index);
}

} // namespace RequestBench
