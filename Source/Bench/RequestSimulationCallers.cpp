#include "RequestSimulationImpl.h"

#include <algorithm>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration upstreamLatency = 200us;
    constexpr Duration failureTime = 2ms;
    constexpr Duration maximumReactionTime = 20ms; ///< Largest delay that a caller adds to the retry time it was sent.
    constexpr Duration retryWindow = 20s; ///< From the first submission to the last.
    constexpr Duration unknownOutcomeRetry = 1s; ///< Delay before resubmission after an unknown outcome without a retry time.
    constexpr int serverError = 500;
    constexpr int success = 200;
    constexpr unsigned hostShift = 48;

    std::uint64_t taskId(std::size_t host, Ports::AttemptId attempt) { return (static_cast<std::uint64_t>(host) << hostShift) | attempt; }

} // namespace

std::size_t Simulation::upstreamIndex(const std::string& name) const
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) { return upstream.name == name; });
    return static_cast<std::size_t>(it - m_upstreams.begin());
}

void Simulation::dispatch(std::size_t host, const Ports::UpstreamCall& call)
{
    ++m_tally.counts.attempts;
    m_tally.started(m_events.now(), std::stoul(*call.body));
    m_events.after(upstreamLatency, [=, this] { startTask(host, call); });
}

void Simulation::startTask(std::size_t host, const Ports::UpstreamCall& call)
{
    const auto index = upstreamIndex(call.upstream);
    Upstream& upstream = m_upstreams[index];
    const auto operation = std::stoul(*call.body);
    if (upstream.running >= slotsPerUpstream) {
        m_tally.countOverCommitted(afterDeath());
        sendResult(host, call.attempt, Ports::AttemptEnd::Refused, 0);
        return;
    }
    ++upstream.running;
    m_tasks[taskId(host, call.attempt)] = { index, operation, m_events.now() };
    m_tally.counts.failedTasks += upstream.failing ? 1 : 0;
    const auto runTime = upstream.failing ? failureTime : m_operations[operation].runTime * upstream.slowness;
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
        m_lastRuns[task.operation] = { task.begin, m_events.now() };
    if (m_operations[task.operation].cancelAt > 0us && m_events.now() >= m_operations[task.operation].cancelAt)
        m_tally.excludeCancelled(task.begin, m_events.now());
    sendResult(host, attempt, end, status);
}

void Simulation::sendResult(std::size_t host, Ports::AttemptId attempt, Ports::AttemptEnd end, int status)
{
    m_events.after(upstreamLatency, [=, this] {
        drive(host, [&](auto& core) { core.onAttemptEnded(moment(), { attempt, end, status, {}, nullptr }); });
    });
}

void Simulation::submit(std::size_t operation, bool first)
{
    if (m_finished[operation])
        return;
    std::vector<double> weights;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        weights.push_back(m_hosts[i].alive ? m_scenario.hostWeights[i] : 0);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    const auto host = pick(m_random);
    const Operation& it = m_operations[operation];
    const auto now = m_events.now();
    const auto handle = m_nextHandle++;
    m_tally.submitted(now, operation, first);
    m_submissions[handle] = { operation, host, now, now + it.timeLeft };
    m_lastSubmission[operation] = handle;
    Ports::CallerRequest request;
    request.handle = handle;
    request.service = serviceName(it.service);
    request.team = teamProfiles()[it.team].name;
    request.priority = priorityName(it.rank);
    request.idempotencyKey = it.key;
    request.idempotent = it.key.empty();
    request.timeLeft = it.timeLeft;
    request.body = std::make_shared<const std::string>(std::to_string(operation));
    drive(host, [&](auto& core) { core.onCallerRequest(moment(), request); });
}

void Simulation::handleAnswer(std::uint64_t handle, const Ports::Answer& answer)
{
    Submission& submission = m_submissions.at(handle);
    if (!submission.open)
        return;
    submission.open = false;
    const auto now = m_events.now();
    const auto operation = submission.operation;
    m_tally.answered(submission.deadline, now);
    if (answer.outcome == Ports::Outcome::Done) {
        m_finished[operation] = true;
        m_tally.ended(now, operation, answer.status == success && now <= submission.deadline, m_lastRuns[operation].begin, m_lastRuns[operation].end);
        return;
    }
    if (answer.outcome == Ports::Outcome::NotRun)
        m_tally.refused(submission.at, now);
    else
        ++m_tally.counts.unknownAnswers;
    const bool isFinalRefusal = answer.outcome == Ports::Outcome::NotRun && answer.retryAfter == 0ms;
    m_tally.awaitsRetry(now, operation);
    if (isFinalRefusal) {
        m_finished[operation] = true;
        m_tally.ended(now, operation, false, {}, {});
        return;
    }
    resubmitAfter(operation, answer.retryAfter > 0ms ? Duration(answer.retryAfter) : unknownOutcomeRetry);
}

void Simulation::resubmitAfter(std::size_t operation, Duration delay)
{
    std::uniform_int_distribution<Duration::rep> reaction(0, maximumReactionTime.count());
    const auto wait = delay + Duration(reaction(m_random));
    if (m_events.now() + wait > m_operations[operation].at + retryWindow) {
        m_finished[operation] = true;
        m_tally.ended(m_events.now(), operation, false, {}, {});
        return;
    }
    m_events.after(wait, [=, this] { submit(operation, false); });
}

void Simulation::cancel(std::size_t operation)
{
    if (m_finished[operation])
        return;
    m_finished[operation] = true;
    m_tally.ended(m_events.now(), operation, false, {}, {});
    Submission& submission = m_submissions.at(m_lastSubmission[operation]);
    if (!submission.open)
        return;
    submission.open = false;
    drive(submission.host, [&, handle = m_lastSubmission[operation]](auto& core) { core.onCallerDisconnected(moment(), handle); });
}

} // namespace RequestBench
