#include "Standins/JobWorker.h"

#include <algorithm>
#include <utility>

namespace Standins {

using Ports::WorkerRefusal;
using Ports::WorkerStatus;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds maximumLease { 6000 };

} // namespace

JobWorker::JobWorker(Common::TaskLoop& loop, RunMonitor& runMonitor, Jobs::WorkerEntry workerEntry)
    : entry(std::move(workerEntry))
    , m_loop(loop)
    , m_runMonitor(runMonitor)
    , m_startedAt(loop.now())
{
}

Ports::WorkerTime JobWorker::clock() const { return std::chrono::duration_cast<milliseconds>((m_loop.now() - m_startedAt) * clockPermille / 1000) + milliseconds(1); }

bool JobWorker::acceptFence(Jobs::Fence fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void JobWorker::extendLease(Ports::WorkerTime until)
{
    const auto at = std::min(m_startedAt + until * 1000 / clockPermille, m_loop.now() + maximumLease * 1000 / clockPermille);
    if (until.count() == 0 || at <= m_leaseUntil)
        return;
    m_leaseUntil = at;
    m_loop.cancel(m_leaseTimer);
    m_leaseTimer = m_loop.after(std::chrono::ceil<milliseconds>(at - m_loop.now()), [this] {
        while (!m_runs.empty())
            end(m_runs.begin()->first, Jobs::RunEnd::Lapsed);
    });
}

void JobWorker::start(const Ports::StartOrder& order, const Ports::WorkerCallback& callback)
{
    const auto refuse = [&](WorkerRefusal refusal) { callback({ WorkerStatus::Refused, refusal, clock() }); };
    if (!acceptFence(order.fence))
        return refuse(WorkerRefusal::Fence);
    const RunKey key { order.task, order.run };
    if (m_runs.contains(key))
        return callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
    if (order.leaseUntil <= clock())
        return refuse(WorkerRefusal::LeaseExpired);
    extendLease(order.leaseUntil);
    if (startsToRefuse > 0) {
        --startsToRefuse;
        return refuse(WorkerRefusal::NoRoom);
    }
    if (order.run <= m_highestRuns[order.task])
        return refuse(WorkerRefusal::StaleRun);
    hasStarted = true;
    ++m_runMonitor.starts;
    if (m_runMonitor.running[order.task]++ > 0 || m_runMonitor.done.contains(order.task))
        ++m_runMonitor.duplicateRuns;
    auto& run = m_runs[key];
    run.startedAt = m_loop.now();
    const auto runEnd = failsAll ? Jobs::RunEnd::Failed : Jobs::RunEnd::Done;
    if (m_runMonitor.crashing.contains(order.task)) {
        run.timer = m_loop.after(crashDelay, [this, task = order.task] {
            ++m_runMonitor.crashes[task];
            m_runMonitor.crashTimes[task].push_back(m_loop.now());
            m_runMonitor.lostBeside[task].push_back(static_cast<unsigned>(m_runs.size()) - 1);
            crash();
            if (onCrashed)
                onCrashed();
        });
    } else if (!hangs)
        run.timer = m_loop.after(runTimeOf(order.task), [this, key, runEnd] { end(key, runEnd); });
    if (onStarted)
        onStarted(m_runs.size() * milliCoresEach);
    callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
}

void JobWorker::stop(const Ports::StopOrder& order, const Ports::WorkerCallback& callback)
{
    if (!acceptFence(order.fence))
        return callback({ WorkerStatus::Refused, WorkerRefusal::Fence, clock() });
    auto& highest = m_highestRuns[order.task];
    highest = std::max(highest, order.run);
    const auto it = m_runs.find({ order.task, order.run });
    if (it != m_runs.end()) {
        m_loop.cancel(it->second.timer);
        if (stopTime.count() == 0)
            end(it->first, Jobs::RunEnd::Stopped);
        else
            it->second.timer = m_loop.after(stopTime, [this, key = it->first] { end(key, Jobs::RunEnd::Stopped); });
    }
    callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
}

void JobWorker::throttle(const Ports::ThrottleOrder& order, const Ports::WorkerCallback& callback)
{
    if (!acceptFence(order.fence))
        return callback({ WorkerStatus::Refused, WorkerRefusal::Fence, clock() });
    if (const auto it = m_runs.find({ order.task, order.run }); it != m_runs.end())
        it->second.percent = order.percent;
    callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
}

unsigned JobWorker::shareOf(const Jobs::TaskKey& task) const
{
    unsigned share = 100;
    for (const auto& [key, run] : m_runs) {
        if (key.first == task)
            share = run.percent;
    }
    return share;
}

void JobWorker::end(RunKey key, Jobs::RunEnd runEnd) // NOLINT(performance-unnecessary-value-param): it may refer to the key of the element that is erased.
{
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return;
    const auto& [task, run] = key;
    m_loop.cancel(it->second.timer);
    m_ended.push_back({ ++m_lastEnd, task, run, runEnd, "" });
    m_highestRuns[task] = std::max(m_highestRuns[task], run);
    m_runs.erase(it);
    --m_runMonitor.running[task];
    answerPoll();
}

void JobWorker::poll(const Ports::PollOrder& order, const Ports::PollCallback& callback)
{
    if (!acceptFence(order.fence)) {
        callback({ { WorkerStatus::Refused, WorkerRefusal::Fence, clock() }, entry.incarnation, {}, {} });
        return;
    }
    extendLease(order.leaseUntil);
    for (const auto& it : m_ended) {
        if (it.number <= order.acknowledgedThrough && it.runEnd == Jobs::RunEnd::Done)
            m_runMonitor.done.insert(it.task);
    }
    std::erase_if(m_ended, [&](const auto& it) { return it.number <= order.acknowledgedThrough; });
    answerPoll();
    m_pendingPoll = callback;
    if (!m_ended.empty() || order.wait.count() == 0)
        answerPoll();
    else
        m_pollTimer = m_loop.after(order.wait, [this] { answerPoll(); });
}

void JobWorker::answerPoll()
{
    m_loop.cancel(m_pollTimer);
    if (const auto callback = std::exchange(m_pendingPoll, nullptr))
        callback(pollAnswer());
}

Ports::PollAnswer JobWorker::pollAnswer() const
{
    const auto listed = std::min(m_ended.size(), endsPerAnswer);
    Ports::PollAnswer answer { { WorkerStatus::Done, WorkerRefusal::None, clock() }, entry.incarnation, {}, { m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed) }, listed == endsPerAnswer };
    for (const auto& [key, run] : m_runs) {
        const auto& [task, number] = key;
        const auto fullTime = std::max(startup.count() > 0 ? startup : runTimeOf(task), milliseconds(1));
        const auto age = std::chrono::duration_cast<milliseconds>(m_loop.now() - run.startedAt);
        const auto percent = hangs ? 0U : static_cast<unsigned>(std::min<std::int64_t>(100, age * 100 / fullTime));
        answer.running.push_back({ task, number, "", percent, 0 });
    }
    return answer;
}

milliseconds JobWorker::runTimeOf(const Jobs::TaskKey& task) const
{
    const auto it = m_runMonitor.runTimes.find(task.job);
    return it == m_runMonitor.runTimes.end() ? runTime : it->second;
}

std::vector<Jobs::TaskKey> JobWorker::runningTasks() const
{
    std::vector<Jobs::TaskKey> tasks;
    tasks.reserve(m_runs.size());
    for (const auto& [key, run] : m_runs)
        tasks.push_back(key.first);
    return tasks;
}

void JobWorker::crash()
{
    isCrashed = true;
    for (auto& [key, run] : m_runs) {
        m_loop.cancel(run.timer);
        --m_runMonitor.running[key.first];
        ++m_runMonitor.crashesUnder[key.first];
    }
    m_runs.clear();
    m_ended.clear();
    m_loop.cancel(m_leaseTimer);
    if (closesConnections)
        breakConnections();
    m_pendingPoll = nullptr;
    m_loop.cancel(m_pollTimer);
}

void JobWorker::breakConnections()
{
    m_loop.cancel(m_pollTimer);
    if (const auto callback = std::exchange(m_pendingPoll, nullptr))
        callback({});
}

} // namespace Standins
