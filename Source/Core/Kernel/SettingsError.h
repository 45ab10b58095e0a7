#pragma once

/// Errors of the settings: all that were found, not just the first.

#include "Kernel/KernelError.h"

#include <string>
#include <vector>

namespace Kernel {

/// One fault in a settings file.
struct SettingsIssue {
    std::string file;
    unsigned line = 0; ///< Counted from 1; 0 when the file could not be read at all.
    std::string field; ///< Dotted path, for example "limits.heartbeatMilliseconds"; empty for faults of syntax.
    std::string problem;
    std::string accepted; ///< What would be accepted.

    /// "file:line: field: problem; accepted: ...".
    std::string text() const;
};

/// The settings can't be used. what() holds every issue, one a line.
class SettingsError : public KernelError {
public:
    explicit SettingsError(std::vector<SettingsIssue>);

    const std::vector<SettingsIssue>& issues() const { return m_issues; }

private:
    std::vector<SettingsIssue> m_issues;
};

} // namespace Kernel
