#include "Jobs/Decision/JobTable.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Jobs {

namespace {

    /// Shorter ranges are recorded task by task, so that earlier versions can load the snapshots of ordinary jobs.
    constexpr unsigned shortestRange = 64;

    void removePlaced(StepRun& step, const std::string& worker)
    {
        --step.placedCount;
        if (const auto it = step.placedByWorker.find(worker); it != step.placedByWorker.end() && --it->second == 0)
            step.placedByWorker.erase(it);
    }

    void finishTask(StepRun& step, unsigned index)
    {
        const auto it = step.tasks.find(index);
        if (it == step.tasks.end())
            return;
        if (it->second.state == Task::State::Placed)
            removePlaced(step, it->second.worker);
        step.tasks.erase(it);
        ++step.doneCount;
    }

    void finishAllTasks(StepRun& step)
    {
        step.tasks.clear();
        step.placedByWorker.clear();
        step.placedCount = 0;
        step.doneCount = step.taskCount;
        step.untouchedFrom = step.taskCount;
    }

    void touchTasksBelow(Occurrence& occurrence, StepRun& step, unsigned end)
    {
        for (; step.untouchedFrom < std::min(end, step.taskCount); ++occurrence.tasksBegun)
            step.tasks.try_emplace(step.untouchedFrom++);
    }

} // namespace

std::vector<unsigned> StepRun::returnedTasks(bool isLasting) const
{
    std::vector<unsigned> indices;
    if (returnedCount() == 0)
        return indices;
    for (const auto& [index, task] : tasks) {
        if (task.state == Task::State::Waiting)
            indices.push_back(index);
    }
    if (isLasting)
        std::ranges::stable_sort(indices, {}, [this](unsigned n) { return tasks.at(n).waitingSince; });
    return indices;
}

Task* StepRun::find(unsigned index)
{
    return const_cast<Task*>(std::as_const(*this).find(index));
}

const Task* StepRun::find(unsigned index) const
{
    const auto it = tasks.find(index);
    return it == tasks.end() ? nullptr : &it->second;
}

Common::WallTime Job::dueAt(unsigned occurrence) const
{
    if (spec().repeatCount == 0)
        return accepted.acceptedAt;
    return spec().firstRun + occurrence * spec().interval;
}

StepRun* Job::stepOf(const TaskKey& key)
{
    return const_cast<StepRun*>(std::as_const(*this).stepOf(key));
}

const StepRun* Job::stepOf(const TaskKey& key) const
{
    const auto it = occurrences.find(key.occurrence);
    if (it == occurrences.end() || key.step >= it->second.steps.size())
        return nullptr;
    return &it->second.steps[key.step];
}

bool Job::isReleased(unsigned occurrence, unsigned step) const
{
    const auto it = occurrences.find(occurrence);
    if (it == occurrences.end())
        return false;
    return it->second.steps[step].isReleased();
}

void JobTable::apply(const JobRecord& record)
{
    std::visit([&](const auto& it) { applyRecord(it); }, record);
}

void JobTable::beginOccurrence(Job& job)
{
    Occurrence occurrence;
    for (const auto& step : job.spec().steps) {
        auto& run = occurrence.steps.emplace_back();
        run.taskCount = step.taskCount;
        run.unfinishedBefore = static_cast<unsigned>(step.after.size());
    }
    job.occurrences.emplace(job.occurrencesBegun++, std::move(occurrence));
}

Job* JobTable::find(const JobId& id)
{
    const auto it = m_active.find(id);
    return it == m_active.end() ? nullptr : &it->second;
}

const Job* JobTable::find(const JobId& id) const
{
    const auto it = m_active.find(id);
    return it == m_active.end() ? nullptr : &it->second;
}

Task* JobTable::findTask(const TaskKey& key)
{
    auto* job = find(key.job);
    auto* step = job ? job->stepOf(key) : nullptr;
    return step ? step->find(key.index) : nullptr;
}

void JobTable::noteTime(Common::WallTime at) { m_latestAt = std::max(m_latestAt, at); }

