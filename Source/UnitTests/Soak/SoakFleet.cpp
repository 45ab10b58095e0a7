#include "SoakFleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <utility>

using std::chrono::milliseconds;

namespace {

constexpr milliseconds pollInterval { 400 };
constexpr milliseconds callTimeout { 3000 };
constexpr milliseconds retryInterval { 300 };
constexpr milliseconds startupTime { 2500 }; ///< For hosts to register and acquire duties before the first submission.
constexpr milliseconds stopGrace { 6000 }; ///< Between SIGTERM and SIGKILL.
constexpr milliseconds completionStep { 250 }; ///< Between checks whether all jobs have completed.
constexpr milliseconds shortRunTime { 300 };
constexpr milliseconds shortestLongRunTime { 3000 };
constexpr unsigned longRunTimeRangeMs = 5000;
constexpr unsigned jobsPerLongJob = 4;
constexpr unsigned shortMilliCores = 1000;
constexpr unsigned longMilliCores = 250; ///< Little, so that the long tasks leave room for the others.
constexpr unsigned portsPerHost = 5;
constexpr unsigned maximumAttempts = 12;

} // namespace

SoakFleet::SoakFleet(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_loop(Adapters::EventLoop::create())
    , m_client(Adapters::CurlClient::create(*m_loop))
{
    PlatformAdapter::PlatformServerSettings platform;
    platform.workers = m_settings.workers;
    m_platform = std::make_unique<PlatformAdapter::PlatformServer>(*m_loop, platform);
    std::vector<unsigned> ports;
    for (unsigned n = 0; n < m_settings.workers; ++n) {
        m_workerProxies.push_back(std::make_unique<SoakProxy>(*m_loop, m_platform->workerPort(n)));
        ports.push_back(m_workerProxies.back()->port());
    }
    m_platform->publish(ports);
    for (unsigned n = 0; n < m_settings.hosts; ++n) {
        auto host = std::make_unique<Host>();
        host->name = "host-" + std::to_string(n);
        host->firstPort = m_settings.firstPort + n * portsPerHost;
        host->store = std::make_unique<SoakProxy>(*m_loop, m_platform->storePort());
        const PlatformAdapter::StandinHost standin { host->name, host->firstPort, host->store->port(), m_platform->machinePort() };
        std::ofstream(m_settings.logDirectory + '/' + host->name + ".json") << PlatformAdapter::settingsText(standin);
        m_hosts.push_back(std::move(host));
    }
}

unsigned SoakFleet::draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }

void SoakFleet::startHost(Host& host)
{
    const auto path = m_settings.logDirectory + '/' + host.name;
    host.process = ProcessTests::Process::create(m_settings.program, { "--settings", path + ".json" }, path + ".log");
    host.isUp = true;
    host.isFrozen = false;
}

std::string SoakFleet::url(const Host& host, const std::string& id) const
{
    return "http://127.0.0.1:" + std::to_string(host.firstPort) + PlatformAdapter::standinPrefix + id;
}

void SoakFleet::call(const std::string& method, const std::string& target, const std::string& body, std::function<void(int, const std::string&)> callback)
{
    Adapters::HttpCall call;
    call.method = method;
    call.url = target;
    call.body = body;
    call.timeout = callTimeout;
    call.headers = { { "Host", PlatformAdapter::standinHost }, { "Content-Type", "application/json" } };
    m_client->start(std::move(call), [callback = std::move(callback)](const Adapters::HttpOutcome& outcome) {
        const bool isRefused = outcome.end == Adapters::HttpEnd::NotSent;
        callback(outcome.end == Adapters::HttpEnd::Answered ? outcome.status : (isRefused ? -1 : 0), outcome.body);
    });
}

void SoakFleet::submitNext()
{
    if (m_haveFaultsEnded)
        return;
    auto job = std::make_shared<Job>();
    auto digits = std::to_string(m_jobs.size());
    job->id = std::string(16 - digits.size(), '0') + digits;
    job->tasks = 1 + draw(6);
    const bool isLong = m_settings.hasBriefRestarts && draw(jobsPerLongJob) == 0;
    job->runTime = isLong ? shortestLongRunTime + milliseconds(draw(longRunTimeRangeMs)) : shortRunTime;
    m_platform->setRunTime(job->id, job->runTime);
    m_jobs.push_back(job);
    submit(job);
    m_loop->after(m_settings.submitInterval, [this] { submitNext(); });
}

