#include "Standins/ExecutorStandin.h"

#include "Common/Rendezvous.h"
#include "Standins/HttpServer.h"
#include "Standins/StandinJson.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace Standins {

namespace {

    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int cancelledStatus = 499;
    constexpr int failed = 500;
    constexpr int unavailable = 503;
    constexpr int crashExitCode = 3;
    constexpr std::string_view runPath = "/run/";

    struct FaultName {
        const char* name;
        ExecutorFaultMode mode;
    };

    constexpr FaultName faultNames[] = {
        { "none", ExecutorFaultMode::None },
        { "fail-fast", ExecutorFaultMode::FailFast },
        { "truncate", ExecutorFaultMode::Truncate },
        { "hang", ExecutorFaultMode::Hang },
        { "hold", ExecutorFaultMode::Hold },
        { "wrong-id", ExecutorFaultMode::WrongId },
        { "slow", ExecutorFaultMode::Slow },
        { "crash-on-body", ExecutorFaultMode::CrashOnBody },
    };

    Json::Value countsJson(const std::map<std::string, std::uint64_t>& counts)
    {
        Json::Value value(Json::objectValue);
        for (const auto& [name, count] : counts)
            value[name] = Json::UInt64(count);
        return value;
    }

} // namespace

std::string bodyHash(const std::string& body)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, Common::hash64(body));
    return text.data();
}

