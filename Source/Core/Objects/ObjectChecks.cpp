#include "Objects/Address.h"
#include "Objects/Checks.h"
#include "Objects/FieldCodec.h"

#include <map>
#include <string>

namespace Objects {

namespace {

    constexpr auto addressExample = "an IP number and a port, such as \"10.1.2.3:8080\"";
    constexpr auto oneAddressExample = "an address that no other upstream has";

    void checkSameAddress(const Upstream& first, const Upstream& second, ErrorCollector& errors)
    {
        if (first.pool == second.pool) {
            errors.fail(ObjectKind::Upstream, second.name, "address", "duplicate address: upstream " + first.name + " has it too", oneAddressExample);
            return;
        }
        const auto pools = "pool " + first.pool + " by upstream " + first.name + " and in pool " + second.pool;
        errors.fail(ObjectKind::Upstream, second.name, "address", "the host is in two pools: in " + pools, oneAddressExample);
    }

    void checkAddresses(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<std::string, const Upstream*> owners;
        for (const auto& [name, upstream] : set.upstreams) {
            const auto address = canonicalAddress(upstream.address);
            if (!address) {
                errors.fail(ObjectKind::Upstream, name, "address", "not an address", addressExample);
                continue;
            }
            const auto [it, inserted] = owners.emplace(*address, &upstream);
            if (!inserted)
                checkSameAddress(*it->second, upstream, errors);
        }
    }

    void checkConnections(const ObjectSet& set, ErrorCollector& errors)
    {
        for (const auto& [name, upstream] : set.upstreams) {
            if (upstream.connections < upstream.slots)
                errors.fail(ObjectKind::Upstream, name, "connections", "fewer connections than slots", "at least " + std::to_string(upstream.slots));
        }
    }

    void checkRanks(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<unsigned, std::string> holders;
        for (const auto& [name, priority] : set.priorities) {
            const auto [it, inserted] = holders.emplace(priority.rank, name);
            if (!inserted)
                errors.fail(ObjectKind::Priority, name, "rank", "priority " + it->second + " has the same rank", "a rank that no other priority has");
        }
    }

    void checkDeadlines(const ObjectSet& set, ErrorCollector& errors)
    {
        for (const auto& [name, service] : set.services) {
            if (service.maximumDeadline < service.expectedRunTime)
                errors.fail(ObjectKind::Service, name, "maximumDeadline", "shorter than the expected run time", "at least " + formatDuration(service.expectedRunTime));
        }
    }

    /// One budget for each service and data centre.
    void checkBudgetsOnce(const ObjectSet& set, ErrorCollector& errors)
    {
        std::map<std::pair<std::string, std::string>, std::string> holders;
        for (const auto& [name, budget] : set.budgets) {
            const auto [it, inserted] = holders.emplace(std::pair(budget.service, budget.dataCentre), name);
            if (!inserted)
                errors.fail(ObjectKind::Budget, name, "service", "budget " + it->second + " guards the same service in the same data centre", "one budget for each service and data centre");
        }
    }

} // namespace

void checkObjects(const ObjectSet& set, ErrorCollector& errors)
{
    checkAddresses(set, errors);
    checkConnections(set, errors);
    checkRanks(set, errors);
    checkDeadlines(set, errors);
    checkBudgetsOnce(set, errors);
}

} // namespace Objects
