#include "Requests/VirtualFleet.h"

#include <cstdio>

namespace RequestTests {

using namespace std::chrono_literals;

namespace {

    constexpr Instant loadEnds { 6500ms };
    constexpr Instant healedAt { 7s };
    constexpr Instant runEnds { 10s };
    constexpr Common::WallTime epochStart { std::chrono::milliseconds(1790000000000) };

} // namespace

std::string uuid7(Common::WallTime issued, std::uint64_t number)
{
    const auto stamp = static_cast<unsigned long long>(issued.time_since_epoch().count());
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx", stamp >> 16, stamp & 0xffff, static_cast<unsigned long long>(number));
    return text;
}

std::shared_ptr<const Objects::ObjectSet> fleetObjects(unsigned dataCentres)
{
    auto objects = std::make_shared<Objects::ObjectSet>();
    for (unsigned i = 1; i <= dataCentres; ++i) {
        const std::string name = "d" + std::to_string(i);
        objects->domains[name] = { name, Objects::DomainLevel::DataCentre, "region" };
    }
    for (const std::string name : { "desk", "camps" }) {
        objects->pools[name].name = name;
        Objects::Service service;
        service.name = "book-" + name;
        service.pool = name;
        service.expectedRunTime = 30ms;
        objects->services[service.name] = service;
    }
    objects->priorities["urgent"] = { "urgent", 0 };
    objects->priorities["normal"] = { "normal", 1 };
    for (const std::string name : { "hotels", "parents" }) {
        Objects::Team team;
        team.name = name;
        team.priorities = { "urgent", "normal" };
        objects->teams[name] = team;
    }
    return objects;
}

VirtualFleet::VirtualFleet(const FleetOptions& options)
    : m_options(options)
    , m_random(options.seed * 7919 + 17)
    , m_objects(fleetObjects(options.faults.dataCentres))
{
    for (const auto& [dataCentre, domain] : m_objects->domains) {
        for (unsigned i = 1; i <= m_options.hosts; ++i) {
            Host host;
            host.name = dataCentre + "-h" + std::to_string(i);
            host.dataCentre = dataCentre;
            host.clockOffset = milliseconds(draw(500) - 250);
            m_hosts.emplace(host.name, std::move(host));
        }
        for (const auto& [pool, object] : m_objects->pools) {
            for (unsigned i = 1; i <= m_options.upstreams; ++i) {
                std::string name = dataCentre;
                name.append("-").append(pool).append("-").append(std::to_string(i));
                m_upstreams[name];
            }
        }
    }
    for (auto& [name, host] : m_hosts)
        start(host);
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::at(Instant when, Task task)
{
    m_tasks.emplace(when, std::move(task));
}

Decision::Moment VirtualFleet::momentOf(const Host& host) const
{
    const auto wall = epochStart + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    return { m_now, wall + host.clockOffset };
}

std::vector<HostId> VirtualFleet::hostsOf(const std::string& dataCentre) const
{
    std::vector<HostId> names;
    for (const auto& [name, host] : m_hosts) {
        if (host.dataCentre == dataCentre)
            names.push_back(name);
    }
    return names;
}

void VirtualFleet::onHost(const HostId& name, std::uint64_t incarnation, const std::function<void(Host&)>& step)
{
    Host& host = m_hosts.at(name);
    if (!host.core || host.incarnation != incarnation)
        return;
    if (host.frozen) {
        host.waiting.push_back([this, name, incarnation, step] { onHost(name, incarnation, step); });
        return;
    }
    step(host);
    pump(host);
}

void VirtualFleet::pump(Host& host)
{
    for (auto actions = host.core->takeActions(); !actions.empty(); actions = host.core->takeActions()) {
        for (auto& action : actions)
            execute(host, action);
    }
    scheduleTick(host);
}

void VirtualFleet::execute(Host& host, Decision::RequestAction& action)
{
    if (const auto* answer = std::get_if<Decision::AnswerCaller>(&action))
        onAnswer(*answer);
    else if (const auto* message = std::get_if<Decision::SendPeer>(&action))
        send(host, message->to, message->message);
    else if (const auto* call = std::get_if<Decision::DispatchAttempt>(&action))
        dispatch(host, call->call);
    else if (const auto* stop = std::get_if<Decision::CancelAttempt>(&action))
        cancel(host, stop->attempt);
}

void VirtualFleet::scheduleTick(Host& host)
{
    const Instant next = std::max(host.core->nextDeadline().value_or(m_now + 50ms), m_now + 1ms);
    if (host.tickAt > m_now && host.tickAt <= next)
        return;
    host.tickAt = next;
    at(next, [this, name = host.name, incarnation = host.incarnation] {
        onHost(name, incarnation, [this](Host& awake) {
            awake.tickAt = {};
            awake.core->tick(momentOf(awake));
        });
    });
}

FleetRecord VirtualFleet::run()
{
    planLoad();
    planFaults();
    at(healedAt, [this] { repairFaults(); });
    while (!m_tasks.empty() && m_tasks.begin()->first <= runEnds) {
        const auto task = std::move(m_tasks.begin()->second);
        m_now = m_tasks.begin()->first;
        m_tasks.erase(m_tasks.begin());
        task();
    }
    checkIdle();
    m_record.evaluate();
    return m_record;
}

void VirtualFleet::planLoad()
{
    const int gap = m_options.faults.overload ? 4 : 20;
    for (Instant when { 2500ms }; when < loadEnds; when += milliseconds(1 + draw(2 * gap))) {
        LogicalRequest request;
        request.service = chance(70) ? "book-desk" : "book-camps";
        request.team = chance(50) ? "hotels" : "parents";
        request.priority = chance(30) ? "urgent" : "normal";
        request.dataCentre = "d" + std::to_string(1 + draw(static_cast<int>(m_options.faults.dataCentres)));
        const int kind = draw(10);
        request.idempotent = kind < 3;
        request.harmful = m_options.faults.harmful && request.idempotent && m_record.requests.size() % 40 == 0;
        request.body = "body " + std::to_string(m_record.requests.size());
        const std::size_t index = m_record.requests.size();
        if (kind >= 4) {
            const auto issued = epochStart + std::chrono::duration_cast<milliseconds>(when.time_since_epoch()) + milliseconds(draw(500) - 250);
            request.key = uuid7(issued, index);
            if (m_options.faults.dataCentres > 1 && chance(50))
                request.key = request.dataCentre + "/" + request.key;
        }
        m_record.requests.push_back(std::move(request));
        at(when, [this, index] { sendRequest(index); });
    }
}

} // namespace RequestTests
