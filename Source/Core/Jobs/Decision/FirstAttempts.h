#pragma once

/// When callers first handed in jobs that were refused, as callers count the time of a job from then on. After an outage most
/// submissions are repeats, some of which can't end in time any more.

#include "Common/Time.h"
#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace Jobs {

/// Remembers each refused id for 5 to 10 s after its last attempt, and as many as `maximumIds`; the first attempts of others are
/// forgotten. Does no I/O and reads no clock.
class FirstAttempts {
public:
    /// An attempt to hand in the job was refused.
    void noteRefused(const JobId&, Common::Instant now);
    /// How long ago the job's first attempt was refused; zero if none is known.
    std::chrono::milliseconds age(const JobId&, Common::Instant now);

    static constexpr std::size_t maximumIds = 20000;

private:
    using Times = std::unordered_map<JobId, Common::Instant>;

    /// Drops what was noted before the last period but one.
    void rotate(Common::Instant now);

    Times m_current;
    Times m_previous; ///< Of the period before.
    Common::Instant m_periodBegan {};
};

} // namespace Jobs
