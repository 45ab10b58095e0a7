#include "Kernel/ObjectsValidator.h"

#include "Objects/ObjectSetLoader.h"

namespace Kernel {

std::vector<std::string> ObjectsValidator::faults(const std::string& document) const
{
    std::vector<std::string> lines;
    const auto set = Objects::ObjectSetLoader::loadText("configuration", document);
    if (set)
        return lines;
    for (const auto& error : set.error().all())
        lines.push_back(Objects::describe(error));
    return lines;
}

} // namespace Kernel
