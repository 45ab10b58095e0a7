#pragma once

/// Pools whose jobs wait, with the moves that are planned for them.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Fleet/MovePlanner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace WaitingPoolsTest {

using namespace Jobs;
using namespace std::chrono_literals;

inline const Resources capacityEach { 10000, 16000, 0 };
inline const std::vector<std::string> anyLabels { "small", "r-1" };

inline StepSpec stepOf(unsigned tasks, const Resources& need)
{
    StepSpec step;
    step.taskCount = tasks;
    step.need = need;
    step.estimate = 60s;
    return step;
}

/// The pools "desk", "rush" and "spare", a standby pool "off", jobs that wait in them, and idle machines.
class WaitingPools {
public:
    WaitingPools() { m_views["off"].isStandby = true; }

    void addLate(const std::string& pool, const StepSpec& step) { addJob(pool, step, 1ms); }
    void addInTime(const std::string& pool, const StepSpec& step) { addJob(pool, step, 1h); }

    /// Work in time of a source whose tasks crash their workers.
    void addCrashing(const std::string& pool, const StepSpec& step)
    {
        addJob(pool, step, 1h, "crashing");
        m_records[pool].emplace_back(SourceCrashesLearnt { "crashing", {}, 20000, 1000, true, at().wall });
    }

    void setDown(const std::string& machine)
    {
        m_machines.at(machine).machine.state = Machine::State::Down;
        m_machines.at(machine).load.reset();
    }

    void setRuns(const std::string& pool, unsigned runs, unsigned lastingRuns = 0)
    {
        for (auto& [name, view] : m_machines) {
            if (view.machine.pool == pool) {
                view.load->runs = runs;
                view.load->lastingRuns = lastingRuns;
            }
        }
    }

    void addMachines(const std::string& pool, unsigned count, const std::vector<std::string>& labels = anyLabels)
    {
        for (; count > 0; --count) {
            const auto name = "m-" + std::to_string(m_machines.size());
            auto& view = m_machines[name];
            view.machine = { name, pool, Machine::State::Up, {}, "dc", labels, capacityEach };
            view.isOff = pool == "off";
            if (!view.isOff)
                view.load = WorkerLoad { "w" + name, name, 0, 0, true };
        }
    }

    /// Busy cores of a pool, for the forecast of peaks.
    void setBusy(const std::string& pool, std::uint64_t milliCores) { m_busy[pool] = milliCores; }

    /// Call once, after all jobs and machines were added. A pool without machines gets one.
    void start()
    {
        for (const std::string name : { "desk", "rush", "spare" }) {
            if (std::ranges::none_of(m_machines, [&name](const auto& it) { return it.second.machine.pool == name; }))
                addMachines(name, 1);
            auto& core = m_cores.try_emplace(name, PoolLimits { 120s, 2000 }).first->second;
            core.load(m_records[name]);
            core.finishLoad(at());
            core.decide(at()); // Begins the jobs; nothing is placed without workers.
        }
        for (const auto& [name, view] : m_machines) {
            if (view.isOff)
                continue;
            WorkerEntry entry;
            entry.id = "w" + name;
            entry.machine = name;
            entry.address = "127.0.0.1:1";
            entry.capacity = capacityEach;
            entry.labels = view.machine.labels;
            entry.rack = view.machine.labels.at(1);
            m_cores.at(view.machine.pool).onWorkerListed(entry, at());
        }
    }

    /// Moves that are planned now, by machine.
    std::map<std::string, std::string> plan()
    {
        for (auto& [name, core] : m_cores) {
            m_views[name].hasReported = true;
            m_views[name].load = core.loadReport(at());
            m_views[name].load.busyMilliCores = m_busy[name];
        }
        m_planner.plan(m_views, m_machines, {}, now);
        std::map<std::string, std::string> moves;
        for (const auto& it : m_planner.readyMoves(m_machines))
            moves[it.machine] = it.pool;
        return moves;
    }

    /// Number of machines of the pool that are to be emptied.
    unsigned cordonedOf(const std::string& pool)
    {
        plan();
        const auto cordoned = m_planner.cordon();
        return static_cast<unsigned>(std::ranges::count_if(cordoned, [&](const auto& it) { return m_machines.at(it).machine.pool == pool; }));
    }

    /// Number of machines that move to the pool.
    unsigned movesTo(const std::string& pool)
    {
        unsigned count = 0;
        for (const auto& [machine, target] : plan())
            count += target == pool ? 1 : 0;
        return count;
    }

    /// The same as text.
    std::string planText()
    {
        std::string text;
        for (const auto& [machine, pool] : plan())
            text.append(text.empty() ? "" : " ").append(machine).append(":").append(pool);
        return text;
    }

    PoolLoad loadOf(const std::string& pool) const { return m_cores.at(pool).loadReport(at()); }
    Moment at() const { return { now, Common::WallTime(std::chrono::duration_cast<milliseconds>(now - Instant(1h))) }; }

    Instant now { 1h };

private:
    void addJob(const std::string& pool, const StepSpec& step, milliseconds objective, const std::string& queue = "sound")
    {
        JobAccepted accepted;
        accepted.job = std::string(15, '0') + std::to_string(m_records[pool].size());
        accepted.queue = queue;
        accepted.objective = objective;
        accepted.spec.steps.push_back(step);
        m_records[pool].emplace_back(accepted);
    }

    std::map<std::string, std::vector<JobRecord>> m_records;
    std::map<std::string, PoolCore> m_cores;
    std::map<std::string, std::uint64_t> m_busy;
    std::map<std::string, PoolView> m_views;
    std::map<std::string, MachineView> m_machines;
    MovePlanner m_planner { 1500ms };
};

} // namespace WaitingPoolsTest
