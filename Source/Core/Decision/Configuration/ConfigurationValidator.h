#pragma once

/// Interface through which the configuration cores validate a document.

#include <string>
#include <vector>

namespace Decision {

/// Validates whole documents. No I/O; equal documents give equal results.
class ConfigurationValidator {
public:
    virtual ~ConfigurationValidator() = default;
    /// All faults found, as texts for an operator; empty when the document is valid and may come into force.
    virtual std::vector<std::string> faults(const std::string& document) const = 0;
};

} // namespace Decision
