#pragma once

/// Parses the command line. Flags are declared with gflags and may stand before, between and after the arguments.

#include "Common/Result.h"
#include "CtlError.h"
#include "Options.h"

#include <string>
#include <string_view>
#include <vector>

namespace Ctl {

/// A parsed command line.
struct CommandLine {
    Options options;
    std::vector<std::string> arguments; ///< Including the command's name, which is the first.
};

/// Description of a flag for help and completion.
struct FlagInfo {
    std::string name; ///< With dashes, without the leading ones.
    std::string description;
    bool takesValue = true;
};

/// The flags of marigoldctl.
class Flags {
public:
    /// Parses the arguments after the program's name; MARIGOLD_SERVER and MARIGOLD_TOKEN stand in for flags that are missing. Fails
    /// with ExitCode::UsageError. Doesn't check which flags the command accepts.
    static Common::Result<CommandLine, CtlError> parse(const std::vector<std::string>& arguments);

    /// The name of a flag with dashes in place of gflags' underscores.
    static std::string dashedName(std::string_view name);

    /// All flags of the program, sorted by name.
    static std::vector<FlagInfo> all();
};

} // namespace Ctl
