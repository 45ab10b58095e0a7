#pragma once

/// Chooses workers for tasks, in pools that several kinds of tasks share. Short tasks of many sizes are packed tightly, so
/// that large ones find room. Lasting tasks are spread, so that the loss of one worker or rack takes few tasks of a step.
/// Fillers are kept apart from tasks that serve users.

#include "Jobs/Decision/SuspectRules.h"
#include "Jobs/Decision/Worker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// A worker with its free capacity, which shrinks as tasks are placed during one scheduling pass.
struct Candidate {
    Worker* worker = nullptr;
    Resources room;
    /// Short tasks prefer such workers. They are rarely moved or switched off, and the others become free for that.
    bool hasLastingTasks = false;
    std::size_t crashes = 0; ///< Of its machine's workers that no task explains so far.
    bool crashesByItself = false; ///< Tasks that have been lost in a crash prefer others.
    bool isQuarantined = false; ///< Takes only suspects.
    bool takesSuspects = false; ///< Of the kind Some.
    bool takesStrongSuspects = false;
    bool takesGroup = false; ///< Of suspects of the kind Grouped.
    bool takesConfined = false; ///< Beside runs that are confined as well.
    std::size_t roomForDoubtful = 0; ///< Number of suspects of the kind Doubtful that may still join those placed in this pass.
    bool hasUnprovenRuns = false; ///< Only known for workers that could be set aside.
    bool isSpaced = false; ///< Takes no more starts in this pass; see StartSpacing.

    Openings openings() const { return { !isQuarantined, takesSuspects, takesStrongSuspects, takesGroup, roomForDoubtful > 0, takesConfined }; }
};

/// A candidate with the worker's current free capacity.
Candidate candidateOf(Worker&);

/// Constraints and preferences of a placement, apart from capacity.
struct PlacementRequest {
    const StepSpec* step = nullptr;
    /// Number of placed tasks of the step (in one occurrence) by worker, for maximumPerWorker and spreading.
    const std::map<std::string, unsigned>* placedByWorker = nullptr;
    /// Rack of the step's other tasks, when they should share one; empty for no preference.
    std::string preferredRack {};
    /// When false, only workers on the step's data rack qualify.
    bool mayRunRemote = true;
    /// Whether a worker may run the step at all, by the advice service; empty when any may.
    std::function<bool(const Worker&)> isAllowed {};
    Suspicion suspicion = Suspicion::None;
    bool needsReliable = false; ///< Workers that don't crash by themselves are preferred.

    /// True when capacity is the only constraint, so that a failed placement holds for all steps that need as much or more.
    bool needsRoomOnly() const;
};

/// Resources reserved for a task of the step; none of the cores for a filler.
Resources reservedBy(const StepSpec&);

/// Whether the worker has that much capacity, apart from what short tasks occupy now.
bool couldHold(const Worker&, const Resources& need);

/// Whether the worker may ever run the task, apart from what short tasks occupy now and from quarantine.
bool couldRunOn(const Worker&, const PlacementRequest&);

/// The best candidate for one task, or null when none qualifies. Doesn't reduce the candidate's free capacity.
Candidate* choosePlace(std::vector<Candidate>&, const PlacementRequest&);

/// False when the candidates' free capacity is certain not to hold a gang of that many tasks. Takes time per candidate, not per task.
bool mayHoldGang(const std::vector<Candidate>&, const PlacementRequest&, unsigned count);

/// One candidate for each of a gang's `count` tasks, or an empty vector when not all can be placed. Leaves the candidates' free
/// capacity unchanged.
std::vector<Candidate*> chooseGangPlaces(std::vector<Candidate>& candidates, const PlacementRequest&, unsigned count);

} // namespace Jobs
