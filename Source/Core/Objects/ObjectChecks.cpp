#include "Objects/Address.h"
#include "Objects/Checks.h"
#include "Objects/FieldCodec.h"

#include <map>
#include <string>

namespace Objects {

namespace {

    constexpr auto addressExample = "an IP address and a port, such as \"10.1.2.3:8080\"";
    constexpr auto uniqueAddressExample = "an address that no other upstream has";

    void reportDuplicateAddress(const Upstream& first, const Upstream& second, ErrorCollector& errors)
    {
        if (first.pool == second.pool) {
            errors.addError(ObjectKind::Upstream, second.name, "address", "duplicate address: upstream " + first.name + " also has it", uniqueAddressExample);
            return;
        }
        const auto pools = "pool " + first.pool + " as upstream " + first.name + " and in pool " + second.pool;
        errors.addError(ObjectKind::Upstream, second.name, "address", "the host is in two pools: in " + pools, uniqueAddressExample);
    }

    void checkAddresses(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<std::string, const Upstream*> upstreamsByAddress;
        for (const auto& [name, upstream] : set.upstreams) {
            const auto address = canonicalAddress(upstream.address);
            if (!address) {
                errors.addError(ObjectKind::Upstream, name, "address", "not an address", addressExample);
                continue;
            }
            const auto [it, inserted] = upstreamsByAddress.emplace(*address, &upstream);
            if (!inserted)
                reportDuplicateAddress(*it->second, upstream, errors);
        }
    }

    void checkConnections(const ObjectSet& set, ErrorCollector& errors)
    {
        for (const auto& [name, upstream] : set.upstreams) {
            if (upstream.connections < upstream.slots)
                errors.addError(ObjectKind::Upstream, name, "connections", "fewer connections than slots", "at least " + std::to_string(upstream.slots));
        }
    }

    void checkRanks(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<unsigned, std::string> namesByRank;
        for (const auto& [name, priority] : set.priorities) {
            const auto [it, inserted] = namesByRank.emplace(priority.rank, name);
            if (!inserted)
                errors.addError(ObjectKind::Priority, name, "rank", "priority " + it->second + " has the same rank", "a rank that no other priority has");
        }
    }

    void checkDeadlines(const ObjectSet& set, ErrorCollector& errors)
    {
        for (const auto& [name, service] : set.services) {
            if (service.maximumDeadline < service.expectedRunTime)
                errors.addError(ObjectKind::Service, name, "maximumDeadline", "shorter than the expected run time", "at least " + formatDuration(service.expectedRunTime));
        }
    }

    /// A service has at most one budget in a data centre.
    void checkDuplicateBudgets(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<std::pair<std::string, std::string>, std::string> namesByKey;
        for (const auto& [name, budget] : set.budgets) {
            const auto [it, inserted] = namesByKey.emplace(std::pair(budget.service, budget.dataCentre), name);
            if (!inserted)
                errors.addError(ObjectKind::Budget, name, "service", "budget " + it->second + " already covers this service in this data centre", "one budget for each service and data centre");
        }
    }

} // namespace

void checkObjects(const ObjectSet& set, ErrorCollector& errors)
{
    checkAddresses(set, errors);
    checkConnections(set, errors);
    checkRanks(set, errors);
    checkDeadlines(set, errors);
    checkDuplicateBudgets(set, errors);
}

} // namespace Objects