/// Retries with the same id, at any host, until the job is accepted or maximumAttempts is reached.
void SoakFleet::submit(const std::shared_ptr<Job>& job)
{
    ++job->attempts;
    ++m_pendingSubmissions;
    const auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    const auto milliCores = job->runTime == shortRunTime ? shortMilliCores : longMilliCores;
    call("POST", url(host, job->id), PlatformAdapter::submissionBody(job->tasks, milliCores, job->runTime), [this, job](int status, const std::string&) {
        --m_pendingSubmissions;
        const bool isAccepted = status >= 200 && status < 300;
        const bool isRefused = status == 429 || status == 503 || status == -1;
        m_result.accepted += isAccepted && !job->isAccepted ? 1 : 0;
        m_result.refused += isRefused ? 1 : 0;
        m_result.unknown += !isAccepted && !isRefused ? 1 : 0;
        job->isAccepted = job->isAccepted || isAccepted;
        job->isRefusedOnly = job->isRefusedOnly && isRefused;
        if (isAccepted)
            poll(job);
        else if (job->attempts < maximumAttempts && !job->isAccepted)
            m_loop->after(retryInterval, [this, job] { submit(job); });
    });
}

void SoakFleet::poll(const std::shared_ptr<Job>& job)
{
    if (job->isDone)
        return;
    const auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    call("GET", url(host, job->id), {}, [this, job](int status, const std::string& body) {
        if (status == 410)
            m_result.violations.push_back("job " + job->id + " was accepted but is unknown");
        if (status == 200 && PlatformAdapter::stateOfBody(body) == "completed" && !job->isDone) {
            job->isDone = true;
            ++m_result.completed;
        }
        m_loop->after(pollInterval, [this, job] { poll(job); });
    });
}

void SoakFleet::scheduleFault()
{
    if (m_haveFaultsEnded)
        return;
    m_loop->after(milliseconds(200 + draw(1300)), [this] {
        if (!m_haveFaultsEnded)
            injectFault();
        scheduleFault();
    });
}

void SoakFleet::injectFault()
{
    using Fault = void (SoakFleet::*)();
    constexpr std::array<Fault, 14> faults { &SoakFleet::killHost, &SoakFleet::stopHost, &SoakFleet::freezeHost, &SoakFleet::sendHangUp, &SoakFleet::takeStoreDown, &SoakFleet::crashWorker, &SoakFleet::disturbProxy, &SoakFleet::disturbProxy, &SoakFleet::clearProxyFaults, &SoakFleet::restartBriefly, &SoakFleet::restartBriefly, &SoakFleet::restartBriefly, &SoakFleet::restartBriefly, &SoakFleet::restartBriefly };
    constexpr unsigned briefRestarts = 5; ///< At the end.
    ++m_result.faults;
    const auto count = static_cast<unsigned>(faults.size()) - (m_settings.hasBriefRestarts ? 0 : briefRestarts);
    (this->*faults.at(draw(count)))();
}

void SoakFleet::killHost()
{
    auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    if (!host.isUp)
        return;
    host.process.kill();
    host.isUp = false;
    m_loop->after(milliseconds(100 + draw(3000)), [this, &host] { host.isUp ? void() : startHost(host); });
}

void SoakFleet::stopHost()
{
    auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    if (!host.isUp || host.isFrozen)
        return;
    host.process.signal(SIGTERM);
    host.isUp = false;
    m_loop->after(stopGrace, [this, &host] {
        host.process.kill();
        startHost(host);
    });
}

void SoakFleet::freezeHost()
{
    auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    if (!host.isUp || host.isFrozen)
        return;
    host.isFrozen = true;
    host.process.signal(SIGSTOP);
    m_loop->after(milliseconds(500 + draw(4500)), [&host] {
        if (host.isUp && host.isFrozen)
            host.process.signal(SIGCONT);
        host.isFrozen = false;
    });
}

void SoakFleet::sendHangUp()
{
    auto& host = *m_hosts[draw(static_cast<unsigned>(m_hosts.size()))];
    if (host.isUp)
        host.process.signal(SIGHUP);
}

void SoakFleet::takeStoreDown()
{
    m_platform->setStoreDown(true);
    m_loop->after(milliseconds(300 + draw(4000)), [this] { m_platform->setStoreDown(false); });
}

void SoakFleet::crashWorker()
{
    const auto number = draw(m_settings.workers);
    m_platform->crashWorker(number);
    m_loop->after(milliseconds(500 + draw(6000)), [this, number] { m_platform->restartWorker(number, m_workerProxies[number]->port()); });
}

void SoakFleet::restartBriefly()
{
    // Crashes at one moment aren't blamed on the tasks, which are placed again at once.
    const auto first = draw(m_settings.workers);
    for (const auto number : { first, (first + 1) % m_settings.workers })
        restartBriefly(number);
}