void JobTable::applyRecord(const JobAccepted& record)
{
    noteTime(record.acceptedAt);
    if (m_active.contains(record.job) || m_finished.contains(record.job) || m_cancelledAhead.contains(record.job))
        return;
    m_active.emplace(record.job, Job(record));
}

void JobTable::applyRecord(const JobCancelled& record)
{
    noteTime(record.at);
    if (!stateOf(record.job)) {
        auto& at = m_cancelledAhead[record.job];
        at = std::max(at, record.at);
        return;
    }
    finish(record.job, JobState::Cancelled, record.at);
}

void JobTable::applyRecord(const RunStarted& record)
{
    auto* task = reachTask(record.task);
    if (!task)
        return;
    auto* job = find(record.task.job);
    auto& step = *job->stepOf(record.task);
    if (task->state == Task::State::Placed)
        removePlaced(step, task->worker);
    ++step.placedCount;
    ++step.placedByWorker[record.worker];
    task->state = Task::State::Placed;
    task->lastRun = std::max(task->lastRun, record.run);
    task->worker = record.worker;
    // A snapshot isn't in order of time, but its writer would have noticed a restart of the worker before it.
    task->placedAfter = m_latestAt;
    job->state = JobState::Running;
    ++job->runs;
}

void JobTable::applyRecord(const RunEnded& record)
{
    noteTime(record.at);
    auto* task = reachTask(record.task);
    if (!task)
        return;
    auto* job = find(record.task.job);
    job->state = JobState::Running;
    // A lost run may never have begun, but one of the job's runs must have written the checkpoint.
    job->hasStarted = job->hasStarted || record.how != RunEnd::Lost || !record.checkpoint.empty();
    endTask(*job, *job->stepOf(record.task), *task, record);
}

void JobTable::endTask(Job& job, StepRun& step, Task& task, const RunEnded& record)
{
    const auto& spec = job.spec().steps[record.task.step];
    task.lastRun = std::max(task.lastRun, record.run);
    if (!record.checkpoint.empty())
        task.checkpoint = record.checkpoint;
    if (task.state == Task::State::Placed) {
        removePlaced(step, task.worker);
        task.state = Task::State::Waiting;
        task.worker.clear();
        task.waitingSince = record.at;
    }
    if (record.how == RunEnd::Done && !spec.isLasting) {
        // When one member of a gang is done, the whole gang is.
        if (spec.isGang)
            finishAllTasks(step);
        else
            finishTask(step, record.task.index);
        if (step.isDone())
            finishStep(job, record.task, record.at);
    } else if (record.how == RunEnd::Failed && !spec.isLasting) {
        failTask(job, step, task, record);
    }
}

void JobTable::failTask(Job& job, StepRun& step, Task& task, const RunEnded& record)
{
    const bool isGang = job.spec().steps[record.task.step].isGang;
    // The members share the number of their run. Several of them may fail in it.
    if (isGang && record.run <= step.lastFailedRun)
        return;
    if (isGang)
        step.lastFailedRun = record.run;
    const unsigned failures = isGang ? ++step.gangFailures : ++task.failures;
    if (failures >= job.accepted.maximumAttempts)
        finish(record.task.job, JobState::Failed, record.at);
}

void JobTable::finishStep(Job& job, const TaskKey& key, Common::WallTime at)
{
    auto& occurrence = job.occurrences.at(key.occurrence);
    for (std::size_t later = key.step + 1; later < occurrence.steps.size(); ++later)
        occurrence.steps[later].unfinishedBefore -= static_cast<unsigned>(std::ranges::count(job.spec().steps[later].after, key.step));
    if (++occurrence.stepsDone < occurrence.steps.size())
        return;
    job.occurrences.erase(key.occurrence);
    finishOccurrences(job, 1, at);
}

void JobTable::finishOccurrences(Job& job, unsigned count, Common::WallTime at)
{
    job.occurrencesDone += count;
    if (job.occurrencesDone == job.occurrenceCount())
        finish(job.accepted.job, JobState::Completed, at);
}

