#include "Decision/Assignment/AssignmentRecord.h"

namespace Decision {

namespace {

    bool keepsPinning(const UpstreamAssignment& from, const UpstreamAssignment& to)
    {
        return from.pinned == to.pinned;
    }

    bool isRelease(const UpstreamAssignment& from, const UpstreamAssignment& to)
    {
        return from.held && !to.held && from.pool == to.pool && from.target == to.target && keepsPinning(from, to);
    }

} // namespace

bool isSingleStep(const UpstreamAssignment& from, const UpstreamAssignment& to)
{
    if (from == to)
        return true;
    using State = AssignmentState;
    if (from.state == to.state) {
        if (from.state == State::Serving)
            return from.pool == to.pool && (to.pinned || !from.pinned);
        return isRelease(from, to);
    }
    if (from.state == State::Idle)
        return to.state == State::Serving && to.pool == from.target;
    if (from.state == State::Serving && to.state == State::Idle)
        return false;
    return from.pool == to.pool && keepsPinning(from, to);
}

bool isNextVersion(const AssignmentRecord& from, const AssignmentRecord& to)
{
    if (to.version != from.version + 1)
        return false;
    for (const auto& [name, before] : from.upstreams) {
        const auto it = to.upstreams.find(name);
        if (it == to.upstreams.end()) {
            if (before.state != AssignmentState::Idle)
                return false;
            continue;
        }
        if (!isSingleStep(before, it->second))
            return false;
    }
    return true;
}

} // namespace Decision
