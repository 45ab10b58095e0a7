#include "Objects/FieldCodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <string_view>

namespace Objects {

namespace {

    using std::chrono::milliseconds;

    struct DurationUnit {
        std::string_view suffix;
        milliseconds length;
    };

    /// Largest first: formatDuration() uses the first unit that divides the value.
    constexpr std::array<DurationUnit, 4> durationUnits { {
        { "h", std::chrono::hours(1) },
        { "m", std::chrono::minutes(1) },
        { "s", std::chrono::seconds(1) },
        { "ms", milliseconds(1) },
    } };

    struct LevelName {
        std::string_view name;
        DomainLevel level;
    };

    constexpr std::array<LevelName, 3> levelNames { {
        { "region", DomainLevel::Region },
        { "dataCentre", DomainLevel::DataCentre },
        { "rack", DomainLevel::Rack },
    } };

    constexpr auto durationExample = "a duration with its unit, such as \"250ms\", \"10s\", \"5m\" or \"2h\", up to 8784h";
    constexpr auto secondsExample = "a duration in whole seconds, such as \"10s\", \"5m\" or \"2h\", up to 8784h";
    constexpr auto timeExample = "a UTC time such as \"2026-12-10T22:00:00Z\"";
    constexpr auto textExample = "a string of at most 253 printable ASCII characters";

    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
    }

    bool isText(const Json::Value& json)
    {
        return json.isString() && json.asString().size() <= maximumTextBytes && isPrintable(json.asString());
    }

    std::optional<milliseconds> parseDuration(const Json::Value& json)
    {
        if (!json.isString())
            return std::nullopt;
        const auto text = json.asString();
        std::int64_t count = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (ec != std::errc() || count < 0)
            return std::nullopt;
        const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
        const auto it = std::find_if(durationUnits.begin(), durationUnits.end(), [&](const auto& unit) { return unit.suffix == suffix; });
        if (it == durationUnits.end() || count > maximumDuration / it->length)
            return std::nullopt;
        return count * it->length;
    }

    /// Parses exactly `digits` decimal digits and removes them from the text.
    std::optional<int> takeDigits(std::string_view& text, std::size_t digits)
    {
        if (text.size() < digits)
            return std::nullopt;
        int n = 0;
        for (const char c : text.substr(0, digits)) {
            if (c < '0' || c > '9')
                return std::nullopt;
            n = n * 10 + (c - '0');
        }
        text.remove_prefix(digits);
        return n;
    }

    bool takeText(std::string_view& text, std::string_view expected)
    {
        if (!text.starts_with(expected))
            return false;
        text.remove_prefix(expected.size());
        return true;
    }

    std::optional<std::chrono::sys_days> takeDate(std::string_view& text)
    {
        const auto year = takeDigits(text, 4);
        if (!year || !takeText(text, "-"))
            return std::nullopt;
        const auto month = takeDigits(text, 2);
        if (!month || !takeText(text, "-"))
            return std::nullopt;
        const auto day = takeDigits(text, 2);
        if (!day)
            return std::nullopt;
        const std::chrono::year_month_day date { std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)) };
        if (!date.ok() || *year < 1970)
            return std::nullopt;
        return std::chrono::sys_days(date);
    }

    std::optional<milliseconds> takeTimeOfDay(std::string_view& text)
    {
        const auto hour = takeDigits(text, 2);
        if (!hour || *hour > 23 || !takeText(text, ":"))
            return std::nullopt;
        const auto minute = takeDigits(text, 2);
        if (!minute || *minute > 59 || !takeText(text, ":"))
            return std::nullopt;
        const auto second = takeDigits(text, 2);
        if (!second || *second > 59)
            return std::nullopt;
        const auto whole = std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second);
        if (!takeText(text, "."))
            return whole;
        const auto fraction = takeDigits(text, 3);
        if (!fraction)
            return std::nullopt;
        return whole + milliseconds(*fraction);
    }

    Json::Value stringSchema(const char* pattern)
    {
        Json::Value schema;
        schema["type"] = "string";
        schema["pattern"] = pattern;
        return schema;
    }

    Json::Value integerSchema()
    {
        Json::Value schema;
        schema["type"] = "integer";
        return schema;
    }

} // namespace

