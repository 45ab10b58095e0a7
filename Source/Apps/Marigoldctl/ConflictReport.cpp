#include "ConflictReport.h"

#include "JsonText.h"
#include "ObjectCommands.h"
#include "Table.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Ctl {

namespace {

    constexpr int readTries = 10;
    constexpr std::chrono::milliseconds readInterval { 500 };

    /// What is in force, once the answering host has the revision that the conflict named.
    Configuration readUpTo(CommandContext& context, std::uint64_t revision)
    {
        for (int n = 0; n < readTries; ++n) {
            auto configuration = context.api().configuration();
            if (configuration.revision >= revision)
                return configuration;
            context.clock.sleep(readInterval);
        }
        throw CtlError(ExitCode::Failed, "the server doesn't have revision " + std::to_string(revision) + " yet");
    }

    /// Base revision of an accepted publication, as in "publish ID on revision 4: accepted".
    std::optional<std::uint64_t> acceptedOn(const AuditEntry& entry)
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

    std::string indented(const std::string& title, const std::vector<Objects::ObjectChange>& changes)
    {
        return title + ":\n" + (changes.empty() ? "no difference\n" : Objects::Diff::describe(changes));
    }

} // namespace

ConflictReport ConflictReport::create(CommandContext& context, const Conflict& conflict)
{
    ConflictReport report;
    report.m_baseRevision = conflict.call.baseRevision;
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
        const auto current = setOf(readUpTo(context, m_currentRevision));
        if (conflict.base)
            m_since = Objects::Diff::between(*conflict.base, current);
        m_remaining = Objects::Diff::between(current, conflict.next);
    } catch (const CtlError& e) {
        m_problem = e.what();
    }
}

void ConflictReport::findPublications(CommandContext& context)
{
    try {
        for (const auto& dataCentre : dataCentresOf(context.api().status())) {
            for (const auto& entry : context.api().audit(dataCentre)) {
                const auto base = acceptedOn(entry);
                if (base && *base >= m_baseRevision)
                    m_publications.push_back(entry);
            }
        }
    } catch (const CtlError&) {
        // The trail is written in batches and may be out of reach; the answer itself names the latest author.
    }
    std::stable_sort(m_publications.begin(), m_publications.end(), [](const auto& a, const auto& b) { return acceptedOn(a) < acceptedOn(b); });
}

std::string ConflictReport::text() const
{
    std::string text = "conflict: not accepted, because the change is based on revision " + std::to_string(m_baseRevision) + " and revision " + std::to_string(m_currentRevision) + " is in force";
    text += " (by " + (m_currentAuthor.empty() ? "an unknown author" : printable(m_currentAuthor)) + ", change " + printable(m_currentChangeId) + ")\n";
    for (const auto& entry : m_publications)
        text += "  revision " + std::to_string(*acceptedOn(entry) + 1) + " by " + printable(entry.who) + " at " + timeText(entry.when) + (entry.why.empty() ? "" : ": " + printable(entry.why)) + "\n";
    if (m_since)
        text += indented("changed since revision " + std::to_string(m_baseRevision), *m_since);
    if (m_remaining)
        text += indented("your documents against what is in force", *m_remaining);
    if (!m_problem.empty())
        text += "what changed can't be shown: " + m_problem + "\n";
    return text + "bring your documents up to date with the change and publish again\n";
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
    value["changedSince"] = m_since ? toJson(*m_since) : Json::Value();
    value["yourChanges"] = m_remaining ? toJson(*m_remaining) : Json::Value();
    return value;
}

} // namespace Ctl
