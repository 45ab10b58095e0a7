#include "Flags.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <sstream>

DEFINE_string(server, "", "entry hosts to call, ip:port[,ip:port...]; the next is tried when one doesn't answer (environment: MARIGOLD_SERVER)");
DEFINE_string(token, "", "operator's token (environment: MARIGOLD_TOKEN)");
DEFINE_string(token_file, "", "file that holds the operator's token");
DEFINE_string(output, "table", "form of the results: table or json");
DEFINE_string(reason, "", "why the change is made, for the audit trail");
DEFINE_uint64(base, 0, "revision that the change was made on; by default the one in force");
DEFINE_string(change_id, "", "id of the change; give that of an earlier try to repeat it safely");
DEFINE_bool(wait, false, "wait until every known entry host has the change in force");
DEFINE_uint64(timeout, 60, "longest wait, in seconds");
DEFINE_string(to, "", "pool that the upstream moves to");
DEFINE_string(data_centre, "", "data centre; by default that of the answering host");

namespace Ctl {

namespace {

    constexpr std::uint64_t longestTimeoutSeconds = 86400;
    constexpr const char* helpFlag = "help";

    constexpr const char* flagNames[] = { "base", "change_id", "data_centre", "output", "reason", "server", "timeout", "to", "token", "token_file", "wait" };

    std::string withUnderscores(std::string name)
    {
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    }

    [[noreturn]] void wrongUse(const std::string& message) { throw CtlError(ExitCode::WrongUse, message); }

    std::string fromEnvironment(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    /// Reads flags one by one. gflags' own parser ends the program on a mistake, with a code that isn't ours.
    class Reader {
    public:
        explicit Reader(const std::vector<std::string>& arguments)
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
                wrongUse("unknown flag " + argument.substr(0, equals) + " (see marigoldctl help)");
            const std::string value = equals == std::string::npos ? followingValue(name) : argument.substr(equals + 1);
            if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
                wrongUse("--" + Flags::spelling(name) + ": '" + value + "' is not accepted");
            options.given.push_back(name);
        }

        std::string followingValue(const std::string& name)
        {
            if (gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool")
                return "true";
            if (m_next == m_arguments.size())
                wrongUse("--" + Flags::spelling(name) + " needs a value");
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
            wrongUse("--token-file: no token can be read from " + path);
        return token;
    }

    std::string tokenOf()
    {
        if (!FLAGS_token.empty() && !FLAGS_token_file.empty())
            wrongUse("--token and --token-file exclude one another");
        if (!FLAGS_token_file.empty())
            return readTokenFile(FLAGS_token_file);
        return FLAGS_token.empty() ? fromEnvironment("MARIGOLD_TOKEN") : FLAGS_token;
    }

    OutputFormat outputOf()
    {
        if (FLAGS_output == "table")
            return OutputFormat::Table;
        if (FLAGS_output == "json")
            return OutputFormat::Json;
        wrongUse("--output: '" + FLAGS_output + "' is not accepted (accepted: table, json)");
    }

    std::chrono::seconds timeoutOf()
    {
        if (FLAGS_timeout == 0 || FLAGS_timeout > longestTimeoutSeconds)
            wrongUse("--timeout: accepted are 1 to " + std::to_string(longestTimeoutSeconds) + " seconds");
        return std::chrono::seconds(FLAGS_timeout);
    }

    void fill(Options& options)
    {
        const bool baseGiven = std::find(options.given.begin(), options.given.end(), "base") != options.given.end();
        options.servers = splitServers(FLAGS_server.empty() ? fromEnvironment("MARIGOLD_SERVER") : FLAGS_server);
        options.token = tokenOf();
        options.output = outputOf();
        options.reason = FLAGS_reason;
        options.base = baseGiven ? std::optional<std::uint64_t>(FLAGS_base) : std::nullopt;
        options.changeId = FLAGS_change_id;
        options.wait = FLAGS_wait;
        options.timeout = timeoutOf();
        options.to = FLAGS_to;
        options.dataCentre = FLAGS_data_centre;
    }

} // namespace

Common::Result<CommandLine, CtlError> Flags::parse(const std::vector<std::string>& arguments)
{
    const gflags::FlagSaver saver; // Each command line starts from the defaults.
    try {
        CommandLine line;
        Reader(arguments).read(line);
        fill(line.options);
        return line;
    } catch (const CtlError& e) {
        return e;
    }
}

std::string Flags::spelling(std::string_view name)
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
        flags.push_back({ Flags::spelling(name), info.description, info.type != "bool" });
    }
    return flags;
}

} // namespace Ctl
