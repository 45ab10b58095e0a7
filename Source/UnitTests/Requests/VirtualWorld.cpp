#include "Requests/VirtualFleet.h"

#include <algorithm>

namespace RequestTests {

using namespace std::chrono_literals;
using Ports::AttemptEnd;

namespace {

    constexpr std::size_t maximumTries = 4;
    constexpr unsigned upstreamSlots = 8;
    constexpr milliseconds settleTime { 2500 };

    std::size_t indexOf(const Ports::UpstreamCall& call)
    {
        return std::stoul(call.body->substr(call.body->find(' ') + 1));
    }

} // namespace

void VirtualFleet::dispatch(Host& host, const Ports::UpstreamCall& call)
{
    const std::uint64_t serial = m_serial++;
    m_attempts[serial] = { host.name, host.incarnation, call, false };
    after(1ms, [this, serial] { beginAttempt(serial); });
}

void VirtualFleet::beginAttempt(std::uint64_t serial)
{
    const Attempt& attempt = m_attempts.at(serial);
    Upstream& upstream = m_upstreams.at(attempt.call.upstream);
    LogicalRequest& request = m_record.requests[indexOf(attempt.call)];
    if (attempt.ended)
        return;
    const int faultDraw = m_options.faults.lostAnswers ? draw(100) : 99;
    if (faultDraw < 8) {
        m_lastFault = m_now;
        endAttempt(serial, faultDraw < 4 ? AttemptEnd::Refused : AttemptEnd::NotSent);
        return;
    }
    request.runs.push_back(m_now);
    if (++upstream.running > upstreamSlots && m_now > m_lastFault + settleTime)
        ++m_record.violations[Guarantee::SlotLimitKept];
    milliseconds runTime(5 + draw(50));
    if (m_options.faults.lateAnswers && chance(10))
        runTime = milliseconds(300 + draw(1500));
    AttemptEnd end = AttemptEnd::Answered;
    if (faultDraw < 20)
        end = faultDraw < 14 ? AttemptEnd::Lost : AttemptEnd::Truncated;
    if (request.harmful) {
        end = AttemptEnd::Lost;
        ++request.losses;
    }
    if (end != AttemptEnd::Answered)
        m_lastFault = m_now;
    after(runTime, [this, serial, end] { finishAttempt(serial, end); });
}

void VirtualFleet::finishAttempt(std::uint64_t serial, AttemptEnd end)
{
    --m_upstreams.at(m_attempts.at(serial).call.upstream).running;
    endAttempt(serial, end);
}

void VirtualFleet::endAttempt(std::uint64_t serial, AttemptEnd end)
{
    Attempt& attempt = m_attempts.at(serial);
    if (attempt.ended)
        return;
    attempt.ended = true;
    Ports::UpstreamResult result;
    result.attempt = attempt.call.attempt;
    result.end = end;
    if (end == AttemptEnd::Answered) {
        result.status = 200;
        result.body = std::make_shared<const std::string>("result of " + *attempt.call.body);
    }
    after(1ms, [this, name = attempt.host, incarnation = attempt.incarnation, result] {
        onHost(name, incarnation, [this, result](Host& host) { host.core->onAttemptEnded(momentOf(host), result); });
    });
}

void VirtualFleet::cancel(Host& host, Ports::AttemptId id)
{
    m_lastFault = m_now;
    for (auto& [serial, attempt] : m_attempts) {
        if (attempt.host == host.name && attempt.incarnation == host.incarnation && attempt.call.attempt == id) {
            endAttempt(serial, AttemptEnd::Cancelled);
            return;
        }
    }
}

void VirtualFleet::sendRequest(std::size_t index)
{
    LogicalRequest& request = m_record.requests[index];
    std::vector<HostId> hosts;
    for (const auto& name : hostsOf(request.dataCentre)) {
        if (m_hosts.at(name).core)
            hosts.push_back(name);
    }
    if (hosts.empty() || request.tries.size() >= maximumTries)
        return;
    const HostId name = hosts[static_cast<std::size_t>(draw(static_cast<int>(hosts.size())))];
    Host& host = m_hosts.at(name);
    Ports::CallerRequest message;
    message.handle = m_serial++;
    message.service = request.service;
    message.team = request.team;
    message.priority = request.priority;
    message.idempotencyKey = request.key;
    message.idempotent = request.idempotent;
    message.timeLeft = milliseconds(200 + draw(1200));
    message.body = std::make_shared<const std::string>(request.body);
    Try attempt;
    attempt.host = name;
    attempt.sentAt = m_now;
    attempt.deadline = m_now + message.timeLeft;
    attempt.hostFailed = host.frozen;
    request.tries.push_back(std::move(attempt));
    m_handles[message.handle] = { index, request.tries.size() - 1 };
    onHost(name, host.incarnation, [this, message](Host& awake) { awake.core->onCallerRequest(momentOf(awake), message); });
    if (chance(request.key.empty() ? 3 : 15)) {
        // The caller disconnects before the answer and retries on another host.
        after(milliseconds(1 + draw(300)), [this, handle = message.handle, index, name, incarnation = host.incarnation] {
            Try& tried = m_record.requests[index].tries[m_handles.at(handle).second];
            if (tried.answers > 0)
                return;
            tried.disconnected = true;
            onHost(name, incarnation, [this, handle](Host& awake) { awake.core->onCallerDisconnected(momentOf(awake), handle); });
            retryRequest(index, milliseconds(draw(20)));
        });
    } else if (!request.key.empty() && chance(15)) {
        retryRequest(index, milliseconds(draw(400))); // The caller sends a second try while the first one is still open.
    }
}

void VirtualFleet::retryRequest(std::size_t index, milliseconds wait)
{
    if (!m_record.requests[index].key.empty())
        after(wait, [this, index] { sendRequest(index); });
}

void VirtualFleet::onAnswer(const Decision::AnswerCaller& action)
{
    const auto [index, number] = m_handles.at(action.handle);
    Try& attempt = m_record.requests[index].tries[number];
    ++attempt.answers;
    attempt.answeredAt = m_now;
    attempt.answer = action.answer;
    const bool done = action.answer.outcome == Ports::Outcome::Done;
    if (!done || chance(10))
        retryRequest(index, std::min<milliseconds>(action.answer.retryAfter, 400ms) + milliseconds(draw(500)));
}

void VirtualFleet::planCancelWave(Instant when)
{
    at(when, [this] {
        for (const auto& [handle, place] : std::map(m_handles)) {
            const LogicalRequest& request = m_record.requests[place.first];
            const Try& attempt = request.tries[place.second];
            Host& host = m_hosts.at(attempt.host);
            if (attempt.answers > 0 || !host.core || host.frozen || chance(30))
                continue;
            m_record.requests[place.first].tries[place.second].disconnected = request.key.empty();
            onHost(host.name, host.incarnation, [&, handle = handle](Host& awake) {
                if (request.key.empty())
                    awake.core->onCallerDisconnected(momentOf(awake), handle);
                else
                    awake.core->cancelByKey(momentOf(awake), request.team, request.key);
            });
        }
    });
}

void VirtualFleet::planFaults()
{
    const FaultPlan& faults = m_options.faults;
    for (Instant when { 3s }; when < Instant(6500ms); when += milliseconds(300 + draw(1500))) {
        if (faults.cancelWaves && chance(50))
            planCancelWave(when);
        planHostFault(when);
    }
}

void VirtualFleet::planHostFault(Instant when)
{
    const FaultPlan& faults = m_options.faults;
    std::vector<HostId> names;
    for (const auto& [name, host] : m_hosts)
        names.push_back(name);
    const HostId name = names[m_random() % names.size()];
    const HostId other = names[m_random() % names.size()];
    const milliseconds length(50 + draw(3000));
    const auto later = when + length;
    std::vector<Task> kinds;
    if (faults.crashes)
        kinds.push_back([&] {
            at(when, [this, name] { crash(m_hosts.at(name)); });
            at(when + length / 2, [this, name] { m_hosts.at(name).core ? void() : start(m_hosts.at(name)); });
        });
    if (faults.cut)
        kinds.push_back([&] {
            at(when, [this, name, other] { setCut(name, other, true); });
            at(later, [this, name, other] { setCut(name, other, false); });
        });
    if (faults.freeze)
        kinds.push_back([&] {
            at(when, [this, name] { freeze(m_hosts.at(name), true); });
            at(later, [this, name] { freeze(m_hosts.at(name), false); });
        });
    if (faults.storeCut)
        kinds.push_back([&] {
            at(when, [this, name] { m_hosts.at(name).storeCut = true; });
            at(later, [this, name] { m_hosts.at(name).storeCut = false; });
        });
    if (faults.drain)
        kinds.push_back([&] {
            at(when, [this, name] { m_hosts.at(name).leaving = true; m_lastFault = m_now; });
            at(later, [this, name] { m_hosts.at(name).leaving = false; m_lastFault = m_now; });
        });
    if (faults.isolatedPair)
        kinds.push_back([&] {
            at(when, [this, name, other, names] {
                for (const auto& outside : names) {
                    if (outside == name || outside == other)
                        continue;
                    setCut(name, outside, true);
                    setCut(other, outside, true);
                }
                m_hosts.at(name).storeCut = m_hosts.at(other).storeCut = true;
            });
        });
    if (!kinds.empty())
        kinds[m_random() % kinds.size()]();
}

void VirtualFleet::repairFaults()
{
    const auto cuts = m_cuts;
    for (const auto& [a, b] : cuts)
        setCut(a, b, false);
    for (auto& [name, host] : m_hosts) {
        host.storeCut = false;
        host.leaving = false;
        if (host.frozen)
            freeze(host, false);
        if (!host.core)
            start(host);
    }
}

void VirtualFleet::checkIdle()
{
    for (auto& [name, host] : m_hosts) {
        unsigned queued = 0;
        unsigned busy = 0;
        for (const auto& load : host.core->loads(m_now)) {
            queued += load.queued;
            busy += load.busy;
        }
        if (host.core->open() > 0 || host.core->attemptsInFlight() > 0 || queued > 0 || busy > 0)
            ++m_record.violations[Guarantee::NoLeaks];
        m_record.offloaded += static_cast<unsigned>(host.core->counts().offloaded);
    }
    for (const auto& request : m_record.requests) {
        if (request.harmful && request.losses > 2)
            ++m_record.violations[Guarantee::HarmfulBounded];
    }
}

} // namespace RequestTests
