#pragma once

/// The table of commands. Help, completion and argument checks are driven by it.

#include "CommandContext.h"
#include "CtlError.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Ctl {

/// One command.
struct Command {
    std::string_view name;
    std::string_view synopsis; ///< Arguments and own flags.
    std::string_view summary;
    std::string_view details;
    std::size_t minimumArguments;
    std::size_t maximumArguments;
    std::vector<std::string_view> flags; ///< With underscores, as gflags names them.
    ExitCode (*run)(CommandContext&);
};

/// Every command, in the order of the help.
const std::vector<Command>& commandTable();

/// Null when there is no such command.
const Command* findCommand(std::string_view name);

/// Overview of all commands, flags and exit codes.
std::string generalHelp();

/// Help of one command.
std::string helpOf(const Command&);

/// Script for bash that completes commands, flags and files.
std::string bashCompletion();

} // namespace Ctl
