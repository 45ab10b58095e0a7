#include "Objects/FieldTable.h"

#include "Objects/FieldCodec.h"

namespace Objects {

namespace {

    constexpr std::uint64_t maximumDurationMilliseconds = std::chrono::milliseconds(maximumDuration).count();
    constexpr std::uint64_t maximumHostsPerDataCentre = 100000;
    constexpr std::uint64_t maximumRank = 1000;
    constexpr std::uint64_t maximumWeight = 1000;
    constexpr std::uint64_t maximumSlots = 1024;
    constexpr std::uint64_t maximumConnections = 65535;
    constexpr std::uint64_t maximumQuotaSlots = maximumHostsPerDataCentre * maximumSlots;
    constexpr std::uint64_t maximumServiceBodyBytes = 16 << 20;

    constexpr std::string_view duration = "duration (ms, s, m or h)";
    constexpr auto nameDoc = "Unique among objects of its kind: 1 to 63 lower-case letters, digits and inner hyphens.";

} // namespace

template<>
const KindTable<FailureDomain>& kindTable()
{
    static const KindTable<FailureDomain> s_table {
        ObjectKind::Domain, &ObjectSet::domains, "A set of hosts that can fail together.",
        {
            { "name", &FailureDomain::name, Presence::Required, "", nameDoc },
            { "level", &FailureDomain::level, Presence::Required, "region, dataCentre or rack", "Level of the domain." },
            { "parent", &FailureDomain::parent, Presence::Optional, "", "Enclosing domain: the data centre of a rack, the region of a data centre; left out for a region.", {}, ObjectKind::Domain },
        }
    };
    return s_table;
}

template<>
const KindTable<Pool>& kindTable()
{
    static const KindTable<Pool> s_table {
        ObjectKind::Pool, &ObjectSet::pools, "A group of upstreams that serve the same services.",
        {
            { "name", &Pool::name, Presence::Required, "", nameDoc },
            { "spare", &Pool::spare, Presence::Optional, "true or false", "Whether its hosts may be moved to other pools at a peak." },
            { "minimumHosts", &Pool::minimumHosts, Presence::Optional, "hosts", "Minimum number of hosts that stay in the pool, for each data centre that has any.", Bounds { 0, maximumHostsPerDataCentre } },
            { "pinnedHosts", &Pool::pinnedHosts, Presence::Optional, "hosts", "Number of hosts in each data centre that are moved only after every member has explicitly confirmed that they are idle.", Bounds { 0, maximumHostsPerDataCentre } },
        }
    };
    return s_table;
}

template<>
const KindTable<Service>& kindTable()
{
    static const KindTable<Service> s_table {
        ObjectKind::Service, &ObjectSet::services, "A service that callers can request; it runs in one pool.",
        {
            { "name", &Service::name, Presence::Required, "", nameDoc },
            { "pool", &Service::pool, Presence::Required, "", "Pool that runs it; can't change once published.", {}, ObjectKind::Pool },
            { "teams", &Service::teams, Presence::Optional, "", "Teams that may call it; left out for all.", {}, ObjectKind::Team },
            { "maximumBodyBytes", &Service::maximumBodyBytes, Presence::Optional, "bytes", "Largest request body.", Bounds { 1, maximumServiceBodyBytes } },
            { "expectedRunTime", &Service::expectedRunTime, Presence::Optional, duration, "Initial estimate of a run's duration; replaced by measured run times.", Bounds { 1, maximumDurationMilliseconds } },
            { "maximumDeadline", &Service::maximumDeadline, Presence::Optional, duration, "Longest deadline that a caller may request; not below expectedRunTime.", Bounds { 1, maximumDurationMilliseconds } },
        }
    };
    return s_table;
}

template<>
const KindTable<Priority>& kindTable()
{
    static const KindTable<Priority> s_table {
        ObjectKind::Priority, &ObjectSet::priorities, "A priority level that teams pay for.",
        {
            { "name", &Priority::name, Presence::Required, "", nameDoc },
            { "rank", &Priority::rank, Presence::Required, "rank", "The lowest rank is served first; no two priorities share one.", Bounds { 0, maximumRank } },
        }
    };
    return s_table;
}

template<>
const KindTable<Team>& kindTable()
{
    static const KindTable<Team> s_table {
        ObjectKind::Team, &ObjectSet::teams, "A paying customer.",
        {
            { "name", &Team::name, Presence::Required, "", nameDoc },
            { "priorities", &Team::priorities, Presence::Required, "", "Priorities that it may request; at least one.", {}, ObjectKind::Priority },
            { "slotQuota", &Team::slotQuota, Presence::Required, "slots", "Slots that it may use at once in a data centre, for each pool.", Bounds { 1, maximumQuotaSlots } },
            { "weight", &Team::weight, Presence::Optional, "share", "Share among the teams of one priority.", Bounds { 1, maximumWeight } },
        }
    };
    return s_table;
}

template<>
const KindTable<Budget>& kindTable()
{
    static const KindTable<Budget> s_table {
        ObjectKind::Budget, &ObjectSet::budgets, "Availability budget of a service in a data centre.",
        {
            { "name", &Budget::name, Presence::Required, "", nameDoc },
            { "service", &Budget::service, Presence::Required, "", "Service whose availability it protects.", {}, ObjectKind::Service },
            { "dataCentre", &Budget::dataCentre, Presence::Required, "", "Data centre that it applies to.", {}, ObjectKind::Domain },
            { "minimumAvailablePercent", &Budget::minimumAvailablePercent, Presence::Required, "percent", "Minimum share of the hosts of the service's pool in the data centre that stays available, rounded up to whole hosts.", Bounds { 0, 100 } },
        }
    };
    return s_table;
}

template<>
const KindTable<Wave>& kindTable()
{
    static const KindTable<Wave> s_table {
        ObjectKind::Wave, &ObjectSet::waves, "A maintenance wave that drains and reboots every host of its pools.",
        {
            { "name", &Wave::name, Presence::Required, "", nameDoc },
            { "pools", &Wave::pools, Presence::Required, "", "Pools that it covers; at least one.", {}, ObjectKind::Pool },
            { "dataCentres", &Wave::dataCentres, Presence::Optional, "", "Data centres that it covers; left out for all.", {}, ObjectKind::Domain },
            { "windowStart", &Wave::windowStart, Presence::Required, "UTC time", "When the first drain may start." },
            { "windowLength", &Wave::windowLength, Presence::Required, duration, "Time in which the wave has to finish.", Bounds { 1000, maximumDurationMilliseconds } },
            { "drainLimit", &Wave::drainLimit, Presence::Optional, duration, "Time after which tasks that still hold up a drain are stopped, lowest priority first.", Bounds { 1000, maximumDurationMilliseconds } },
            { "rebootTime", &Wave::rebootTime, Presence::Optional, duration, "Time from the end of a drain until the host serves again.", Bounds { 1000, maximumDurationMilliseconds } },
            { "paused", &Wave::paused, Presence::Optional, "true or false", "If true, no new drains are started." },
        }
    };
    return s_table;
}

template<>
const KindTable<Upstream>& kindTable()
{
    static const KindTable<Upstream> s_table {
        ObjectKind::Upstream, &ObjectSet::upstreams, "An executor on a worker.",
        {
            { "name", &Upstream::name, Presence::Required, "", nameDoc },
            { "address", &Upstream::address, Presence::Required, "ip:port", "Address that it listens on, with an IPv6 address in brackets. An address belongs to one upstream permanently." },
            { "pool", &Upstream::pool, Presence::Required, "", "Pool at first publication; can only be changed by a move later.", {}, ObjectKind::Pool },
            { "rack", &Upstream::rack, Presence::Required, "", "Rack of its worker.", {}, ObjectKind::Domain },
            { "slots", &Upstream::slots, Presence::Optional, "slots", "Requests that it runs at once.", Bounds { 1, maximumSlots } },
            { "connections", &Upstream::connections, Presence::Optional, "connections", "Connections that all entry hosts together may hold to it; not below slots.", Bounds { 1, maximumConnections } },
        }
    };
    return s_table;
}

} // namespace Objects
