#include "Adapters/Platform/HttpCall.h"

#include <algorithm>

namespace Adapters {

std::string HttpOutcome::header(std::string_view name) const
{
    const auto it = std::ranges::find(headers, name, &HttpHeader::name);
    return it == headers.end() ? std::string() : it->value;
}

} // namespace Adapters
