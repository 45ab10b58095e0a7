#include "CommandTable.h"

#include "Flags.h"
#include "Table.h"

#include <algorithm>

namespace Ctl {

namespace {

    constexpr const char* exitCodes = "Exit codes:\n"
                                      "  0  ok\n"
                                      "  1  failed\n"
                                      "  2  usage error\n"
                                      "  3  invalid objects\n"
                                      "  4  conflict with another publication\n"
                                      "  5  no server reachable\n"
                                      "  6  timed out waiting\n";

    std::string flagLine(const FlagInfo& flag)
    {
        return "  --" + flag.name + (flag.takesValue ? "=VALUE" : "") + "\n      " + flag.description + "\n";
    }

    std::string joinWithSpaces(const std::vector<std::string>& items)
    {
        std::string text;
        for (const auto& item : items)
            text += (text.empty() ? "" : " ") + item;
        return text;
    }

    std::vector<std::string> flagsOf(const Command& command)
    {
        std::vector<std::string> flags;
        for (const auto name : command.flags)
            flags.push_back("--" + Flags::dashedName(name));
        return flags;
    }

    std::vector<std::string> commandNames()
    {
        std::vector<std::string> names;
        for (const auto& command : commandTable())
            names.emplace_back(command.name);
        return names;
    }

    /// Completions of a command's first argument, separated by spaces; empty for file names.
    std::string firstArgumentCompletions(const Command& command)
    {
        if (command.name == "help")
            return joinWithSpaces(commandNames());
        if (command.name == "completion")
            return "bash";
        return command.name == "wave" ? "pause resume" : "";
    }

} // namespace

std::string generalHelp()
{
    std::string text = "marigoldctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
    for (const auto& command : commandTable())
        text += "  " + std::string(command.name) + std::string(12 - command.name.size(), ' ') + std::string(command.summary) + "\n";
    text += "\nFlags of commands that call a server:\n";
    for (const auto& flag : Flags::all()) {
        if (flag.name == "server" || flag.name == "token" || flag.name == "token-file" || flag.name == "output")
            text += flagLine(flag);
    }
    return text + "\n" + exitCodes + "\nmarigoldctl help COMMAND explains a command.\n";
}

std::string commandHelp(const Command& command)
{
    std::string text = "marigoldctl " + std::string(command.name) + (command.synopsis.empty() ? "" : " ") + std::string(command.synopsis) + "\n";
    text += "  " + std::string(command.summary) + "\n";
    if (!command.details.empty())
        text += "\n" + std::string(command.details);
    if (command.flags.empty())
        return text;
    text += "\nFlags:\n";
    const auto flags = flagsOf(command);
    for (const auto& flag : Flags::all()) {
        if (std::find(flags.begin(), flags.end(), "--" + flag.name) != flags.end())
            text += flagLine(flag);
    }
    return text;
}

std::string bashCompletion()
{
    std::string text = "_marigoldctl()\n{\n"
                       "    local word=\"${COMP_WORDS[COMP_CWORD]}\" command=\"${COMP_WORDS[1]}\" flags=\"\" first=\"\"\n"
                       "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                       "        COMPREPLY=($(compgen -W \""
        + joinWithSpaces(commandNames()) + "\" -- \"$word\"))\n"
                                           "        return\n"
                                           "    fi\n"
                                           "    case \"$command\" in\n";
    for (const auto& command : commandTable())
        text += "    " + std::string(command.name) + ") flags=\"" + joinWithSpaces(flagsOf(command)) + "\" first=\"" + firstArgumentCompletions(command) + "\" ;;\n";
    return text + "    esac\n"
                  "    if [[ \"$word\" == -* ]]; then\n"
                  "        COMPREPLY=($(compgen -W \"$flags\" -- \"$word\"))\n"
                  "    elif [ -n \"$first\" ]; then\n"
                  "        [ \"$COMP_CWORD\" -eq 2 ] && COMPREPLY=($(compgen -W \"$first\" -- \"$word\"))\n"
                  "    else\n"
                  "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
                  "    fi\n"
                  "}\n"
                  "complete -o filenames -F _marigoldctl marigoldctl\n";
}

} // namespace Ctl
