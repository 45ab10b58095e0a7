#include "Trial.h"

#include "Common/CompactJson.h"
#include "Standins/StandinJson.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace Review {

namespace {

    constexpr std::size_t executors = 8; ///< A crash of one is within the share of srv_crash.
    constexpr std::size_t executorsPerRack = 4;
    constexpr milliseconds heartbeatInterval { 1500 };
    constexpr unsigned missedHeartbeats = 3; ///< After which the platform removes an executor's entry.
    constexpr milliseconds clientTimeout { 3000 };
    constexpr milliseconds clientRetry { 200 };
    constexpr milliseconds showInterval { 250 };
    constexpr unsigned startAttempts = 100;
    constexpr std::size_t idDigits = 16;
    constexpr const char* clientHost = "desk.example";
    constexpr const char* firstPrefix = "/bookings/";
    constexpr const char* secondPrefix = "/groups/";

    Json::Value routeTo(const std::string& service, const char* prefix)
    {
        Json::Value route;
        route["name"] = std::string(prefix == firstPrefix ? "bookings" : "groups");
        route["host"] = clientHost;
        route["prefix"] = prefix;
        route["service"] = service;
        route["maxAttempts"] = 5;
        route["stretch"] = 2.0;
        route["targetDurationMs"] = 1000;
        return route;
    }

    Json::Value stepOf(unsigned tasks, milliseconds length, std::int64_t milliCores)
    {
        constexpr int taskMemory = 16;
        Json::Value step;
        step["count"] = tasks;
        step["cpu"] = Json::Int64(milliCores);
        step["memMb"] = taskMemory;
        if (length.count() > 0)
            step["estimateMs"] = Json::Int64(length.count());
        return step;
    }

} // namespace

Trial::Trial(TrialSettings settings)
    : m_settings(std::move(settings))
    , m_loop(Adapters::EventLoop::create())
    , m_record(std::make_unique<Record>(*m_loop, m_settings.recordPath))
    , m_ledger(std::make_unique<TaskLedger>(*m_record))
    , m_client(Adapters::CurlClient::create(*m_loop))
{
    for (std::size_t n = 0; n < executors; ++n)
        m_executors.push_back(std::make_unique<Executor>(*m_loop, *m_record, *m_ledger, ExecutorSettings { "w" + std::to_string(n), "m" + std::to_string(n), "r" + std::to_string(n / executorsPerRack), n < m_settings.executorsOfFirst ? "desk" : "hotels" }));
    m_platform = std::make_unique<Platform>(*m_loop, *m_record, [this] { return listMachines(); });
}

int Trial::run()
{
    configure(1, m_settings.executorsOfFirst < executors ? "hotels" : "");
    heartbeat();
    std::ofstream(m_settings.directory + "/store") << m_platform->storeAddress() << std::endl;
    std::ofstream(m_settings.directory + "/machines") << m_platform->machinesAddress() << std::endl;
    awaitHosts(startAttempts);
    m_loop->run();
    return m_exitCode;
}

void Trial::configure(unsigned version, const std::string& secondService)
{
    Json::Value configuration;
    configuration["version"] = version;
    configuration["routes"].append(routeTo("desk", firstPrefix));
    if (!secondService.empty())
        configuration["routes"].append(routeTo(secondService, secondPrefix));
    for (const char* name : { "desk", "hotels" }) {
        Json::Value service;
        service["name"] = name;
        service["rejectsOverload"] = true;
        configuration["services"].append(service);
    }
    configuration["limits"] = Json::Value(Json::objectValue);
    m_platform->put("op/config", configuration);
    m_record->write("configuration " + std::to_string(version) + ", service of the second queue: " + (secondService.empty() ? "none" : secondService));
}

void Trial::removeSecondQueue() { configure(2, {}); }

void Trial::addSecondQueueToFirstService() { configure(3, "desk"); }

void Trial::submitOnceMore()
{
    for (const auto& it : m_jobs) {
        if (it->isAccepted)
            submitAgain(it);
    }
}

