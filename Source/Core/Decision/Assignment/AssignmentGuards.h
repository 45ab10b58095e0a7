#pragma once

/// Safeguards of the protocol that keeps every upstream in at most one pool. All are on in production; tests switch them off
/// one at a time to show that the exploration then finds the failure.

namespace Decision {

/// Safeguards that can be switched off in tests.
struct AssignmentGuards {
    bool leaseBeforeDispatch = true; ///< A dispatch to an upstream that isn't pinned requires a valid view lease.
    bool leaseCountedFromRequest = true; ///< The holder counts the lease time from before it sent the request, not from the reply.
    bool marginBeforeExpiry = true; ///< The lease must remain valid through the pause between the check and the send.
    bool readAfterLease = true; ///< The record is read again after each new lease and registration.
    bool rejectOlderVersions = true; ///< An older version of the record never replaces a newer one.
    bool idleRequiresNoneInFlight = true; ///< A host doesn't report an upstream as idle while it has dispatches in flight there.
    bool countAbandonedWork = true; ///< An abandoned dispatch counts as in flight until its deadline.
    bool explicitAnswersForPinned = true; ///< For a pinned upstream, a lapsed lease doesn't replace the explicit answer.
    bool waitForOrphanedWork = true; ///< The coordinator waits until the work of a departed process must have ended.
    bool answersMatchIncarnation = true; ///< An answer counts only for the incarnation that sent it.
    bool answersMatchVersion = true; ///< An answer based on a record older than the drain doesn't count.
    bool evidenceFromCurrentDrain = true; ///< Evidence from before the start of the drain doesn't count.
    bool waitCountedFromGone = true; ///< The wait for an ended process starts when it is seen as gone, not when its lease is seen to be missing.
    bool unpinOnlyWhenIdle = true; ///< An upstream is unpinned only through a drain, never while it serves.
    bool compareOnWrite = true; ///< A write replaces the record only if it is still at the revision that was read.
};

} // namespace Decision
