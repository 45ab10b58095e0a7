#include "Common/CompactJson.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace Common {

std::string compactJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
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

} // namespace Common