class ExecutorStandin::Private {
public:
    Private(Adapters::EventLoop& loop, const ExecutorSettings& settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_random(settings.seed)
    {
    }

    void serve(const ExchangePtr& exchange)
    {
        m_stats.maximumConnections = std::max(m_stats.maximumConnections, m_server->connectionCount());
        const Request& request = exchange->request();
        const std::string route = request.path.starts_with(runPath) ? request.method + " run" : request.method + " " + request.path;
        static const std::map<std::string, void (Private::*)(const ExchangePtr&)> s_routes {
            { "POST run", &Private::run },
            { "DELETE run", &Private::cancel },
            { "GET /runs", &Private::showRuns },
            { "GET /stats", &Private::showStats },
            { "POST /fault", &Private::handleFault },
        };
        const auto it = s_routes.find(route);
        if (it == s_routes.end())
            exchange->reply({ notFound, {}, {} });
        else
            (this->*it->second)(exchange);
    }

    void setFault(const ExecutorFault& fault)
    {
        m_fault = fault;
        if (fault.mode == ExecutorFaultMode::Hold)
            return;
        std::vector<TaskId> held;
        for (const auto& [id, task] : m_tasks) {
            if (task.fault == ExecutorFaultMode::Hold)
                held.push_back(id);
        }
        for (const auto id : held)
            finish(id);
    }

    Adapters::EventLoop& m_loop;
    const ExecutorSettings m_settings;
    std::unique_ptr<HttpServer> m_server;
    ExecutorStats m_stats;
    std::map<std::string, std::uint64_t> m_runsByBody; ///< Number of runs by the body's hash.

private:
    /// A task that occupies a slot.
    struct Task {
        std::string requestId;
        ExchangePtr exchange;
        ExecutorFaultMode fault = ExecutorFaultMode::None;
        Adapters::EventLoop::TimerId timer = 0;
    };

    using TaskId = std::uint64_t;

    static Response responseTo(const Task& task, int status, const char* verb)
    {
        const std::string& body = task.exchange->request().body;
        const std::string id = task.fault == ExecutorFaultMode::WrongId ? "not-" + task.requestId : task.requestId;
        return { status, { { "Marigold-Request-Id", id }, { "Content-Type", "text/plain" } },
            std::string(verb) + " " + task.requestId + " " + bodyHash(body) + " " + body };
    }

    void run(const ExchangePtr& exchange)
    {
        const Request& request = exchange->request();
        Task task { request.header("marigold-request-id"), exchange, m_fault.mode, 0 };
        if (task.requestId.empty()) {
            exchange->reply({ badRequest, { { "Marigold-Refused", "not-run" } }, "missing Marigold-Request-Id" });
            return;
        }
        if (m_stats.running >= m_settings.slots) {
            ++m_stats.refused;
            exchange->reply({ unavailable, { { "Marigold-Request-Id", task.requestId }, { "Marigold-Refused", "not-run" } }, {} });
            return;
        }
        if (task.fault == ExecutorFaultMode::CrashOnBody && request.body.find(m_fault.marker) != std::string::npos)
            std::_Exit(crashExitCode);
        countStart(task);
        if (task.fault == ExecutorFaultMode::FailFast)
            exchange->reply(responseTo(task, failed, "failed"));
        else
            occupySlot(std::move(task));
    }

    void countStart(const Task& task)
    {
        ++m_stats.ran;
        ++m_runsById[task.requestId];
        ++m_runsByBody[bodyHash(task.exchange->request().body)];
    }

    /// As with a real executor, the task continues when its client disconnects.
    void occupySlot(Task task)
    {
        const TaskId id = ++m_lastTask;
        m_stats.maximumRunning = std::max(m_stats.maximumRunning, ++m_stats.running);
        if (task.fault != ExecutorFaultMode::Hang && task.fault != ExecutorFaultMode::Hold)
            task.timer = m_loop.after(runTimeOf(task), [this, id] { finish(id); });
        m_tasks[id] = std::move(task);
    }

    std::chrono::milliseconds runTimeOf(const Task& task)
    {
        const std::string& body = task.exchange->request().body;
        const auto object = body.starts_with('{') ? parseJsonObject(body) : std::nullopt;
        std::uniform_real_distribution<double> factor(1 - m_settings.jitter, 1 + m_settings.jitter);
        auto runTime = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(m_settings.runTime.count()) * factor(m_random)));
        if (object && (*object)["runMs"].isInt64())
            runTime = std::chrono::milliseconds((*object)["runMs"].asInt64());
        return task.fault == ExecutorFaultMode::Slow ? runTime + m_fault.delay : runTime;
    }

    Task removeTask(TaskId id)
    {
        const auto it = m_tasks.find(id);
        Task task = std::move(it->second);
        m_tasks.erase(it);
        --m_stats.running;
        return task;
    }

    void finish(TaskId id)
    {
        const Task task = removeTask(id);
        const Response response = responseTo(task, 200, "ran");
        if (task.fault == ExecutorFaultMode::Truncate)
            task.exchange->replyTruncated(response);
        else
            task.exchange->reply(response);
    }

    void cancel(const ExchangePtr& exchange)
    {
        const std::string requestId = exchange->request().path.substr(runPath.size());
        const auto it = std::find_if(m_tasks.begin(), m_tasks.end(), [&](const auto& it) { return it.second.requestId == requestId; });
        if (it == m_tasks.end()) {
            exchange->reply({ notFound, {}, {} });
            return;
        }
        const Task task = removeTask(it->first);
        m_loop.cancel(task.timer);
        ++m_stats.cancelled;
        task.exchange->reply(responseTo(task, cancelledStatus, "cancelled"));
        exchange->reply({});
    }

    void showRuns(const ExchangePtr& exchange)
    {
        Json::Value value;
        value["byId"] = countsJson(m_runsById);
        value["byBodyHash"] = countsJson(m_runsByBody);
        exchange->reply(jsonResponse(value));
    }

    void showStats(const ExchangePtr& exchange)
    {
        Json::Value value;
        value["ran"] = Json::UInt64(m_stats.ran);
        value["refused"] = Json::UInt64(m_stats.refused);
        value["cancelled"] = Json::UInt64(m_stats.cancelled);
        value["running"] = m_stats.running;
        value["maximumRunning"] = m_stats.maximumRunning;
        value["maximumConnections"] = Json::UInt64(m_stats.maximumConnections);
        value["runningBodyHashes"] = Json::Value(Json::arrayValue);
        for (const auto& [id, task] : m_tasks)
            value["runningBodyHashes"].append(bodyHash(task.exchange->request().body));
        exchange->reply(jsonResponse(value));
    }

    void handleFault(const ExchangePtr& exchange)
    {
        const auto body = parseJsonObject(exchange->request().body);
        const auto* it = std::find_if(std::begin(faultNames), std::end(faultNames), [&](const auto& it) { return body && (*body)["mode"] == it.name; });
        if (it == std::end(faultNames)) {
            exchange->reply({ badRequest, {}, {} });
            return;
        }
        const Json::Value& marker = (*body)["marker"];
        setFault({ it->mode, std::chrono::milliseconds(jsonNumber((*body)["delayMs"])), marker.isString() ? marker.asString() : "" });
        exchange->reply({});
    }

    std::mt19937_64 m_random;
    ExecutorFault m_fault;
    std::map<std::string, std::uint64_t> m_runsById;
    std::map<TaskId, Task> m_tasks;
    TaskId m_lastTask = 0;
};

ExecutorStandin::ExecutorStandin(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

ExecutorStandin::~ExecutorStandin() = default;

Common::Result<std::unique_ptr<ExecutorStandin>, StandinError> ExecutorStandin::create(
    Adapters::EventLoop& loop, const ExecutorSettings& settings)
{
    auto state = std::make_unique<Private>(loop, settings);
    auto server = HttpServer::create(
        loop, settings.port, [it = state.get()](const auto& exchange) { it->serve(exchange); }, settings.address);
    if (!server)
        return server.error();
    state->m_server = server.take();
    return std::unique_ptr<ExecutorStandin>(new ExecutorStandin(std::move(state)));
}

unsigned ExecutorStandin::port() const
{
    return m_private->m_server->port();
}

void ExecutorStandin::setFault(const ExecutorFault& fault)
{
    m_private->setFault(fault);
}

ExecutorStats ExecutorStandin::stats() const
{
    return m_private->m_stats;
}

std::uint64_t ExecutorStandin::runsOfBody(const std::string& body) const
{
    const auto it = m_private->m_runsByBody.find(bodyHash(body));
    return it == m_private->m_runsByBody.end() ? 0 : it->second;
}

void ExecutorStandin::shutdown()
{
    m_private->m_server->shutdown();
}

} // namespace Standins
