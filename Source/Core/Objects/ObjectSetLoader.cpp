#include "Objects/ObjectSetLoader.h"

#include "Objects/Validator.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>

namespace Objects {

namespace {

    namespace fs = std::filesystem;

    bool isDocument(const fs::path& path)
    {
        return path.extension() == ".jsonc" || path.extension() == ".json";
    }

    /// The path itself, or the documents in a directory, sorted by path.
    std::vector<fs::path> expand(const fs::path& path)
    {
        std::error_code ec;
        if (!fs::is_directory(path, ec))
            return { path };
        std::vector<fs::path> files;
        for (fs::directory_iterator it(path, ec); !ec && it != fs::directory_iterator(); it.increment(ec)) {
            if (isDocument(it->path()))
                files.push_back(it->path());
        }
        std::sort(files.begin(), files.end());
        return files;
    }

    std::optional<std::string> readFile(const fs::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        return file.bad() ? std::nullopt : std::optional(std::move(text));
    }

    /// True if the field already has an error. A field that couldn't be parsed has its default value, which isn't reported again.
    bool isReported(const std::vector<ObjectError>& errors, const ObjectError& candidate)
    {
        return std::any_of(errors.begin(), errors.end(), [&](const auto& error) { return error.object == candidate.object && error.field == candidate.field; });
    }

    /// Validates the set and adds its errors to the parse errors. A set with missing objects isn't validated, because
    /// references to the missing objects would be reported too.
    void addValidationErrors(PartialSet& partial)
    {
        if (!partial.complete)
            return;
        const auto parseErrors = partial.errors;
        for (auto& error : Validator::validate(partial.parsed.set, partial.parsed.sources)) {
            if (!isReported(parseErrors, error))
                partial.errors.push_back(std::move(error));
        }
    }

} // namespace

Common::Result<std::vector<Document>, ObjectErrors> ObjectSetLoader::readFiles(const std::vector<fs::path>& paths)
{
    std::vector<Document> documents;
    std::vector<ObjectError> errors;
    for (const auto& path : paths) {
        const auto files = expand(path);
        if (files.empty())
            errors.push_back({ path.string(), 0, "", "", "the directory contains no documents", "a directory with *.jsonc or *.json files" });
        for (const auto& file : files) {
            if (auto text = readFile(file))
                documents.push_back({ file.string(), std::move(*text) });
            else
                errors.push_back({ file.string(), 0, "", "", "the file can't be read", "a readable file" });
        }
    }
    if (!errors.empty())
        return ObjectErrors(std::move(errors));
    return documents;
}

Common::Result<ParsedSet, ObjectErrors> ObjectSetLoader::load(const std::vector<Document>& documents)
{
    auto partial = ObjectParser::parsePartially(documents);
    addValidationErrors(partial);
    if (!partial.errors.empty())
        return ObjectErrors(std::move(partial.errors));
    return std::move(partial.parsed);
}

Common::Result<ObjectSet, ObjectErrors> ObjectSetLoader::loadFiles(const std::vector<fs::path>& paths)
{
    const auto documents = readFiles(paths);
    if (!documents)
        return documents.error();
    auto parsed = load(documents.value());
    if (!parsed)
        return parsed.error();
    return std::move(parsed.value().set);
}

Common::Result<ObjectSet, ObjectErrors> ObjectSetLoader::loadText(const std::string& name, const std::string& text)
{
    auto parsed = load({ { name, text } });
    if (!parsed)
        return parsed.error();
    return std::move(parsed.value().set);
}

} // namespace Objects
