#pragma once

/// Gathers the faults that checks of a set find, each with its place in the documents.

#include "Objects/ObjectError.h"
#include "Objects/ObjectKind.h"
#include "Objects/SourceMap.h"

#include <string>
#include <string_view>
#include <vector>

namespace Objects {

/// Collects errors about objects whose places it looks up.
class ErrorCollector {
public:
    explicit ErrorCollector(const SourceMap& sources)
        : m_sources(sources)
    {
    }

    void fail(ObjectKind, const std::string& name, std::string_view field, std::string message, std::string accepted);

    std::vector<ObjectError> take();

private:
    const SourceMap& m_sources;
    std::vector<ObjectError> m_errors;
};

/// Names of a map of objects for a message, for example "one of: desk, hotels"; long lists are cut.
template<typename Map>
std::string oneOf(const Map& objects)
{
    constexpr std::size_t maximumNames = 12;
    std::string names;
    std::size_t n = 0;
    for (const auto& [name, object] : objects) {
        if (++n > maximumNames)
            return names + ", ...";
        names += (names.empty() ? "one of: " : ", ") + name;
    }
    return names.empty() ? "nothing: no such object exists in the set" : names;
}

} // namespace Objects
