#pragma once

/// Base of the exception classes. Each layer derives its own and converts the errors of the layer below.

#include <stdexcept>
#include <string>

namespace Common {

/// Base of every exception thrown by this project.
class Error : public std::runtime_error {
public:
    explicit Error(const std::string& message)
        : std::runtime_error(message)
    {
    }
};

} // namespace Common
