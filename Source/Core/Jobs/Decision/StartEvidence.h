#pragma once

/// What is known about the start of a run whose worker has crashed, and what may follow from the crash for its task.

namespace Jobs {

/// Ordered by strength.
enum class StartEvidence {
    NotCarriedOut, ///< No attempt was sent, or the worker has answered without the run since: the task has nothing to do with the crash.
    Sent, ///< An attempt was sent, by this owner or an earlier one, and the worker has said nothing of it: the task is tried apart from others.
    Confirmed, ///< The worker has answered the order, or has listed the run.
};

/// Whether the crash is evidence enough together with another one like it. Crashes under other starts count only towards the number after
/// which a task that crashes its workers must not be started again.
constexpr bool convicts(StartEvidence evidence) { return evidence == StartEvidence::Confirmed; }

/// Lower-case name for logs.
constexpr const char* nameOf(StartEvidence evidence)
{
    switch (evidence) {
    case StartEvidence::NotCarriedOut:
        return "not-carried-out";
    case StartEvidence::Sent:
        return "sent";
    case StartEvidence::Confirmed:
        break;
    }
    return "confirmed";
}

} // namespace Jobs
