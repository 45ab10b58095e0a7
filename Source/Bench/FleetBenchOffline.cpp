#include "FleetBenchOffline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace FleetBench {

namespace {

    constexpr double latePenalty = 100; // for each host-second of work that comes too late
    constexpr unsigned maximumBacklog = 60; // host-seconds

    /// What a second costs and leaves.
    struct Step {
        unsigned backlog = 0;
        double idle = 0;
        double late = 0;
    };

    Step serve(unsigned hosts, unsigned backlog, double work)
    {
        const double load = backlog + work;
        Step step;
        step.idle = std::max(0.0, hosts - load);
        const double left = std::max(0.0, load - hosts);
        // What can't be served within the deadline is late whatever happens next.
        const double kept = std::min(left, static_cast<double>(hosts) * static_cast<double>(deadline.count() - 1));
        step.late = left - kept;
        step.backlog = std::min(maximumBacklog, static_cast<unsigned>(std::lround(kept)));
        return step;
    }

    /// Where a state came from.
    struct Origin {
        unsigned hosts = 0;
        unsigned backlog = 0;
    };

    class Solver {
    public:
        Solver(const std::vector<double>& trace, unsigned minimum, unsigned maximum, const Decision::MarginSettings&);
        OfflineFigures solve(unsigned start);

    private:
        std::size_t index(unsigned hosts, unsigned backlog) const { return (hosts - m_minimum) * (maximumBacklog + 1) + backlog; }
        void relax(std::size_t second, unsigned from, unsigned backlog, unsigned to);
        OfflineFigures trace(std::size_t last) const;

        const std::vector<double>& m_trace;
        unsigned m_minimum;
        unsigned m_maximum;
        double m_bufferWeight;
        double m_moveCost;
        std::vector<double> m_cost;
        std::vector<double> m_next;
        std::vector<std::vector<Origin>> m_origins;
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
        const auto step = serve(to, backlog, m_trace[second] / slotsPerHost);
        const double moved = std::abs(static_cast<double>(to) - from);
        const double cost = m_cost[index(from, backlog)] + m_bufferWeight * step.idle + latePenalty * step.late + m_moveCost * moved;
        const auto target = index(to, step.backlog);
        if (cost >= m_next[target])
            return;
        m_next[target] = cost;
        m_origins[second][target] = { from, backlog };
    }

    OfflineFigures Solver::trace(std::size_t last) const
    {
        OfflineFigures figures;
        auto state = static_cast<unsigned>(last);
        for (std::size_t second = m_trace.size(); second-- > 0;) {
            const unsigned hosts = m_minimum + state / (maximumBacklog + 1);
            const auto origin = m_origins[second][state];
            const auto step = serve(hosts, origin.backlog, m_trace[second] / slotsPerHost);
            figures.bufferHostSeconds += step.idle;
            figures.lateHostSeconds += step.late;
            figures.poolChanges += hosts > origin.hosts ? hosts - origin.hosts : origin.hosts - hosts;
            state = static_cast<unsigned>(index(origin.hosts, origin.backlog));
        }
        return figures;
    }

    OfflineFigures Solver::solve(unsigned start)
    {
        const auto states = index(m_maximum, maximumBacklog) + 1;
        constexpr double unreachable = std::numeric_limits<double>::infinity();
        m_cost.assign(states, unreachable);
        m_cost[index(start, 0)] = 0;
        m_origins.assign(m_trace.size(), std::vector<Origin>(states));
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
        return trace(static_cast<std::size_t>(best));
    }

} // namespace

OfflineFigures solveOffline(const std::vector<double>& trace, unsigned minimumHosts, unsigned maximumHosts, unsigned startHosts,
    const Decision::MarginSettings& settings)
{
    return Solver(trace, minimumHosts, maximumHosts, settings).solve(startHosts);
}

} // namespace FleetBench
