#pragma once

/// Collects the errors that checks of a set find, each with its location in the documents.

#include "Objects/ObjectError.h"
#include "Objects/ObjectKind.h"
#include "Objects/SourceMap.h"

#include <string>
#include <string_view>
#include <vector>

namespace Objects {

/// Collects errors and looks up their locations in a source map, which must outlive the collector.
class ErrorCollector {
public:
    explicit ErrorCollector(const SourceMap& sources)
        : m_sources(sources)
    {
    }

    /// Adds an error of a field; `accepted` says which values are valid.
    void addError(ObjectKind, const std::string& name, std::string_view field, std::string message, std::string accepted);

    /// Moves out the errors, in the order in which they were added.
    std::vector<ObjectError> take();

private:
    const SourceMap& m_sources;
    std::vector<ObjectError> m_errors;
};

/// Names in a map of objects for a message, for example "one of: desk, hotels". Only the first 12 names are listed.
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
    return names.empty() ? "nothing: the set has no such object" : names;
}

} // namespace Objects
