#include "Kernel/FleetAgent.h"

#include <algorithm>
#include <set>

namespace Kernel {

using Decision::HostHealth;

namespace {

    constexpr std::chrono::milliseconds reservationTimeout { 5000 }; ///< A move that the budgets haven't allowed within this time is dropped.

    using SlotSeconds = std::chrono::duration<double>;

    /// A decision's text for the audit trail, and the upstream that it is about.
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
        const auto& control = std::get<Decision::ControlTask>(decision);
        return { control.upstream, "wave: ease task " + control.task + " on " + control.upstream };
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

Decision::FleetView FleetAgent::fleetView() const
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
        // The arrival rate is the busy slots plus the growth of the queue.
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
        startCall(CallOrigin::Ledger, m_ledger->load());
    const auto fleet = fleetView();
    planWaves(now, wall, fleet);
    if (m_ledger->isLoaded()) {
        planMoves(now, fleet);
        advancePolicyMoves(now, fleet);
    }
}

void FleetAgent::planWaves(Common::Instant now, Common::WallTime wall, const Decision::FleetView& fleet)
{
    for (auto& [name, planner] : m_planners) {
        const auto output = planner->tick(now, wall, fleet);
        startCall(CallOrigin::Ledger, output.calls);
        for (const auto& decision : output.decisions) {
            carryOut(decision);
            const DecisionText text = describe(decision);
            auto& last = m_lastAuditSteps[text.upstream];
            if (last != text.step)
                addAuditStep(text.step);
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
        startCall(CallOrigin::Reboot, Decision::HostReboot { 0, it->upstream, it->incarnation });
    else if (const auto* it = std::get_if<Decision::ReturnHost>(&decision))
        m_coordinator.requestRelease(it->upstream);
}

void FleetAgent::planMoves(Common::Instant now, const Decision::FleetView& fleet)
{
    Decision::MoveInput input { fleet, *m_ledger, demands(now), {}, {}, {} };
    for (const auto& [name, policyMove] : m_policyMoves)
        input.inFlight.push_back(policyMove.move);
    for (const auto& [name, planner] : m_planners) {
        const auto loans = planner->loans(fleet);
        input.loans.insert(input.loans.end(), loans.begin(), loans.end());
        for (const auto& host : fleet.hosts) {
            if (planner->needsReboot(host))
                input.rebootDue.insert(host.name);
        }
    }
    for (const auto& move : m_policy->decide(now, input)) {
        if (m_operatorMoves.count(move.upstream))
            continue;
        m_policyMoves.emplace(move.upstream, PolicyMove { move, now });
        addAuditStep("move " + move.upstream + " from " + move.from + " to " + move.to + " by the margin policy");
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

void FleetAgent::advancePolicyMoves(Common::Instant now, const Decision::FleetView& fleet)
{
    std::vector<Decision::LedgerChange> changes;
    std::set<std::string> reserved; ///< Reserved for moves.
    std::set<std::string> inWave; ///< Reserved by waves; these aren't moved.
    for (const auto& entry : m_ledger->reservations()) {
        (entry.phase == Decision::ReservationPhase::Moving ? reserved : inWave).insert(entry.upstream);
        const auto* host = fleet.find(entry.upstream);
        // Reservations of an earlier duty holder are released too: a host that serves is no longer disrupted.
        const auto policyMove = m_policyMoves.find(entry.upstream);
        const bool inProgress = policyMove != m_policyMoves.end() && host && host->pool != policyMove->second.move.to;
        if (entry.phase == Decision::ReservationPhase::Moving && host && host->serving && !inProgress)
            changes.push_back(moveChange(Decision::LedgerChange::Kind::Release, *host));
    }
    std::erase_if(m_policyMoves, [&](const auto& item) {
        const auto* host = fleet.find(item.first);
        const bool arrived = host && host->serving && host->pool == item.second.move.to;
        const bool timedOut = !reserved.count(item.first) && now - item.second.decidedAt > reservationTimeout;
        return !host || arrived || timedOut || inWave.count(item.first);
    });
    for (const auto& [name, policyMove] : m_policyMoves) {
        const auto* host = fleet.find(name);
        if (!reserved.count(name))
            changes.push_back(moveChange(Decision::LedgerChange::Kind::Reserve, *host));
        else
            m_coordinator.requestMove({ name, policyMove.move.to, false, host->pinned });
    }
    if (!changes.empty() && !m_ledger->isBusy())
        startCall(CallOrigin::Ledger, m_ledger->submit(fleet, changes));
}

} // namespace Kernel
