#include "ConflictReport.h"

#include "JsonText.h"
#include "ObjectCommands.h"
#include "Table.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Ctl {

namespace {

    constexpr int maximumReadAttempts = 10;
    constexpr std::chrono::milliseconds readRetryInterval { 500 };

    /// Polls until the answering host has this revision or a later one in force: a conflict may be reported before that host has adopted
    /// the revision. Throws CtlError when it still hasn't after the last attempt.
    Configuration waitForRevision(CommandContext& context, std::uint64_t revision)
    {
        for (int n = 0; n < maximumReadAttempts; ++n) {
            auto configuration = context.api().configuration();
            if (configuration.revision >= revision)
                return configuration;
            context.clock.sleep(readRetryInterval);
        }
        throw CtlError(ExitCode::Failed, "the server doesn't have revision " + std::to_string(revision) + " yet");
    }

    /// Base revision of an accepted publication, parsed from an audit record such as "publish ID on revision 4: accepted".
    std::optional<std::uint64_t> acceptedBaseRevision(const AuditEntry& entry)
    {
        static const std::string s_separator = " on revision ";
        const auto at = entry.what.rfind(s_separator);
        if (!entry.what.starts_with("publish ") || !entry.what.ends_with(": accepted") || at == std::string::npos)
            return std::nullopt;
        std::uint64_t revision = 0;
        const char* start = entry.what.data() + at + s_separator.size();
        if (std::from_chars(start, entry.what.data() + entry.what.size(), revision).ec != std::errc())
            return std::nullopt;
        return revision;
    }

    std::set<std::string> dataCentresOf(const FleetStatus& status)
    {
        std::set<std::string> names { status.dataCentre };
        for (const auto& host : status.inForce)
            names.insert(host.dataCentre);
        return names;
    }

    std::string changesSection(const std::string& title, const std::vector<Objects::ObjectChange>& changes)
    {
        return title + ":\n" + (changes.empty() ? "no difference\n" : Objects::Diff::describe(changes));
    }

} // namespace

ConflictReport ConflictReport::create(CommandContext& context, const Conflict& conflict)
{
    ConflictReport report;
    report.m_baseRevision = conflict.request.baseRevision;
    report.m_currentRevision = conflict.answer.currentRevision;
    report.m_currentAuthor = conflict.answer.currentAuthor;
    report.m_currentChangeId = conflict.answer.currentChangeId;
    report.compare(context, conflict);
    report.findPublications(context);
    return report;
}

void ConflictReport::compare(CommandContext& context, const Conflict& conflict)
{
    try {
        const auto current = parseConfiguration(waitForRevision(context, m_currentRevision));
        if (conflict.base)
            m_changesSinceBase = Objects::Diff::between(*conflict.base, current);
        m_remainingChanges = Objects::Diff::between(current, conflict.newSet);
    } catch (const CtlError& e) {
        m_comparisonError = e.what();
    }
}

void ConflictReport::findPublications(CommandContext& context)
{
    try {
        for (const auto& dataCentre : dataCentresOf(context.api().status())) {
            for (const auto& entry : context.api().audit(dataCentre)) {
                const auto base = acceptedBaseRevision(entry);
                if (base && *base >= m_baseRevision)
                    m_publications.push_back(entry);
            }
        }
    } catch (const CtlError&) {
        // Not essential: the server's answer already names the latest author. The audit trail is written in batches and may lag or be
        // unreachable.
    }
    std::stable_sort(m_publications.begin(), m_publications.end(), [](const auto& a, const auto& b) { return acceptedBaseRevision(a) < acceptedBaseRevision(b); });
}

std::string ConflictReport::text() const
{
    std::string text = "conflict: not accepted, because the change is based on revision " + std::to_string(m_baseRevision) + " and revision " + std::to_string(m_currentRevision) + " is in force";
    text += " (by " + (m_currentAuthor.empty() ? "an unknown author" : printable(m_currentAuthor)) + ", change " + printable(m_currentChangeId) + ")\n";
    for (const auto& entry : m_publications)
        text += "  revision " + std::to_string(*acceptedBaseRevision(entry) + 1) + " by " + printable(entry.who) + " at " + timeText(entry.when) + (entry.why.empty() ? "" : ": " + printable(entry.why)) + "\n";
    if (m_changesSinceBase)
        text += changesSection("changed since revision " + std::to_string(m_baseRevision), *m_changesSinceBase);
    if (m_remainingChanges)
        text += changesSection("your documents compared with the configuration in force", *m_remainingChanges);
    if (!m_comparisonError.empty())
        text += "the changes can't be shown: " + m_comparisonError + "\n";
    return text + "merge the change into your documents and publish again\n";
}

Json::Value ConflictReport::json() const
{
    Json::Value value;
    value["status"] = "conflict";
    value["baseRevision"] = Json::UInt64(m_baseRevision);
    value["currentRevision"] = Json::UInt64(m_currentRevision);
    value["currentAuthor"] = m_currentAuthor;
    value["currentChangeId"] = m_currentChangeId;
    value["publications"] = toJson(m_publications);
    value["changedSince"] = m_changesSinceBase ? toJson(*m_changesSinceBase) : Json::Value();
    value["yourChanges"] = m_remainingChanges ? toJson(*m_remainingChanges) : Json::Value();
    return value;
}

} // namespace Ctl
