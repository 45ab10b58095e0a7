#include "WaitingTaskDay.h"

#include "Jobs/Runtime/Events.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <sstream>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;
using std::chrono::milliseconds;

namespace {

/// What a task is judged by, by the platform's rules.
constexpr milliseconds judgedFor { 3000 };
/// Of a lasting task, from its last run on.
constexpr milliseconds lastingRestartTime { 6000 };
/// A worker counts as room only once it has been up for so long.
constexpr milliseconds workerSettleTime { 1000 };
constexpr milliseconds sampleInterval { 50 };
constexpr milliseconds callInterval { 500 };
constexpr milliseconds step { 50 };
constexpr milliseconds lastingRunTime { 600000 };
constexpr unsigned permille = 1000;
/// The fewest crashes under one of its tasks after which a job may fail for them.
constexpr unsigned fewestCrashes = 2;

} // namespace

WaitingTaskDay::WaitingTaskDay(const WaitingTaskDayOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_fleet(2 + draw(2), 0)
    , m_coresPerWorker(4U << draw(3))
{
    drawFleet();
    m_fleet.settle();
}

void WaitingTaskDay::drawFleet()
{
    m_fleet.keepsWorkerIds = draw(2) == 0;
    m_fleet.closesConnections = draw(3) > 0;
    m_fleet.downTime = drawTime(100, 4500);
    constexpr std::array delays { 1, 10, 10, 10, 40, 80, 150, 400 };
    m_crashDelay = milliseconds(delays.at(draw(delays.size())));
    constexpr std::array shares { 0U, 50U, 200U, 400U, 800U };
    m_crashingPermille = shares.at(draw(shares.size()));
    m_crashingLastingPermille = shares.at(draw(shares.size()));
    m_jobsPerSecond = 1 + draw(6);
    m_faultsPerTenSeconds = draw(12);
    m_fleet.setRunTime(drawTime(200, 1200));
    m_fleet.onWorkerAdded = [this](FakeWorker& worker) {
        worker.crashDelay = m_crashDelay;
        worker.startup = 300ms;
        m_upSince[worker.entry.id] = m_fleet.loop.now();
    };
    const auto workers = 1 + draw(6);
    for (unsigned n = 0; n < workers; ++n) {
        m_fleet.addWorker("w" + std::to_string(n), "m" + std::to_string(n), m_coresPerWorker);
        m_fleet.publishWorker("w" + std::to_string(n));
    }
}

std::string WaitingTaskDay::description() const
{
    std::ostringstream text;
    text << m_fleet.machines.size() << " workers of " << m_coresPerWorker << " cores, " << m_fleet.hosts.size() << " hosts, ids " << (m_fleet.keepsWorkerIds ? "kept" : "new") << ", connections "
         << (m_fleet.closesConnections ? "closed" : "silent") << ", down " << m_fleet.downTime.count() << " ms, crash after " << m_crashDelay.count() << " ms, crashing " << m_crashingPermille << " and " << m_crashingLastingPermille
         << " permille, " << m_jobsPerSecond << " jobs/s, " << m_faultsPerTenSeconds << " faults in 10 s, " << m_fleet.workerCrashes << " crashes, " << m_accepted.size() << " accepted, " << unfinishedJobs() << " unfinished, "
         << wronglyFailed() << " wrongly failed, " << givenUpEarly().size() << " given up early, " << lastingGivenUp().size() << " lasting given up, " << m_fleet.runMonitor.duplicateRuns << " twice";
    return text.str();
}

void WaitingTaskDay::play()
{
    auto sinceStates = 0ms;
    const auto end = m_options.impairedFor + m_options.calmFor + judgedFor + 1000ms;
    for (auto time = 0ms; time < end; time += step) {
        if (time < m_options.impairedFor) {
            submitSome();
            if (draw(10000 / static_cast<unsigned>(step.count())) < m_faultsPerTenSeconds)
                injectFault();
        } else if (time == m_options.impairedFor) {
            endImpairments();
        }
        sinceStates += step;
        if (sinceStates >= callInterval) {
            askForStates();
            sinceStates = 0ms;
        }
        if (m_options.logsTime)
            writeEvent("search", { "time", std::to_string(time.count()), {} });
        m_fleet.runFor(step);
        if (time >= m_options.impairedFor + m_options.calmFor)
            sampleWaits(sampleInterval);
    }
}

void WaitingTaskDay::submitSome()
{
    if (draw(permille) >= m_jobsPerSecond * static_cast<unsigned>(step.count()))
        return;
    const bool isLasting = draw(12) == 0;
    const auto most = static_cast<std::uint64_t>(m_coresPerWorker) * 1000 / 2;
    const std::uint64_t milliCores = 200 + draw(static_cast<unsigned>(most));
    if (isLasting) {
        auto spec = longRunningStep(1 + draw(6));
        spec.steps.front().need.milliCores = 100 + milliCores / 8;
        submit(std::move(spec), m_crashingLastingPermille);
        return;
    }
    auto spec = oneStep(1 + draw(6), m_fleet.workers.begin()->second->runTime, milliCores);
    if (draw(3) == 0) {
        spec.steps.push_back(spec.steps.front());
        spec.steps.back().after = { 0 };
    }
    submit(std::move(spec), m_crashingPermille);
}

void WaitingTaskDay::submit(JobSpec spec, unsigned crashingPermille)
{
    const auto id = jobId(++m_lastJob);
    const bool isLasting = spec.steps.front().isLasting;
    if (isLasting)
        m_fleet.runMonitor.runTimes[id] = lastingRunTime;
    if (draw(permille) < crashingPermille) {
        const auto n = draw(static_cast<unsigned>(spec.steps.size()));
        m_fleet.runMonitor.crashing.insert({ id, 0, n, draw(spec.steps[n].taskCount) });
    }
    m_submitted[id] = { spec };
    call(JobVerb::Submit, id, std::move(spec), [this, id](const Ports::JobAnswer& answer) {
        if (answer.outcome == JobOutcome::Accepted)
            m_accepted.insert(id);
    });
    if (draw(isLasting ? 6 : 30) != 0)
        return;
    m_fleet.loop.after(drawTime(100, 4000), [this, id] {
        call(JobVerb::Cancel, id, {}, [this, id](const Ports::JobAnswer& answer) {
            if (answer.outcome == JobOutcome::Cancelled)
                m_submitted.at(id).state = JobState::Cancelled;
        });
    });
}

void WaitingTaskDay::call(JobVerb verb, const std::string& id, std::optional<JobSpec> spec, Ports::JobReply reply)
{
    if (m_fleet.hosts.empty())
        return;
    Ports::JobCall it;
    it.verb = verb;
    it.host = "desk.example";
    it.path = "/bookings/" + id;
    it.callerTimeout = 3s;
    it.spec = std::move(spec);
    m_fleet.hosts.at(drawName(m_fleet.hosts))->node->onJobCall(std::move(it), std::move(reply));
}

void WaitingTaskDay::askForStates()
{
    for (const auto& id : m_accepted) {
        if (isFinal(m_submitted.at(id).state))
            continue;
        call(JobVerb::Show, id, {}, [this, id](const Ports::JobAnswer& answer) {
            if (answer.outcome == JobOutcome::Shown)
                m_submitted.at(id).state = answer.state;
        });
    }
}

void WaitingTaskDay::injectFault()
{
    constexpr std::array<Fault, 15> faults { &WaitingTaskDay::crashWorker, &WaitingTaskDay::crashWorker, &WaitingTaskDay::crashWorkers, &WaitingTaskDay::cutWorker, &WaitingTaskDay::cutWorkers, &WaitingTaskDay::killOwner, &WaitingTaskDay::killOwner, &WaitingTaskDay::pauseOwner, &WaitingTaskDay::cutOwnerFromStore, &WaitingTaskDay::takeStoreDown, &WaitingTaskDay::loseAnswers, &WaitingTaskDay::delayStarts, &WaitingTaskDay::refuseStarts, &WaitingTaskDay::failMachineLists, &WaitingTaskDay::unpublishWorkers };
    (this->*faults.at(draw(faults.size())))();
}

void WaitingTaskDay::crashWorker()
{
    const auto id = drawName(m_fleet.workers);
    if (!m_fleet.workers.at(id)->isCrashed)
        m_fleet.crashWorker(id);
}

void WaitingTaskDay::crashWorkers()
{
    for (unsigned n = 0; n < 4; ++n)
        crashWorker();
}

void WaitingTaskDay::cutWorker()
{
    auto worker = m_fleet.workers.at(drawName(m_fleet.workers));
    worker->isPartitioned = true;
    m_fleet.loop.after(drawTime(100, 8000), [worker] { worker->isPartitioned = false; });
}

void WaitingTaskDay::cutWorkers()
{
    for (unsigned n = 0; n < 3; ++n)
        cutWorker();
}

void WaitingTaskDay::killOwner()
{
    const auto owner = m_fleet.ownerOf("desk");
    if (owner.empty() || m_fleet.hosts.size() < 2)
        return;
    m_fleet.killHost(owner);
    m_fleet.loop.after(drawTime(200, 3000), [this, owner] { m_fleet.addHost(owner); });
}

void WaitingTaskDay::pauseOwner()
{
    const auto owner = m_fleet.ownerOf("desk");
    if (owner.empty())
        return;
    m_fleet.pauseHost(owner);
    const auto order = static_cast<WakeOrder>(draw(3));
    m_fleet.loop.after(drawTime(100, 4000), [this, owner, order] {
        if (m_fleet.hosts.contains(owner))
            m_fleet.resumeHost(owner, order);
    });
}

void WaitingTaskDay::cutOwnerFromStore()
{
    const auto owner = m_fleet.ownerOf("desk");
    if (owner.empty())
        return;
    m_fleet.store.cutHosts.insert(owner);
    m_fleet.loop.after(drawTime(100, 4000), [this, owner] { m_fleet.store.cutHosts.erase(owner); });
}

void WaitingTaskDay::takeStoreDown()
{
    if (m_fleet.store.isDown)
        return;
    if (draw(2) == 0) {
        m_fleet.store.pauseLeases();
        m_fleet.loop.after(drawTime(200, 5000), [this] { m_fleet.store.resume(); });
        return;
    }
    m_fleet.store.isDown = true;
    m_fleet.loop.after(drawTime(200, 5000), [this] { m_fleet.store.isDown = false; });
}

void WaitingTaskDay::loseAnswers()
{
    m_fleet.store.answersToLose = draw(6);
    m_fleet.store.lateEffect = milliseconds(draw(800));
    for (const auto& [name, host] : m_fleet.hosts)
        host->workers->startAnswersToLose = draw(6);
}

void WaitingTaskDay::delayStarts()
{
    for (const auto& [name, host] : m_fleet.hosts) {
        host->workers->startsToDelay = draw(6);
        host->workers->startsToLose = draw(4);
    }
}

void WaitingTaskDay::refuseStarts()
{
    for (const auto& [name, host] : m_fleet.hosts)
        host->workers->callsToRefuse = draw(6);
    m_fleet.workers.at(drawName(m_fleet.workers))->startsToRefuse = draw(5);
}

void WaitingTaskDay::failMachineLists()
{
    m_fleet.failsMachineLists = true;
    m_fleet.loop.after(drawTime(500, 6000), [this] { m_fleet.failsMachineLists = false; });
}

void WaitingTaskDay::unpublishWorkers()
{
    for (unsigned n = 0; n < 1 + draw(3); ++n) {
        const auto id = drawName(m_fleet.workers);
        m_fleet.unpublishWorker(id);
        m_fleet.loop.after(drawTime(100, 4000), [this, id] {
            if (const auto it = m_fleet.workers.find(id); it != m_fleet.workers.end() && !it->second->isCrashed)
                m_fleet.publishWorker(id);
        });
    }
}

void WaitingTaskDay::endImpairments()
{
    if (m_fleet.store.isDown)
        m_fleet.store.resume();
    m_fleet.store.isDown = false;
    m_fleet.store.answersToLose = 0;
    m_fleet.store.lateEffect = 0ms;
    m_fleet.store.cutHosts.clear();
    m_fleet.failsMachineLists = false;
    for (const auto& [name, host] : m_fleet.hosts) {
        host->workers->startsToDelay = 0;
        host->workers->startsToLose = 0;
        host->workers->startAnswersToLose = 0;
        host->workers->callsToRefuse = 0;
        if (host->loop->isPaused())
            m_fleet.resumeHost(name);
    }
    for (const auto& [id, worker] : m_fleet.workers) {
        worker->isPartitioned = false;
        worker->startsToRefuse = 0;
    }
}

Resources WaitingTaskDay::usedOn(const FakeWorker& worker) const
{
    Resources used;
    for (const auto& task : worker.runningTasks())
        used += m_submitted.at(task.job).spec.steps[task.step].need;
    return used;
}

void WaitingTaskDay::addWait(const TaskKey& task, bool isWaiting, milliseconds interval, LongestWait& longest)
{
    auto& wait = m_waits[task];
    wait.time = isWaiting ? wait.time + interval : 0ms;
    if (wait.time > longest.time)
        longest = { wait.time, task };
}

void WaitingTaskDay::sampleWaits(milliseconds interval)
{
    const auto now = m_fleet.loop.now();
    std::vector<Resources> rooms;
    std::uint64_t usedCores = 0;
    std::uint64_t allCores = 0;
    for (const auto& [id, worker] : m_fleet.workers) {
        const bool isUp = !worker->isCrashed && now - m_upSince[id] >= workerSettleTime && m_fleet.machines.at(worker->entry.machine).worker == id;
        if (!isUp)
            continue;
        const auto used = usedOn(*worker);
        auto room = worker->entry.capacity;
        room -= used;
        rooms.push_back(room);
        usedCores += used.milliCores;
        allCores += worker->entry.capacity.milliCores;
    }
    const auto fitsTwice = [&rooms](const Resources& need) {
        std::uint64_t places = 0;
        for (const auto& it : rooms)
            places += it.milliCores / std::max<std::uint64_t>(1, need.milliCores);
        return places >= 2;
    };
    for (const auto& id : m_accepted) {
        const auto& job = m_submitted.at(id);
        const bool isFinished = isFinal(job.state);
        const auto isRunning = [this](const TaskKey& key) {
            const auto it = m_fleet.runMonitor.running.find(key);
            return it != m_fleet.runMonitor.running.end() && it->second > 0;
        };
        bool hasRun = false;
        for (unsigned n = 0; n < job.spec.steps.size(); ++n) {
            const auto& spec = job.spec.steps[n];
            for (unsigned index = 0; index < spec.taskCount; ++index) {
                const TaskKey key { id, 0, n, index };
                hasRun = hasRun || isRunning(key);
                if (!spec.isLasting)
                    continue;
                auto& latestRun = m_waits[key].latestRun;
                // A run may have crashed its worker between two samples.
                const auto crashes = m_fleet.runMonitor.crashTimes.find(key);
                if (crashes != m_fleet.runMonitor.crashTimes.end() && !crashes->second.empty() && now - crashes->second.back() < interval)
                    latestRun = std::max(latestRun, crashes->second.back());
                if (isRunning(key))
                    latestRun = now;
                const bool isDue = now - latestRun > lastingRestartTime;
                addWait(key, !isFinished && isDue && !isRunning(key) && fitsTwice(spec.need), interval, m_longestLastingWait);
            }
        }
        const auto& need = job.spec.steps.front().need;
        if (!job.spec.steps.front().isLasting)
            addWait({ id, 0, 0, 0 }, !isFinished && !hasRun && usedCores * 2 < allCores && fitsTwice(need), interval, m_longestWait);
    }
}

std::vector<JobId> WaitingTaskDay::failedJobs() const
{
    std::vector<JobId> jobs;
    std::ranges::copy_if(m_accepted, std::back_inserter(jobs), [this](const auto& id) { return m_submitted.at(id).state == JobState::Failed; });
    return jobs;
}

bool WaitingTaskDay::hasCrashingTask(const JobId& id) const
{
    return std::ranges::any_of(m_fleet.runMonitor.crashing, [&id](const auto& it) { return it.job == id; });
}

unsigned WaitingTaskDay::wronglyFailed() const
{
    return static_cast<unsigned>(std::ranges::count_if(failedJobs(), [this](const auto& id) { return !hasCrashingTask(id); }));
}

std::vector<JobId> WaitingTaskDay::givenUpEarly() const
{
    auto jobs = failedJobs();
    std::erase_if(jobs, [this](const auto& id) {
        return std::ranges::any_of(m_fleet.runMonitor.crashesUnder, [&id](const auto& it) { return it.first.job == id && it.second >= fewestCrashes; });
    });
    return jobs;
}

std::vector<JobId> WaitingTaskDay::lastingGivenUp() const
{
    auto jobs = failedJobs();
    std::erase_if(jobs, [this](const auto& id) { return !m_submitted.at(id).spec.steps.front().isLasting || hasCrashingTask(id); });
    return jobs;
}

std::size_t WaitingTaskDay::unfinishedJobs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_accepted, [this](const auto& id) {
        const auto& it = m_submitted.at(id);
        return !isFinal(it.state) && !it.spec.steps.front().isLasting;
    }));
}
