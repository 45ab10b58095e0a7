#include "Standins/StandinJson.h"

#include "Common/CompactJson.h"

#include <charconv>
#include <memory>

namespace Standins {

std::optional<Json::Value> parseJsonObject(const std::string& text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return value;
}

Response jsonResponse(const Json::Value& value, int status)
{
    return { status, { { "Content-Type", "application/json" } }, Common::compactJson(value) };
}

std::int64_t jsonNumber(const Json::Value& value, std::int64_t fallback)
{
    if (value.isInt64())
        return value.asInt64();
    if (!value.isString())
        return fallback;
    const std::string text = value.asString();
    std::int64_t n = fallback;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : fallback;
}

} // namespace Standins
