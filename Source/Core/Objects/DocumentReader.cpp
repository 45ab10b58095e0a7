#include "Objects/DocumentReader.h"

#include <algorithm>
#include <charconv>
#include <json/reader.h>
#include <memory>
#include <sstream>
#include <utility>

namespace Objects {

namespace {

    constexpr int maximumDepth = 16;
    constexpr auto documentExample = "JSON with comments, without duplicate keys, trailing commas or text after the end";

    std::unique_ptr<Json::CharReader> createReader()
    {
        Json::CharReaderBuilder builder;
        builder["collectComments"] = false;
        builder["allowTrailingCommas"] = false;
        builder["strictRoot"] = true;
        builder["failIfExtra"] = true;
        builder["rejectDupKeys"] = true;
        builder["skipBom"] = false;
        builder["stackLimit"] = maximumDepth;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

    std::vector<std::ptrdiff_t> findLineStarts(const std::string& text)
    {
        std::vector<std::ptrdiff_t> starts { 0 };
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '\n')
                starts.push_back(static_cast<std::ptrdiff_t>(n) + 1);
        }
        return starts;
    }

    /// Number after "* Line ", which starts each error in jsoncpp's report; zero for other lines.
    unsigned reportedLine(const std::string& heading)
    {
        constexpr std::string_view prefix = "* Line ";
        unsigned line = 0;
        if (heading.starts_with(prefix))
            std::from_chars(heading.data() + prefix.size(), heading.data() + heading.size(), line);
        return line;
    }

    /// jsoncpp stops at its first error and then also reports the rest of the text as extra. Drops that second report.
    void dropFollowUpError(std::vector<ObjectError>& errors)
    {
        if (errors.size() > 1 && errors.back().message.starts_with("Extra non-whitespace"))
            errors.pop_back();
    }

    /// Splits jsoncpp's report, in which a heading with the line precedes the indented message of each error.
    std::vector<ObjectError> parseReport(const std::string& name, const std::string& report)
    {
        std::vector<ObjectError> errors;
        std::istringstream lines(report);
        std::string text;
        while (std::getline(lines, text)) {
            if (const auto line = reportedLine(text))
                errors.push_back({ name, line, "", "", "", documentExample });
            else if (!errors.empty() && errors.back().message.empty())
                errors.back().message = text.substr(std::min(text.find_first_not_of(' '), text.size()));
        }
        dropFollowUpError(errors);
        if (errors.empty())
            errors.push_back({ name, 1, "", "", "the document can't be parsed", documentExample });
        return errors;
    }

} // namespace

unsigned ParsedDocument::lineOf(const Json::Value& value) const
{
    const auto it = std::upper_bound(lineStarts.begin(), lineStarts.end(), value.getOffsetStart());
    return static_cast<unsigned>(std::max<std::ptrdiff_t>(1, it - lineStarts.begin()));
}

Common::Result<ParsedDocument, ObjectErrors> DocumentReader::read(const std::string& name, const std::string& text)
{
    ParsedDocument document { name, {}, findLineStarts(text) };
    std::string report;
    try {
        if (createReader()->parse(text.data(), text.data() + text.size(), &document.root, &report))
            return document;
    } catch (const Json::Exception& error) {
        return ObjectErrors({ { name, 1, "", "", error.what(), "values nested at most " + std::to_string(maximumDepth) + " deep" } });
    }
    return ObjectErrors(parseReport(name, report));
}

} // namespace Objects
