#include "Jobs/Decision/Placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Jobs {

namespace {

    unsigned countOf(const std::map<std::string, unsigned>& counts, const std::string& worker)
    {
        const auto it = counts.find(worker);
        return it == counts.end() ? 0 : it->second;
    }

    bool meetsConstraints(const Worker& worker, const PlacementRequest& request)
    {
        const auto& step = *request.step;
        if (!step.requiredLabel.empty() && !worker.entry.hasLabel(step.requiredLabel))
            return false;
        if (step.maximumPerWorker > 0 && countOf(*request.placedByWorker, worker.entry.id) >= step.maximumPerWorker)
            return false;
        if (!request.mayRunRemote && !step.dataRack.empty() && worker.entry.rack != step.dataRack)
            return false;
        return !request.isAllowed || request.isAllowed(worker);
    }

    constexpr std::size_t maximumRunsPerWorker = 1000; ///< Tasks may need no capacity, but each run takes memory here and time in each poll.

    bool isSuitable(const Candidate& candidate, const PlacementRequest& request, const SuspectRule& rule)
    {
        return !candidate.isSpaced && candidate.worker->runs.size() < maximumRunsPerWorker && rule.admits(candidate.openings(), candidate.worker->runs.empty()) && reservedBy(*request.step).fitsInto(candidate.room) && meetsConstraints(*candidate.worker, request);
    }

    /// Number of runs that would slow down a task of the step, or be slowed down by it.
    unsigned conflictsOn(const Worker& worker, const StepSpec& step)
    {
        unsigned conflicts = 0;
        for (const auto& [key, it] : worker.runs) {
            const bool harmsUsers = step.isFiller && it.targetLatency > milliseconds(0);
            const bool isHarmed = step.targetLatency > milliseconds(0) && it.isFiller;
            conflicts += harmsUsers || isHarmed ? 1 : 0;
        }
        return conflicts;
    }

    /// Compared from the first element on; lower is better.
    using Score = std::tuple<bool, bool, bool, unsigned, bool, std::int64_t>;

    Score scoreOf(const Candidate& candidate, const PlacementRequest& request)
    {
        constexpr unsigned crowdingThreshold = 2; // Tasks of a lasting step that may share a worker, so that its loss takes no more.
        const auto& step = *request.step;
        const auto& worker = *candidate.worker;
        const bool isUnreliable = request.needsReliable && candidate.crashesByItself;
        const bool isRemote = !step.dataRack.empty() && worker.entry.rack != step.dataRack;
        const bool isOffPreferredRack = !request.preferredRack.empty() && worker.entry.rack != request.preferredRack;
        const auto room = static_cast<std::int64_t>(candidate.room.milliCores);
        if (request.suspicion != Suspicion::None)
            return { isUnreliable, isRemote, isOffPreferredRack, worker.failuresInRow, candidate.hasLastingTasks, static_cast<std::int64_t>(worker.runs.size()) };
        if (!step.isLasting && !step.isFiller)
            return { isUnreliable, isRemote, isOffPreferredRack, worker.failuresInRow, !candidate.hasLastingTasks, room };
        const auto count = countOf(*request.placedByWorker, worker.entry.id);
        const auto crowding = count >= crowdingThreshold ? count : 0;
        return { isUnreliable, isRemote, isOffPreferredRack, conflictsOn(worker, step) + crowding, !candidate.hasLastingTasks, -room };
    }

} // namespace

Resources reservedBy(const StepSpec& step)
{
    Resources need = step.need;
    if (step.isFiller)
        need.milliCores = 0;
    return need;
}

bool couldHold(const Worker& worker, const Resources& need)
{
    auto room = worker.entry.capacity;
    for (const auto& [key, run] : worker.runs) {
        if (run.isLasting)
            room -= run.reserved;
    }
    return need.fitsInto(room);
}

bool couldRunOn(const Worker& worker, const PlacementRequest& request)
{
    return couldHold(worker, reservedBy(*request.step)) && meetsConstraints(worker, request);
}

