#include "FleetBenchDataCentre.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace FleetBench {

using namespace Decision;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned fixedMarginPercent = 20;
    constexpr auto waveStart = 600s;
    constexpr auto rebootTime = 120s;
    constexpr auto drainTime = 5s;
    constexpr auto failureTime = 300s;
    constexpr auto rackFailureAt = 1000s;
    constexpr double hostFailureChance = 1.0 / 1800; // Per second, in the whole data centre.

} // namespace

Model::Model(const RunSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    addPools();
    if (settings.policy == MovePolicy::FixedMargin)
        assignFixedMargin();
    createPlanners();
}

void Model::addPools()
{
    unsigned total = 0;
    for (const auto& size : m_settings.pools)
        total += size.hosts;
    m_racks = (total + hostsPerRack - 1) / hostsPerRack;
    unsigned next = 0;
    for (std::size_t i = 0; i < m_settings.pools.size(); ++i) {
        const auto& size = m_settings.pools[i];
        ModelPool pool;
        pool.name = size.pool;
        pool.spare = size.spare;
        pool.trace = makeTrace(m_settings, i);
        pool.minimumHosts = minimumHostsAfterMoves(size.hosts, m_racks);
        m_pools.push_back(std::move(pool));
        m_budgets.push_back({ size.pool + "-service", size.pool, size.spare ? 0 : budgetPercent });
        for (unsigned n = 0; n < size.hosts; ++n) {
            ModelHost host;
            host.view.name = size.pool + "-" + std::to_string(n);
            host.view.pool = host.view.homePool = size.pool;
            host.view.rack = "rack-" + std::to_string(next++ % m_racks);
            host.view.health = HostHealth::Up;
            host.view.incarnation = 1;
            host.view.serving = true;
            m_hosts.push_back(std::move(host));
        }
    }
}

void Model::assignFixedMargin()
{
    std::map<std::string, unsigned> wanted;
    for (const auto& size : m_settings.pools) {
        if (!size.spare)
            wanted[size.pool] = (size.hosts * fixedMarginPercent + 99) / 100;
    }
    bool assigned = true;
    while (assigned) {
        assigned = false;
        for (auto& [pool, hosts] : wanted) {
            const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const ModelHost& host) { return isSpare(host.view.pool); });
            if (!hosts || it == m_hosts.end())
                continue;
            it->view.pool = pool;
            --hosts;
            assigned = true;
        }
    }
}

void Model::createPlanners()
{
    m_ledger = BudgetLedger::create({ m_settings.dataCentre, "entry-0", m_budgets, {} }).take();
    m_policy = MarginPolicy::create(m_settings.margin).take();
    Objects::Wave wave;
    wave.name = "kernel";
    wave.windowStart = Common::WallTime(waveStart);
    wave.windowLength = m_settings.length;
    wave.rebootTime = rebootTime;
    wave.paused = !m_settings.withWave;
    WavePlannerSettings settings;
    settings.dataCentre = m_settings.dataCentre;
    settings.holder = "entry-0";
    settings.maximumAtOnce = m_settings.maximumAtOnce;
    for (const auto& size : m_settings.pools) {
        wave.pools.push_back(size.pool);
        if (size.spare)
            settings.sparePools.insert(size.pool);
    }
    m_wave = WavePlanner::create(settings, wave, *m_ledger).take();
    m_wave->setDutyEnd(Instant::max());
    completeStoreCalls(m_ledger->load());
}

ModelHost& Model::host(const std::string& name)
{
    return *std::find_if(m_hosts.begin(), m_hosts.end(), [&](const ModelHost& it) { return it.view.name == name; });
}

bool Model::isSpare(const std::string& pool) const
{
    return std::any_of(m_pools.begin(), m_pools.end(), [&](const ModelPool& it) { return it.name == pool && it.spare; });
}

double Model::capacity(const std::string& pool) const
{
    return slotsPerHost * static_cast<double>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const ModelHost& it) { return it.view.pool == pool && it.view.serving && it.up; }));
}

FleetView Model::view(bool withLoadFloors) const
{
    FleetView view;
    for (const auto& it : m_hosts) {
        view.hosts.push_back(it.view);
        view.hosts.back().health = it.up ? HostHealth::Up : HostHealth::Down;
    }
    if (withLoadFloors && m_settings.policy == MovePolicy::Margin)
        view.loadFloors = m_policy->loadFloors();
    return view;
}