void Trial::restartHosts()
{
    m_record->write("the hosts are restarted in turn");
    std::ofstream(m_settings.directory + "/restart") << "now" << std::endl;
}

/// Executors write their entries; the platform removes those that have been silent for too long.
void Trial::heartbeat()
{
    for (std::size_t n = 0; n < m_executors.size(); ++n) {
        auto& it = *m_executors[n];
        if (it.isUp())
            m_platform->put("servers/" + it.settings().id, it.entry());
        else if (m_loop->now() - m_downSince[n] >= heartbeatInterval * missedHeartbeats)
            m_platform->remove("servers/" + it.settings().id);
    }
    m_loop->after(heartbeatInterval, [this] { heartbeat(); });
}

Json::Value Trial::listMachines()
{
    Json::Value machines(Json::arrayValue);
    for (const auto& executor : m_executors) {
        Json::Value machine;
        machine["machine"] = executor->settings().machine;
        machine["pool"] = executor->settings().service;
        machine["state"] = executor->isUp() || !m_machinesDown.contains(executor->settings().machine) ? "up" : "down";
        machine["zone"] = "dc";
        machine["id"] = executor->settings().id;
        machine["labels"].append("a");
        machine["labels"].append(executor->settings().rack);
        machine["capacity"]["cpu"] = Json::Int64(executor->settings().milliCores);
        machine["capacity"]["memMb"] = 65536;
        machine["capacity"]["gpu"] = 0;
        machines.append(machine);
    }
    return machines;
}

void Trial::crash(std::size_t n, milliseconds pause, const std::string& newId)
{
    auto& it = executor(n);
    if (!it.isUp())
        return;
    m_downSince[n] = m_loop->now();
    if (!newId.empty())
        m_machinesDown.insert(it.settings().machine);
    it.crash();
    m_loop->after(pause, [this, n, newId] {
        auto& executor = *m_executors[n];
        if (!newId.empty())
            m_platform->remove("servers/" + executor.settings().id);
        executor.restart(newId);
        m_machinesDown.erase(executor.settings().machine);
        m_platform->put("servers/" + executor.settings().id, executor.entry());
    });
}

void Trial::call(const std::string& method, const std::string& path, const std::string& body, Answer answer)
{
    Adapters::HttpCall call;
    call.method = method;
    call.url = "http://" + m_settings.hosts[m_nextHost++ % m_settings.hosts.size()] + path;
    call.body = body;
    call.timeout = clientTimeout;
    call.headers = { { "Host", clientHost }, { "Content-Type", "application/json" }, { "Marigoldstile-Deadline-Ms", std::to_string(clientTimeout.count()) } };
    m_client->start(std::move(call), [answer = std::move(answer)](const Adapters::HttpOutcome& outcome) { answer(outcome.end == Adapters::HttpEnd::Answered ? outcome.status : 0, outcome.body); });
}

void Trial::awaitHosts(unsigned attempts)
{
    if (attempts == 0) {
        finish("the hosts don't serve");
        return;
    }
    const auto pending = std::make_shared<std::pair<std::size_t, bool>>(m_settings.hosts.size(), true);
    for (std::size_t n = 0; n < m_settings.hosts.size(); ++n) {
        call("GET", firstPrefix, {}, [this, attempts, pending](int status, const std::string&) {
            pending->second = pending->second && status == 200;
            if (--pending->first > 0)
                return;
            if (!pending->second) {
                m_loop->after(clientRetry, [this, attempts] { awaitHosts(attempts - 1); });
                return;
            }
            m_record->write("the hosts serve");
            begin();
        });
    }
}

void Trial::submit(unsigned tasks, milliseconds length, std::int64_t milliCores)
{
    Json::Value steps;
    steps.append(stepOf(tasks, length, milliCores));
    addJob(firstPrefix, std::move(steps), length);
}

void Trial::submitSteps(std::size_t count, unsigned tasks, milliseconds length, std::int64_t milliCores)
{
    Json::Value steps;
    for (std::size_t n = 0; n < count; ++n) {
        auto step = stepOf(tasks, length, milliCores);
        if (n > 0)
            step["after"].append(Json::UInt64(n - 1));
        steps.append(std::move(step));
    }
    addJob(secondPrefix, std::move(steps), length);
}

