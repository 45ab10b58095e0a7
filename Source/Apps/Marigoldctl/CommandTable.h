#pragma once

/// The table of commands, from which help, completion and argument checks are generated.

#include "CommandContext.h"
#include "CtlError.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Ctl {

/// A command of marigoldctl.
struct Command {
    std::string_view name;
    std::string_view synopsis; ///< Arguments and the command's own flags.
    std::string_view summary;
    std::string_view details;
    std::size_t minimumArguments; ///< Without the command's name.
    std::size_t maximumArguments;
    std::vector<std::string_view> flags; ///< With underscores, as gflags names them.
    ExitCode (*run)(CommandContext&);
};

/// All commands, in the order in which the help lists them.
const std::vector<Command>& commandTable();

/// Returns null when there is no such command.
const Command* findCommand(std::string_view name);

/// Overview of all commands, flags and exit codes.
std::string generalHelp();

/// Help of one command.
std::string commandHelp(const Command&);

/// Bash script that completes commands, flags and files.
std::string bashCompletion();

} // namespace Ctl