void Model::completeStoreCalls(const std::vector<PlatformAction>& calls)
{
    auto next = calls;
    while (!next.empty()) {
        for (const auto& call : next)
            m_store.call(0, call, m_now);
        next.clear();
        for (const auto& reply : m_store.advance(m_now + 1s)) {
            for (const auto& call : m_ledger->handle(reply.event))
                next.push_back(call);
        }
    }
}

void Model::injectFailures()
{
    if (!m_settings.withFailures)
        return;
    const auto failedRack = "rack-" + std::to_string(m_settings.seed % m_racks);
    const bool rackFails = m_now.time_since_epoch() == rackFailureAt;
    const bool hostFails = std::uniform_real_distribution<double>(0, 1)(m_random) < hostFailureChance;
    const auto failedHost = m_random() % m_hosts.size();
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        auto& it = m_hosts[i];
        if (!(rackFails && it.view.rack == failedRack) && !(hostFails && i == failedHost))
            continue;
        it.up = false;
        it.failed = true;
        it.upAt = std::max(it.upAt, m_now + failureTime);
    }
}

void Model::finishMoves()
{
    for (auto& it : m_hosts) {
        if (it.movingTo.empty() || m_now < it.moveEnds)
            continue;
        m_figures.poolChanges += !isSpare(it.view.pool);
        m_figures.poolChanges += !isSpare(it.movingTo);
        ++m_figures.moves;
        it.view.pool = std::exchange(it.movingTo, {});
        it.view.serving = true;
        it.view.knownIdle = false;
        releaseMove(it.view.name);
    }
}

void Model::releaseMove(const std::string& name)
{
    m_pendingReleases.push_back({ LedgerChange::Kind::Release, { name, "", "entry-0", ReservationPhase::Moving, 0, false, {} }, "", "", false });
}

void Model::advanceHosts()
{
    for (auto& it : m_hosts) {
        if (!it.up && m_now >= it.upAt) {
            it.up = true;
            it.failed = false;
            ++it.view.incarnation;
        }
        if (!it.view.serving && it.movingTo.empty() && m_now >= it.idleAt)
            it.view.knownIdle = true;
    }
}

void Model::serve(std::size_t second)
{
    for (auto& pool : m_pools) {
        if (!pool.spare)
            servePool(pool, second);
    }
}

void Model::servePool(ModelPool& pool, std::size_t second)
{
    pool.queue.emplace_back(second, pool.trace[second]);
    m_figures.offered += pool.trace[second];
    double freeSlots = capacity(pool.name);
    pool.served = pool.late = 0;
    const auto deadlineSeconds = static_cast<std::size_t>(deadline.count());
    while (!pool.queue.empty() && second - pool.queue.front().first >= deadlineSeconds) {
        pool.late += pool.queue.front().second;
        pool.queue.pop_front();
    }
    while (!pool.queue.empty() && freeSlots > 0) {
        const double taken = std::min(freeSlots, pool.queue.front().second);
        freeSlots -= taken;
        pool.served += taken;
        pool.queue.front().second -= taken;
        if (pool.queue.front().second <= 0)
            pool.queue.pop_front();
    }
    m_figures.served += pool.served;
}

void Model::decideMoves()
{
    if (m_settings.policy != MovePolicy::Margin)
        return;
    const auto fleet = view(false);
    MoveInput input { fleet, *m_ledger, {}, m_pendingMoves, m_wave->loans(fleet), {} };
    for (const auto& it : m_hosts) {
        if (!it.movingTo.empty())
            input.inFlight.push_back({ it.view.name, it.view.pool, it.movingTo });
        if (m_wave->needsReboot(it.view) && m_settings.withWave)
            input.rebootDue.insert(it.view.name);
    }
    for (const auto& pool : m_pools) {
        double queued = 0;
        for (const auto& [second, work] : pool.queue)
            queued += work;
        const double offered = pool.spare ? 0 : pool.trace[static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(m_now.time_since_epoch()).count())];
        input.demands.push_back({ pool.name, pool.spare, offered, queued, slotsPerHost, 0 });
    }
    for (const auto& move : m_policy->decide(m_now, input))
        m_pendingMoves.push_back(move);
    startMoves();
}

/// Reserves the hosts that are to move, and starts the moves of those whose reservation is stored.
void Model::startMoves()
{
    auto changes = std::exchange(m_pendingReleases, {});
    for (const auto& move : m_pendingMoves)
        changes.push_back({ LedgerChange::Kind::Reserve, { move.upstream, "", "entry-0", ReservationPhase::Moving, 0, false, wall() }, move.from, "", false });
    completeStoreCalls(m_ledger->submit(view(false), changes));
    const auto reserved = m_ledger->reservedHosts();
    for (const auto& move : std::exchange(m_pendingMoves, {})) {
        auto& it = host(move.upstream);
        if (!reserved.contains(move.upstream) || !it.view.serving)
            continue;
        it.view.serving = false;
        it.movingTo = move.to;
        it.moveEnds = m_now + m_settings.margin.moveTime;
    }
}

