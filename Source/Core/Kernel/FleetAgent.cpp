#include "Kernel/FleetAgent.h"

#include "Decision/Assignment/AssignmentStore.h"
#include "Kernel/KernelError.h"

#include <algorithm>
#include <utility>

namespace Kernel {

using Decision::PlatformAction;

namespace {

    constexpr std::chrono::milliseconds planInterval { 1000 };
    constexpr std::chrono::milliseconds queryInterval { 500 };

    Decision::DutySettings dutySettings(const Settings& settings, std::uint64_t incarnation)
    {
        Decision::DutySettings to;
        to.name = "fleet/" + settings.dataCentre;
        to.self = settings.host;
        to.incarnation = incarnation;
        return to;
    }

    Decision::MarginSettings marginSettings(const Settings& settings)
    {
        Decision::MarginSettings to;
        to.bufferCostWeight = settings.weights.bufferCost;
        to.rollOutTimeWeight = settings.weights.rollOutTime;
        to.moveCostWeight = settings.weights.moves;
        return to;
    }

    /// Replaces an action's token. Every kind of action that the fleet's cores use has one.
    PlatformAction withToken(PlatformAction action, Decision::PlatformToken token)
    {
        std::visit([&](auto& it) { it.token = token; }, action);
        return action;
    }

    Decision::PlatformToken tokenOf(const PlatformAction& action)
    {
        return std::visit([](const auto& it) { return it.token; }, action);
    }

} // namespace

FleetAgent::FleetAgent(const Settings& settings, std::uint64_t incarnation)
    : m_settings(settings)
    , m_self { settings.host, incarnation }
    , m_duty(valueOrThrow(Decision::DutyHolder::create(dutySettings(settings, incarnation))))
    , m_coordinator(valueOrThrow(Decision::MoveCoordinator::create({})))
    , m_policy(valueOrThrow(Decision::MarginPolicy::create(marginSettings(settings))))
{
}

FleetAgent::~FleetAgent() = default;

void FleetAgent::setObjects(std::shared_ptr<const Objects::ObjectSet> objects)
{
    m_objects = std::move(objects);
    rebuildPlanners();
}

void FleetAgent::rebuildPlanners()
{
    // Planners keep no state outside the store, so a new configuration simply creates new ones.
    m_planners.clear();
    Decision::LedgerSettings ledger;
    ledger.dataCentre = m_settings.dataCentre;
    ledger.holder = m_self.host + "/" + std::to_string(m_self.incarnation);
    for (const auto& [name, budget] : m_objects->budgets) {
        const auto service = m_objects->services.find(budget.service);
        if (budget.dataCentre == m_settings.dataCentre && service != m_objects->services.end())
            ledger.budgets.push_back({ budget.service, service->second.pool, budget.minimumAvailablePercent });
    }
    m_ledger = valueOrThrow(Decision::BudgetLedger::create(ledger));
    Decision::WavePlannerSettings planner;
    planner.dataCentre = m_settings.dataCentre;
    planner.holder = ledger.holder;
    for (const auto& [name, pool] : m_objects->pools) {
        if (pool.spare)
            planner.sparePools.insert(name);
    }
    for (const auto& [name, priority] : m_objects->priorities)
        planner.lowestRank = std::max(planner.lowestRank, priority.rank);
    for (const auto& [name, wave] : m_objects->waves) {
        const auto& places = wave.dataCentres;
        if (places.empty() || std::find(places.begin(), places.end(), m_settings.dataCentre) != places.end())
            m_planners[name] = valueOrThrow(Decision::WavePlanner::create(planner, wave, *m_ledger));
    }
    std::erase_if(m_pendingCalls, [](const auto& item) { return item.second.origin == CallOrigin::Ledger; });
}

void FleetAgent::setSnapshot(Common::Instant now, const Decision::AssignmentSnapshot& snapshot)
{
    if (!m_coordinator.handleSnapshot(snapshot, now))
        addAuditStep("alarm: the store shows older assignments than it did before; they are not followed");
    std::erase_if(m_operatorMoves, [&](const auto& item) {
        const auto it = snapshot.record.upstreams.find(item.first);
        return it == snapshot.record.upstreams.end() || (it->second.pool == item.second && it->second.state == Decision::AssignmentState::Serving);
    });
}

void FleetAgent::setHosts(std::vector<Ports::ListedHost> hosts)
{
    m_hosts.clear();
    for (auto& host : hosts) {
        const std::string address = host.address;
        m_hosts[address] = std::move(host);
    }
}

void FleetAgent::setLoads(std::vector<HostLoads> loads)
{
    m_loads = std::move(loads);
}

std::optional<std::string> FleetAgent::requestMove(const std::string& upstream, const std::string& target)
{
    const auto& record = m_coordinator.snapshot().record.upstreams;
    const auto it = record.find(upstream);
    if (it == record.end())
        return "no upstream " + upstream + " in this data centre";
    if (!m_objects || !m_objects->pools.count(target))
        return "no pool " + target;
    if (it->second.state != Decision::AssignmentState::Serving)
        return upstream + " is on its way already";
    if (it->second.pool == target)
        return upstream + " serves " + target + " already";
    m_operatorMoves[upstream] = target;
    m_coordinator.requestMove({ upstream, target, false, it->second.pinned });
    addAuditStep("move " + upstream + " from " + it->second.pool + " to " + target + " asked for");
    return std::nullopt;
}

void FleetAgent::startCall(CallOrigin origin, PlatformAction action)
{
    const Decision::PlatformToken token = m_nextToken++;
    m_pendingCalls[token] = { origin, tokenOf(action) };
    m_actions.emplace_back(withToken(std::move(action), token));
}

void FleetAgent::startCall(CallOrigin origin, const std::vector<PlatformAction>& actions)
{
    for (const auto& action : actions)
        startCall(origin, action);
}

void FleetAgent::handle(Common::Instant now, const Decision::PlatformReplied& event)
{
    const auto found = m_pendingCalls.find(event.token);
    if (found == m_pendingCalls.end())
        return;
    const PendingCall pending = found->second;
    m_pendingCalls.erase(found);
    const Decision::PlatformReplied inner { pending.token, event.reply };
    switch (pending.origin) {
    case CallOrigin::Duty:
        m_duty->handle(now, inner);
        startCall(CallOrigin::Duty, m_duty->takeActions());
        return;
    case CallOrigin::Ledger:
        startCall(CallOrigin::Ledger, m_ledger->handle(inner));
        return;
    case CallOrigin::Move:
        m_coordinator.handleWriteEnd(pending.token);
        return;
    case CallOrigin::Reboot:
        return;
    }
}

void FleetAgent::handleAssignmentAnswer(const Ports::HostId& host, const Messages::AssignmentAnswer& answer)
{
    m_coordinator.handleAnswer(host, answer);
}

void FleetAgent::tick(Common::Instant now, Common::WallTime wall, const Decision::DutyContext& context)
{
    m_duty->tick(now, context);
    startCall(CallOrigin::Duty, m_duty->takeActions());
    if (m_duty->holds(now) && m_objects && now >= m_nextPlan) {
        m_nextPlan = now + planInterval;
        for (auto& [name, planner] : m_planners)
            planner->setDutyEnd(context.leaseValidUntil);
        plan(now, wall);
    }
    if (m_duty->holds(now) || !m_operatorMoves.empty())
        runCoordinator(now);
}

void FleetAgent::runCoordinator(Common::Instant now)
{
    if (now >= m_nextQuery) {
        m_nextQuery = now + queryInterval;
        for (const auto& query : m_coordinator.queries())
            m_actions.emplace_back(Decision::PeerSend { query.to, query.query });
    }
    auto write = m_coordinator.nextWrite(now);
    if (!write)
        return;
    auto transact = Decision::assignmentWrite(m_settings.dataCentre, *write);
    // Fenced: a process that was paused past its lease must not carry out what it decided before the pause.
    if (m_duty->holds(now))
        transact.transaction = m_duty->fencedTransaction(transact.transaction);
    startCall(CallOrigin::Move, transact);
}

std::vector<Decision::Action> FleetAgent::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<std::string> FleetAgent::takeAuditSteps()
{
    return std::exchange(m_auditSteps, {});
}

void FleetAgent::addAuditStep(const std::string& step)
{
    m_auditSteps.push_back(step);
}

void FleetAgent::refreshWaves(Common::Instant now)
{
    if (m_ledger && !m_duty->holds(now) && !m_ledger->isBusy())
        startCall(CallOrigin::Ledger, m_ledger->load());
}

std::vector<WaveStatus> FleetAgent::waves(Common::WallTime wall) const
{
    std::vector<WaveStatus> waves;
    const auto fleet = fleetView();
    for (const auto& [name, planner] : m_planners)
        waves.push_back({ name, planner->progress(wall, fleet) });
    return waves;
}

} // namespace Kernel
