#include "Deployment.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr milliseconds startLimit { 20000 };
    constexpr milliseconds settleTime { 2500 }; ///< Until the hosts know each other's duties.
    constexpr milliseconds pollInterval { 20 };
    constexpr milliseconds callTimeout { 3000 }; ///< The clients' time limit.

    std::string addressOf(unsigned port) { return "127.0.0.1:" + std::to_string(port); }

} // namespace

Json::Value stepOf(unsigned tasks, unsigned milliCores, milliseconds estimate)
{
    Json::Value step;
    step["count"] = tasks;
    step["cpu"] = milliCores;
    step["memMb"] = 256;
    step["estimateMs"] = Json::Int64(estimate.count());
    return step;
}

void pause(milliseconds time) { std::this_thread::sleep_for(time); }

Deployment::Deployment(const DeploymentSettings& settings)
    : m_settings(settings)
    , m_record(std::make_unique<Record>(settings.recordFile))
    , m_store(std::make_unique<Store>(settings.hosts))
    , m_executors(std::make_unique<Executors>(*m_store, *m_record))
{
}

Deployment::~Deployment()
{
    for (const auto& it : m_hosts)
        kill(it.process, SIGKILL);
    for (const auto& it : m_hosts)
        waitpid(it.process, nullptr, 0);
}

void Deployment::configure(const std::vector<QueueSetting>& queues)
{
    Json::Value configuration;
    configuration["version"] = ++m_version;
    std::set<std::string> services(m_services.begin(), m_services.end());
    for (const auto& it : queues) {
        Json::Value route;
        route["name"] = it.name;
        route["host"] = it.name + ".example";
        route["prefix"] = "/" + it.name + "/";
        route["service"] = it.service;
        route["priority"] = 0;
        route["maxAttempts"] = it.maximumAttempts;
        route["stretch"] = 2.0;
        route["targetDurationMs"] = 1000;
        configuration["routes"].append(route);
        services.insert(it.service);
    }
    for (const auto& it : services) {
        Json::Value service;
        service["name"] = it;
        service["rejectsOverload"] = true;
        configuration["services"].append(service);
    }
    m_services.assign(services.begin(), services.end());
    configuration["limits"] = Json::Value(Json::objectValue);
    m_store->put("op/config", configuration);
    m_record->note("configuration " + std::to_string(m_version) + ": " + compact(configuration["routes"]));
}

std::string Deployment::settingsOf(unsigned number, const Host& host) const
{
    Json::Value text;
    text["host"] = host.name;
    text["dataCentre"] = "zone-1";
    text["region"] = "region-1";
    text["callers"]["listen"] = addressOf(host.callers);
    text["peers"]["listen"] = addressOf(freePort());
    text["operators"]["listen"] = addressOf(freePort());
    text["platform"]["kind"] = "users";
    text["platform"]["keyValueAddress"] = addressOf(m_store->portOf(number));
    auto& jobs = text["jobs"];
    jobs["platform"] = "users";
    jobs["readyListen"] = addressOf(host.ready);
    jobs["machineAddress"] = addressOf(m_executors->machinePort());
    jobs["workerLeaseMilliseconds"] = 6000;
    jobs["stateRetentionMilliseconds"] = 120000;
    jobs["holderSilenceMilliseconds"] = 3000;
    jobs["stopGraceMilliseconds"] = 6000;
    jobs["moveSeconds"] = 1.5;
    jobs["maintenanceSeconds"] = 2;
    jobs["remoteFactor"] = 1.5;
    jobs["processorShare"] = 0.25;
    text["logging"]["standardOutput"] = true;
    text["logging"]["bufferedEvents"] = 4096;
    return compact(text);
}

void Deployment::startHost(unsigned number)
{
    Host host { "edge-" + std::to_string(number), freePort(), freePort() };
    const auto base = m_settings.directory + "/" + host.name;
    const auto settingsFile = base + ".settings";
    std::ofstream(settingsFile) << settingsOf(number, host);
    std::string settingsVariable = "MARIGOLDSTILE_SETTINGS=" + settingsFile;
    std::string pathVariable = "PATH=/usr/bin:/bin";
    char* const environment[] = { settingsVariable.data(), pathVariable.data(), nullptr };
    char* const arguments[] = { m_settings.program.data(), nullptr };
    host.process = fork();
    if (host.process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // The host ends with this process, also when that is killed.
        const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(arguments[0], arguments, environment);
        _exit(127);
    }
    m_hosts.push_back(host);
}

