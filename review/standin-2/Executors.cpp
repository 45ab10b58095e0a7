#include "Executors.h"

#include <algorithm>
#include <utility>

namespace Review {

namespace {

    constexpr milliseconds timerInterval { 5 };
    constexpr milliseconds heartbeatInterval { 1500 };
    constexpr milliseconds longestLease { 6000 };
    constexpr milliseconds stopTime { 100 }; ///< Less than the platform's stop timeout.
    constexpr milliseconds greyTime { 50 }; ///< After which a run on a grey executor has failed.
    constexpr milliseconds gangTimeout { 3000 };
    constexpr std::size_t endsPerAnswer = 500;
    constexpr std::uint64_t memoryMb = 65536;

    std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    /// "job.step" of a task's name, "job.occurrence.step.index".
    std::string stepOf(const std::string& task)
    {
        const auto first = task.find('.');
        const auto second = task.find('.', first + 1);
        return task.substr(0, first) + task.substr(second, task.rfind('.') - second);
    }

} // namespace

Executors::Executors(Store& store, Record& record)
    : m_store(store)
    , m_record(record)
    , m_machines(HttpServer::listen([this](const HttpRequest& it) { return serveMachines(it); }))
    , m_timers([this] { runTimers(); })
{
}

Executors::~Executors()
{
    {
        const std::lock_guard lock(m_lock);
        m_isClosed = true;
    }
    m_changed.notify_all();
    m_timers.join();
    m_machines->close();
    for (auto& [id, it] : m_executors) {
        if (it.server)
            it.server->close();
    }
}

void Executors::add(const std::string& service, const std::string& id, std::uint64_t milliCores)
{
    const std::lock_guard lock(m_lock);
    auto& executor = m_executors[id];
    executor.id = id;
    executor.service = service;
    executor.machine = "machine-" + id;
    executor.milliCores = milliCores;
    start(executor);
}

void Executors::plan(const std::string& job, unsigned step, StepPlan plan)
{
    const std::lock_guard lock(m_lock);
    m_plans[job + '.' + std::to_string(step)] = plan;
}

void Executors::setGrey(const std::string& id, bool isGrey)
{
    const std::lock_guard lock(m_lock);
    m_executors.at(id).isGrey = isGrey;
    m_record.note(id + (isGrey ? " fails all that it starts from now on" : " is sound again"));
}

void Executors::start(Executor& executor)
{
    executor.startedAt = Clock::now();
    executor.born = wallMilliseconds();
    executor.restartAt = {};
    executor.server = HttpServer::listen([this, &executor](const HttpRequest& it) { return serve(executor, it); }, executor.port);
    executor.port = executor.server->port();
    heartbeat(executor);
}

void Executors::heartbeat(Executor& executor)
{
    Json::Value entry;
    entry["service"] = executor.service;
    entry["address"] = "127.0.0.1:" + std::to_string(executor.port);
    entry["zone"] = "zone-1";
    entry["version"] = "1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["coldRemainingMs"] = 0;
    entry["sequence"] = Json::UInt64(++executor.sequence);
    entry["machine"] = executor.machine;
    entry["born"] = Json::Int64(executor.born);
    entry["capacity"]["cpu"] = Json::UInt64(executor.milliCores);
    entry["capacity"]["memMb"] = Json::UInt64(memoryMb);
    entry["capacity"]["gpu"] = 0;
    entry["labels"].append("kind-a");
    entry["labels"].append("rack-1");
    m_store.put("servers/" + executor.id, entry);
    executor.nextBeat = Clock::now() + heartbeatInterval;
}

void Executors::crash(const std::string& id, milliseconds downTime)
{
    const std::lock_guard lock(m_lock);
    auto& executor = m_executors.at(id);
    if (!executor.server)
        return;
    m_record.note(id + " crashes");
    executor.server->close();
    m_closed.push_back(std::move(executor.server));
    while (!executor.runs.empty())
        endRun(executor, executor.runs.begin()->first, "lost in the crash");
    executor.ended.clear();
    executor.highestRuns.clear();
    executor.lastEnd = executor.fence = executor.sequence = 0;
    executor.leaseUntil = {};
    executor.restartAt = Clock::now() + downTime;
    m_changed.notify_all();
}

std::int64_t Executors::clockOf(const Executor& executor) const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - executor.startedAt).count() + 1;
}

