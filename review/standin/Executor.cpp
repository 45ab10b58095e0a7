#include "Executor.h"

#include "Standins/StandinJson.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Review {

using Standins::ExchangePtr;

namespace {

    constexpr std::int64_t longestLease = 6000; ///< maxHoldMs.
    constexpr std::int64_t longestWait = 2000; ///< Of a poll.
    constexpr std::size_t endsAtOnce = 500;
    constexpr milliseconds startup { 500 }; ///< Until a task that lasts is at work.

} // namespace

Executor::Executor(Adapters::EventLoop& loop, Record& record, TaskLedger& ledger, ExecutorSettings settings)
    : m_loop(loop)
    , m_record(record)
    , m_ledger(ledger)
    , m_settings(std::move(settings))
{
    auto server = Standins::HttpServer::create(loop, 0, [this](const ExchangePtr& it) { serve(it); });
    if (!server)
        throw std::runtime_error(server.error().what());
    m_server = server.take();
    m_startedAt = loop.now();
    m_born = loop.wallNow().time_since_epoch().count();
}

Json::Value Executor::entry()
{
    Json::Value value;
    value["service"] = m_settings.service;
    value["address"] = "127.0.0.1:" + std::to_string(m_server->port());
    value["zone"] = "dc";
    value["version"] = "1";
    value["slots"] = 8;
    value["state"] = "ready";
    value["coldRemainingMs"] = 0;
    value["sequence"] = Json::UInt64(++m_sequence);
    value["machine"] = m_settings.machine;
    value["born"] = Json::Int64(m_born);
    value["capacity"]["cpu"] = Json::Int64(m_settings.milliCores);
    value["capacity"]["memMb"] = 65536;
    value["capacity"]["gpu"] = 0;
    value["labels"].append("a");
    value["labels"].append(m_settings.rack);
    return value;
}

std::int64_t Executor::clock() const { return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_startedAt).count() + 1; }

Json::Value Executor::answer() const
{
    Json::Value body;
    body["clockMs"] = Json::Int64(clock());
    return body;
}

void Executor::crash()
{
    m_record.write("crash " + m_settings.id);
    m_isUp = false;
    for (const auto& [task, run] : std::exchange(m_runs, {})) {
        m_loop.cancel(run.timer);
        m_ledger.onEnd(task, run.number, m_settings.id, "crashed");
    }
    m_loop.cancel(m_leaseTimer);
    m_loop.cancel(m_pollTimer);
    m_poll = nullptr;
    m_ends.clear();
    m_highestRuns.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_sequence = 0;
    m_server->shutdown();
}

void Executor::restart(const std::string& id)
{
    if (!id.empty())
        m_settings.id = id;
    m_startedAt = m_loop.now();
    m_born = m_loop.wallNow().time_since_epoch().count();
    m_isUp = m_server->open();
    m_record.write("restart " + m_settings.id + " born " + std::to_string(m_born) + (m_isUp ? "" : ", but its port is taken"));
}

void Executor::shutdown()
{
    m_poll = nullptr;
    if (m_isUp)
        m_server->shutdown();
}

void Executor::serve(const ExchangePtr& exchange)
{
    const auto& request = exchange->request();
    const auto instance = request.header("marigoldstile-expected-instance");
    if (!instance.empty() && instance != m_settings.id) {
        exchange->reply(Standins::jsonResponse(answer(), 421));
        return;
    }
    const auto body = Standins::parseJsonObject(request.body).value_or(Json::Value(Json::objectValue));
    if (request.path == "/-/run-start")
        start(exchange, body);
    else if (request.path == "/-/run-stop")
        stop(exchange, body);
    else if (request.path == "/-/hold")
        hold(exchange, body);
    else
        exchange->reply(Standins::jsonResponse(answer(), request.path == "/-/pace" ? 200 : 404));
}

void Executor::refuse(const ExchangePtr& exchange, const char* reason) const
{
    auto body = answer();
    body["reason"] = reason;
    exchange->reply(Standins::jsonResponse(body, 409));
}

