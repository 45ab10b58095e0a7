#pragma once

/// Exit codes of marigoldctl and the errors that lead to them.

#include "Common/Error.h"

#include <string>

namespace Ctl {

/// Exit codes of the program. Scripts rely on the numbers; docs/OPERATORS.md documents them.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    UsageError = 2,
    InvalidObjects = 3,
    Conflict = 4, ///< Another change was published since the base revision.
    Unreachable = 5, ///< No server could be reached.
    TimedOut = 6,
};

/// An error that ends the command; what() is the message for the operator.
class CtlError : public Common::Error {
public:
    CtlError(ExitCode code, const std::string& message)
        : Common::Error(message)
        , m_code(code)
    {
    }

    ExitCode code() const { return m_code; }

private:
    ExitCode m_code;
};

} // namespace Ctl
