#pragma once

/// Switches for the safeguards of the one-pool protocol. Tests turn one off to show that its fault is found.

namespace Decision {

/// All on in production.
struct AssignmentGuards {
    bool leaseBeforeDispatch = true; ///< A floating upstream is used only under a view lease.
    bool leaseCountedFromAsking = true; ///< The holder counts its lease from before it asked.
    bool marginBeforeExpiry = true; ///< The lease must outlast the pause between check and send.
    bool readAfterLease = true; ///< The record is read anew under each new lease and registration.
    bool versionsOnlyRise = true; ///< An older record never replaces a newer one.
    bool idleMeansNoneInFlight = true; ///< No explicit answer while dispatches run.
    bool countAbandonedWork = true; ///< Work that was given up counts until its deadline.
    bool explicitAnswersForPinned = true; ///< A lapsed lease doesn't stand in for an answer on a pinned upstream.
    bool waitForLeftWork = true; ///< Work left by a departed host may run until its deadline.
    bool answersMatchIncarnation = true; ///< An answer counts only for the process that gave it.
    bool answersMatchVersion = true; ///< An answer given before the drain began doesn't count.
    bool evidenceOfThisDrain = true; ///< What was seen before the drain began doesn't count.
    bool goneCountedFromGone = true; ///< The wait for an ended process begins when it is seen as gone, not as absent.
    bool unpinOnlyWhenIdle = true; ///< A pinned upstream becomes floating only between two pools.
    bool writesCompare = true; ///< A record is replaced only if it is still the one that was read.
};

} // namespace Decision
