#include "Common/CompactJson.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace Common {

namespace {

    std::unique_ptr<Json::StreamWriter> makeWriter()
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }

    std::unique_ptr<Json::CharReader> makeReader()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

} // namespace

std::string compactJson(const Json::Value& value)
{
    // Creating a writer or reader costs more than using it on a small body, so each thread keeps its own.
    thread_local const auto s_writer = makeWriter();
    std::ostringstream stream;
    s_writer->write(value, &stream);
    return stream.str();
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    thread_local const auto s_reader = makeReader();
    Json::Value value;
    try {
        if (!s_reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return value;
}

} // namespace Common
