#include "FleetBenchOffline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace FleetBench {

namespace {

    constexpr double latePenalty = 100; // Per host-second of late work.
    constexpr unsigned maximumBacklog = 60; // Host-seconds.

    /// Outcome of one second, in host-seconds.
    struct SecondResult {
        unsigned backlog = 0;
        double idle = 0;
        double late = 0;
    };

    SecondResult serve(unsigned hosts, unsigned backlog, double work)
    {
        const double load = backlog + work;
        SecondResult result;
        result.idle = std::max(0.0, hosts - load);
        const double unserved = std::max(0.0, load - hosts);
        // Work that can't be served within the deadline counts as late at once.
        const double carriedOver = std::min(unserved, static_cast<double>(hosts) * static_cast<double>(deadline.count() - 1));
        result.late = unserved - carriedOver;
        result.backlog = std::min(maximumBacklog, static_cast<unsigned>(std::lround(carriedOver)));
        return result;
    }

    /// State of the second before, from which a state is reached at the least cost.
    struct Predecessor {
        unsigned hosts = 0;
        unsigned backlog = 0;
    };

    /// Finds the plan of least cost for one pool, second by second over all states (hosts, backlog).
    class Solver {
    public:
        Solver(const std::vector<double>& trace, unsigned minimum, unsigned maximum, const Decision::MarginSettings&);
        OfflineFigures solve(unsigned start);

    private:
        std::size_t index(unsigned hosts, unsigned backlog) const { return (hosts - m_minimum) * (maximumBacklog + 1) + backlog; }
        void relax(std::size_t second, unsigned from, unsigned backlog, unsigned to);
        OfflineFigures traceBack(std::size_t last) const;

        const std::vector<double>& m_trace;
        unsigned m_minimum;
        unsigned m_maximum;
        double m_bufferWeight;
        double m_moveCost;
        std::vector<double> m_cost;
        std::vector<double> m_next;
        std::vector<std::vector<Predecessor>> m_predecessors;
    };

    Solver::Solver(const std::vector<double>& trace, unsigned minimum, unsigned maximum, const Decision::MarginSettings& settings)
        : m_trace(trace)
        , m_minimum(minimum)
        , m_maximum(maximum)
        , m_bufferWeight(settings.bufferCostWeight)
        , m_moveCost(settings.moveCostWeight * std::chrono::duration<double>(settings.moveTime).count())
    {
    }

    void Solver::relax(std::size_t second, unsigned from, unsigned backlog, unsigned to)
    {
        const auto result = serve(to, backlog, m_trace[second] / slotsPerHost);
        const double moved = std::abs(static_cast<double>(to) - from);
        const double cost = m_cost[index(from, backlog)] + m_bufferWeight * result.idle + latePenalty * result.late + m_moveCost * moved;
        const auto target = index(to, result.backlog);
        if (cost >= m_next[target])
            return;
        m_next[target] = cost;
        m_predecessors[second][target] = { from, backlog };
    }

    OfflineFigures Solver::traceBack(std::size_t last) const
    {
        OfflineFigures figures;
        auto state = static_cast<unsigned>(last);
        for (std::size_t second = m_trace.size(); second-- > 0;) {
            const unsigned hosts = m_minimum + state / (maximumBacklog + 1);
            const auto predecessor = m_predecessors[second][state];
            const auto result = serve(hosts, predecessor.backlog, m_trace[second] / slotsPerHost);
            figures.bufferHostSeconds += result.idle;
            figures.lateHostSeconds += result.late;
            figures.poolChanges += hosts > predecessor.hosts ? hosts - predecessor.hosts : predecessor.hosts - hosts;
            state = static_cast<unsigned>(index(predecessor.hosts, predecessor.backlog));
        }
        return figures;
    }

    OfflineFigures Solver::solve(unsigned start)
    {
        const auto states = index(m_maximum, maximumBacklog) + 1;
        constexpr double unreachable = std::numeric_limits<double>::infinity();
        m_cost.assign(states, unreachable);
        m_cost[index(start, 0)] = 0;
        m_predecessors.assign(m_trace.size(), std::vector<Predecessor>(states));
        for (std::size_t second = 0; second < m_trace.size(); ++second) {
            m_next.assign(states, unreachable);
            for (unsigned from = m_minimum; from <= m_maximum; ++from) {
                for (unsigned backlog = 0; backlog <= maximumBacklog; ++backlog) {
                    if (m_cost[index(from, backlog)] == unreachable)
                        continue;
                    for (unsigned to = m_minimum; to <= m_maximum; ++to)
                        relax(second, from, backlog, to);
                }
            }
            std::swap(m_cost, m_next);
        }
        const auto best = std::min_element(m_cost.begin(), m_cost.end()) - m_cost.begin();
        return traceBack(static_cast<std::size_t>(best));
    }

} // namespace

OfflineFigures solveOffline(const std::vector<double>& trace, unsigned minimumHosts, unsigned maximumHosts, unsigned startHosts,
    const Decision::MarginSettings& settings)
{
    return Solver(trace, minimumHosts, maximumHosts, settings).solve(startHosts);
}

} // namespace FleetBench
