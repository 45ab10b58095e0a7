#pragma once

/// Record of the pool that each upstream of a data centre belongs to, and the transitions that it allows.

#include <cstdint>
#include <map>
#include <string>

namespace Decision {

/// State of an upstream's assignment to its pool.
enum class AssignmentState {
    Serving, ///< In use by its pool.
    Draining, ///< Still assigned to its pool, but receives no new work.
    Idle, ///< Nothing runs on it and no host can send to it.
};

/// Assignment of one upstream. A pinned upstream may be used without a view lease; one that isn't pinned (floating) may not.
struct UpstreamAssignment {
    std::string pool; ///< The only pool that it belongs to.
    std::string target; ///< Pool that it moves to; empty if Serving.
    AssignmentState state = AssignmentState::Serving;
    std::uint64_t since = 0; ///< Version of the record that set this state.
    bool pinned = false; ///< Leaves its pool only after an explicit answer from every member.
    bool pinnedNext = false; ///< Value of `pinned` once it serves its target.
    bool held = false; ///< Stays Idle until it is released; used for maintenance.

    bool operator==(const UpstreamAssignment&) const = default;
};

/// Value of the key `/marigold/assignments/<data centre>/record`.
struct AssignmentRecord {
    std::uint64_t version = 0;
    std::map<std::string, UpstreamAssignment> upstreams;

    bool operator==(const AssignmentRecord&) const = default;
};

/// True if one change of the record may turn `from` into `to`: Serving to Draining, Draining to Idle or back to Serving, Idle
/// to Serving its target, the release of a held upstream, or pinning an upstream while it serves.
bool isSingleStep(const UpstreamAssignment& from, const UpstreamAssignment& to);

/// True if the version of `to` is one above that of `from` and no upstream made more than a single step. Upstreams may be
/// added; only an Idle one may be removed.
bool isNextVersion(const AssignmentRecord& from, const AssignmentRecord& to);

} // namespace Decision