void Trial::submitLasting(unsigned tasks, unsigned mayMiss, std::int64_t milliCores)
{
    auto step = stepOf(tasks, milliseconds(0), milliCores);
    step["longRunning"] = true;
    step["mayMiss"] = mayMiss;
    Json::Value steps;
    steps.append(std::move(step));
    addJob(firstPrefix, std::move(steps), milliseconds(0));
}

void Trial::addJob(const std::string& prefix, Json::Value steps, milliseconds length)
{
    auto job = std::make_shared<Job>();
    const auto digits = std::to_string(m_jobs.size());
    job->id = std::string(idDigits - digits.size(), '0') + digits;
    job->path = prefix + job->id;
    Json::Value body;
    body["spec"] = std::to_string(length.count()) + ' ' + steps[0]["cpu"].asString();
    body["steps"] = std::move(steps);
    job->body = Common::compactJson(body);
    m_jobs.push_back(job);
    submitAgain(job);
}

void Trial::submitAgain(const std::shared_ptr<Job>& job)
{
    call("POST", job->path, job->body, [this, job](int status, const std::string&) {
        m_record->write("submitted " + job->id + ": " + std::to_string(status));
        const bool isAccepted = status >= 200 && status < 300;
        if (isAccepted && !std::exchange(job->isAccepted, true))
            job->acceptedAt = m_loop->now();
        if (!job->isAccepted && !m_isOver)
            m_loop->after(clientRetry, [this, job] { submitAgain(job); });
    });
}

void Trial::show(const std::shared_ptr<Job>& job)
{
    call("GET", job->path, {}, [this, job](int status, const std::string& body) {
        if (status == 410 && !m_isOver) {
            m_record->write("shown " + job->id + ": 410");
            onUnknown(*job, std::chrono::duration_cast<milliseconds>(m_loop->now() - job->acceptedAt));
        }
        if (status != 200 || m_isOver)
            return;
        const auto text = Standins::parseJsonObject(body);
        const auto state = text ? (*text)["state"].asString() : std::string();
        if (state != job->state)
            m_record->write("shown " + job->id + ": " + state);
        job->state = state;
        onShown(*job);
    });
}

void Trial::showRepeatedly()
{
    for (const auto& it : m_jobs) {
        if (it->isAccepted)
            show(it);
    }
    m_loop->after(showInterval, [this] { showRepeatedly(); });
}

void Trial::awaitJobs(milliseconds limit)
{
    const auto isFinal = [](const auto& it) { return it->state == "completed" || it->state == "failed"; };
    const auto left = std::ranges::count_if(m_jobs, [&](const auto& it) { return !isFinal(it); });
    if (left == 0) {
        finish();
        return;
    }
    if (limit.count() <= 0) {
        finish(std::to_string(left) + " jobs aren't final");
        return;
    }
    for (const auto& it : m_jobs) {
        if (!isFinal(it) && it->isAccepted)
            show(it);
    }
    m_loop->after(showInterval, [this, limit] { awaitJobs(limit - showInterval); });
}

void Trial::finish(const std::string& problem)
{
    if (std::exchange(m_isOver, true))
        return;
    const auto count = m_record->violations().size();
    m_exitCode = count > 0 ? 1 : problem.empty() ? 0
                                                 : 2;
    const auto summary = std::to_string(m_jobs.size()) + " jobs, " + std::to_string(m_ledger->starts()) + " starts, " + std::to_string(count) + " violations" + (problem.empty() ? "" : ", " + problem);
    m_record->write("over: " + summary);
    std::printf("%s\n", summary.c_str());
    for (std::size_t n = 0; n < std::min<std::size_t>(count, 3); ++n)
        std::printf("  %s\n", m_record->violations()[n].c_str());
    std::fflush(stdout);
    std::_Exit(m_exitCode);
}

} // namespace Review