HttpResult Executors::serve(Executor& executor, const HttpRequest& request)
{
    std::unique_lock lock(m_lock);
    const auto instance = request.headers.find("marigoldstile-expected-instance");
    const auto answered = [](HttpResponse it) { return HttpResult { std::move(it), Treatment::Answer }; };
    if (request.path == "/health")
        return answered({ 200, "{}" });
    if (instance != request.headers.end() && instance->second != executor.id)
        return answered({ 421, "{}" });
    const auto body = parsed(request.body);
    const auto fence = body["fencingToken"].asUInt64();
    if (fence < executor.fence)
        return answered(refusal(executor, "fence"));
    executor.fence = fence;
    if (request.path == "/-/run-start")
        return answered(startRun(executor, body));
    if (request.path == "/-/run-stop")
        return answered(stopRun(executor, body));
    if (request.path == "/-/hold")
        return answered(hold(executor, body, lock));
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockOf(executor));
    return answered({ request.path == "/-/pace" ? 200 : 400, compact(answer) });
}

HttpResponse Executors::refusal(const Executor& executor, const char* reason) const
{
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockOf(executor));
    answer["reason"] = reason;
    return { 409, compact(answer) };
}

void Executors::extendLease(Executor& executor, std::int64_t until)
{
    if (until <= 0)
        return;
    const auto at = std::min(executor.startedAt + milliseconds(until), Clock::now() + longestLease);
    executor.leaseUntil = std::max(executor.leaseUntil, at);
}

std::string Executors::gangOf(const std::string& task, std::uint64_t run) const
{
    return task.substr(0, task.rfind('.')) + '/' + std::to_string(run);
}

const StepPlan& Executors::planOf(const std::string& task) const
{
    static const StepPlan s_usual;
    const auto it = m_plans.find(stepOf(task));
    return it == m_plans.end() ? s_usual : it->second;
}

HttpResponse Executors::startRun(Executor& executor, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const auto run = body["runId"].asUInt64();
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockOf(executor));
    const auto running = executor.runs.find(task);
    if (running != executor.runs.end() && running->second.run == run)
        return { 200, compact(answer) };
    const auto until = body["expiresAtMs"].asInt64();
    if (until <= clockOf(executor))
        return refusal(executor, "late");
    extendLease(executor, until);
    if (running != executor.runs.end() || run <= executor.highestRuns[task])
        return refusal(executor, "old");
    const auto& plan = planOf(task);
    const auto now = Clock::now();
    executor.runs[task] = { run, now, now + (executor.isGrey ? greyTime : plan.work), {}, executor.isGrey };
    m_record.started(task, run, executor.id);
    if (plan.gangSize > 0) {
        auto& gang = m_gangs[gangOf(task, run)];
        gang.members.insert(task);
        if (gang.members.size() == plan.gangSize)
            gang.completeAt = now;
    }
    return { 200, compact(answer) };
}

HttpResponse Executors::stopRun(Executor& executor, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const auto run = body["runId"].asUInt64();
    auto& highest = executor.highestRuns[task];
    highest = std::max(highest, run);
    const auto it = executor.runs.find(task);
    if (it != executor.runs.end() && it->second.run == run && it->second.stoppedAt == Clock::time_point())
        it->second.stoppedAt = Clock::now() + stopTime;
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockOf(executor));
    return { 200, compact(answer) };
}

HttpResponse Executors::hold(Executor& executor, const Json::Value& body, std::unique_lock<std::mutex>& lock)
{
    extendLease(executor, body["expiresAtMs"].asInt64());
    const auto acknowledged = body["ackedThrough"].asUInt64();
    while (!executor.ended.empty() && executor.ended.front().number <= acknowledged)
        executor.ended.pop_front();
    const auto until = Clock::now() + milliseconds(body["waitMs"].asInt64());
    const auto born = executor.born;
    const auto isOver = [&] { return m_isClosed || !executor.ended.empty() || executor.born != born || !executor.server; };
    m_changed.wait_until(lock, until, isOver);
    return lists(executor);
}

