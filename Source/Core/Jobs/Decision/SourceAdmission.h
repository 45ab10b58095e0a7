#pragma once

/// Decides whether a job of a source that crashes its workers can still end while it is of use. Refusing it at once lets its caller
/// come back or do without; a job that is accepted and ends too late costs its caller the wait, and others the workers that it crashes.

#include "Common/Time.h"
#include "Jobs/Decision/SourceEvidence.h"
#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Jobs {

/// Amount of work, as estimated by those who hand it in.
struct SourceWork {
    double tasks = 0;
    double coreMilliseconds = 0;

    SourceWork& operator+=(const SourceWork&);
};

/// Work of that many tasks of the step.
SourceWork workOfTasks(const StepSpec&, std::size_t count);

/// A submitted job and what goes before it.
struct SourceRequest {
    SourceWork ahead; ///< Tasks of its source that wait and go before the job's.
    SourceWork own;
    milliseconds criticalPath { 0 };
    milliseconds usefulFor { 0 }; ///< A job that takes longer is of no use.
};

/// A refusal of a job, with the estimate that it rests on.
struct SourceRefusal {
    milliseconds expected { 0 }; ///< Estimated time to the job's end.
    milliseconds retryAfter { 0 };
};

/// Measures how fast a source's tasks end while others of it wait for room, and estimates from it when a job would end. What ends while
/// none wait says nothing about how fast the source can be served, and isn't counted; nor are tasks that are dropped with jobs that have
/// failed, as crashing jobs leave sooner than those that remain. Nothing is refused without evidence: after a takeover, or of a source that
/// hasn't waited for long enough.
class SourceAdmission {
public:
    /// Tasks have ended as done. Counts in the time that the next sample ends.
    void noteEnded(const TaskSource&, const SourceWork&);
    /// Call at each decision: the sources that are bounded, those of them of which tasks are left waiting, and the capacity of workers on which
    /// runs may be placed. Forgets all other sources.
    void sample(const std::set<TaskSource>& bounded, const std::set<TaskSource>& waiting, std::uint64_t capacityMilliCores, Common::Instant now);
    /// True when tasks of the source were left waiting by the latest decision.
    bool isWaiting(const TaskSource&) const;
    /// Returns nothing when the job is to be accepted.
    std::optional<SourceRefusal> refusalOf(const TaskSource&, const SourceRequest&, Common::Instant now);

private:
    using Length = std::chrono::duration<double, std::milli>;
    struct Span {
        Common::Instant end {};
        Length length { 0 };
        SourceWork ended;
        double capacity = 0; ///< At its beginning, in thousandths of a core.
    };
    struct Drain {
        std::deque<Span> spans; ///< In which tasks waited.
        Common::Instant sampledAt {};
        bool isWaiting = false;
        SourceWork ended; ///< Since the latest sample.
        Common::Instant nextReturn {}; ///< When the callers refused so far will have come back.
    };

    /// Time that `work` takes; nothing without enough evidence for a job with that critical path.
    std::optional<Length> timeFor(const Drain&, const SourceWork&, milliseconds criticalPath, Common::Instant now) const;

    double m_capacity = 0; ///< At the latest sample.
    std::map<TaskSource, Drain> m_drains; ///< Of bounded sources.
};

} // namespace Jobs
