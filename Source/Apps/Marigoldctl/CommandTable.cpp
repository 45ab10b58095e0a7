#include "CommandTable.h"

#include "FleetCommands.h"
#include "ObjectCommands.h"
#include "PublishCommand.h"

#include <limits>

namespace Ctl {

namespace {

    constexpr std::size_t anyNumber = std::numeric_limits<std::size_t>::max();

    ExitCode runHelp(CommandContext& context)
    {
        if (context.arguments.empty()) {
            context.out << generalHelp();
            return ExitCode::Ok;
        }
        const Command* command = findCommand(context.arguments[0]);
        if (!command)
            throw CtlError(ExitCode::WrongUse, "no command '" + context.arguments[0] + "' (see marigoldctl help)");
        context.out << helpOf(*command);
        return ExitCode::Ok;
    }

    ExitCode runCompletion(CommandContext& context)
    {
        if (context.arguments[0] != "bash")
            throw CtlError(ExitCode::WrongUse, "completion: '" + context.arguments[0] + "' is not accepted (accepted: bash)");
        context.out << bashCompletion();
        return ExitCode::Ok;
    }

} // namespace

const std::vector<Command>& commandTable()
{
    static const std::vector<Command> s_commands = {
        { "validate", "PATH...", "checks documents without a server",
            "PATH is a file, or a directory that stands for its *.jsonc and *.json files; all together are one set.\n"
            "Every fault is reported at once, with its file, line and what would be accepted.\n",
            1, anyNumber, { "output" }, runValidate },
        { "schema", "", "prints the JSON Schema of documents", "", 0, 0, {}, runSchema },
        { "diff", "PATH...", "shows what documents change in the configuration in force",
            "+ is an added object, - a removed one, ~ a changed one.\n",
            1, anyNumber, { "server", "token", "token_file", "output" }, runDiff },
        { "publish", "PATH... [--reason TEXT] [--base N] [--change-id ID] [--wait [--timeout SECONDS]]", "publishes documents as the next revision",
            "The documents are the whole set; the difference to the configuration in force is shown first.\n"
            "Another publication since the base revision is a conflict: who published and what changed is shown.\n"
            "A lost answer is settled by trying again with the same change id, for up to --timeout seconds.\n"
            "--wait then waits, up to --timeout seconds, until every known entry host has the change in force.\n",
            1, anyNumber, { "server", "token", "token_file", "output", "reason", "base", "change_id", "wait", "timeout" }, runPublish },
        { "status", "", "shows the revision in force on each entry host, and alarms", "", 0, 0, { "server", "token", "token_file", "output" }, runStatus },
        { "pools", "", "shows upstreams by pool", "", 0, 0, { "server", "token", "token_file", "output" }, runPools },
        { "audit", "[--data-centre DC]", "shows the audit trail of a data centre, oldest first", "", 0, 0, { "server", "token", "token_file", "output", "data_centre" }, runAudit },
        { "move", "UPSTREAM --to POOL", "moves an upstream to another pool", "The command isn't repeated when its answer is lost: look at marigoldctl pools.\n", 1, 1, { "server", "token", "token_file", "output", "to" }, runMove },
        { "waves", "", "shows maintenance waves", "", 0, 0, { "server", "token", "token_file", "output" }, runWaves },
        { "wave", "pause|resume NAME", "pauses or resumes a maintenance wave", "", 2, 2, { "server", "token", "token_file", "output" }, runWave },
        { "help", "[COMMAND]", "explains a command", "", 0, 1, {}, runHelp },
        { "completion", "bash", "prints a script for the shell's completion", "Use it with: source <(marigoldctl completion bash)\n", 1, 1, {}, runCompletion },
    };
    return s_commands;
}

const Command* findCommand(std::string_view name)
{
    for (const auto& command : commandTable()) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

} // namespace Ctl
