#pragma once

/// Validates configuration documents by the rules of the objects library.

#include "Decision/Configuration/ConfigurationValidator.h"

namespace Kernel {

/// Used by the configuration cores and the administration API. Thread-safe.
class ObjectsValidator : public Decision::ConfigurationValidator {
public:
    /// Each error as one line for operators; empty when the document is valid.
    std::vector<std::string> faults(const std::string& document) const override;
};

} // namespace Kernel
