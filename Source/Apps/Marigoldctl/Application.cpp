#include "Application.h"

#include "CommandTable.h"
#include "JsonText.h"
#include "ObjectCommands.h"

#include <algorithm>
#include <utility>

namespace Ctl {

namespace {

    void checkArguments(const Command& command, const Options& options, std::size_t argumentCount)
    {
        const std::string usage = "\nusage: marigoldctl " + std::string(command.name) + (command.synopsis.empty() ? "" : " ") + std::string(command.synopsis);
        for (const auto& flag : options.explicitFlags) {
            if (std::find(command.flags.begin(), command.flags.end(), flag) == command.flags.end())
                throw CtlError(ExitCode::UsageError, std::string(command.name) + " doesn't accept --" + Flags::dashedName(flag) + usage);
        }
        if (argumentCount < command.minimumArguments)
            throw CtlError(ExitCode::UsageError, std::string(command.name) + ": too few arguments" + usage);
        if (argumentCount > command.maximumArguments)
            throw CtlError(ExitCode::UsageError, std::string(command.name) + ": too many arguments" + usage);
    }

} // namespace

Application::Application(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

ExitCode Application::run(const std::vector<std::string>& arguments)
{
    const auto line = Flags::parse(arguments);
    if (!line) {
        m_dependencies.err << "marigoldctl: " << line.error().what() << "\n";
        return line.error().code();
    }
    try {
        return runCommand(line.value());
    } catch (const CtlError& e) {
        reportError(e, line.value().options);
        return e.code();
    } catch (const std::exception& e) {
        m_dependencies.err << "marigoldctl: " << e.what() << "\n";
        return ExitCode::Failed;
    }
}

ExitCode Application::runCommand(const CommandLine& line)
{
    if (line.arguments.empty()) {
        (line.options.help ? m_dependencies.out : m_dependencies.err) << generalHelp();
        return line.options.help ? ExitCode::Ok : ExitCode::UsageError;
    }
    const Command* command = findCommand(line.arguments[0]);
    if (!command)
        throw CtlError(ExitCode::UsageError, "no command '" + line.arguments[0] + "' (see marigoldctl help)");
    if (line.options.help) {
        m_dependencies.out << commandHelp(*command);
        return ExitCode::Ok;
    }
    checkArguments(*command, line.options, line.arguments.size() - 1);
    std::unique_ptr<ApiClient> client;
    const auto api = [&]() -> ApiClient& {
        if (!client)
            client = m_dependencies.makeClient(line.options);
        return *client;
    };
    CommandContext context { line.options, { line.arguments.begin() + 1, line.arguments.end() }, api, m_dependencies.clock, m_dependencies.out, m_dependencies.err };
    return command->run(context);
}

void Application::reportError(const CtlError& error, const Options& options)
{
    const auto* invalid = dynamic_cast<const InvalidObjectsError*>(&error);
    if (invalid && options.output == OutputFormat::Json) {
        Json::Value value;
        value["valid"] = false;
        value["errors"] = toJson(invalid->errors());
        m_dependencies.out << jsonText(value);
        return;
    }
    m_dependencies.err << (invalid ? "" : "marigoldctl: ") << error.what() << "\n";
}

} // namespace Ctl
