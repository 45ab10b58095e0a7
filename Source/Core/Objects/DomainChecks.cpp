#include "Objects/Checks.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Objects {

namespace {

    std::optional<DomainLevel> parentLevel(DomainLevel level)
    {
        if (level == DomainLevel::Rack)
            return DomainLevel::DataCentre;
        if (level == DomainLevel::DataCentre)
            return DomainLevel::Region;
        return std::nullopt;
    }

    std::string levelTitle(DomainLevel level)
    {
        if (level == DomainLevel::Rack)
            return "rack";
        return level == DomainLevel::DataCentre ? "data centre" : "region";
    }

    const FailureDomain* findDomain(const ObjectSet& set, const std::string& name)
    {
        const auto it = set.domains.find(name);
        return it == set.domains.end() ? nullptr : &it->second;
    }

    std::vector<std::string> namesOfLevel(const ObjectSet& set, DomainLevel level)
    {
        std::vector<std::string> names;
        for (const auto& [name, domain] : set.domains) {
            if (domain.level == level)
                names.push_back(name);
        }
        return names;
    }

    std::string oneOfLevel(const ObjectSet& set, DomainLevel level)
    {
        std::map<std::string, DomainLevel> named;
        for (const auto& name : namesOfLevel(set, level))
            named.emplace(name, level);
        return "a " + levelTitle(level) + ", " + oneOf(named);
    }

    /// Names on the path from the domain through its parents back to itself; empty if it isn't part of a cycle.
    std::vector<std::string> cycleThrough(const ObjectSet& set, const std::string& start)
    {
        std::vector<std::string> path { start };
        for (const auto* domain = findDomain(set, start); domain; domain = findDomain(set, domain->parent)) {
            if (domain->parent == start)
                return path;
            if (std::find(path.begin(), path.end(), domain->parent) != path.end())
                return {};
            path.push_back(domain->parent);
        }
        return {};
    }

    std::string describeCycle(const std::vector<std::string>& cycle)
    {
        std::string text;
        for (const auto& name : cycle)
            text += name + " -> ";
        return text + cycle.front();
    }

    void checkParent(const ObjectSet& set, const FailureDomain& domain, ErrorCollector& errors)
    {
        const auto level = parentLevel(domain.level);
        if (!level) {
            if (!domain.parent.empty())
                errors.addError(ObjectKind::Domain, domain.name, "parent", "a region has no parent", "no parent");
            return;
        }
        const auto* parent = findDomain(set, domain.parent);
        if (domain.parent.empty())
            errors.addError(ObjectKind::Domain, domain.name, "parent", "a " + levelTitle(domain.level) + " needs a parent", oneOfLevel(set, *level));
        else if (parent && parent->level != *level)
            errors.addError(ObjectKind::Domain, domain.name, "parent", "\"" + domain.parent + "\" is a " + levelTitle(parent->level), oneOfLevel(set, *level));
    }

    void checkDomain(const ObjectSet& set, const FailureDomain& domain, ErrorCollector& errors)
    {
        const auto cycle = cycleThrough(set, domain.name);
        if (cycle.empty())
            return checkParent(set, domain, errors);
        if (domain.name == *std::min_element(cycle.begin(), cycle.end()))
            errors.addError(ObjectKind::Domain, domain.name, "parent", "cycle of domains: " + describeCycle(cycle), "racks in data centres in regions");
    }

    /// Checks the level of a referenced domain. References to missing domains are reported by checkFields().
    void checkLevel(const ObjectSet& set, const std::string& name, DomainLevel level, ObjectKind kind, const std::string& object, std::string_view field, ErrorCollector& errors)
    {
        const auto* domain = findDomain(set, name);
        if (domain && domain->level != level)
            errors.addError(kind, object, field, "\"" + name + "\" is a " + levelTitle(domain->level), oneOfLevel(set, level));
    }

} // namespace

void checkDomains(const ObjectSet& set, ErrorCollector& errors)
{
    for (const auto& [name, domain] : set.domains)
        checkDomain(set, domain, errors);
    for (const auto& [name, budget] : set.budgets)
        checkLevel(set, budget.dataCentre, DomainLevel::DataCentre, ObjectKind::Budget, name, "dataCentre", errors);
    for (const auto& [name, wave] : set.waves) {
        for (const auto& dataCentre : wave.dataCentres)
            checkLevel(set, dataCentre, DomainLevel::DataCentre, ObjectKind::Wave, name, "dataCentres", errors);
    }
    for (const auto& [name, upstream] : set.upstreams)
        checkLevel(set, upstream.rack, DomainLevel::Rack, ObjectKind::Upstream, name, "rack", errors);
}

} // namespace Objects
