#pragma once

/// What is known about the start of a run whose worker has crashed, and what may follow from the crash for its task.

namespace Jobs {

/// Ordered by strength.
enum class StartEvidence {
    Unsent, ///< No attempt was sent: the task has nothing to do with the crash.
    Sent, ///< An attempt was sent, by this owner or an earlier one, and the worker has said nothing of it: the task is tried apart from others.
    Isolated, ///< Sent, and nothing else had started there lately; the worker was still there when the order must have arrived.
    Confirmed, ///< The worker has answered the order, or has listed the run.
};

/// Whether the crash may count towards giving the task up. One under any other start only isolates the task.
constexpr bool convicts(StartEvidence evidence) { return evidence >= StartEvidence::Isolated; }

/// Lower-case name for logs.
constexpr const char* nameOf(StartEvidence evidence)
{
    switch (evidence) {
    case StartEvidence::Unsent:
        return "unsent";
    case StartEvidence::Sent:
        return "sent";
    case StartEvidence::Isolated:
        return "isolated";
    case StartEvidence::Confirmed:
        break;
    }
    return "confirmed";
}

} // namespace Jobs
