#pragma once

/// What happened since an operator read the configuration: who published, and what changed.

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

/// A publication that met a conflict.
struct Conflict {
    PublishCall call;
    PublishAnswer answer;
    std::optional<Objects::ObjectSet> base; ///< The set of the base revision; nothing when it wasn't read.
    Objects::ObjectSet next; ///< What was to be published.
};

/// A report for the operator who lost the race.
class ConflictReport {
public:
    /// Asks the server for what is in force now and for the audit trail; goes without what it can't get.
    static ConflictReport create(CommandContext&, const Conflict&);

    std::string text() const;
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
    std::optional<std::vector<Objects::ObjectChange>> m_since; ///< From the base to what is in force.
    std::optional<std::vector<Objects::ObjectChange>> m_remaining; ///< From what is in force to the operator's set.
    std::string m_problem; ///< Why the sets could not be compared.
};

} // namespace Ctl
