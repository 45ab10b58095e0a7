#include "Objects/ObjectError.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Objects {

namespace {

    std::vector<ObjectError> sorted(std::vector<ObjectError> errors)
    {
        const auto location = [](const ObjectError& error) { return std::tie(error.document, error.line); };
        std::stable_sort(errors.begin(), errors.end(), [&](const auto& a, const auto& b) { return location(a) < location(b); });
        return errors;
    }

    std::string describeAll(const std::vector<ObjectError>& errors)
    {
        std::string text;
        for (const auto& error : errors)
            text += (text.empty() ? "" : "\n") + describe(error);
        return text;
    }

} // namespace

std::string describe(const ObjectError& error)
{
    std::string text = error.document;
    if (error.line)
        text += ":" + std::to_string(error.line);
    if (!text.empty())
        text += ": ";
    text += error.object;
    if (!error.field.empty())
        text += (error.object.empty() ? "" : ", ") + error.field;
    if (!error.object.empty() || !error.field.empty())
        text += ": ";
    text += error.message;
    if (!error.accepted.empty())
        text += " (accepted: " + error.accepted + ")";
    return text;
}

ObjectErrors::ObjectErrors(std::vector<ObjectError> errors)
    : Common::Error(describeAll(sorted(errors)))
    , m_errors(sorted(std::move(errors)))
{
}

} // namespace Objects
