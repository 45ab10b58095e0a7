#pragma once

/// Chooses the worker of a task. Answers the load pattern of a pool that is filled by several kinds of tasks at once:
/// short tasks of many sizes pack tightly, so that wide ones find room; lasting tasks spread, so that the loss of one
/// worker or rack takes few of a step; tasks that live on unused capacity keep away from those that serve users.

#include "Jobs/Decision/Worker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// A worker with its room, which shrinks as tasks are placed in one round.
struct Candidate {
    Worker* worker = nullptr;
    Resources room;
    /// Has lasting tasks: it is rarely moved or switched off, so that others are left free for that.
    bool isAnchor = false;
};

/// The candidate that a worker is now.
Candidate candidateOf(Worker&);

/// What a placement has to respect beside room.
struct PlacementRequest {
    const StepSpec* step = nullptr;
    /// Tasks of the step (of one occurrence) by worker, for maximumPerWorker and spreading.
    const std::map<std::string, unsigned>* placedByWorker = nullptr;
    /// Rack that the other tasks of the step run on, when they should share one; empty for any.
    std::string preferredRack {};
    /// False keeps tasks off racks that don't hold their data.
    bool mayRunRemote = true;
    /// Tells whether a worker may run the step at all (advice); empty for all.
    std::function<bool(const Worker&)> isAllowed {};

    /// True when nothing but room can keep the task off a worker.
    bool needsRoomOnly() const;
};

/// Resources that a task of the step occupies; a filler's cores aren't reserved.
Resources reservedBy(const StepSpec&);

/// The best candidate for one task, or null when none has room.
Candidate* choosePlace(std::vector<Candidate>&, const PlacementRequest&);

/// Places for all tasks of a gang at once, or nothing. `candidates` keep their room.
std::vector<Candidate*> chooseGangPlaces(std::vector<Candidate>& candidates, const PlacementRequest&, unsigned count);

} // namespace Jobs
