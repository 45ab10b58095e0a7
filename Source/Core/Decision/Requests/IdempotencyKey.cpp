#include "Decision/Requests/IdempotencyKey.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Decision {

namespace {

    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionOffset = 14;
    constexpr std::size_t variantOffset = 19;

    bool isDash(std::size_t offset)
    {
        return offset == 8 || offset == 13 || offset == 18 || offset == 23;
    }

    bool isUuid7(std::string_view uuid)
    {
        if (uuid.size() != uuidLength || uuid[versionOffset] != '7')
            return false;
        const char variant = static_cast<char>(std::tolower(static_cast<unsigned char>(uuid[variantOffset])));
        if (variant != '8' && variant != '9' && variant != 'a' && variant != 'b')
            return false;
        for (std::size_t i = 0; i < uuid.size(); ++i) {
            const bool wellFormed = isDash(i) ? uuid[i] == '-' : std::isxdigit(static_cast<unsigned char>(uuid[i])) != 0;
            if (!wellFormed)
                return false;
        }
        return true;
    }

    /// The first 48 bits of a version 7 UUID are the Unix time in milliseconds.
    Common::WallTime timeStampOf(std::string_view uuid)
    {
        std::string digits(uuid.substr(0, 8));
        digits += uuid.substr(9, 4);
        std::int64_t milliseconds = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
        return Common::WallTime(std::chrono::milliseconds(milliseconds));
    }

} // namespace

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    IdempotencyKey key;
    const auto slash = text.find('/');
    if (slash != std::string_view::npos) {
        key.dataCentre = std::string(text.substr(0, slash));
        text.remove_prefix(slash + 1);
        if (key.dataCentre.empty())
            return std::nullopt;
    }
    if (!isUuid7(text))
        return std::nullopt;
    key.issued = timeStampOf(text);
    return key;
}

std::optional<std::string> homeDataCentreOf(const IdempotencyKey& key, std::string_view text, const std::vector<std::string>& dataCentres)
{
    if (dataCentres.empty())
        return std::nullopt;
    if (key.dataCentre.empty())
        return Common::rendezvousTop(text, dataCentres, 1).front();
    if (std::find(dataCentres.begin(), dataCentres.end(), key.dataCentre) == dataCentres.end())
        return std::nullopt;
    return key.dataCentre;
}

} // namespace Decision
