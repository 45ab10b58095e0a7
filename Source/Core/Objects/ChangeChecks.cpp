#include "Objects/Address.h"
#include "Objects/Checks.h"
#include "Objects/FieldTable.h"

#include <map>
#include <string>

namespace Objects {

namespace {

    /// Calls the visitor with (name, before, after) for each name that is in both maps.
    template<typename T, typename Visitor>
    void forEachKept(const std::map<std::string, T>& base, const std::map<std::string, T>& next, Visitor&& visitor)
    {
        for (const auto& [name, after] : next) {
            const auto it = base.find(name);
            if (it != base.end())
                visitor(name, it->second, after);
        }
    }

    void checkServicePools(const ObjectSet& base, const ObjectSet& next, ErrorCollector& errors)
    {
        forEachKept(base.services, next.services, [&](const std::string& name, const Service& before, const Service& after) {
            if (before.pool != after.pool)
                errors.addError(ObjectKind::Service, name, "pool", "the pool of a service can't change once published", "\"" + before.pool + "\", or a service under a new name");
        });
    }

    void checkUpstreamLocations(const ObjectSet& base, const ObjectSet& next, ErrorCollector& errors)
    {
        forEachKept(base.upstreams, next.upstreams, [&](const std::string& name, const Upstream& before, const Upstream& after) {
            if (before.pool != after.pool)
                errors.addError(ObjectKind::Upstream, name, "pool", "the pool of a published upstream can only be changed by a move", "\"" + before.pool + "\", and a move to \"" + after.pool + "\" after publishing");
            const auto dataCentre = base.dataCentreOf(before);
            if (dataCentre != next.dataCentreOf(after))
                errors.addError(ObjectKind::Upstream, name, "rack", "a published upstream can't change its data centre", "a rack in " + dataCentre.value_or("its data centre"));
        });
    }

    std::map<std::string, std::string> namesByAddress(const ObjectSet& set)
    {
        std::map<std::string, std::string> names;
        for (const auto& [name, upstream] : set.upstreams) {
            if (const auto address = canonicalAddress(upstream.address))
                names.emplace(*address, name);
        }
        return names;
    }

    /// An address keeps its name: under a new one, a host that was moved or is still draining could join a second pool.
    void checkAddressNames(const ObjectSet& base, const ObjectSet& next, ErrorCollector& errors)
    {
        forEachKept(namesByAddress(base), namesByAddress(next), [&](const std::string& address, const std::string& before, const std::string& after) {
            if (before != after)
                errors.addError(ObjectKind::Upstream, after, "address", address + " is published as upstream " + before, "the name " + before + ", or another address");
        });
    }

    /// Calls the visitor with (kind, object, field, target kind, target name) for each reference in the set.
    template<typename Visitor>
    void forEachReference(const ObjectSet& set, Visitor&& visitor)
    {
        forEachKind([&](const auto& table) {
            for (const auto& [name, object] : set.*table.objects) {
                for (const auto& field : table.fields) {
                    if (!field.refersTo)
                        continue;
                    for (const auto& target : namesIn(object, field))
                        visitor(table.kind, name, field.name, *field.refersTo, target);
                }
            }
        });
    }

    bool contains(const ObjectSet& set, ObjectKind kind, const std::string& name)
    {
        bool found = false;
        forEachKind([&](const auto& table) { found = found || (table.kind == kind && (set.*table.objects).contains(name)); });
        return found;
    }

    void checkRemoved(const ObjectSet& base, const ObjectSet& next, ErrorCollector& errors)
    {
        forEachReference(next, [&](ObjectKind kind, const std::string& name, std::string_view field, ObjectKind targetKind, const std::string& target) {
            if (!contains(base, targetKind, target) || contains(next, targetKind, target))
                return;
            const auto title = std::string(kindName(targetKind)) + " " + target;
            errors.addError(kind, name, field, title + " is removed but still referred to", "keep " + title + ", or refer to another");
        });
    }

} // namespace

void checkChange(const ObjectSet& base, const ObjectSet& next, ErrorCollector& errors)
{
    checkServicePools(base, next, errors);
    checkUpstreamLocations(base, next, errors);
    checkAddressNames(base, next, errors);
    checkRemoved(base, next, errors);
}

} // namespace Objects