std::optional<std::string> decode(const Json::Value& json, std::string& value)
{
    if (!isText(json))
        return textExample;
    value = json.asString();
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, std::vector<std::string>& value)
{
    if (!json.isArray() || !std::all_of(json.begin(), json.end(), isText))
        return "a list of names";
    value.clear();
    for (const auto& item : json)
        value.push_back(item.asString());
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, bool& value)
{
    if (!json.isBool())
        return "true or false";
    value = json.asBool();
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, unsigned& value)
{
    if (!json.isUInt())
        return "a whole number from 0 to 4294967295";
    value = json.asUInt();
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, std::size_t& value)
{
    if (!json.isUInt64())
        return "a whole number, not negative";
    value = json.asUInt64();
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, milliseconds& value)
{
    const auto duration = parseDuration(json);
    if (!duration)
        return durationExample;
    value = *duration;
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, std::chrono::seconds& value)
{
    const auto duration = parseDuration(json);
    if (!duration || *duration % std::chrono::seconds(1) != milliseconds(0))
        return secondsExample;
    value = std::chrono::duration_cast<std::chrono::seconds>(*duration);
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, Common::WallTime& value)
{
    if (!json.isString())
        return timeExample;
    const auto buf = json.asString();
    std::string_view text = buf;
    const auto date = takeDate(text);
    if (!date || !takeText(text, "T"))
        return timeExample;
    const auto timeOfDay = takeTimeOfDay(text);
    if (!timeOfDay || text != "Z")
        return timeExample;
    value = *date + *timeOfDay;
    return std::nullopt;
}

std::optional<std::string> decode(const Json::Value& json, DomainLevel& value)
{
    for (const auto& [name, level] : levelNames) {
        if (json.isString() && json.asString() == name) {
            value = level;
            return std::nullopt;
        }
    }
    return "\"region\", \"dataCentre\" or \"rack\"";
}

Json::Value encode(const std::string& value)
{
    return value;
}

Json::Value encode(const std::vector<std::string>& value)
{
    Json::Value list(Json::arrayValue);
    for (const auto& item : value)
        list.append(item);
    return list;
}

Json::Value encode(bool value)
{
    return value;
}

Json::Value encode(unsigned value)
{
    return value;
}

Json::Value encode(std::size_t value)
{
    return Json::Value::UInt64(value);
}

Json::Value encode(milliseconds value)
{
    return formatDuration(value);
}

Json::Value encode(std::chrono::seconds value)
{
    return formatDuration(value);
}

Json::Value encode(Common::WallTime value)
{
    const auto day = std::chrono::floor<std::chrono::days>(value);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss<milliseconds> time(value - day);
    std::array<char, 64> buf {};
    int n = std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
        static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()));
    std::string text(buf.data(), static_cast<std::size_t>(n));
    if (time.subseconds().count()) {
        n = std::snprintf(buf.data(), buf.size(), ".%03d", static_cast<int>(time.subseconds().count()));
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text + "Z";
}

Json::Value encode(DomainLevel value)
{
    return std::string(levelNames.at(static_cast<std::size_t>(value)).name);
}

Json::Value schemaOf(const std::string&)
{
    Json::Value schema;
    schema["type"] = "string";
    schema["maxLength"] = Json::Value::UInt64(maximumTextBytes);
    return schema;
}

Json::Value schemaOf(const std::vector<std::string>&)
{
    Json::Value schema;
    schema["type"] = "array";
    schema["items"]["type"] = "string";
    schema["uniqueItems"] = true;
    return schema;
}

Json::Value schemaOf(bool)
{
    Json::Value schema;
    schema["type"] = "boolean";
    return schema;
}

Json::Value schemaOf(unsigned)
{
    return integerSchema();
}

Json::Value schemaOf(std::size_t)
{
    return integerSchema();
}

Json::Value schemaOf(milliseconds)
{
    return stringSchema("^[0-9]+(ms|s|m|h)$");
}

Json::Value schemaOf(std::chrono::seconds)
{
    return stringSchema("^[0-9]+(ms|s|m|h)$");
}

Json::Value schemaOf(Common::WallTime)
{
    return stringSchema("^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}(\\.[0-9]{3})?Z$");
}

Json::Value schemaOf(DomainLevel)
{
    Json::Value schema;
    for (const auto& [name, level] : levelNames)
        schema["enum"].append(std::string(name));
    return schema;
}

std::optional<std::uint64_t> magnitude(unsigned value)
{
    return value;
}

std::optional<std::uint64_t> magnitude(std::size_t value)
{
    return value;
}

std::optional<std::uint64_t> magnitude(milliseconds value)
{
    return value.count() < 0 ? std::numeric_limits<std::uint64_t>::max() : static_cast<std::uint64_t>(value.count());
}

std::optional<std::uint64_t> magnitude(std::chrono::seconds value)
{
    return magnitude(milliseconds(value));
}

std::string formatDuration(milliseconds value)
{
    if (value == milliseconds(0))
        return "0s";
    const auto it = std::find_if(durationUnits.begin(), durationUnits.end(), [&](const auto& unit) { return value % unit.length == milliseconds(0); });
    return std::to_string(value / it->length) + std::string(it->suffix);
}

} // namespace Objects
