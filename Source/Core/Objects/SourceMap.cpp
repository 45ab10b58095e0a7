#include "Objects/SourceMap.h"

#include <utility>

namespace Objects {

void SourceMap::add(SourceKey key, SourceLocation location)
{
    m_places.emplace(std::move(key), std::move(location));
}

SourceLocation SourceMap::find(const SourceKey& key) const
{
    if (const auto it = m_places.find(key); it != m_places.end())
        return it->second;
    if (const auto it = m_places.find({ key.kind, key.name, {} }); it != m_places.end())
        return it->second;
    return {};
}

} // namespace Objects
