#pragma once

/// Whether the store answers this host, and when callers who need it should come back. Designed for outages in which calls get no answer
/// before their timeout: a submission that is handed to a silent store stays unanswered until the store is back, so that later ones are
/// refused instead.

#include "Common/Time.h"

#include <chrono>

namespace Jobs {

/// Counts the silence of all of a host's calls: one call without an answer may be a lost answer, while others would be answered. Does no
/// I/O and reads no clock.
class StoreSilence {
public:
    void onSent(Common::Instant now);
    /// A call was carried out or its compares failed; a call that timed out or was turned away is no answer.
    void onAnswered() { m_unanswered = 0; }

    /// Time since the first call that was sent after the last answer; zero unless a later one has waited for long as well.
    std::chrono::milliseconds age(Common::Instant now) const;
    /// Whether a wait of that length, of one call or of all, means that the store can't be relied on.
    static bool isSilent(std::chrono::milliseconds age);
    /// When to come back after a silence of that age: it is likely to last about as long again.
    static std::chrono::milliseconds retryAfter(std::chrono::milliseconds age);

private:
    Common::Instant m_waitingSince {};
    Common::Instant m_secondSentAt {}; ///< When the call after it was sent.
    unsigned m_unanswered = 0; ///< Calls sent since the last answer.
};

} // namespace Jobs