void Model::runWave()
{
    const auto output = m_wave->tick(m_now, wall(), view(true));
    completeStoreCalls(output.calls);
    for (const auto& decision : output.decisions)
        carryOut(decision);
    const bool finishes = m_settings.withWave && !m_figures.waveFinished && m_now.time_since_epoch() > waveStart;
    if (!finishes || std::any_of(m_hosts.begin(), m_hosts.end(), [&](const ModelHost& it) { return m_wave->needsReboot(it.view); }))
        return;
    m_figures.waveFinished = true;
    m_figures.rollOut = std::chrono::floor<std::chrono::seconds>(m_now.time_since_epoch()) - waveStart;
}

void Model::carryOut(const WaveDecision& decision)
{
    if (const auto* it = std::get_if<DrainHost>(&decision)) {
        auto& drained = host(it->upstream);
        drained.view.serving = false;
        drained.idleAt = m_now + drainTime;
    }
    if (const auto* it = std::get_if<RebootHost>(&decision)) {
        auto& rebooted = host(it->upstream);
        if (!rebooted.up || rebooted.view.incarnation != it->incarnation)
            return;
        rebooted.up = false;
        rebooted.upAt = std::max(rebooted.upAt, m_now + rebootTime);
    }
    if (const auto* it = std::get_if<ReturnHost>(&decision)) {
        auto& returned = host(it->upstream);
        returned.view.serving = returned.up;
        returned.view.knownIdle = false;
    }
}

unsigned minimumHostsAfterMoves(unsigned hosts, unsigned racks)
{
    const auto required = requiredHosts(hosts, budgetPercent);
    unsigned minimum = required;
    while (minimum < hosts && minimum - (minimum + racks - 1) / racks < required)
        ++minimum;
    return minimum;
}

void Model::countSecond()
{
    for (const auto& pool : m_pools) {
        if (pool.spare) {
            m_figures.spareHostSeconds += capacity(pool.name) / slotsPerHost;
            continue;
        }
        const double idle = std::max(0.0, (capacity(pool.name) - pool.served) / slotsPerHost);
        m_figures.bufferHostSeconds += idle;
        m_figures.forcedHostSeconds += std::min(idle, std::max(0.0, pool.minimumHosts - pool.served / slotsPerHost));
        double leavingSlots = 0;
        for (const auto& it : m_hosts)
            leavingSlots += it.view.pool == pool.name && !it.movingTo.empty() ? slotsPerHost : 0;
        m_figures.lostToMoves += std::min(pool.late, leavingSlots);
        countBudgetViolations(pool);
    }
    for (const auto& it : m_hosts)
        m_figures.transitHostSeconds += it.movingTo.empty() ? 0 : 1;
    countHostsInTwoPools();
}

/// Counts a violation when a pool is below its budget, unless its hosts have failed in more than one rack, which no
/// planner can foresee.
void Model::countBudgetViolations(const ModelPool& pool)
{
    unsigned published = 0;
    std::set<std::string> failedRacks;
    for (const auto& it : m_hosts) {
        published += it.view.homePool == pool.name;
        if (it.failed && it.view.pool == pool.name)
            failedRacks.insert(it.view.rack);
    }
    const auto available = static_cast<unsigned>(capacity(pool.name) / slotsPerHost);
    if (available < requiredHosts(published, budgetPercent) && failedRacks.size() <= 1)
        ++m_figures.budgetViolations;
}

/// A host that serves while it is being moved would be in two pools at once.
void Model::countHostsInTwoPools()
{
    for (const auto& it : m_hosts)
        m_figures.hostsInTwoPools += it.view.serving && !it.movingTo.empty();
}

RunFigures Model::run()
{
    const auto seconds = static_cast<std::size_t>(m_settings.length.count());
    for (std::size_t second = 0; second < seconds; ++second) {
        m_now = Instant(std::chrono::seconds(second));
        injectFailures();
        finishMoves();
        advanceHosts();
        serve(second);
        countSecond();
        decideMoves();
        runWave();
    }
    m_figures.bufferHostSeconds += m_figures.transitHostSeconds;
    return m_figures;
}

RunFigures run(const RunSettings& settings)
{
    return Model(settings).run();
}

} // namespace FleetBench