void Deployment::start()
{
    for (unsigned n = 0; n < m_settings.hosts; ++n)
        startHost(n);
    const auto until = m_record->now() + startLimit;
    const auto isUp = [this] {
        const auto isReady = [](const Host& it) { return httpCall(it.ready, { "GET", "/-/ready", {}, {}, {} }, callTimeout).status == 200; };
        const auto isHeld = [this](const std::string& it) { return holderOf(it).has_value(); };
        return std::ranges::all_of(m_hosts, isReady) && std::ranges::all_of(m_services, isHeld) && holderOf("~fleet");
    };
    while (!isUp()) {
        if (m_record->now() > until)
            throw CannotRun("the hosts don't start");
        pause(pollInterval);
    }
    pause(settleTime);
    m_record->note(std::to_string(m_hosts.size()) + " hosts are ready");
}

std::optional<unsigned> Deployment::holderOf(const std::string& service)
{
    const auto value = m_store->valueOf("/marigold/control/owners/" + service);
    const auto name = value.substr(0, value.find(' '));
    for (unsigned n = 0; n < m_hosts.size(); ++n) {
        if (m_hosts[n].name == name)
            return n;
    }
    return std::nullopt;
}

unsigned Deployment::hostWithoutDuty(const std::vector<unsigned>& others)
{
    std::set<unsigned> taken(others.begin(), others.end());
    for (const auto& it : m_services) {
        if (const auto holder = holderOf(it))
            taken.insert(*holder);
    }
    if (const auto holder = holderOf("~fleet"))
        taken.insert(*holder);
    for (unsigned n = 0; n < m_hosts.size(); ++n) {
        if (!taken.contains(n))
            return n;
    }
    throw CannotRun("every host has a duty");
}

void Deployment::freeze(unsigned host, bool isFrozen)
{
    kill(m_hosts.at(host).process, isFrozen ? SIGSTOP : SIGCONT);
    m_record->note(m_hosts[host].name + (isFrozen ? " freezes" : " continues"));
}

HttpResponse Deployment::call(unsigned host, const std::string& method, const std::string& queue, const std::string& job, const std::string& body)
{
    HttpRequest request { method, "/" + queue + "/" + job, {}, {}, body };
    request.headers = { { "Host", queue + ".example" }, { "Content-Type", "application/json" }, { "Marigoldstile-Deadline-Ms", std::to_string(callTimeout.count()) } };
    auto response = httpCall(m_hosts.at(host).callers, request, callTimeout);
    m_record->note(method + " " + request.path + " to " + m_hosts[host].name + ": " + (response.status == 0 ? "no answer" : std::to_string(response.status)) + " " + response.body);
    return response;
}

int Deployment::submit(unsigned host, const std::string& queue, const std::string& job, const Json::Value& steps, const Schedule& schedule)
{
    Json::Value body;
    body["spec"] = "work of " + job;
    body["steps"] = steps;
    if (schedule.repeatCount > 0) {
        body["repeatCount"] = schedule.repeatCount;
        body["firstRunMs"] = schedule.firstRunMs;
        body["intervalMs"] = schedule.intervalMs;
    }
    return call(host, "POST", queue, job, compact(body)).status;
}

void Deployment::submitUntilAccepted(unsigned host, const std::string& queue, const std::string& job, const Json::Value& steps, milliseconds limit)
{
    const auto until = m_record->now() + limit;
    while (submit(host, queue, job, steps) != 200) {
        if (m_record->now() > until)
            throw CannotRun("the job isn't accepted");
        pause(10 * pollInterval);
    }
}

int Deployment::cancel(unsigned host, const std::string& queue, const std::string& job)
{
    return call(host, "DELETE", queue, job, {}).status;
}

std::string Deployment::stateOf(unsigned host, const std::string& queue, const std::string& job)
{
    return parsed(call(host, "GET", queue, job, {}).body)["state"].asString();
}

bool Deployment::awaitRun(const std::string& job, milliseconds limit)
{
    const auto until = m_record->now() + limit;
    while (m_record->runsOf(job).empty()) {
        if (m_record->now() > until)
            return false;
        pause(pollInterval);
    }
    return true;
}

} // namespace Review
