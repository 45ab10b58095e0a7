#pragma once

/// Parts of the request simulation: its event queue, upstreams, hosts and callers.

#include "RequestSimulation.h"

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

namespace RequestBench {

/// Events in virtual time; those of one instant run in the order they were set.
class EventQueue {
public:
    using Event = std::function<void()>;

    Duration now() const { return m_now; }
    void after(Duration delay, Event event) { m_events.push({ m_now + delay, m_next++, std::move(event) }); }
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

/// An executor with its slots.
struct Upstream {
    std::string name;
    unsigned running = 0;
    bool failing = false;
    unsigned slowness = 1;
};

/// An entry host.
struct Host {
    std::string name;
    std::unique_ptr<Decision::RequestCore> core;
    bool alive = true;
    Duration nextTick = Duration::max();
};

/// A task that an upstream has taken and not ended.
struct Task {
    std::size_t upstream = 0;
    std::size_t want = 0;
    Duration begin { 0 };
};

/// One ask of a caller at a host.
struct Ask {
    std::size_t want = 0;
    std::size_t host = 0;
    Duration at { 0 };
    Duration deadline { 0 };
    bool open = true;
};

/// Last completed run of a want.
struct RunInterval {
    Duration begin { 0 };
    Duration end { 0 };
};

/// The world of one run: hosts, upstreams, callers and the link between them.
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
    template<typename Event>
    void drive(std::size_t host, Event event);
    void carryOut(std::size_t host, const Decision::RequestAction&);
    void scheduleTick(std::size_t host);
    void countParked(std::size_t host);
    void sendHeartbeats();
    void deliver(std::size_t from, const Decision::SendPeer&);
    std::size_t hostNamed(const std::string&) const;
    void killOwner();
    void noticeDeath(std::size_t dead);
    bool afterDeath() const;

    // Upstreams.
    void dispatch(std::size_t host, const Ports::UpstreamCall&);
    void taskArrives(std::size_t host, const Ports::UpstreamCall&);
    void endTask(std::size_t host, Ports::AttemptId, Ports::AttemptEnd, int status);
    void result(std::size_t host, Ports::AttemptId, Ports::AttemptEnd, int status);
    std::size_t upstreamNamed(const std::string&) const;

    // Callers.
    void ask(std::size_t want, bool first);
    void answered(std::uint64_t handle, const Ports::Answer&);
    void comeBack(std::size_t want, Duration delay);
    void cancel(std::size_t want);

    Scenario m_scenario;
    std::vector<Want> m_wants;
    Tally m_tally;
    EventQueue m_events;
    std::mt19937_64 m_random;
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    std::vector<Host> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::unordered_map<std::uint64_t, Task> m_tasks; ///< By attempt and host.
    std::unordered_map<std::uint64_t, Ask> m_asks; ///< By caller handle.
    std::vector<std::uint64_t> m_lastAsk; ///< By want.
    std::vector<RunInterval> m_runs; ///< By want.
    std::vector<bool> m_over; ///< By want.
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
