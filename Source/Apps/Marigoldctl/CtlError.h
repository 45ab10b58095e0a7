#pragma once

/// Exit codes of marigoldctl and the errors that lead to them.

#include "Common/Error.h"

#include <string>

namespace Ctl {

/// Exit code of the program; documented in docs/OPERATORS.md.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    WrongUse = 2,
    InvalidObjects = 3,
    Conflict = 4,
    Unreachable = 5,
    TimedOut = 6,
};

/// Ends a command with a message and an exit code.
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
