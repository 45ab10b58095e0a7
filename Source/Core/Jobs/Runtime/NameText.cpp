#include "Jobs/Runtime/NameText.h"

#include <algorithm>

namespace Jobs {

std::string joinNames(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& it : names)
        text += (text.empty() ? "" : " ") + it;
    return text;
}

std::set<std::string> parseNames(const std::string& text)
{
    std::set<std::string> names;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find(' ', begin), text.size());
        if (end > begin)
            names.insert(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return names;
}

} // namespace Jobs
