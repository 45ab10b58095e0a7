#include "Objects/SourceMap.h"

#include <utility>

namespace Objects {

void SourceMap::add(SourceKey key, SourceLocation location)
{
    m_locations.emplace(std::move(key), std::move(location));
}

SourceLocation SourceMap::find(const SourceKey& key) const
{
    if (const auto it = m_locations.find(key); it != m_locations.end())
        return it->second;
    if (const auto it = m_locations.find({ key.kind, key.name, {} }); it != m_locations.end())
        return it->second;
    return {};
}

} // namespace Objects