Candidate candidateOf(Worker& worker)
{
    return { &worker, worker.room(), std::ranges::any_of(worker.runs, [](const auto& it) { return it.second.isLasting; }) };
}

bool PlacementRequest::needsRoomOnly() const
{
    return step->requiredLabel.empty() && step->maximumPerWorker == 0 && (mayRunRemote || step->dataRack.empty()) && !isAllowed;
}

WorkerRun makeRun(const StepSpec& step, RunNumber number, Common::Instant now)
{
    WorkerRun run;
    run.run = number;
    run.reserved = reservedBy(step);
    run.isLasting = step.isLasting;
    run.isFiller = step.isFiller;
    run.targetLatency = step.targetLatency;
    run.estimate = step.estimate;
    run.image = step.image;
    run.orderedAt = now;
    run.progressAt = now;
    return run;
}

Candidate* choosePlace(std::vector<Candidate>& candidates, const PlacementRequest& request)
{
    Candidate* best = nullptr;
    Score bestScore {};
    const auto& rule = ruleOf(request.suspicion);
    for (auto& it : candidates) {
        if (!isSuitable(it, request, rule))
            continue;
        const auto score = scoreOf(it, request);
        if (best && score >= bestScore)
            continue;
        best = &it;
        bestScore = score;
    }
    return best;
}

bool mayHoldGang(const std::vector<Candidate>& candidates, const PlacementRequest& request, unsigned count)
{
    const auto need = reservedBy(*request.step);
    const auto& rule = ruleOf(request.suspicion);
    const auto fitting = [](std::uint64_t each, std::uint64_t room, std::uint64_t limit) { return each == 0 ? limit : std::min(limit, room / each); };
    const std::uint64_t limit = request.step->maximumPerWorker > 0 ? std::min(request.step->maximumPerWorker, count) : count;
    std::uint64_t held = 0;
    for (const auto& it : candidates) {
        if (!isSuitable(it, request, rule))
            continue;
        const auto byCores = fitting(need.milliCores, it.room.milliCores, limit);
        const auto byMemory = fitting(need.memoryMb, it.room.memoryMb, byCores);
        held += fitting(need.accelerators, it.room.accelerators, byMemory);
    }
    return held >= count;
}

namespace {

    std::vector<Candidate*> tryGang(std::vector<Candidate>& candidates, PlacementRequest request, unsigned count)
    {
        auto counts = *request.placedByWorker;
        request.placedByWorker = &counts;
        std::vector<Resources> rooms;
        rooms.reserve(candidates.size());
        for (const auto& it : candidates)
            rooms.push_back(it.room);
        std::vector<Candidate*> places;
        while (places.size() < count) {
            auto* place = choosePlace(candidates, request);
            if (!place)
                break;
            place->room -= reservedBy(*request.step);
            ++counts[place->worker->entry.id];
            places.push_back(place);
        }
        for (std::size_t n = 0; n < candidates.size(); ++n)
            candidates[n].room = rooms[n];
        if (places.size() < count)
            places.clear();
        return places;
    }

} // namespace

std::vector<Candidate*> chooseGangPlaces(std::vector<Candidate>& candidates, const PlacementRequest& request, unsigned count)
{
    if (!request.step->sameRack)
        return tryGang(candidates, request, count);
    std::set<std::string> racks;
    for (const auto& it : candidates)
        racks.insert(it.worker->entry.rack);
    for (const auto& rack : racks) {
        std::vector<Candidate> inRack;
        std::ranges::copy_if(candidates, std::back_inserter(inRack), [&rack](const auto& it) { return it.worker->entry.rack == rack; });
        const auto places = tryGang(inRack, request, count);
        if (places.empty())
            continue;
        std::vector<Candidate*> found;
        found.reserve(places.size());
        for (const auto* place : places)
            found.push_back(&*std::ranges::find(candidates, place->worker, &Candidate::worker));
        return found;
    }
    return tryGang(candidates, request, count);
}

} // namespace Jobs
