#include "Flags.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <sstream>

DEFINE_string(server, "", "entry hosts to call, ip:port[,ip:port...]; if one doesn't answer, the next is tried (environment: MARIGOLD_SERVER)");
DEFINE_string(token, "", "operator's token (environment: MARIGOLD_TOKEN)");
DEFINE_string(token_file, "", "file with the operator's token");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_string(reason, "", "reason for the change, recorded in the audit trail");
DEFINE_uint64(base, 0, "revision that the change is based on; by default the one in force");
DEFINE_string(change_id, "", "id of the change; reuse the id of an earlier attempt to retry it safely");
DEFINE_bool(wait, false, "wait until the change is in force on every known entry host");
DEFINE_uint64(timeout, 60, "longest wait, in seconds");
DEFINE_string(to, "", "pool to move the upstream to");
DEFINE_string(data_centre, "", "data centre; by default that of the answering host");

namespace Ctl {

namespace {

    constexpr std::uint64_t maximumTimeoutSeconds = 86400;
    constexpr const char* helpFlag = "help";

    constexpr const char* flagNames[] = { "base", "change_id", "data_centre", "output", "reason", "server", "timeout", "to", "token", "token_file", "wait" };

    std::string withUnderscores(std::string name)
    {
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    }

    [[noreturn]] void throwUsageError(const std::string& message) { throw CtlError(ExitCode::UsageError, message); }

    std::string fromEnvironment(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    /// Reads the arguments one by one. gflags' own parser isn't used because it exits on a usage error, with an exit code of its own.
    class ArgumentReader {
    public:
        explicit ArgumentReader(const std::vector<std::string>& arguments)
            : m_arguments(arguments)
        {
        }

        void read(CommandLine& line)
        {
            bool flagsEnded = false;
            while (m_next < m_arguments.size()) {
                const std::string& argument = m_arguments[m_next++];
                if (flagsEnded || argument.size() < 2 || argument[0] != '-')
                    line.arguments.push_back(argument);
                else if (argument == "--")
                    flagsEnded = true;
                else
                    readFlag(argument, line.options);
            }
        }

    private:
        void readFlag(const std::string& argument, Options& options)
        {
            const std::size_t start = argument.starts_with("--") ? 2 : 1;
            const std::size_t equals = argument.find('=');
            const std::string name = withUnderscores(argument.substr(start, equals == std::string::npos ? equals : equals - start));
            if (name == helpFlag || name == "h") {
                options.help = true;
                return;
            }
            if (std::find(std::begin(flagNames), std::end(flagNames), name) == std::end(flagNames))
                throwUsageError("unknown flag " + argument.substr(0, equals) + " (see marigoldctl help)");
            const std::string value = equals == std::string::npos ? nextValue(name) : argument.substr(equals + 1);
            if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
                throwUsageError("--" + Flags::dashedName(name) + ": '" + value + "' is not accepted");
            options.explicitFlags.push_back(name);
        }

        std::string nextValue(const std::string& name)
        {
            if (gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool")
                return "true";
            if (m_next == m_arguments.size())
                throwUsageError("--" + Flags::dashedName(name) + " needs a value");
            return m_arguments[m_next++];
        }

        const std::vector<std::string>& m_arguments;
        std::size_t m_next = 0;
    };

    std::vector<std::string> splitServers(const std::string& text)
    {
        std::vector<std::string> servers;
        std::istringstream stream(text);
        for (std::string item; std::getline(stream, item, ',');) {
            if (!item.empty())
                servers.push_back(item);
        }
        return servers;
    }

    std::string readTokenFile(const std::string& path)
    {
        std::ifstream file(path);
        std::string token;
        if (!(file >> token))
            throwUsageError("--token-file: no token can be read from " + path);
        return token;
    }

    std::string readToken()
    {
        if (!FLAGS_token.empty() && !FLAGS_token_file.empty())
            throwUsageError("--token and --token-file are mutually exclusive");
        if (!FLAGS_token_file.empty())
            return readTokenFile(FLAGS_token_file);
        return FLAGS_token.empty() ? fromEnvironment("MARIGOLD_TOKEN") : FLAGS_token;
    }

    OutputFormat parseOutputFormat()
    {
        if (FLAGS_output == "table")
            return OutputFormat::Table;
        if (FLAGS_output == "json")
            return OutputFormat::Json;
        throwUsageError("--output: '" + FLAGS_output + "' is not accepted (accepted: table, json)");
    }

    std::chrono::seconds parseTimeout()
    {
        if (FLAGS_timeout == 0 || FLAGS_timeout > maximumTimeoutSeconds)
            throwUsageError("--timeout is out of range (accepted: 1 to " + std::to_string(maximumTimeoutSeconds) + " seconds)");
        return std::chrono::seconds(FLAGS_timeout);
    }

    void fillOptions(Options& options)
    {
        const bool hasBase = std::find(options.explicitFlags.begin(), options.explicitFlags.end(), "base") != options.explicitFlags.end();
        options.servers = splitServers(FLAGS_server.empty() ? fromEnvironment("MARIGOLD_SERVER") : FLAGS_server);
        options.token = readToken();
        options.output = parseOutputFormat();
        options.reason = FLAGS_reason;
        options.base = hasBase ? std::optional<std::uint64_t>(FLAGS_base) : std::nullopt;
        options.changeId = FLAGS_change_id;
        options.wait = FLAGS_wait;
        options.timeout = parseTimeout();
        options.to = FLAGS_to;
        options.dataCentre = FLAGS_data_centre;
    }

} // namespace

Common::Result<CommandLine, CtlError> Flags::parse(const std::vector<std::string>& arguments)
{
    const gflags::FlagSaver saver; // Restores the defaults, so that flags don't carry over to the next command line.
    try {
        CommandLine line;
        ArgumentReader(arguments).read(line);
        fillOptions(line.options);
        return line;
    } catch (const CtlError& e) {
        return e;
    }
}

std::string Flags::dashedName(std::string_view name)
{
    std::string text(name);
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
}

std::vector<FlagInfo> Flags::all()
{
    std::vector<FlagInfo> flags;
    for (const char* name : flagNames) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(name);
        flags.push_back({ Flags::dashedName(name), info.description, info.type != "bool" });
    }
    return flags;
}

} // namespace Ctl
