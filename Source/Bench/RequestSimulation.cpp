#include "RequestSimulationImpl.h"

#include "Common/Rendezvous.h"

#include <algorithm>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration peerLatency = 500us;
    constexpr Duration heartbeatInterval = 500ms;
    constexpr Duration failuresBegin = peakBegin + 1s;
    constexpr Duration failuresEnd = peakEnd;
    constexpr Duration runEnd = loadEnd + 20s;
    constexpr Duration viewChangeDelay = 2500ms; ///< From the detection of a death to the next agreed view.
    constexpr Duration afterDeathPeriod = 5s; ///< Over-committed attempts count separately for this long after a death.
    constexpr std::size_t failingUpstream = 3;
    constexpr std::size_t slowUpstream = 7;
    constexpr unsigned slowness = 4; ///< Factor on the run times of the slow upstream.

} // namespace

void EventQueue::runUntil(Duration end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const Item item = m_events.top();
        m_events.pop();
        m_now = item.at;
        item.event();
    }
}

Simulation::Simulation(const Scenario& scenario)
    : m_scenario(scenario)
    , m_operations(makeOperations(scenario.seed))
    , m_tally(m_operations)
    , m_random(scenario.seed + 1)
    , m_objects(makeObjects())
    , m_lastSubmission(m_operations.size())
    , m_lastRuns(m_operations.size())
    , m_finished(m_operations.size())
{
}

Decision::Moment Simulation::moment() const
{
    return { Decision::Instant(m_events.now()), wallStart() + std::chrono::duration_cast<std::chrono::milliseconds>(m_events.now()) };
}

void Simulation::makeUpstreams()
{
    for (std::size_t i = 0; i < upstreamCount; ++i)
        m_upstreams.push_back({ "desk-" + std::to_string(i) });
    if (!m_scenario.faultyUpstreams)
        return;
    m_upstreams[slowUpstream].slowness = slowness;
    const auto setFailing = [this](bool failing) {
        m_upstreams[failingUpstream].failing = failing;
        m_tally.setHealthySlots(m_events.now(), (upstreamCount - (failing ? 1 : 0)) * slotsPerUpstream);
    };
    m_events.after(failuresBegin, [=] { setFailing(true); });
    m_events.after(failuresEnd, [=] { setFailing(false); });
}

std::vector<Decision::PoolUpstream> Simulation::upstreamsOf(std::size_t host) const
{
    std::vector<Decision::PoolUpstream> upstreams;
    const auto hosts = m_hosts.size();
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        auto slots = slotsPerUpstream;
        if (m_scenario.staticSplit) // The remainder rotates over the hosts, so that every slot belongs to exactly one.
            slots = static_cast<unsigned>(slotsPerUpstream / hosts + ((host + hosts - i % hosts) % hosts < slotsPerUpstream % hosts ? 1 : 0));
        upstreams.push_back({ m_upstreams[i].name, "127.0.0.1:1", slots });
    }
    return upstreams;
}

void Simulation::setView(std::uint64_t epoch)
{
    Decision::LedgerView view { epoch, {} };
    for (const auto& host : m_hosts) {
        if (host.alive)
            view.members.push_back(host.name);
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        drive(i, [&](auto& core) { core.setView(moment(), m_scenario.staticSplit ? Decision::LedgerView { epoch, { m_hosts[i].name } } : view); });
}

void Simulation::makeHosts()
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < m_scenario.hostWeights.size(); ++i)
        names.push_back("entry-" + std::to_string(i));
    for (std::size_t i = 0; i < names.size(); ++i) {
        const Decision::RequestIdentity identity { names[i], dataCentreName, i + 1, m_scenario.seed * 100 + i };
        m_hosts.push_back({ names[i], Decision::RequestCore::create(identity, {}, m_scenario.guards) });
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        drive(i, [&](auto& core) {
            core.setConfiguration(moment(), m_objects, 1);
            core.setUpstreams(moment(), poolName, upstreamsOf(i));
            core.setAlive(moment(), m_scenario.staticSplit ? std::vector { names[i] } : names);
        });
    }
    setView(1);
}

void Simulation::scheduleTick(std::size_t index)
{
    Host& host = m_hosts[index];
    const auto next = host.core->nextDeadline();
    if (!next)
        return;
    const Duration at = std::max(next->time_since_epoch(), m_events.now());
    if (host.nextTick <= at)
        return;
    host.nextTick = at;
    m_events.after(at - m_events.now(), [=, this] {
        if (m_hosts[index].nextTick != at)
            return;
        m_hosts[index].nextTick = Duration::max();
        drive(index, [&](auto& core) { core.tick(moment()); });
    });
}

