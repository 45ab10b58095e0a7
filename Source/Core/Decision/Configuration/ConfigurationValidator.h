#pragma once

/// What the configuration cores ask of a document's checker.

#include <string>
#include <vector>

namespace Decision {

/// Checks a whole document. No I/O; equal documents give equal results.
class ConfigurationValidator {
public:
    virtual ~ConfigurationValidator() = default;
    /// Every fault found, as text for an operator; empty when the document may come into force.
    virtual std::vector<std::string> faults(const std::string& document) const = 0;
};

} // namespace Decision
