#include "ObjectCommands.h"

#include "JsonText.h"
#include "Objects/ObjectSchema.h"
#include "Objects/ObjectSetLoader.h"
#include "Table.h"

#include <filesystem>
#include <utility>

namespace Ctl {

namespace {

    std::string describeAll(const std::vector<Objects::ObjectError>& errors)
    {
        std::string text;
        for (const auto& error : errors)
            text += Objects::describe(error) + "\n";
        return text + std::to_string(errors.size()) + (errors.size() == 1 ? " error" : " errors");
    }

    std::string objectCountTable(const Objects::ObjectSet& set)
    {
        Table table({ "KIND", "OBJECTS" });
        table.addRow({ "domains", std::to_string(set.domains.size()) });
        table.addRow({ "pools", std::to_string(set.pools.size()) });
        table.addRow({ "services", std::to_string(set.services.size()) });
        table.addRow({ "priorities", std::to_string(set.priorities.size()) });
        table.addRow({ "teams", std::to_string(set.teams.size()) });
        table.addRow({ "budgets", std::to_string(set.budgets.size()) });
        table.addRow({ "waves", std::to_string(set.waves.size()) });
        table.addRow({ "upstreams", std::to_string(set.upstreams.size()) });
        return table.text();
    }

} // namespace

InvalidObjectsError::InvalidObjectsError(std::vector<Objects::ObjectError> errors)
    : CtlError(ExitCode::InvalidObjects, describeAll(errors))
    , m_errors(std::move(errors))
{
}

Objects::ParsedSet loadDocuments(const std::vector<std::string>& paths)
{
    const std::vector<std::filesystem::path> files(paths.begin(), paths.end());
    const auto documents = Objects::ObjectSetLoader::readFiles(files);
    if (!documents)
        throw InvalidObjectsError(documents.error().all());
    auto parsed = Objects::ObjectSetLoader::load(documents.value());
    if (!parsed)
        throw InvalidObjectsError(parsed.error().all());
    return parsed.take();
}

Objects::ObjectSet parseConfiguration(const Configuration& configuration)
{
    if (configuration.document.empty())
        return {};
    auto set = Objects::ObjectSetLoader::loadText("revision " + std::to_string(configuration.revision), configuration.document);
    if (!set)
        throw CtlError(ExitCode::Failed, std::string("the configuration in force can't be read by this version: ") + set.error().what());
    return set.take();
}

ExitCode runValidate(CommandContext& context)
{
    const auto parsed = loadDocuments(context.arguments);
    if (context.wantsJson()) {
        Json::Value value;
        value["valid"] = true;
        value["errors"] = Json::Value(Json::arrayValue);
        context.out << jsonText(value);
    } else {
        context.out << "valid\n\n"
                    << objectCountTable(parsed.set);
    }
    return ExitCode::Ok;
}

ExitCode runSchema(CommandContext& context)
{
    context.out << Objects::ObjectSchema::text();
    return ExitCode::Ok;
}

ExitCode runDiff(CommandContext& context)
{
    const auto parsed = loadDocuments(context.arguments);
    const auto inForce = context.api().configuration();
    const auto changes = Objects::Diff::between(parseConfiguration(inForce), parsed.set);
    if (context.wantsJson()) {
        Json::Value value;
        value["revision"] = Json::UInt64(inForce.revision);
        value["changes"] = toJson(changes);
        context.out << jsonText(value);
    } else if (changes.empty()) {
        context.out << "no change to revision " << inForce.revision << "\n";
    } else {
        context.out << "changes to revision " << inForce.revision << ":\n"
                    << Objects::Diff::describe(changes);
    }
    return ExitCode::Ok;
}

} // namespace Ctl
