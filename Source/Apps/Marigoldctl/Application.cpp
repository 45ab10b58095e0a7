#include "Application.h"

#include "CommandTable.h"
#include "JsonText.h"
#include "ObjectCommands.h"

#include <algorithm>
#include <utility>

namespace Ctl {

namespace {

    void checkUse(const Command& command, const Options& options, std::size_t argumentCount)
    {
        const std::string usage = "\nusage: marigoldctl " + std::string(command.name) + (command.synopsis.empty() ? "" : " ") + std::string(command.synopsis);
        for (const auto& flag : options.given) {
            if (std::find(command.flags.begin(), command.flags.end(), flag) == command.flags.end())
                throw CtlError(ExitCode::WrongUse, std::string(command.name) + " doesn't take --" + Flags::spelling(flag) + usage);
        }
        if (argumentCount < command.minimumArguments)
            throw CtlError(ExitCode::WrongUse, std::string(command.name) + ": too few arguments" + usage);
        if (argumentCount > command.maximumArguments)
            throw CtlError(ExitCode::WrongUse, std::string(command.name) + ": too many arguments" + usage);
    }

} // namespace

Application::Application(Surroundings surroundings)
    : m_surroundings(std::move(surroundings))
{
}

ExitCode Application::run(const std::vector<std::string>& arguments)
{
    const auto line = Flags::parse(arguments);
    if (!line) {
        m_surroundings.err << "marigoldctl: " << line.error().what() << "\n";
        return line.error().code();
    }
    try {
        return runCommand(line.value());
    } catch (const CtlError& e) {
        report(e, line.value().options);
        return e.code();
    } catch (const std::exception& e) {
        m_surroundings.err << "marigoldctl: " << e.what() << "\n";
        return ExitCode::Failed;
    }
}

ExitCode Application::runCommand(const CommandLine& line)
{
    if (line.arguments.empty()) {
        (line.options.help ? m_surroundings.out : m_surroundings.err) << generalHelp();
        return line.options.help ? ExitCode::Ok : ExitCode::WrongUse;
    }
    const Command* command = findCommand(line.arguments[0]);
    if (!command)
        throw CtlError(ExitCode::WrongUse, "no command '" + line.arguments[0] + "' (see marigoldctl help)");
    if (line.options.help) {
        m_surroundings.out << helpOf(*command);
        return ExitCode::Ok;
    }
    checkUse(*command, line.options, line.arguments.size() - 1);
    std::unique_ptr<ApiClient> client;
    const auto api = [&]() -> ApiClient& {
        if (!client)
            client = m_surroundings.makeApi(line.options);
        return *client;
    };
    CommandContext context { line.options, { line.arguments.begin() + 1, line.arguments.end() }, api, m_surroundings.clock, m_surroundings.out, m_surroundings.err };
    return command->run(context);
}

void Application::report(const CtlError& error, const Options& options)
{
    const auto* invalid = dynamic_cast<const InvalidObjects*>(&error);
    if (invalid && options.output == OutputFormat::Json) {
        Json::Value value;
        value["valid"] = false;
        value["errors"] = toJson(invalid->all());
        m_surroundings.out << jsonText(value);
        return;
    }
    m_surroundings.err << (invalid ? "" : "marigoldctl: ") << error.what() << "\n";
}

} // namespace Ctl
