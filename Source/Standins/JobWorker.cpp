#include "Standins/JobWorker.h"

#include <algorithm>
#include <utility>

namespace Standins {

using Ports::WorkerRefusal;
using Ports::WorkerStatus;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds longestLease { 6000 };

} // namespace

JobWorker::JobWorker(Common::TaskLoop& loop, RunMonitor& witness, Jobs::WorkerEntry workerEntry)
    : entry(std::move(workerEntry))
    , m_loop(loop)
    , m_witness(witness)
    , m_bornAt(loop.now())
{
}

Ports::WorkerTime JobWorker::clock() const { return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_bornAt) + milliseconds(1); }

bool JobWorker::accepts(Jobs::Fence fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void JobWorker::extend(Ports::WorkerTime until)
{
    const auto at = std::min(m_bornAt + until, m_loop.now() + longestLease);
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
    if (!accepts(order.fence))
        return refuse(WorkerRefusal::Fence);
    const auto running = m_runs.find(order.task);
    if (running != m_runs.end() && running->second.run == order.run)
        return callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
    if (order.leaseUntil <= clock())
        return refuse(WorkerRefusal::LeasePassed);
    extend(order.leaseUntil);
    if (startsToRefuse > 0) {
        --startsToRefuse;
        return refuse(WorkerRefusal::NoRoom);
    }
    if (running != m_runs.end() || order.run <= m_highest[order.task])
        return refuse(WorkerRefusal::OldRun);
    ++m_witness.starts;
    if (m_witness.running[order.task]++ > 0 || m_witness.done.contains(order.task))
        ++m_witness.duplicateRuns;
    auto& run = m_runs[order.task];
    run.run = order.run;
    run.startedAt = m_loop.now();
    const auto how = failsAll ? Jobs::RunEnd::Failed : Jobs::RunEnd::Done;
    if (!hangs)
        run.timer = m_loop.after(runTime, [this, task = order.task, how] { end(task, how); });
    callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
}

void JobWorker::stop(const Ports::StopOrder& order, const Ports::WorkerCallback& callback)
{
    if (!accepts(order.fence))
        return callback({ WorkerStatus::Refused, WorkerRefusal::Fence, clock() });
    auto& highest = m_highest[order.task];
    highest = std::max(highest, order.run);
    const auto it = m_runs.find(order.task);
    if (it != m_runs.end() && it->second.run == order.run)
        end(order.task, Jobs::RunEnd::Stopped);
    callback({ WorkerStatus::Done, WorkerRefusal::None, clock() });
}

void JobWorker::end(Jobs::TaskKey task, Jobs::RunEnd how) // NOLINT(performance-unnecessary-value-param): it may be a key of what is erased.
{
    const auto it = m_runs.find(task);
    if (it == m_runs.end())
        return;
    m_loop.cancel(it->second.timer);
    m_ended.push_back({ ++m_lastEnd, task, it->second.run, how, "" });
    m_highest[task] = std::max(m_highest[task], it->second.run);
    m_runs.erase(it);
    --m_witness.running[task];
    answerLook();
}

void JobWorker::look(const Ports::LookOrder& order, const Ports::LookCallback& callback)
{
    if (!accepts(order.fence)) {
        callback({ { WorkerStatus::Refused, WorkerRefusal::Fence, clock() }, entry.incarnation, {}, {} });
        return;
    }
    extend(order.leaseUntil);
    for (const auto& it : m_ended) {
        if (it.number <= order.endsTaken && it.how == Jobs::RunEnd::Done)
            m_witness.done.insert(it.task);
    }
    std::erase_if(m_ended, [&](const auto& it) { return it.number <= order.endsTaken; });
    answerLook();
    m_waitingLook = callback;
    if (!m_ended.empty() || order.wait.count() == 0)
        answerLook();
    else
        m_lookTimer = m_loop.after(order.wait, [this] { answerLook(); });
}

void JobWorker::answerLook()
{
    m_loop.cancel(m_lookTimer);
    if (const auto callback = std::exchange(m_waitingLook, nullptr))
        callback(lookAnswer());
}

Ports::LookAnswer JobWorker::lookAnswer() const
{
    Ports::LookAnswer answer { { WorkerStatus::Done, WorkerRefusal::None, clock() }, entry.incarnation, {}, m_ended };
    const auto whole = std::max(startup.count() > 0 ? startup : runTime, milliseconds(1));
    for (const auto& [task, run] : m_runs) {
        const auto age = std::chrono::duration_cast<milliseconds>(m_loop.now() - run.startedAt);
        const auto percent = hangs ? 0U : static_cast<unsigned>(std::min<std::int64_t>(100, age * 100 / whole));
        answer.running.push_back({ task, run.run, "", percent, 0 });
    }
    return answer;
}

void JobWorker::crash()
{
    isCrashed = true;
    for (auto& [task, run] : m_runs) {
        m_loop.cancel(run.timer);
        --m_witness.running[task];
    }
    m_runs.clear();
    m_ended.clear();
    m_waitingLook = nullptr;
    m_loop.cancel(m_lookTimer);
    m_loop.cancel(m_leaseTimer);
}

} // namespace Standins
