#include "Objects/ObjectKind.h"

#include <array>
#include <cstddef>

namespace Objects {

namespace {

    struct KindNames {
        std::string_view kind;
        std::string_view section;
    };

    constexpr std::array<KindNames, 8> kindNames { {
        { "domain", "domains" },
        { "pool", "pools" },
        { "service", "services" },
        { "priority", "priorities" },
        { "team", "teams" },
        { "budget", "budgets" },
        { "wave", "waves" },
        { "upstream", "upstreams" },
    } };

} // namespace

std::string_view kindName(ObjectKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind)).kind;
}

std::string_view sectionName(ObjectKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind)).section;
}

} // namespace Objects