void SoakFleet::restartBriefly(unsigned number)
{
    m_platform->crashWorker(number, true);
    // A host that learns of the crash by this stops placing tasks there.
    if (draw(4) == 0)
        m_workerProxies[number]->reset();
    const milliseconds downTime(200 + draw(700));
    const milliseconds entryDelay(draw(500));
    m_loop->after(downTime, [this, number, entryDelay] { m_platform->restartWorker(number, m_workerProxies[number]->port(), PlatformAdapter::RestartId::Kept, entryDelay); });
    // Often before the owner learns of the restart from the worker's entry.
    const auto cutRangeMs = draw(2) == 0 ? 250 : 2450;
    if (draw(2) == 0)
        m_loop->after(downTime + milliseconds(50 + draw(cutRangeMs)), [this, number] { cutWorker(number); });
}

void SoakFleet::cutWorker(unsigned number)
{
    if (m_haveFaultsEnded)
        return;
    auto& proxy = *m_workerProxies[number];
    proxy.setFault({ milliseconds(0), true, true });
    const auto lengthMs = 1000 + draw(8000);
    m_loop->after(milliseconds(lengthMs), [&proxy] { proxy.setFault({}); });
    if (draw(2) == 0)
        m_loop->after(milliseconds(draw(lengthMs)), [this] { m_haveFaultsEnded ? void() : killHost(); });
}

void SoakFleet::disturbProxy()
{
    const auto number = draw(m_settings.workers + m_settings.hosts);
    auto& proxy = number < m_settings.workers ? *m_workerProxies[number] : *m_hosts[number - m_settings.workers]->store;
    const auto kind = draw(5);
    if (kind == 0)
        proxy.reset();
    else if (kind == 1)
        proxy.setFault({ milliseconds(20 + draw(400)), false, false });
    else
        proxy.setFault({ milliseconds(0), kind != 2, kind != 3 });
    m_loop->after(milliseconds(300 + draw(5000)), [&proxy] { proxy.setFault({}); });
}

void SoakFleet::clearProxyFaults()
{
    for (const auto& it : m_workerProxies)
        it->setFault({});
    for (const auto& it : m_hosts)
        it->store->setFault({});
}

void SoakFleet::endFaults()
{
    m_haveFaultsEnded = true;
    clearProxyFaults();
    // Bytes that were dropped stay lost, so connections that lost some must be closed.
    for (const auto& it : m_workerProxies)
        it->reset();
    for (const auto& it : m_hosts)
        it->store->reset();
    waitForCompletion(std::chrono::duration_cast<milliseconds>(m_settings.faults) + milliseconds(30000));
}

void SoakFleet::waitForCompletion(milliseconds left)
{
    const bool isAllDone = std::ranges::all_of(m_jobs, [](const auto& it) { return it->isDone || !it->isAccepted; });
    // A submission still without an answer may have started a job whose earlier attempts were all refused.
    if ((isAllDone && m_pendingSubmissions == 0) || left.count() <= 0) {
        finish();
        return;
    }
    m_loop->after(completionStep, [this, left] { waitForCompletion(left - completionStep); });
}

void SoakFleet::check()
{
    const auto& runMonitor = m_platform->runMonitor();
    if (runMonitor.duplicateRuns > 0)
        m_result.violations.push_back(std::to_string(runMonitor.duplicateRuns) + " runs of tasks that were running or already done");
    for (const auto& it : m_jobs) {
        if (it->isAccepted && !it->isDone)
            m_result.violations.push_back("job " + it->id + " was accepted but isn't completed");
        const bool hasRun = std::ranges::any_of(runMonitor.running, [&it](const auto& entry) { return entry.first.job == it->id; });
        if (!it->isAccepted && it->isRefusedOnly && hasRun)
            m_result.violations.push_back("job " + it->id + " was refused on every attempt but ran");
    }
}

void SoakFleet::finish()
{
    check();
    for (const auto& it : m_hosts)
        it->process.kill();
    for (const auto& it : m_workerProxies)
        it->shutdown();
    for (const auto& it : m_hosts)
        it->store->shutdown();
    m_platform->shutdown();
    m_client->shutdown();
    m_loop->stop();
}

SoakResult SoakFleet::run()
{
    for (const auto& it : m_hosts)
        startHost(*it);
    m_loop->after(startupTime, [this] {
        submitNext();
        if (m_settings.hasFaults && !m_settings.isDemo)
            scheduleFault();
    });
    if (m_settings.isDemo) {
        m_loop->after(startupTime + m_settings.faults / 3, [this] { killHost(); });
        m_loop->after(startupTime + m_settings.faults / 2, [this] { crashWorker(); });
        m_result.faults = 2;
    }
    m_loop->after(startupTime + m_settings.faults, [this] { endFaults(); });
    m_loop->run();
    return m_result;
}
