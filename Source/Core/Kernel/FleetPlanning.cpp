#include "Kernel/FleetAgent.h"

#include <algorithm>
#include <set>

namespace Kernel {

using Decision::HostHealth;

namespace {

    constexpr std::chrono::milliseconds reservationLimit { 5000 }; ///< A move that the budgets don't allow by then is dropped.

    using SlotSeconds = std::chrono::duration<double>;

    /// Describes a decision once for the audit trail.
    struct DecisionText {
        std::string upstream;
        std::string step;
    };

    DecisionText describe(const Decision::WaveDecision& decision)
    {
        if (const auto* it = std::get_if<Decision::DrainHost>(&decision))
            return { it->upstream, "wave " + it->wave + ": drain " + it->upstream };
        if (const auto* it = std::get_if<Decision::RebootHost>(&decision))
            return { it->upstream, "wave " + it->wave + ": reboot " + it->upstream };
        if (const auto* it = std::get_if<Decision::ReturnHost>(&decision))
            return { it->upstream, "wave: return " + it->upstream };
        const auto& ease = std::get<Decision::ControlTask>(decision);
        return { ease.upstream, "wave: ease task " + ease.task + " on " + ease.upstream };
    }

} // namespace

Decision::HostView FleetAgent::hostView(const std::string& name, const Decision::UpstreamAssignment& assignment, const Objects::Upstream& upstream) const
{
    Decision::HostView host;
    host.name = name;
    host.pool = assignment.pool;
    host.homePool = upstream.pool;
    host.rack = upstream.rack;
    host.serving = assignment.state == Decision::AssignmentState::Serving;
    host.knownIdle = assignment.state == Decision::AssignmentState::Idle;
    host.pinned = assignment.pinned;
    const auto listed = m_hosts.find(upstream.address);
    if (listed != m_hosts.end()) {
        host.health = listed->second.state == Ports::ListedHost::State::Live ? HostHealth::Up : HostHealth::Down;
        host.incarnation = listed->second.incarnation;
    }
    for (const auto& from : m_loads) {
        for (const auto& load : from.loads) {
            for (const auto& use : load.uses)
                host.busySlots += use.upstream == name ? use.inFlight : 0;
        }
    }
    return host;
}

Decision::FleetView FleetAgent::view() const
{
    Decision::FleetView view;
    if (!m_objects)
        return view;
    for (const auto& [name, assignment] : m_coordinator.snapshot().record.upstreams) {
        const auto upstream = m_objects->upstreams.find(name);
        if (upstream != m_objects->upstreams.end())
            view.hosts.push_back(hostView(name, assignment, upstream->second));
    }
    view.loadFloors = m_policy->loadFloors();
    return view;
}

std::vector<Decision::PoolDemand> FleetAgent::demands(Common::Instant now)
{
    const double elapsed = m_lastDemand == Common::Instant {} ? 0 : SlotSeconds(now - m_lastDemand).count();
    m_lastDemand = now;
    std::vector<Decision::PoolDemand> demands;
    for (const auto& [name, pool] : m_objects->pools) {
        Decision::PoolDemand demand;
        demand.pool = name;
        demand.spare = pool.spare;
        demand.minimumHosts = pool.minimumHosts;
        for (const auto& from : m_loads) {
            for (const auto& load : from.loads) {
                if (load.pool != name)
                    continue;
                demand.offeredSlots += load.busy;
                demand.queuedSlotSeconds += SlotSeconds(load.expectedWait).count() * load.slots;
            }
        }
        // Work that arrives is what is served and what the queue grows by.
        double& last = m_lastQueued[name];
        if (elapsed > 0)
            demand.offeredSlots += std::max(0.0, (demand.queuedSlotSeconds - last) / elapsed);
        last = demand.queuedSlotSeconds;
        demands.push_back(demand);
    }
    return demands;
}

void FleetAgent::plan(Common::Instant now, Common::WallTime wall)
{
    if (!m_ledger->isLoaded() && !m_ledger->isBusy())
        call(Part::Ledger, m_ledger->load());
    const auto seen = view();
    planWaves(now, wall, seen);
    if (m_ledger->isLoaded()) {
        planMoves(now, seen);
        advanceMoves(now, seen);
    }
}

void FleetAgent::planWaves(Common::Instant now, Common::WallTime wall, const Decision::FleetView& seen)
{
    for (auto& [name, planner] : m_planners) {
        const auto output = planner->tick(now, wall, seen);
        call(Part::Ledger, output.calls);
        for (const auto& decision : output.decisions) {
            carryOut(decision);
            const DecisionText text = describe(decision);
            auto& last = m_lastNotes[text.upstream];
            if (last != text.step)
                note(text.step);
            last = text.step;
        }
    }
}

void FleetAgent::carryOut(const Decision::WaveDecision& decision)
{
    const auto& record = m_coordinator.snapshot().record.upstreams;
    if (const auto* it = std::get_if<Decision::DrainHost>(&decision)) {
        const auto assignment = record.find(it->upstream);
        if (assignment != record.end())
            m_coordinator.requestMove({ it->upstream, assignment->second.pool, true, assignment->second.pinned });
    } else if (const auto* it = std::get_if<Decision::RebootHost>(&decision))
        call(Part::Reboot, Decision::HostReboot { 0, it->upstream, it->incarnation });
    else if (const auto* it = std::get_if<Decision::ReturnHost>(&decision))
        m_coordinator.requestRelease(it->upstream);
}

void FleetAgent::planMoves(Common::Instant now, const Decision::FleetView& seen)
{
    Decision::MoveInput input { seen, *m_ledger, demands(now), {}, {}, {} };
    for (const auto& [name, ordered] : m_moves)
        input.inFlight.push_back(ordered.move);
    for (const auto& [name, planner] : m_planners) {
        const auto loans = planner->loans(seen);
        input.loans.insert(input.loans.end(), loans.begin(), loans.end());
        for (const auto& host : seen.hosts) {
            if (planner->needsReboot(host))
                input.rebootDue.insert(host.name);
        }
    }
    for (const auto& move : m_policy->decide(now, input)) {
        if (m_operatorMoves.count(move.upstream))
            continue;
        m_moves.emplace(move.upstream, OrderedMove { move, now });
        note("move " + move.upstream + " from " + move.from + " to " + move.to + " by the margin policy");
    }
}

Decision::LedgerChange FleetAgent::moveChange(Decision::LedgerChange::Kind kind, const Decision::HostView& host) const
{
    Decision::LedgerChange change;
    change.kind = kind;
    change.entry.upstream = host.name;
    change.entry.holder = m_self.host;
    change.entry.phase = Decision::ReservationPhase::Moving;
    change.entry.incarnation = host.incarnation;
    change.entry.since = Common::wallNow();
    change.pool = host.pool;
    change.rack = host.rack;
    return change;
}

void FleetAgent::advanceMoves(Common::Instant now, const Decision::FleetView& seen)
{
    std::vector<Decision::LedgerChange> changes;
    std::set<std::string> reserved; ///< For moves; a host that a wave has taken isn't moved.
    std::set<std::string> taken;
    for (const auto& entry : m_ledger->reservations()) {
        (entry.phase == Decision::ReservationPhase::Moving ? reserved : taken).insert(entry.upstream);
        const auto* host = seen.find(entry.upstream);
        // Also the ones of a holder that is gone: a host that serves isn't disrupted any more.
        const auto ordered = m_moves.find(entry.upstream);
        const bool underWay = ordered != m_moves.end() && host && host->pool != ordered->second.move.to;
        if (entry.phase == Decision::ReservationPhase::Moving && host && host->serving && !underWay)
            changes.push_back(moveChange(Decision::LedgerChange::Kind::Release, *host));
    }
    std::erase_if(m_moves, [&](const auto& item) {
        const auto* host = seen.find(item.first);
        const bool arrived = host && host->serving && host->pool == item.second.move.to;
        const bool refused = !reserved.count(item.first) && now - item.second.orderedAt > reservationLimit;
        return !host || arrived || refused || taken.count(item.first);
    });
    for (const auto& [name, ordered] : m_moves) {
        const auto* host = seen.find(name);
        if (!reserved.count(name))
            changes.push_back(moveChange(Decision::LedgerChange::Kind::Reserve, *host));
        else
            m_coordinator.requestMove({ name, ordered.move.to, false, host->pinned });
    }
    if (!changes.empty() && !m_ledger->isBusy())
        call(Part::Ledger, m_ledger->submit(seen, changes));
}

} // namespace Kernel