void JobTable::finish(const JobId& id, JobState state, Common::WallTime at)
{
    const auto it = m_active.find(id);
    if (it == m_active.end())
        return;
    m_finished[id] = { it->second.accepted.queue, state, at };
    m_active.erase(it);
}

void JobTable::applyRecord(const JobFinished& record)
{
    noteTime(record.at);
    m_active.erase(record.job);
    m_finished[record.job] = { record.queue, record.state, record.at };
}

Task* JobTable::reachTask(const TaskKey& key)
{
    if (auto* job = find(key.job)) {
        while (job->occurrencesBegun <= key.occurrence && job->occurrencesBegun < job->occurrenceCount())
            beginOccurrence(*job);
    }
    auto* job = find(key.job);
    auto* step = job ? job->stepOf(key) : nullptr;
    if (!step || key.index >= step->taskCount)
        return nullptr;
    touchTasksBelow(job->occurrences.at(key.occurrence), *step, key.index + 1);
    return step->find(key.index);
}

void JobTable::applyRecord(const TasksDone& record)
{
    const auto& key = record.first;
    if (!reachTask(key))
        return;
    auto& job = *find(key.job);
    auto& step = *job.stepOf(key);
    job.state = JobState::Running;
    job.hasStarted = true;
    const auto end = std::min<std::uint64_t>(std::uint64_t { key.index } + record.count, step.taskCount);
    for (auto index = key.index; index < end; ++index) {
        touchTasksBelow(job.occurrences.at(key.occurrence), step, index + 1);
        finishTask(step, index);
    }
    if (step.isDone())
        finishStep(job, key, {});
}

void JobTable::applyRecord(const OccurrencesDone& record)
{
    auto* job = find(record.job);
    if (!job)
        return;
    const auto end = static_cast<unsigned>(std::min<std::uint64_t>(std::uint64_t { record.first } + record.count, job->occurrenceCount()));
    while (job->occurrencesBegun < std::min(record.first, end))
        beginOccurrence(*job);
    unsigned done = 0;
    for (auto it = job->occurrences.lower_bound(record.first); it != job->occurrences.end() && it->first < end; ++done)
        it = job->occurrences.erase(it);
    if (job->occurrencesBegun < end) {
        done += end - job->occurrencesBegun;
        job->occurrencesBegun = end;
    }
    job->state = JobState::Running;
    job->hasStarted = true;
    finishOccurrences(*job, done, {});
}

void JobTable::applyRecord(const TaskSuspected& record)
{
    if (auto* task = reachTask(record.task))
        task->crashTally = record.tally;
}

void JobTable::applyRecord(const CrashesUnconfirmed& record)
{
    if (auto* task = reachTask(record.task))
        task->crashTally.unconfirmed = record.count;
}

void JobTable::applyRecord(const CrashCounted& record)
{
    if (auto* task = reachTask(record.task))
        task->countedRun = record.run;
}

void JobTable::forEachTask(const std::function<void(const Job&, const TaskKey&, const Task&)>& visit) const
{
    for (const auto& [id, job] : m_active) {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
                for (const auto& [index, task] : occurrence.steps[step].tasks)
                    visit(job, { id, number, step, index }, task);
            }
        }
    }
}

void JobTable::forgetFinished(Common::WallTime before)
{
    std::erase_if(m_finished, [before](const auto& it) { return it.second.at < before; });
    std::erase_if(m_cancelledAhead, [before](const auto& it) { return it.second < before; });
}

bool JobTable::hasCancelledAhead(Common::WallTime since) const
{
    return std::ranges::any_of(m_cancelledAhead, [since](const auto& it) { return it.second >= since; });
}

bool JobTable::hasJobOf(const std::string& queue, Common::WallTime finalSince) const
{
    const auto isFinal = [&](const auto& it) { return it.second.queue == queue && it.second.at >= finalSince; };
    return std::ranges::any_of(m_active, [&queue](const auto& it) { return it.second.accepted.queue == queue; }) || std::ranges::any_of(m_finished, isFinal) || hasCancelledAhead(finalSince);
}

