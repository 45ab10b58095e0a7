#pragma once

/// The command line: gflags flags anywhere, the rest are arguments.

#include "Common/Result.h"
#include "CtlError.h"
#include "Options.h"

#include <string>
#include <string_view>
#include <vector>

namespace Ctl {

/// A command line that was understood.
struct CommandLine {
    Options options;
    std::vector<std::string> arguments; ///< The command's name first.
};

/// Describes a flag for help and completion.
struct FlagInfo {
    std::string name; ///< With dashes.
    std::string description;
    bool takesValue = true;
};

/// Reads command lines.
class Flags {
public:
    /// Reads the arguments after the program's name, then the environment for what they leave out.
    static Common::Result<CommandLine, CtlError> parse(const std::vector<std::string>& arguments);

    /// The name of a flag with dashes, as people write it.
    static std::string spelling(std::string_view name);

    /// Every flag of the program, by name.
    static std::vector<FlagInfo> all();
};

} // namespace Ctl
