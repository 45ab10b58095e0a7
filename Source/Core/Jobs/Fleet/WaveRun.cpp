#include "Jobs/Fleet/WaveRun.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds vacateTimeout { 4000 }; ///< A machine that isn't empty within this time, counted from when its latest lasting task left, is replaced by another for a while.
    constexpr milliseconds vacatePause { 3000 }; ///< How long such a machine isn't tried again.
    constexpr milliseconds downMargin { 400 }; ///< Time for the new worker to register.
    constexpr unsigned lookahead = 2; ///< Machines that are vacated beyond those that may go down at the same time.

    /// Capacity for lasting tasks on a pool's machines. Machines whose lasting tasks have room only on each other would never become
    /// empty if they were vacated together.
    class LastingRoom {
    public:
        void add(const MachineView& view) { m_room += roomOn(view); }
        /// Takes a machine's capacity away and returns true, if the lasting tasks of all vacated machines still find room. The first
        /// machine's tasks may wait for other machines, so it is always accepted.
        bool vacate(const MachineView& view)
        {
            auto room = m_room;
            room -= roomOn(view);
            auto leaving = m_leaving;
            leaving += view.load->lasting;
            if (m_leaving != Resources() && !leaving.fitsInto(room))
                return false;
            m_room = room;
            m_leaving = leaving;
            return true;
        }

    private:
        static Resources roomOn(const MachineView& view)
        {
            auto room = view.machine.capacity;
            room -= view.load->lasting;
            return room;
        }

        Resources m_room;
        Resources m_leaving;
    };

} // namespace

void MachineView::add(const WorkerLoad& it)
{
    if (!load) {
        load = it;
        return;
    }
    load->runs += it.runs;
    load->lastingRuns += it.lastingRuns;
    load->isCordoned = load->isCordoned && it.isCordoned;
    load->lasting += it.lasting;
}

std::map<std::string, MachineView> viewMachines(const std::map<std::string, Machine>& machines, const std::map<std::string, PoolLoad>& loads, const JobConfiguration& configuration)
{
    std::map<std::string, MachineView> views;
    for (const auto& [name, machine] : machines) {
        auto& view = views.emplace_hint(views.end(), name, MachineView())->second;
        view.machine = machine;
        const auto* pool = configuration.findPool(machine.pool);
        view.isOff = pool && pool->isStandby;
        view.hasOwnerReported = loads.contains(machine.pool);
    }
    for (const auto& [pool, load] : loads) {
        for (const auto& it : load.workers) {
            const auto view = views.find(it.machine);
            if (view != views.end() && view->second.machine.pool == pool)
                view->second.add(it);
        }
    }
    return views;
}

WaveRun::WaveRun(MaintenanceWave wave, std::set<std::string> done)
    : m_wave(std::move(wave))
    , m_done(std::move(done))
{
}

bool WaveRun::isDue(const std::string& machine, const MachineView& view) const
{
    return !m_done.contains(machine) && !m_pendingOrders.contains(machine) && view.machine.state == Machine::State::Up;
}

unsigned WaveRun::downCount(Instant now) const
{
    const auto isDown = [now](const auto& it) { return it.second > now; };
    return static_cast<unsigned>(m_pendingOrders.size() + static_cast<std::size_t>(std::ranges::count_if(m_downUntil, isDown)));
}

bool WaveRun::canReceiveTasks(const std::string& machine, const MachineView& view) const
{
    const bool isCordonedElsewhere = view.load && view.load->isCordoned && !m_cordon.contains(machine); // For a move or by another wave.
    return view.machine.state == Machine::State::Up && view.load && !m_pendingOrders.contains(machine) && !isCordonedElsewhere;
}

std::set<std::string> WaveRun::chooseCordon(const std::map<std::string, MachineView>& views, Instant now)
{
    using Rank = std::tuple<bool, unsigned, unsigned, std::string>;
    std::vector<Rank> ranked;
    for (const auto& name : m_wave.machines) {
        const auto it = views.find(name);
        if (it == views.end() || !isDue(name, it->second) || it->second.isOff || !it->second.load)
            continue;
        auto& attempt = m_attempts[name];
        const bool isCordoned = m_cordon.contains(name);
        if (!isCordoned || it->second.load->lastingRuns < attempt.lastingRuns)
            attempt.since = now;
        attempt.lastingRuns = it->second.load->lastingRuns;
        if (isCordoned && it->second.load->runs > 0 && now - attempt.since > vacateTimeout) {
            attempt.pauseUntil = now + vacatePause;
            continue;
        }
        if (attempt.pauseUntil > now)
            continue;
        ranked.emplace_back(!isCordoned, it->second.load->lastingRuns, it->second.load->runs, name);
    }
    std::ranges::sort(ranked);
    const auto down = downCount(now);
    const std::size_t room = (m_wave.maximumDown > down ? m_wave.maximumDown - down : 0) + lookahead;
    std::map<std::string, LastingRoom> pools;
    for (const auto& [name, view] : views) {
        if (canReceiveTasks(name, view))
            pools[view.machine.pool].add(view);
    }
    std::set<std::string> chosen;
    for (const auto& it : ranked) {
        if (chosen.size() >= room)
            break;
        const auto& name = std::get<std::string>(it);
        const auto& view = views.at(name);
        if (!pools[view.machine.pool].vacate(view))
            continue;
        chosen.insert(name);
    }
    m_cordon = chosen;
    // No tasks may be placed on a machine that may go down, until its order is answered.
    chosen.insert(m_pendingOrders.begin(), m_pendingOrders.end());
    return chosen;
}

std::vector<std::string> WaveRun::chooseOrders(const std::map<std::string, MachineView>& views, Instant now) const
{
    std::vector<std::string> chosen;
    const auto down = downCount(now);
    for (const auto& name : m_wave.machines) {
        if (down + chosen.size() >= m_wave.maximumDown)
            break;
        const auto it = views.find(name);
        if (it == views.end() || !isDue(name, it->second))
            continue;
        const auto attempt = m_attempts.find(name);
        if (attempt != m_attempts.end() && attempt->second.pauseUntil > now)
            continue;
        const auto& view = it->second;
        const bool isEmpty = view.load && view.load->isCordoned && view.load->runs == 0 && m_cordon.contains(name);
        if (view.isOff || isEmpty)
            chosen.push_back(name);
    }
    return chosen;
}

void WaveRun::markOrdered(const std::string& machine, Instant)
{
    m_pendingOrders.insert(machine);
}

void WaveRun::onMaintenanceStarted(const std::string& machine, Instant now, milliseconds maintenanceTime)
{
    m_pendingOrders.erase(machine);
    m_done.insert(machine);
    m_cordon.erase(machine);
    m_downUntil[machine] = now + maintenanceTime + downMargin;
}

void WaveRun::onOrderRefused(const std::string& machine, Instant now)
{
    m_pendingOrders.erase(machine);
    m_attempts[machine].pauseUntil = now + vacatePause / 4;
}

void WaveRun::addUnavailable(std::set<std::string>& machines, Instant now) const
{
    machines.insert(m_pendingOrders.begin(), m_pendingOrders.end());
    machines.insert(m_cordon.begin(), m_cordon.end());
    for (const auto& [machine, until] : m_downUntil) {
        if (until > now)
            machines.insert(machine);
    }
}

bool WaveRun::isCompleted(const std::map<std::string, MachineView>& views) const
{
    return std::ranges::all_of(m_wave.machines, [&](const auto& it) { return m_done.contains(it) || !views.contains(it); });
}

} // namespace Jobs
