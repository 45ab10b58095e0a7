#include "Kernel/SettingsError.h"

#include <utility>

namespace Kernel {

namespace {

    std::string joined(const std::vector<SettingsIssue>& issues)
    {
        std::string text;
        for (const auto& issue : issues) {
            if (!text.empty())
                text += '\n';
            text += issue.text();
        }
        return text;
    }

} // namespace

std::string SettingsIssue::text() const
{
    std::string text = file + ':';
    if (line != 0)
        text += std::to_string(line) + ':';
    text += ' ';
    if (!field.empty())
        text += field + ": ";
    text += problem;
    if (!accepted.empty())
        text += "; accepted: " + accepted;
    return text;
}

SettingsError::SettingsError(std::vector<SettingsIssue> issues)
    : KernelError(joined(issues))
    , m_issues(std::move(issues))
{
}

} // namespace Kernel