bool Executor::acceptFence(const Json::Value& body)
{
    const auto fence = body["fencingToken"].asUInt64();
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void Executor::extendLease(std::int64_t until)
{
    until = std::min(until, clock() + longestLease);
    if (until <= m_leaseUntil)
        return;
    m_leaseUntil = until;
    m_loop.cancel(m_leaseTimer);
    m_leaseTimer = m_loop.after(milliseconds(until - clock()), [this] {
        while (!m_runs.empty())
            end(std::string(m_runs.begin()->first), "lapsed");
    });
}

/// The spec of a trial's jobs is the run time of their tasks in milliseconds (zero for tasks that last), a space, and the thousandths of
/// a core that they take.
void Executor::start(const ExchangePtr& exchange, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const auto run = body["runId"].asUInt64();
    if (!acceptFence(body))
        return refuse(exchange, "fence");
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number == run)
        return exchange->reply(Standins::jsonResponse(answer()));
    const auto until = body["expiresAtMs"].asInt64();
    if (until <= clock())
        return refuse(exchange, "late");
    extendLease(until);
    if (running != m_runs.end() || run <= m_highestRuns[task])
        return refuse(exchange, "old");
    const auto spec = body["spec"].asString();
    const auto milliCores = std::stoll(spec.substr(spec.find(' ') + 1));
    std::int64_t used = 0;
    for (const auto& [key, it] : m_runs)
        used += it.milliCores;
    if (used + milliCores > m_settings.milliCores)
        return refuse(exchange, "room");
    auto& it = m_runs[task];
    it = { run, milliCores, m_loop.now(), milliseconds(std::stoll(spec)) };
    if (it.length.count() > 0)
        it.timer = m_loop.after(it.length, [this, task] { end(task, "done"); });
    m_ledger.onStart(task, run, m_settings.id);
    exchange->reply(Standins::jsonResponse(answer()));
    if (onStarted)
        onStarted(task);
}

void Executor::stop(const ExchangePtr& exchange, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const auto run = body["runId"].asUInt64();
    if (!acceptFence(body))
        return refuse(exchange, "fence");
    auto& highest = m_highestRuns[task];
    highest = std::max(highest, run);
    const auto it = m_runs.find(task);
    m_record.write("stop " + task + " run " + std::to_string(run) + " on " + m_settings.id + (it == m_runs.end() ? ", which doesn't run it" : ""));
    if (it != m_runs.end() && it->second.number <= run) {
        m_loop.cancel(it->second.timer);
        it->second.timer = m_loop.after(m_settings.stopTime, [this, task] { end(task, "stopped"); });
        if (onStopped)
            onStopped(task);
    }
    exchange->reply(Standins::jsonResponse(answer()));
}

void Executor::end(const std::string& task, const std::string& how)
{
    const auto it = m_runs.find(task);
    if (it == m_runs.end())
        return;
    const auto run = it->second.number;
    m_loop.cancel(it->second.timer);
    m_runs.erase(it);
    m_ends.push_back({ ++m_lastEnd, task, run, how });
    m_highestRuns[task] = std::max(m_highestRuns[task], run);
    m_ledger.onEnd(task, run, m_settings.id, how);
    answerPoll();
}

void Executor::hold(const ExchangePtr& exchange, const Json::Value& body)
{
    if (!acceptFence(body))
        return refuse(exchange, "fence");
    extendLease(body["expiresAtMs"].asInt64());
    const auto acknowledged = body["ackedThrough"].asUInt64();
    while (!m_ends.empty() && m_ends.front().number <= acknowledged) {
        const auto& it = m_ends.front();
        if (it.how == "done")
            m_ledger.onDoneAcknowledged(it.task, it.run, m_settings.id + " (end " + std::to_string(it.number) + ", ackedThrough " + std::to_string(acknowledged) + ")");
        m_ends.pop_front();
    }
    answerPoll();
    m_poll = exchange;
    const auto wait = std::min(body["waitMs"].asInt64(), Json::Int64(longestWait));
    if (!m_ends.empty() || wait == 0)
        answerPoll();
    else
        m_pollTimer = m_loop.after(milliseconds(wait), [this] { answerPoll(); });
}

void Executor::answerPoll()
{
    m_loop.cancel(m_pollTimer);
    const auto exchange = std::exchange(m_poll, nullptr);
    if (!exchange)
        return;
    auto body = answer();
    body["born"] = Json::Int64(m_born);
    body["running"] = Json::Value(Json::arrayValue);
    body["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, run] : m_runs) {
        const auto age = std::chrono::duration_cast<milliseconds>(m_loop.now() - run.startedAt);
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::UInt64(run.number));
        row.append("");
        const bool isLasting = run.length.count() == 0;
        const auto percent = isLasting ? std::min<std::int64_t>(100, age * 100 / startup) : std::min<std::int64_t>(99, age * 100 / run.length);
        row.append(Json::Int64(percent));
        row.append(Json::Int64(run.milliCores));
        body["running"].append(row);
    }
    for (std::size_t n = 0; n < std::min(m_ends.size(), endsAtOnce); ++n) {
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(m_ends[n].number));
        row.append(m_ends[n].task);
        row.append(Json::UInt64(m_ends[n].run));
        row.append(m_ends[n].how);
        row.append("");
        body["finished"].append(row);
    }
    exchange->reply(Standins::jsonResponse(body));
}

} // namespace Review
