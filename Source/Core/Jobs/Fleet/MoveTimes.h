#pragma once

/// Measures how long moves of machines take, from the order until the machine takes tasks in its new pool. Does no I/O and reads no
/// clock.

#include "Jobs/Fleet/WaveRun.h"

#include <deque>
#include <map>
#include <string>

namespace Jobs {

/// Times of the latest moves to pools whose machines are on.
class MoveTimes {
public:
    /// `assumed` holds until moves were measured.
    explicit MoveTimes(milliseconds assumed);

    void onOrdered(const std::string& machine, const std::string& pool, Instant now);
    /// The order wasn't carried out.
    void onFailed(const std::string& machine);
    /// Orders can't be sent for now: when the machines under way arrive won't be seen.
    void onPause();
    /// Notes the machines that have arrived. Call it at each step.
    void observe(const std::map<std::string, MachineView>&, Instant now);
    /// Time within which nearly all of the latest moves were complete.
    milliseconds usual() const;

private:
    struct Move {
        std::string pool;
        Instant orderedAt {};
    };

    milliseconds m_assumed;
    std::map<std::string, Move> m_moves; ///< Under way, by machine.
    std::deque<milliseconds> m_latest; ///< Newest last.
};

} // namespace Jobs
