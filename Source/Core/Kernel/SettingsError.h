#pragma once

/// Errors of a settings file: every one found, not just the first.

#include "Kernel/KernelError.h"

#include <string>
#include <vector>

namespace Kernel {

/// One error in a settings file.
struct SettingsIssue {
    std::string file;
    unsigned line = 0; ///< Counted from 1; 0 when the file could not be read at all.
    std::string field; ///< Dotted path, for example "limits.heartbeatMilliseconds"; empty for syntax errors.
    std::string problem;
    std::string accepted; ///< The values that would be accepted.

    /// "file:line: field: problem; accepted: ...".
    std::string text() const;
};

/// The settings can't be used. what() has every issue, one per line.
class SettingsError : public KernelError {
public:
    explicit SettingsError(std::vector<SettingsIssue>);

    const std::vector<SettingsIssue>& issues() const { return m_issues; }

private:
    std::vector<SettingsIssue> m_issues;
};

} // namespace Kernel