bool JobTable::hasJobs(Common::WallTime finalSince) const
{
    return !m_active.empty() || std::ranges::any_of(m_finished, [finalSince](const auto& it) { return it.second.at >= finalSince; }) || hasCancelledAhead(finalSince);
}

namespace {

    /// Appends the records that bring a task of a new occurrence to its current state.
    void appendTask(std::vector<JobRecord>& records, const TaskKey& key, const Task& task, unsigned failures)
    {
        // Of a gang, each failure has to be that of another run.
        for (unsigned failure = failures; failure > 0; --failure)
            records.emplace_back(RunEnded { key, task.lastRun - (failure - 1), RunEnd::Failed, task.checkpoint, {} });
        if (failures == 0 && (task.lastRun > 0 || !task.checkpoint.empty()))
            records.emplace_back(RunEnded { key, task.lastRun, RunEnd::Lost, task.checkpoint, {} });
        if (task.state == Task::State::Placed)
            records.emplace_back(RunStarted { key, task.lastRun, task.worker });
        if (task.crashTally != CrashTally())
            records.emplace_back(TaskSuspected { key, task.crashTally });
    }

    void appendDoneTasks(std::vector<JobRecord>& records, TaskKey key, unsigned first, unsigned end)
    {
        key.index = first;
        if (end - first >= shortestRange) {
            records.emplace_back(TasksDone { key, end - first });
            return;
        }
        for (; key.index < end; ++key.index)
            records.emplace_back(RunEnded { key, 1, RunEnd::Done, {}, {} });
    }

    void appendStep(std::vector<JobRecord>& records, TaskKey key, const StepSpec& spec, const StepRun& run)
    {
        unsigned next = 0;
        for (const auto& [index, task] : run.tasks) {
            appendDoneTasks(records, key, next, index);
            key.index = index;
            const unsigned gangFailures = index == 0 ? run.gangFailures : 0;
            appendTask(records, key, task, spec.isGang ? gangFailures : task.failures);
            next = index + 1;
        }
        appendDoneTasks(records, key, next, run.untouchedFrom);
    }

    void appendDoneOccurrences(std::vector<JobRecord>& records, const Job& job, unsigned first, unsigned end)
    {
        const auto& id = job.accepted.job;
        if (end - first >= shortestRange) {
            records.emplace_back(OccurrencesDone { id, first, end - first });
            return;
        }
        for (; first < end; ++first) {
            for (unsigned step = 0; step < job.spec().steps.size(); ++step)
                appendDoneTasks(records, { id, first, step, 0 }, 0, job.spec().steps[step].taskCount);
        }
    }

    void appendOccurrences(std::vector<JobRecord>& records, const Job& job)
    {
        unsigned next = 0;
        for (const auto& [number, occurrence] : job.occurrences) {
            appendDoneOccurrences(records, job, next, number);
            for (unsigned step = 0; step < occurrence.steps.size(); ++step)
                appendStep(records, { job.accepted.job, number, step, 0 }, job.spec().steps[step], occurrence.steps[step]);
            next = number + 1;
        }
        appendDoneOccurrences(records, job, next, job.occurrencesBegun);
    }

} // namespace

std::vector<JobRecord> JobTable::snapshot() const
{
    std::vector<JobRecord> records;
    for (const auto& [id, it] : m_finished)
        records.emplace_back(JobFinished { id, it.queue, it.state, it.at });
    for (const auto& [id, at] : m_cancelledAhead)
        records.emplace_back(JobCancelled { id, at });
    for (const auto& [id, job] : m_active) {
        records.emplace_back(job.accepted);
        appendOccurrences(records, job);
    }
    return records;
}

const JobState* JobTable::stateOf(const JobId& id) const
{
    if (const auto* job = find(id))
        return &job->state;
    const auto it = m_finished.find(id);
    return it == m_finished.end() ? nullptr : &it->second.state;
}

const Common::WallTime* JobTable::cancelledAheadAt(const JobId& id) const
{
    const auto it = m_cancelledAhead.find(id);
    return it == m_cancelledAhead.end() ? nullptr : &it->second;
}

} // namespace Jobs
