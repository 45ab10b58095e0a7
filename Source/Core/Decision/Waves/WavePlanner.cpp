#include "Decision/Waves/WavePlanner.h"

#include "Decision/Waves/DrainActions.h"
#include "Decision/Waves/WaveSelection.h"

#include <algorithm>
#include <map>

namespace Decision {

using Common::Instant;
using Common::WallTime;

namespace {

    constexpr std::size_t maximumReservationsPerTick = 64;
    constexpr unsigned overdueFactor = 2;
    constexpr double newCycleWeight = 0.2; // weight of a new measurement in the moving average

    /// The last decision that was issued for a host and hasn't been seen to take effect.
    struct IssuedDecision {
        ReservationPhase phase = ReservationPhase::Draining;
        Instant at {};
    };

    std::chrono::milliseconds elapsed(WallTime since, WallTime now)
    {
        return std::max(std::chrono::milliseconds::zero(), std::chrono::duration_cast<std::chrono::milliseconds>(now - since));
    }

} // namespace

struct WavePlanner::Private {
    WavePlannerSettings settings;
    Objects::Wave wave;
    BudgetLedger& ledger;
    Instant dutyEnd {};
    std::optional<Instant> lastLoad;
    std::map<std::string, IssuedDecision> issued;
    std::map<std::string, Instant> upSince;
    std::map<std::string, Instant> startedAt;
    std::chrono::duration<double> meanCycle { 0 };