void Simulation::countParked(std::size_t index)
{
    // With several hosts, an open request may be queued at another one.
    if (m_hosts.size() > 1)
        return;
    const auto& core = *m_hosts[index].core;
    std::size_t explained = core.attemptsInFlight();
    for (const auto& load : core.loads(moment().now))
        explained += load.queued;
    m_tally.recordParked(core.open() - std::min(core.open(), explained));
}

void Simulation::carryOut(std::size_t host, const Decision::RequestAction& action)
{
    if (const auto* it = std::get_if<Decision::AnswerCaller>(&action))
        handleAnswer(it->handle, it->answer);
    else if (const auto* it = std::get_if<Decision::SendPeer>(&action))
        deliver(host, *it);
    else if (const auto* it = std::get_if<Decision::DispatchAttempt>(&action))
        dispatch(host, it->call);
    else if (const auto* it = std::get_if<Decision::CancelAttempt>(&action)) {
        const auto attempt = it->attempt;
        m_events.after(peerLatency, [=, this] { endTask(host, attempt, Ports::AttemptEnd::Cancelled, 0); });
    }
}

std::size_t Simulation::hostIndex(const std::string& name) const
{
    const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return host.name == name; });
    return static_cast<std::size_t>(it - m_hosts.begin());
}

void Simulation::deliver(std::size_t from, const Decision::SendPeer& message)
{
    const auto to = hostIndex(message.to);
    m_events.after(peerLatency, [=, this, message = message.message] {
        if (m_hosts[to].alive) {
            drive(to, [&](auto& core) { core.peerMessage(moment(), m_hosts[from].name, message); });
            return;
        }
        // Once the death is detected, a frame that can't be sent is reported to its sender at once.
        if (m_events.now() >= *m_diedAt + m_scenario.ownerDeath->detectedAfter)
            drive(from, [&](auto& core) { core.peerLost(moment(), m_hosts[to].name); });
    });
}

void Simulation::sendHeartbeats()
{
    m_events.after(heartbeatInterval, [this] { sendHeartbeats(); });
    if (m_scenario.staticSplit)
        return;
    for (std::size_t from = 0; from < m_hosts.size(); ++from) {
        if (!m_hosts[from].alive)
            continue;
        Messages::Heartbeat beat;
        beat.dataCentre = dataCentreName;
        beat.loads = m_hosts[from].core->loads(moment().now);
        for (const auto& to : m_hosts) {
            if (to.alive && to.name != m_hosts[from].name)
                deliver(from, { to.name, beat });
        }
    }
}

void Simulation::killOwner()
{
    std::vector<std::string> names;
    for (const auto& host : m_hosts)
        names.push_back(host.name);
    const auto dead = hostIndex(Common::rendezvousTop(poolName, names, 1).front());
    m_hosts[dead].alive = false;
    m_diedAt = m_events.now();
    m_events.after(m_scenario.ownerDeath->detectedAfter, [=, this] { handleDetectedDeath(dead); });
    // The connections of the host's callers break at once.
    for (auto& [handle, submission] : m_submissions) {
        if (submission.open && submission.host == dead) {
            submission.open = false;
            m_tally.awaitsRetry(m_events.now(), submission.operation);
            resubmitAfter(submission.operation, 100ms);
        }
    }
}

void Simulation::handleDetectedDeath(std::size_t dead)
{
    std::vector<std::string> names;
    for (const auto& host : m_hosts) {
        if (host.alive)
            names.push_back(host.name);
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        drive(i, [&](auto& core) {
            core.setAlive(moment(), m_scenario.staticSplit ? std::vector { m_hosts[i].name } : names);
            core.peerLost(moment(), m_hosts[dead].name);
        });
    }
    m_events.after(viewChangeDelay, [this] { setView(2); });
}

bool Simulation::afterDeath() const { return m_diedAt && m_events.now() < *m_diedAt + afterDeathPeriod; }

Figures Simulation::run()
{
    makeUpstreams();
    makeHosts();
    sendHeartbeats();
    for (std::size_t i = 0; i < m_operations.size(); ++i) {
        m_events.after(m_operations[i].at, [=, this] { submit(i, true); });
        if (m_operations[i].cancelAt > 0us)
            m_events.after(m_operations[i].cancelAt, [=, this] { cancel(i); });
    }
    if (m_scenario.ownerDeath)
        m_events.after(m_scenario.ownerDeath->at, [this] { killOwner(); });
    m_events.runUntil(runEnd);
    return m_tally.figures();
}

Figures run(const Scenario& scenario) { return Simulation(scenario).run(); }

} // namespace RequestBench
