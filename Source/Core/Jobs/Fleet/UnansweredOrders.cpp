#include "Jobs/Fleet/UnansweredOrders.h"

#include "Jobs/Fleet/FleetOrders.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds repeatDelay { 400 }; ///< Least time between an attempt's end and the next attempt.

    bool hasReportedRuns(const std::string& machine, const std::map<std::string, PoolLoad>& loads)
    {
        return std::ranges::any_of(loads, [&machine](const auto& pool) {
            return std::ranges::any_of(pool.second.workers, [&machine](const auto& it) { return it.machine == machine && it.runs > 0; });
        });
    }

    /// True when nothing runs on the machine, by a report of its pool's owner that the cordon had reached.
    bool isUnused(const MachineView& view)
    {
        return view.isOff || (view.hasOwnerReported && (!view.load || (view.load->isCordoned && view.load->runs == 0)));
    }

} // namespace

void UnansweredOrders::add(UnansweredOrder order, Instant now) { m_entries.push_back({ std::move(order), now }); }

OrderOutcome UnansweredOrders::outcomeOf(const Entry& entry, const Fleet& fleet, Instant now)
{
    const auto& order = entry.order;
    const auto it = fleet.machines.find(order.machine);
    const bool isListed = it != fleet.machines.end();
    if (isListed && !order.pool.empty() && it->second.machine.pool == order.pool && fleet.listRequestedAt >= entry.endedAt)
        return OrderOutcome::CarriedOut;
    if (now - entry.endedAt < repeatDelay)
        return OrderOutcome::Waits;
    if (isListed ? isUnused(it->second) : !hasReportedRuns(order.machine, fleet.loads))
        return OrderOutcome::Repeat;
    const bool isUp = isListed && it->second.machine.state == Machine::State::Up;
    return isUp && fleet.listRequestedAt - entry.endedAt >= machineCallTimeout ? OrderOutcome::GivenUp : OrderOutcome::Waits;
}

std::vector<UnansweredOrders::Resolved> UnansweredOrders::resolve(const Fleet& fleet, Instant now)
{
    std::vector<Resolved> resolved;
    std::erase_if(m_entries, [&](const Entry& it) {
        const auto outcome = outcomeOf(it, fleet, now);
        if (outcome == OrderOutcome::Waits)
            return false;
        resolved.push_back({ it.order, outcome });
        return true;
    });
    return resolved;
}

} // namespace Jobs
