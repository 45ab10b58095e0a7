#pragma once

/// Explains a publication conflict: who published since the base revision, and what changed.

#include "ApiTypes.h"
#include "CommandContext.h"
#include "Objects/Diff.h"
#include "Objects/Types.h"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Ctl {

/// A publication that ended in a conflict.
struct Conflict {
    PublishRequest request;
    PublishAnswer answer;
    std::optional<Objects::ObjectSet> base; ///< The set of the base revision, if it is known.
    Objects::ObjectSet newSet; ///< The set that the operator tried to publish.
};

/// Shown to the operator whose publication was not accepted.
class ConflictReport {
public:
    /// Reads the configuration in force and the audit trail from the server; leaves out what can't be read. Throws no CtlError.
    static ConflictReport create(CommandContext&, const Conflict&);

    /// For people; several lines.
    std::string text() const;
    /// For scripts.
    Json::Value json() const;

private:
    ConflictReport() = default;
    void compare(CommandContext&, const Conflict&);
    void findPublications(CommandContext&);

    std::uint64_t m_baseRevision = 0;
    std::uint64_t m_currentRevision = 0;
    std::string m_currentAuthor;
    std::string m_currentChangeId;
    std::vector<AuditEntry> m_publications;
    std::optional<std::vector<Objects::ObjectChange>> m_changesSinceBase; ///< From the base revision to the one in force.
    std::optional<std::vector<Objects::ObjectChange>> m_remainingChanges; ///< From the revision in force to the operator's set.
    std::string m_comparisonError; ///< Why the sets couldn't be compared; empty if they were.
};

} // namespace Ctl
