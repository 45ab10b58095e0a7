#pragma once

/// The record of which pool each upstream of a data centre belongs to, and the steps it may take.

#include <cstdint>
#include <map>
#include <string>

namespace Decision {

/// Where an upstream stands between two pools.
enum class AssignmentState {
    Serving, ///< In use by its pool.
    Draining, ///< Still its pool's; nothing is sent anew.
    Idle, ///< Nothing runs on it and no host can send to it.
};

/// Assignment of one upstream.
struct UpstreamAssignment {
    std::string pool; ///< The one pool that it belongs to.
    std::string target; ///< Pool that it goes to; empty when Serving.
    AssignmentState state = AssignmentState::Serving;
    std::uint64_t since = 0; ///< Version of the record that put it into this state.
    bool pinned = false; ///< Leaves its pool only by explicit answer of every member.
    bool pinnedNext = false; ///< The value of `pinned` once it serves its target.
    bool held = false; ///< Stays Idle until released, for maintenance.

    bool operator==(const UpstreamAssignment&) const = default;
};

/// Value of the key `/marigold/assignments/<data centre>/record`.
struct AssignmentRecord {
    std::uint64_t version = 0;
    std::map<std::string, UpstreamAssignment> upstreams;

    bool operator==(const AssignmentRecord&) const = default;
};

/// True when an upstream may go from one assignment to the other in a single change of the record:
/// Serving to Draining, Draining to Idle or back, Idle to Serving its target; or pinning where it stands.
bool isSingleStep(const UpstreamAssignment& from, const UpstreamAssignment& to);

/// True when `to` is the next version of `from` and every upstream made a single step at most.
/// Upstreams may be added; only an Idle one may be removed.
bool isNextVersion(const AssignmentRecord& from, const AssignmentRecord& to);

} // namespace Decision