    bool isInWave(const HostView&) const;
    bool canStartDrains(WallTime) const;
    std::vector<Reservation> ownReservations() const;
    std::vector<const HostView*> waiting(const FleetView&) const;
    void updateUpSince(Instant, const FleetView&);
    void issue(Instant, const Reservation&, const HostView&, std::vector<WaveDecision>&);
    void addTaskActions(WallTime, const Reservation&, const HostView&, std::vector<WaveDecision>&);
    std::optional<LedgerChange> advance(Instant, WallTime, const Reservation&, const HostView&, std::map<std::string, unsigned>& deficits);
    LedgerChange makeChange(LedgerChange::Kind, Reservation, ReservationPhase, WallTime) const;
    void reserve(Instant, WallTime, const FleetView&, WaveOutput&, std::vector<LedgerChange>&);
    void recordCycle(Instant, const Reservation&);
    std::map<std::string, unsigned> deficits(const FleetView&, const HostIndex&) const;
    std::optional<std::chrono::seconds> forecast(const FleetView&) const;
    unsigned concurrency(const std::string& pool, const PoolAvailability&, const HostIndex&) const;
    std::vector<const HostView*> spareHosts(const FleetView&) const;
    HostsByPool waitingByPool(const FleetView&) const;
};

bool WavePlanner::Private::isInWave(const HostView& host) const
{
    return std::find(wave.pools.begin(), wave.pools.end(), host.homePool) != wave.pools.end();
}

bool WavePlanner::Private::canStartDrains(WallTime wall) const
{
    const auto cycle = settings.expectedDrain + wave.rebootTime;
    return !wave.paused && wall >= wave.windowStart && wall + cycle <= wave.windowStart + wave.windowLength;
}

std::vector<Reservation> WavePlanner::Private::ownReservations() const
{
    auto entries = ledger.reservations();
    std::erase_if(entries, [&](const Reservation& it) { return it.wave != wave.name; });
    return entries;
}

std::vector<const HostView*> WavePlanner::Private::waiting(const FleetView& view) const
{
    const auto done = ledger.finishedHosts(wave.name);
    const auto reserved = ledger.reservedHosts();
    std::vector<const HostView*> hosts;
    for (const auto& host : view.hosts) {
        if (isInWave(host) && !done.contains(host.name) && !reserved.contains(host.name))
            hosts.push_back(&host);
    }
    return hosts;
}

void WavePlanner::Private::updateUpSince(Instant now, const FleetView& view)
{
    for (const auto& host : view.hosts) {
        if (host.health != HostHealth::Up)
            upSince.erase(host.name);
        else
            upSince.try_emplace(host.name, now);
    }
}

void WavePlanner::Private::issue(Instant now, const Reservation& entry, const HostView& host, std::vector<WaveDecision>& decisions)
{
    const auto it = issued.find(entry.upstream);
    if (it != issued.end() && it->second.phase == entry.phase && now - it->second.at < settings.reissueInterval)
        return;
    issued[entry.upstream] = { entry.phase, now };
    if (entry.phase == ReservationPhase::Draining && host.serving)
        decisions.emplace_back(DrainHost { entry.upstream, settings.dataCentre, wave.name });
    if (entry.phase == ReservationPhase::Rebooting && host.incarnation == entry.incarnation)
        decisions.emplace_back(RebootHost { entry.upstream, wave.name, entry.incarnation });
    if (entry.phase == ReservationPhase::Returning && !host.serving)
        decisions.emplace_back(ReturnHost { entry.upstream });
}

void WavePlanner::Private::addTaskActions(WallTime wall, const Reservation& entry, const HostView& host, std::vector<WaveDecision>& decisions)
{
    const DrainLimits limits { wave.drainLimit, settings.stopInterval, settings.lowestRank };
    for (auto& it : drainActions(host, elapsed(entry.since, wall), limits))
        decisions.emplace_back(std::move(it));
}

LedgerChange WavePlanner::Private::makeChange(LedgerChange::Kind kind, Reservation entry, ReservationPhase phase, WallTime wall) const
{
    entry.phase = phase;
    entry.since = wall;
    entry.holder = settings.holder;
    return { kind, std::move(entry), "", "", false };
}

/// Returns the next step of a reserved host, or nothing while the host has to wait. A draining host is returned to service
/// instead of rebooted while its pool is below budget; `deficits` is then reduced by one.
std::optional<LedgerChange> WavePlanner::Private::advance(
    Instant now, WallTime wall, const Reservation& entry, const HostView& host, std::map<std::string, unsigned>& deficits)
{
    const auto advanceTo = [&](ReservationPhase phase) { return makeChange(LedgerChange::Kind::Advance, entry, phase, wall); };
    if (entry.phase == ReservationPhase::Draining) {
        auto& deficit = deficits[host.pool];
        if (deficit && host.health == HostHealth::Up) {
            --deficit;
            return advanceTo(ReservationPhase::Returning);
        }
        if (!host.knownIdle && host.health != HostHealth::Down)
            return {};
        auto next = advanceTo(ReservationPhase::Rebooting);
        next.entry.incarnation = host.incarnation;
        return next;
    }
    const auto up = upSince.find(host.name);
    const bool isUpLongEnough = up != upSince.end() && now - up->second >= settings.minimumUptime;
    if (entry.phase == ReservationPhase::Rebooting && host.incarnation != entry.incarnation && isUpLongEnough) {
        auto next = advanceTo(ReservationPhase::Returning);
        next.entry.rebooted = true;
        return next;
    }
    if (entry.phase != ReservationPhase::Returning || !host.serving || !isUpLongEnough)
        return {};
    auto next = makeChange(LedgerChange::Kind::Release, entry, entry.phase, wall);
    next.finished = entry.rebooted;
    next.rack = host.rack;
    return next;
}

/// Number of hosts by which each pool is below its budgets, less the hosts that are already returning.
std::map<std::string, unsigned> WavePlanner::Private::deficits(const FleetView& view, const HostIndex& hosts) const
{
    std::map<std::string, unsigned> result;
    for (const auto& [pool, availability] : ledger.availabilityByPool(view)) {
        const auto available = availability.tally.available();
        result[pool] = availability.required > available ? availability.required - available : 0;
    }
    for (const auto& entry : ownReservations()) {
        const auto* host = hosts.find(entry.upstream);
        if (host && entry.phase == ReservationPhase::Returning && result[host->pool])
            --result[host->pool];
    }
    return result;
}

void WavePlanner::Private::reserve(Instant now, WallTime wall, const FleetView& view, WaveOutput& output, std::vector<LedgerChange>& changes)
{
    std::size_t limit = maximumReservationsPerTick;
    if (settings.maximumAtOnce)
        limit = std::min<std::size_t>(limit, settings.maximumAtOnce - std::min<std::size_t>(settings.maximumAtOnce, ownReservations().size()));
    for (const auto* host : selectHosts(view, ledger, waiting(view), limit)) {
        Reservation entry { host->name, wave.name, settings.holder, ReservationPhase::Draining, host->incarnation, false, wall };
        changes.push_back({ LedgerChange::Kind::Reserve, entry, host->pool, host->rack, false });
        startedAt[host->name] = now;
        if (!settings.guards.reserveBeforeDrain)
            issue(now, entry, *host, output.decisions);
    }
}

void WavePlanner::Private::recordCycle(Instant now, const Reservation& entry)
{
    issued.erase(entry.upstream);
    const auto it = startedAt.find(entry.upstream);
    if (it == startedAt.end())
        return;
    const std::chrono::duration<double> cycle = now - it->second;
    startedAt.erase(it);
    if (!entry.rebooted)
        return;
    const bool first = meanCycle.count() == 0;
    meanCycle = first ? cycle : meanCycle * (1 - newCycleWeight) + cycle * newCycleWeight;
}

unsigned WavePlanner::Private::concurrency(const std::string& pool, const PoolAvailability& availability, const HostIndex& hosts) const
{
    auto tally = availability.tally;
    for (const auto& entry : ownReservations()) {
        const auto* host = hosts.find(entry.upstream);
        if (host && host->pool == pool)
            tally.add(host->rack);
    }
    auto atOnce = safeConcurrency(tally, availability.required);
    return settings.maximumAtOnce ? std::min(atOnce, settings.maximumAtOnce) : atOnce;
}

/// Hosts of spare pools that are up and not reserved.
std::vector<const HostView*> WavePlanner::Private::spareHosts(const FleetView& view) const
{
    const auto reserved = ledger.reservedHosts();
    std::vector<const HostView*> spare;
    for (const auto& host : view.hosts) {
        if (settings.sparePools.contains(host.pool) && host.health == HostHealth::Up && !reserved.contains(host.name))
            spare.push_back(&host);
    }
    return spare;
}

/// Waiting hosts by the pool that they serve, which may have borrowed them: that pool loses the host while it reboots.
HostsByPool WavePlanner::Private::waitingByPool(const FleetView& view) const
{
    HostsByPool hosts;
    for (const auto* host : waiting(view))
        hosts[host->pool].push_back(host);
    return hosts;
}

std::optional<std::chrono::seconds> WavePlanner::Private::forecast(const FleetView& view) const
{
    std::map<std::string, unsigned> remaining;
    const auto done = ledger.finishedHosts(wave.name);
    for (const auto& host : view.hosts) {
        if (isInWave(host) && !done.contains(host.name))
            ++remaining[host.homePool];
    }
    const std::chrono::duration<double> expectedCycle = settings.expectedDrain + wave.rebootTime + settings.minimumUptime;
    const auto cycle = meanCycle.count() > 0 ? meanCycle : expectedCycle;
    const HostIndex hosts(view);
    const auto availabilityByPool = ledger.availabilityByPool(view);
    const auto waiting = waitingByPool(view);
    const auto borrowed = borrowedByPool(view);
    unsigned rounds = 0;
    for (const auto& [pool, count] : remaining) {
        const auto& availability = availabilityByPool.at(pool);
        auto atOnce = concurrency(pool, availability, hosts);
        if (!atOnce && !findLoans(pool, availability, hostsOf(waiting, pool), hostsOf(borrowed, pool), {}).empty())
            atOnce = 1;
        if (!atOnce)
            return std::nullopt;
        rounds = std::max(rounds, (count + atOnce - 1) / atOnce);
    }
    return std::chrono::ceil<std::chrono::seconds>(cycle * rounds);
}

Common::Result<std::unique_ptr<WavePlanner>, WaveError> WavePlanner::create(WavePlannerSettings settings, Objects::Wave wave, BudgetLedger& ledger)
{
    if (wave.name.empty() || wave.pools.empty())
        return WaveError("a wave needs a name and a pool");
    if (settings.holder.empty())
        return WaveError("a wave planner needs a holder");
    auto state = std::make_unique<Private>(Private { std::move(settings), std::move(wave), ledger, {}, {}, {}, {}, {}, {} });
    return std::unique_ptr<WavePlanner>(new WavePlanner(std::move(state)));
}

WavePlanner::WavePlanner(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

WavePlanner::~WavePlanner() = default;

void WavePlanner::setWave(Objects::Wave wave)
{
    m_private->wave = std::move(wave);
}

void WavePlanner::setDutyEnd(Instant end)
{
    m_private->dutyEnd = end;
}

WaveOutput WavePlanner::tick(Instant now, WallTime wall, const FleetView& view)
{
    auto& state = *m_private;
    WaveOutput output;
    if (now >= state.dutyEnd)
        return output;
    state.updateUpSince(now, view);
    if (!state.lastLoad || now - *state.lastLoad >= state.settings.reloadInterval || !state.ledger.isLoaded()) {
        output.calls = state.ledger.load();
        if (!output.calls.empty())
            state.lastLoad = now;
    }
    if (!state.ledger.isLoaded())
        return output;
    std::vector<LedgerChange> changes;
    const HostIndex hosts(view);
    auto deficits = state.deficits(view, hosts);
    for (const auto& entry : state.ownReservations()) {
        const auto* host = hosts.find(entry.upstream);
        if (!host)
            continue;
        state.issue(now, entry, *host, output.decisions);
        if (entry.phase == ReservationPhase::Draining)
            state.addTaskActions(wall, entry, *host, output.decisions);
        if (auto change = state.advance(now, wall, entry, *host, deficits))
            changes.push_back(std::move(*change));
        if (!changes.empty() && changes.back().kind == LedgerChange::Kind::Release && !state.ledger.isBusy())
            state.recordCycle(now, changes.back().entry);
    }
    if (state.canStartDrains(wall) && !state.ledger.isBusy())
        state.reserve(now, wall, view, output, changes);
    for (auto& call : state.ledger.submit(view, changes))
        output.calls.push_back(std::move(call));
    return output;
}

WaveProgress WavePlanner::progress(WallTime wall, const FleetView& view) const
{
    const auto& state = *m_private;
    WaveProgress progress;
    const auto done = state.ledger.finishedHosts(state.wave.name);
    for (const auto& host : view.hosts) {
        progress.total += state.isInWave(host);
        progress.done += state.isInWave(host) && done.contains(host.name);
    }
    for (const auto& entry : state.ownReservations()) {
        progress.draining += entry.phase == ReservationPhase::Draining;
        progress.rebooting += entry.phase == ReservationPhase::Rebooting;
        progress.returning += entry.phase == ReservationPhase::Returning;
        const bool late = elapsed(entry.since, wall) > state.wave.rebootTime * overdueFactor;
        progress.overdue += entry.phase == ReservationPhase::Rebooting && late;
    }
    progress.timeLeft = state.forecast(view);
    const bool active = progress.draining + progress.rebooting + progress.returning > 0;
    if (progress.total == progress.done)
        progress.state = WaveState::Finished;
    else if (state.wave.paused)
        progress.state = WaveState::Paused;
    else if (wall < state.wave.windowStart)
        progress.state = WaveState::Waiting;
    else if (!active && !state.canStartDrains(wall))
        progress.state = WaveState::WindowClosed;
    else
        progress.state = active || !selectHosts(view, state.ledger, state.waiting(view), 1).empty() ? WaveState::Running : WaveState::Held;
    return progress;
}

std::vector<MoveHost> WavePlanner::loans(const FleetView& view) const
{
    const auto& state = *m_private;
    const HostIndex hosts(view);
    std::set<std::string> active;
    for (const auto& entry : state.ownReservations()) {
        if (const auto* host = hosts.find(entry.upstream))
            active.insert(host->pool);
    }
    const auto availabilityByPool = state.ledger.availabilityByPool(view);
    const auto borrowed = borrowedByPool(view);
    auto spare = state.spareHosts(view);
    std::vector<MoveHost> loans;
    for (const auto& [pool, waiting] : state.waitingByPool(view)) {
        const auto& availability = availabilityByPool.at(pool);
        if (active.contains(pool) || state.wave.paused || canSpareOwnHost(availability))
            continue;
        for (auto& loan : findLoans(pool, availability, waiting, hostsOf(borrowed, pool), spare)) {
            std::erase_if(spare, [&](const HostView* it) { return it->name == loan.upstream; });
            loans.push_back(std::move(loan));
        }
    }
    // Borrowed hosts stay while a host of the pool is reserved.
    for (const auto& pool : active) {
        for (const auto* host : hostsOf(borrowed, pool))
            loans.push_back({ host->name, pool, pool });
    }
    return loans;
}

bool WavePlanner::needsReboot(const HostView& host) const
{
    return m_private->isInWave(host) && !m_private->ledger.finishedHosts(m_private->wave.name).contains(host.name);
}

} // namespace Decision
