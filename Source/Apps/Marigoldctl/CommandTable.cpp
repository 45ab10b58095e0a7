#include "CommandTable.h"

#include "FleetCommands.h"
#include "ObjectCommands.h"
#include "PublishCommand.h"

#include <limits>

namespace Ctl {

namespace {

    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    ExitCode runHelp(CommandContext& context)
    {
        if (context.arguments.empty()) {
            context.out << generalHelp();
            return ExitCode::Ok;
        }
        const Command* command = findCommand(context.arguments[0]);
        if (!command)
            throw CtlError(ExitCode::UsageError, "no command '" + context.arguments[0] + "' (see marigoldctl help)");
        context.out << commandHelp(*command);
        return ExitCode::Ok;
    }

    ExitCode runCompletion(CommandContext& context)
    {
        if (context.arguments[0] != "bash")
            throw CtlError(ExitCode::UsageError, "completion: '" + context.arguments[0] + "' is not accepted (accepted: bash)");
        context.out << bashCompletion();
        return ExitCode::Ok;
    }

} // namespace

const std::vector<Command>& commandTable()
{
    static const std::vector<Command> s_commands = {
        { "validate", "PATH...", "validates documents without a server",
            "PATH is a file, or a directory whose *.jsonc and *.json files are read; all files form one set.\n"
            "All faults are reported, each with its file, line and the accepted values.\n",
            1, unlimited, { "output" }, runValidate },
        { "schema", "", "prints the JSON Schema for documents", "", 0, 0, {}, runSchema },
        { "diff", "PATH...", "shows how documents differ from the configuration in force",
            "+ marks an added object, - a removed one, ~ a changed one.\n",
            1, unlimited, { "server", "token", "token_file", "output" }, runDiff },
        { "publish", "PATH... [--reason TEXT] [--base N] [--change-id ID] [--wait [--timeout SECONDS]]", "publishes documents as the next revision",
            "The documents replace the whole set; the difference from the configuration in force is shown first.\n"
            "A publication by somebody else since the base revision is a conflict; its author and changes are shown.\n"
            "When the answer is lost, the call is retried with the same change id for up to --timeout seconds.\n"
            "--wait then waits up to --timeout seconds until the change is in force on every known entry host.\n",
            1, unlimited, { "server", "token", "token_file", "output", "reason", "base", "change_id", "wait", "timeout" }, runPublish },
        { "status", "", "shows the revision in force on each entry host, and alarms", "", 0, 0, { "server", "token", "token_file", "output" }, runStatus },
        { "pools", "", "shows upstreams by pool", "", 0, 0, { "server", "token", "token_file", "output" }, runPools },
        { "audit", "[--data-centre DC]", "shows the audit trail of a data centre, oldest first", "", 0, 0, { "server", "token", "token_file", "output", "data_centre" }, runAudit },
        { "move", "UPSTREAM --to POOL", "moves an upstream to another pool", "The call isn't retried when its answer is lost; check the outcome with marigoldctl pools.\n", 1, 1, { "server", "token", "token_file", "output", "to" }, runMove },
        { "waves", "", "shows the progress of maintenance waves", "", 0, 0, { "server", "token", "token_file", "output" }, runWaves },
        { "wave", "pause|resume NAME", "pauses or resumes a maintenance wave", "", 2, 2, { "server", "token", "token_file", "output" }, runWave },
        { "help", "[COMMAND]", "explains a command", "", 0, 1, {}, runHelp },
        { "completion", "bash", "prints a script for shell completion", "Use it with: source <(marigoldctl completion bash)\n", 1, 1, {}, runCompletion },
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
