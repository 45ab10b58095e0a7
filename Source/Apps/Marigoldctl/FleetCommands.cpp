#include "FleetCommands.h"

#include "JsonText.h"
#include "Table.h"

#include <algorithm>
#include <map>

namespace Ctl {

namespace {

    const char* yesNo(bool value) { return value ? "yes" : "no"; }

    std::string hostTable(FleetStatus status)
    {
        std::sort(status.inForce.begin(), status.inForce.end(), [](const auto& a, const auto& b) {
            return a.dataCentre != b.dataCentre ? a.dataCentre < b.dataCentre : a.host < b.host;
        });
        Table table({ "DATA CENTRE", "HOST", "READY", "REVISION" });
        for (const auto& host : status.inForce)
            table.addRow({ host.dataCentre, host.host, yesNo(host.ready), std::to_string(host.revision) });
        return table.text();
    }

    /// Number of upstreams in one pool, by state.
    struct PoolCounts {
        std::size_t serving = 0;
        std::size_t draining = 0;
        std::size_t idle = 0;
        std::size_t pinned = 0;
        std::size_t total = 0;
    };

    std::string poolCountTable(const std::vector<UpstreamAssignment>& assignments)
    {
        std::map<std::string, PoolCounts> pools;
        for (const auto& assignment : assignments) {
            auto& counts = pools[assignment.pool];
            counts.serving += assignment.state == "serving";
            counts.draining += assignment.state == "draining";
            counts.idle += assignment.state == "idle";
            counts.pinned += assignment.pinned;
            ++counts.total;
        }
        Table table({ "POOL", "UPSTREAMS", "SERVING", "DRAINING", "IDLE", "PINNED" });
        for (const auto& [pool, counts] : pools)
            table.addRow({ pool, std::to_string(counts.total), std::to_string(counts.serving), std::to_string(counts.draining), std::to_string(counts.idle), std::to_string(counts.pinned) });
        return table.text();
    }

    std::string assignmentTable(std::vector<UpstreamAssignment> assignments)
    {
        std::sort(assignments.begin(), assignments.end(), [](const auto& a, const auto& b) {
            return a.pool != b.pool ? a.pool < b.pool : a.upstream < b.upstream;
        });
        Table table({ "POOL", "UPSTREAM", "STATE", "TARGET", "PINNED" });
        for (const auto& assignment : assignments)
            table.addRow({ assignment.pool, assignment.upstream, assignment.state, assignment.target.empty() ? "-" : assignment.target, yesNo(assignment.pinned) });
        return table.text();
    }

    void printAccepted(CommandContext& context, const std::string& message)
    {
        if (!context.wantsJson()) {
            context.out << message << "\n";
            return;
        }
        Json::Value value;
        value["status"] = "accepted";
        context.out << jsonText(value);
    }

} // namespace

ExitCode runStatus(CommandContext& context)
{
    const auto status = context.api().status();
    if (context.wantsJson()) {
        context.out << jsonText(toJson(status));
        return ExitCode::Ok;
    }
    context.out << hostTable(status) << "\nreported by " << printable(status.host) << " in " << printable(status.dataCentre) << ": revision " << status.revision;
    if (status.highestKnownRevision > status.revision)
        context.out << " (" << status.highestKnownRevision << " is the highest known)";
    context.out << ", view " << status.viewEpoch << ", " << status.members.size() << " members, " << status.alive.size() << " alive, "
                << status.auditWaiting << " audit records waiting\n";
    for (const auto& reason : status.notReadyBecause)
        context.out << "not ready: " << printable(reason) << "\n";
    for (const auto& alarm : status.alarms)
        context.out << "ALARM: " << printable(alarm) << "\n";
    if (status.alarms.empty())
        context.out << "no alarms\n";
    return ExitCode::Ok;
}

ExitCode runPools(CommandContext& context)
{
    const auto assignments = context.api().pools();
    if (context.wantsJson())
        context.out << jsonText(toJson(assignments));
    else
        context.out << assignmentTable(assignments) << "\n"
                    << poolCountTable(assignments);
    return ExitCode::Ok;
}

ExitCode runAudit(CommandContext& context)
{
    auto entries = context.api().audit(context.options.dataCentre);
    std::stable_sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.when < b.when; });
    if (context.wantsJson()) {
        context.out << jsonText(toJson(entries));
        return ExitCode::Ok;
    }
    Table table({ "WHEN", "WHO", "REVISION", "HOST", "WHAT", "WHY" });
    for (const auto& entry : entries)
        table.addRow({ timeText(entry.when), entry.who, std::to_string(entry.revision), entry.host, entry.what, entry.why });
    context.out << table.text();
    return ExitCode::Ok;
}

ExitCode runMove(CommandContext& context)
{
    if (context.options.to.empty())
        throw CtlError(ExitCode::UsageError, "move requires --to POOL");
    context.api().move({ context.arguments[0], context.options.to });
    printAccepted(context, "the move of " + context.arguments[0] + " to " + context.options.to + " is accepted; marigoldctl pools shows its progress");
    return ExitCode::Ok;
}

ExitCode runWaves(CommandContext& context)
{
    const auto waves = context.api().waves();
    if (context.wantsJson()) {
        context.out << jsonText(toJson(waves));
        return ExitCode::Ok;
    }
    Table table({ "WAVE", "STATE", "DONE", "FORECAST END" });
    for (const auto& wave : waves)
        table.addRow({ wave.name, wave.state, std::to_string(wave.hostsDone) + "/" + std::to_string(wave.hostsTotal), wave.forecastEnd.empty() ? "-" : wave.forecastEnd });
    context.out << table.text();
    return ExitCode::Ok;
}

ExitCode runWave(CommandContext& context)
{
    const std::string& action = context.arguments[0];
    if (action != "pause" && action != "resume")
        throw CtlError(ExitCode::UsageError, "wave: '" + action + "' is not accepted (accepted: pause, resume)");
    context.api().setWavePaused(context.arguments[1], action == "pause");
    printAccepted(context, "wave " + context.arguments[1] + (action == "pause" ? " is paused" : " is resumed"));
    return ExitCode::Ok;
}

} // namespace Ctl
