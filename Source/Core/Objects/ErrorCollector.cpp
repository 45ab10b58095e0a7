#include "Objects/ErrorCollector.h"

#include <utility>

namespace Objects {

void ErrorCollector::addError(ObjectKind kind, const std::string& name, std::string_view field, std::string message, std::string accepted)
{
    const auto location = m_sources.find({ kind, name, std::string(field) });
    const auto title = std::string(kindName(kind)) + " " + name;
    m_errors.push_back({ location.document, location.line, title, std::string(field), std::move(message), std::move(accepted) });
}

std::vector<ObjectError> ErrorCollector::take()
{
    return std::move(m_errors);
}

} // namespace Objects
