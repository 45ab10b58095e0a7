#include "RequestSimulationImpl.h"

#include <algorithm>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration upstreamLatency = 200us;
    constexpr Duration failureTime = 2ms;
    constexpr Duration reactionTime = 20ms; ///< Longest time that a caller adds to the told retry time.
    constexpr Duration patience = 20s; ///< From the first ask to the last.
    constexpr Duration lostRetry = 1s; ///< When to ask again after an unknown outcome that named no time.
    constexpr int serverError = 500;
    constexpr int success = 200;
    constexpr unsigned hostShift = 48;

    std::uint64_t taskId(std::size_t host, Ports::AttemptId attempt) { return (static_cast<std::uint64_t>(host) << hostShift) | attempt; }

} // namespace

std::size_t Simulation::upstreamNamed(const std::string& name) const
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) { return upstream.name == name; });
    return static_cast<std::size_t>(it - m_upstreams.begin());
}

void Simulation::dispatch(std::size_t host, const Ports::UpstreamCall& call)
{
    ++m_tally.counts.attempts;
    m_tally.started(m_events.now(), std::stoul(*call.body));
    m_events.after(upstreamLatency, [=, this] { taskArrives(host, call); });
}

void Simulation::taskArrives(std::size_t host, const Ports::UpstreamCall& call)
{
    const auto index = upstreamNamed(call.upstream);
    Upstream& upstream = m_upstreams[index];
    const auto want = std::stoul(*call.body);
    if (upstream.running >= slotsPerUpstream) {
        m_tally.overCommit(afterDeath());
        result(host, call.attempt, Ports::AttemptEnd::Refused, 0);
        return;
    }
    ++upstream.running;
    m_tasks[taskId(host, call.attempt)] = { index, want, m_events.now() };
    m_tally.counts.failedTasks += upstream.failing ? 1 : 0;
    const auto runTime = upstream.failing ? failureTime : m_wants[want].run * upstream.slowness;
    const int status = upstream.failing ? serverError : success;
    m_events.after(runTime, [=, this, attempt = call.attempt] { endTask(host, attempt, Ports::AttemptEnd::Answered, status); });
}

void Simulation::endTask(std::size_t host, Ports::AttemptId attempt, Ports::AttemptEnd end, int status)
{
    const auto it = m_tasks.find(taskId(host, attempt));
    if (it == m_tasks.end())
        return;
    const Task task = it->second;
    m_tasks.erase(it);
    --m_upstreams[task.upstream].running;
    if (end == Ports::AttemptEnd::Answered && status == success)
        m_runs[task.want] = { task.begin, m_events.now() };
    if (m_wants[task.want].cancelAt > 0us && m_events.now() >= m_wants[task.want].cancelAt)
        m_tally.cancelledWork(task.begin, m_events.now());
    result(host, attempt, end, status);
}

void Simulation::result(std::size_t host, Ports::AttemptId attempt, Ports::AttemptEnd end, int status)
{
    m_events.after(upstreamLatency, [=, this] {
        drive(host, [&](auto& core) { core.onAttemptEnded(moment(), { attempt, end, status, {}, nullptr }); });
    });
}

void Simulation::ask(std::size_t want, bool first)
{
    if (m_over[want])
        return;
    std::vector<double> weights;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        weights.push_back(m_hosts[i].alive ? m_scenario.hostWeights[i] : 0);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    const auto host = pick(m_random);
    const Want& it = m_wants[want];
    const auto now = m_events.now();
    const auto handle = m_nextHandle++;
    m_tally.asked(now, want, first);
    m_asks[handle] = { want, host, now, now + it.timeLeft };
    m_lastAsk[want] = handle;
    Ports::CallerRequest request;
    request.handle = handle;
    request.service = serviceName(it.service);
    request.team = teamProfiles()[it.team].name;
    request.priority = priorityName(it.rank);
    request.idempotencyKey = it.key;
    request.idempotent = it.key.empty();
    request.timeLeft = it.timeLeft;
    request.body = std::make_shared<const std::string>(std::to_string(want));
    drive(host, [&](auto& core) { core.onCallerRequest(moment(), request); });
}

void Simulation::answered(std::uint64_t handle, const Ports::Answer& answer)
{
    Ask& ask = m_asks.at(handle);
    if (!ask.open)
        return;
    ask.open = false;
    const auto now = m_events.now();
    const auto want = ask.want;
    m_tally.answeredAfter(ask.deadline, now);
    if (answer.outcome == Ports::Outcome::Done) {
        m_over[want] = true;
        m_tally.ended(now, want, answer.status == success && now <= ask.deadline, m_runs[want].begin, m_runs[want].end);
        return;
    }
    if (answer.outcome == Ports::Outcome::NotRun)
        m_tally.refused(ask.at, now);
    else
        ++m_tally.counts.unknownAnswers;
    const bool refusedForGood = answer.outcome == Ports::Outcome::NotRun && answer.retryAfter == 0ms;
    m_tally.waitsToReturn(now, want);
    if (refusedForGood) {
        m_over[want] = true;
        m_tally.ended(now, want, false, {}, {});
        return;
    }
    comeBack(want, answer.retryAfter > 0ms ? Duration(answer.retryAfter) : lostRetry);
}

void Simulation::comeBack(std::size_t want, Duration delay)
{
    std::uniform_int_distribution<Duration::rep> reaction(0, reactionTime.count());
    const auto wait = delay + Duration(reaction(m_random));
    if (m_events.now() + wait > m_wants[want].at + patience) {
        m_over[want] = true;
        m_tally.ended(m_events.now(), want, false, {}, {});
        return;
    }
    m_events.after(wait, [=, this] { ask(want, false); });
}

void Simulation::cancel(std::size_t want)
{
    if (m_over[want])
        return;
    m_over[want] = true;
    m_tally.ended(m_events.now(), want, false, {}, {});
    Ask& ask = m_asks.at(m_lastAsk[want]);
    if (!ask.open)
        return;
    ask.open = false;
    drive(ask.host, [&, handle = m_lastAsk[want]](auto& core) { core.onCallerDisconnected(moment(), handle); });
}

} // namespace RequestBench
