#include "Objects/Types.h"

namespace Objects {

std::optional<std::string> ObjectSet::dataCentreOf(const Upstream& upstream) const
{
    const auto it = domains.find(upstream.rack);
    if (it == domains.end() || it->second.level != DomainLevel::Rack)
        return std::nullopt;
    return it->second.parent;
}

} // namespace Objects