HttpResponse Executors::lists(const Executor& executor) const
{
    constexpr int wholePercent = 100;
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockOf(executor));
    answer["born"] = Json::Int64(executor.born);
    answer["running"] = Json::Value(Json::arrayValue);
    answer["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, run] : executor.runs) {
        const auto& plan = planOf(task);
        const bool isLasting = plan.startup.count() > 0;
        const auto work = std::max<std::int64_t>(1, (isLasting ? plan.startup : plan.work).count());
        const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - run.since).count();
        const auto percent = std::min<std::int64_t>(isLasting ? wholePercent : wholePercent - 1, age * wholePercent / work);
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::UInt64(run.run));
        row.append("");
        row.append(Json::Int64(percent));
        row.append(0);
        answer["running"].append(row);
    }
    for (const auto& it : executor.ended) {
        if (answer["finished"].size() == endsPerAnswer)
            break;
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(it.number));
        row.append(it.task);
        row.append(Json::UInt64(it.run));
        row.append(it.how);
        row.append("");
        answer["finished"].append(row);
    }
    return { 200, compact(answer) };
}

void Executors::endRun(Executor& executor, std::string task, const std::string& how) // NOLINT(performance-unnecessary-value-param): it may refer to the key of the element that is erased.
{
    const auto it = executor.runs.find(task);
    const auto run = it->second.run;
    if (const auto gang = m_gangs.find(gangOf(task, run)); gang != m_gangs.end() && how != "done")
        gang->second.isBroken = true;
    executor.runs.erase(it);
    executor.ended.push_back({ ++executor.lastEnd, task, run, how });
    auto& highest = executor.highestRuns[task];
    highest = std::max(highest, run);
    m_record.ended(task, run, executor.id, how);
}

std::string Executors::endOf(const Executor& executor, const std::string& task, const Run& run)
{
    const auto now = Clock::now();
    if (executor.leaseUntil <= now)
        return "lapsed";
    if (run.fails)
        return run.doneAt <= now ? "failed" : "";
    if (run.stoppedAt != Clock::time_point() && run.stoppedAt <= now)
        return "stopped";
    const auto& plan = planOf(task);
    if (plan.startup.count() > 0)
        return {};
    if (plan.gangSize == 0)
        return run.doneAt <= now ? "done" : "";
    const auto& gang = m_gangs[gangOf(task, run.run)];
    if (gang.isBroken)
        return "broken";
    if (gang.completeAt == Clock::time_point())
        return now - run.since >= gangTimeout ? "alone" : "";
    return now - gang.completeAt >= plan.work ? "done" : "";
}

void Executors::tick()
{
    bool hasChanged = false;
    for (auto& [id, executor] : m_executors) {
        if (!executor.server) {
            if (executor.restartAt <= Clock::now()) {
                m_record.note(id + " starts again");
                start(executor);
            }
            continue;
        }
        if (executor.nextBeat <= Clock::now())
            heartbeat(executor);
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : executor.runs) {
            if (auto how = endOf(executor, task, run); !how.empty())
                ends.emplace_back(task, std::move(how));
        }
        for (const auto& [task, how] : ends)
            endRun(executor, task, how);
        hasChanged = hasChanged || !ends.empty();
    }
    if (hasChanged)
        m_changed.notify_all();
}

void Executors::runTimers()
{
    std::unique_lock lock(m_lock);
    while (!m_isClosed) {
        tick();
        lock.unlock();
        std::this_thread::sleep_for(timerInterval);
        lock.lock();
    }
}

/// Lists the machines. None can be moved or maintained: the deployment has no wave, and every machine is said to be busy.
HttpResult Executors::serveMachines(const HttpRequest& request)
{
    const std::lock_guard lock(m_lock);
    if (request.path != "/-/machines")
        return { { 409, R"({"reason":"busy"})" }, Treatment::Answer };
    Json::Value body;
    body["machines"] = Json::Value(Json::arrayValue);
    for (const auto& [id, it] : m_executors) {
        Json::Value machine;
        machine["machine"] = it.machine;
        machine["pool"] = it.service;
        machine["state"] = it.server ? "up" : "down";
        machine["zone"] = "zone-1";
        machine["labels"].append("kind-a");
        machine["labels"].append("rack-1");
        machine["capacity"]["cpu"] = Json::UInt64(it.milliCores);
        machine["capacity"]["memMb"] = Json::UInt64(memoryMb);
        machine["capacity"]["gpu"] = 0;
        machine["id"] = it.server ? id : "";
        body["machines"].append(machine);
    }
    body["nextToken"] = "";
    return { { 200, compact(body) }, Treatment::Answer };
}

} // namespace Review
