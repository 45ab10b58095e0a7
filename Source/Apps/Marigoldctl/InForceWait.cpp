#include "InForceWait.h"

#include <algorithm>
#include <optional>

namespace Ctl {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 500 };

    std::string progressLine(const InForceProgress& progress, std::uint64_t revision)
    {
        std::string line = "revision " + std::to_string(revision) + " is in force on " + std::to_string(progress.inForceCount) + " of " + std::to_string(progress.hostCount) + " hosts";
        for (std::size_t n = 0; n < progress.missing.size(); ++n)
            line += (n ? ", " : "; missing: ") + progress.missing[n];
        return line;
    }

    std::optional<InForceProgress> poll(CommandContext& context, std::uint64_t revision, std::string& error)
    {
        try {
            return progressOf(context.api().status(), revision);
        } catch (const ApiError& e) {
            error = e.what();
            return std::nullopt;
        }
    }

} // namespace

InForceProgress progressOf(const FleetStatus& status, std::uint64_t revision)
{
    InForceProgress progress;
    progress.hostCount = status.inForce.size();
    for (const auto& host : status.inForce) {
        if (host.revision >= revision)
            ++progress.inForceCount;
        else
            progress.missing.push_back(host.dataCentre + "/" + host.host);
    }
    for (const auto& member : status.members) {
        const bool isReported = std::any_of(status.inForce.begin(), status.inForce.end(), [&](const auto& host) { return host.host == member; });
        if (isReported)
            continue;
        ++progress.hostCount;
        progress.missing.push_back(status.dataCentre + "/" + member);
    }
    return progress;
}

ExitCode waitUntilInForce(CommandContext& context, std::uint64_t revision)
{
    const auto deadline = context.clock.now() + context.options.timeout;
    std::string lastLine;
    while (true) {
        std::string error;
        const auto progress = poll(context, revision, error);
        const std::string line = progress ? progressLine(*progress, revision) : error;
        if (line != lastLine)
            context.err << line << std::endl;
        lastLine = line;
        if (progress && progress->isComplete())
            return ExitCode::Ok;
        if (context.clock.now() >= deadline) {
            context.err << "timed out after " << context.options.timeout.count() << " s; the change stays accepted and its rollout continues (see marigoldctl status)\n";
            return ExitCode::TimedOut;
        }
        context.clock.sleep(pollInterval);
    }
}

} // namespace Ctl
