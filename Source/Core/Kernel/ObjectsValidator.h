#pragma once

/// Checks of a configuration document by the rules of the objects library.

#include "Decision/Configuration/ConfigurationValidator.h"

namespace Kernel {

/// Turns the errors of the objects layer into lines for operators.
class ObjectsValidator : public Decision::ConfigurationValidator {
public:
    std::vector<std::string> faults(const std::string& document) const override;
};

} // namespace Kernel
