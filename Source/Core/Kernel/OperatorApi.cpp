#include "Kernel/OperatorApi.h"

#include "Common/CompactJson.h"
#include "Objects/ObjectSetLoader.h"
#include "Objects/ObjectWriter.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <json/json.h>
#include <utility>

namespace Kernel {

namespace {

    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    constexpr int notFound = 404;
    constexpr int methodNotAllowed = 405;
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;
    constexpr int unavailable = 503;

    void sendJson(const Ports::OperatorReplyCallback& reply, int status, const Json::Value& value)
    {
        reply({ status, "application/json", Common::compactJson(value) + "\n" });
    }

    void sendError(const Ports::OperatorReplyCallback& reply, int status, const std::string& message)
    {
        Json::Value value;
        value["error"] = message;
        sendJson(reply, status, value);
    }

    Json::Value jsonArray(const std::vector<std::string>& items)
    {
        Json::Value value(Json::arrayValue);
        for (const auto& item : items)
            value.append(item);
        return value;
    }

    std::optional<Json::Value> parseObject(const std::string& body, std::string& errors)
    {
        Json::CharReaderBuilder builder;
        builder["rejectDupKeys"] = true;
        builder["failIfExtra"] = true;
        Json::Value value;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        if (!reader->parse(body.data(), body.data() + body.size(), &value, &errors))
            return std::nullopt;
        if (!value.isObject()) {
            errors = "expected an object";
            return std::nullopt;
        }
        return value;
    }

    bool hasText(const Json::Value& value, const char* name)
    {
        return value.isMember(name) && value[name].isString() && !value[name].asString().empty();
    }

} // namespace

OperatorApi::OperatorApi(const Settings& settings, ControlService& control, RequestService& requests, Metrics& metrics)
    : m_settings(settings)
    , m_control(control)
    , m_requests(requests)
    , m_metrics(metrics)
{
}

std::unique_ptr<OperatorApi> OperatorApi::create(const Settings& settings, ControlService& control, RequestService& requests, Metrics& metrics)
{
    return std::unique_ptr<OperatorApi>(new OperatorApi(settings, control, requests, metrics));
}

bool OperatorApi::matchesPattern(const std::string& path, const std::string& pattern)
{
    const auto star = pattern.find('*');
    if (star == std::string::npos)
        return path == pattern;
    const std::string head = pattern.substr(0, star);
    const std::string tail = pattern.substr(star + 1);
    return path.size() > head.size() + tail.size() && path.starts_with(head) && path.ends_with(tail);
}

const OperatorApi::Route* OperatorApi::findRoute(const std::string& method, const std::string& path, bool& pathKnown)
{
    static const Route s_routes[] = {
        { "GET", "/health", true, &OperatorApi::health },
        { "GET", "/ready", true, &OperatorApi::ready },
        { "GET", "/metrics", true, &OperatorApi::metrics },
        { "GET", "/v1/status", false, &OperatorApi::status },
        { "GET", "/v1/pools", false, &OperatorApi::pools },
        { "GET", "/v1/configuration", false, &OperatorApi::configuration },
        { "POST", "/v1/configuration", false, &OperatorApi::publish },
        { "POST", "/v1/validate", false, &OperatorApi::validate },
        { "GET", "/v1/audit", false, &OperatorApi::audit },
        { "POST", "/v1/moves", false, &OperatorApi::move },
        { "GET", "/v1/waves", false, &OperatorApi::waves },
        { "POST", "/v1/waves/*/pause", false, &OperatorApi::pauseWave },
        { "POST", "/v1/waves/*/resume", false, &OperatorApi::resumeWave },
    };
    for (const auto& route : s_routes) {
        if (!matchesPattern(path, route.path))
            continue;
        pathKnown = true;
        if (method == route.method)
            return &route;
    }
    return nullptr;
}

std::string OperatorApi::authenticate(const std::string& token) const
{
    if (m_settings.operators.accounts.empty())
        return "anonymous";
    for (const auto& account : m_settings.operators.accounts) {
        if (!token.empty() && account.token == token)
            return account.name;
    }
    return {};
}

void OperatorApi::onOperatorRequest(Ports::OperatorRequest request, Ports::OperatorReplyCallback reply)
{
    bool pathKnown = false;
    const Route* route = findRoute(request.method, request.path, pathKnown);
    if (!route) {
        sendError(reply, pathKnown ? methodNotAllowed : notFound, pathKnown ? "this path doesn't support the method " + request.method : "no such path");
        return;
    }
    Call call { std::move(request), {}, std::move(reply) };
    call.operatorName = authenticate(call.request.bearerToken);
    if (!route->isPublic && call.operatorName.empty()) {
        sendError(call.reply, unauthorized, "an operator's token is needed: Authorization: Bearer TOKEN");
        return;
    }
    (this->*route->handle)(call);
}

void OperatorApi::health(Call& call)
{
    call.reply({ ok, "text/plain", "ok\n" });
}

void OperatorApi::ready(Call& call)
{
    const auto status = m_control.status();
    Json::Value value;
    value["ready"] = status.ready;
    value["because"] = jsonArray(status.notReadyBecause);
    sendJson(call.reply, status.ready ? ok : unavailable, value);
}

void OperatorApi::metrics(Call& call)
{
    m_requests.publishMetrics();
    publishControlMetrics();
    call.reply({ ok, "text/plain; version=0.0.4", m_metrics.exposition() });
}

void OperatorApi::publishControlMetrics()
{
    m_metrics.setAuditBacklog(m_control.status().auditWaiting);
    for (const auto& [name, progress] : m_control.waves()) {
        const unsigned inProgress = progress.draining + progress.rebooting + progress.returning;
        m_metrics.setWaveHosts(name, WaveHostState::Done, progress.done);
        m_metrics.setWaveHosts(name, WaveHostState::Draining, progress.draining);
        m_metrics.setWaveHosts(name, WaveHostState::Rebooting, progress.rebooting + progress.returning);
        m_metrics.setWaveHosts(name, WaveHostState::Waiting, progress.total - std::min(progress.total, progress.done + inProgress));
    }
}

void OperatorApi::status(Call& call)
{
    const auto status = m_control.status();
    Json::Value value;
    value["host"] = status.host;
    value["dataCentre"] = status.dataCentre;
    value["ready"] = status.ready;
    value["notReadyBecause"] = jsonArray(status.notReadyBecause);
    value["viewEpoch"] = Json::UInt64(status.viewEpoch);
    value["members"] = jsonArray(status.members);
    value["alive"] = jsonArray(status.alive);
    value["revision"] = Json::UInt64(status.revision);
    value["highestKnownRevision"] = Json::UInt64(status.highestKnownRevision);
    value["alarms"] = jsonArray(status.alarms);
    value["auditWaiting"] = Json::UInt64(status.auditWaiting);
    value["inForce"] = Json::Value(Json::arrayValue);
    for (const auto& dataCentre : status.inForce) {
        for (const auto& host : dataCentre.hosts) {
            Json::Value item;
            item["dataCentre"] = dataCentre.dataCentre;
            item["host"] = host.host;
            item["revision"] = Json::UInt64(host.revision);
            item["ready"] = host.ready;
            value["inForce"].append(item);
        }
    }
    sendJson(call.reply, ok, value);
}

void OperatorApi::pools(Call& call)
{
    Json::Value value(Json::arrayValue);
    for (const auto& upstream : m_control.upstreams()) {
        Json::Value item;
        item["upstream"] = upstream.upstream;
        item["pool"] = upstream.pool;
        item["state"] = upstream.state;
        item["target"] = upstream.target;
        item["pinned"] = upstream.pinned;
        value.append(item);
    }
    sendJson(call.reply, ok, value);
}

void OperatorApi::configuration(Call& call)
{
    const auto document = m_control.document();
    Json::Value value;
    value["revision"] = Json::UInt64(m_control.revision());
    value["document"] = document ? *document : std::string();
    sendJson(call.reply, ok, value);
}

void OperatorApi::validate(Call& call)
{
    const auto faults = m_control.faultsOfChange(call.request.body);
    Json::Value value;
    value["valid"] = faults.empty();
    value["faults"] = jsonArray(faults);
    sendJson(call.reply, faults.empty() ? ok : unprocessable, value);
}

void OperatorApi::publish(Call& call)
{
    std::string errors;
    const auto body = parseObject(call.request.body, errors);
    if (!body) {
        sendError(call.reply, badRequest, "the body isn't a valid JSON object: " + errors);
        return;
    }
    if (!hasText(*body, "changeId") || !hasText(*body, "document") || !(*body)["baseRevision"].isUInt64()) {
        sendError(call.reply, badRequest, "required: baseRevision (number), changeId (string), document (string); optional: reason (string)");
        return;
    }
    Decision::PublishRequest request;
    request.baseRevision = (*body)["baseRevision"].asUInt64();
    request.changeId = (*body)["changeId"].asString();
    request.document = (*body)["document"].asString();
    request.author = call.operatorName;
    request.reason = hasText(*body, "reason") ? (*body)["reason"].asString() : "";
    const auto faults = m_control.faultsOfChange(request.document);
    if (!faults.empty()) {
        m_control.audit(call.operatorName, "publish " + request.changeId + ": refused: invalid", request.reason);
        Json::Value value;
        value["status"] = "invalid";
        value["faults"] = jsonArray(faults);
        sendJson(call.reply, unprocessable, value);
        return;
    }
    publishDocument(call, std::move(request));
}

void OperatorApi::publishDocument(Call& call, Decision::PublishRequest request)
{
    m_control.publish(std::move(request), [reply = call.reply](const Decision::PublishResult& result) {
        static const struct {
            Decision::PublishStatus status;
            const char* name;
            int http;
        } s_statuses[] = {
            { Decision::PublishStatus::Accepted, "accepted", ok },
            { Decision::PublishStatus::Conflict, "conflict", conflict },
            { Decision::PublishStatus::Invalid, "invalid", unprocessable },
            { Decision::PublishStatus::Unavailable, "unavailable", unavailable },
            { Decision::PublishStatus::Unsettled, "unsettled", unavailable },
        };
        const auto* it = std::find_if(std::begin(s_statuses), std::end(s_statuses), [&](const auto& row) { return row.status == result.status; });
        Json::Value value;
        value["status"] = it->name;
        value["changeId"] = result.changeId;
        value["revision"] = Json::UInt64(result.revision);
        value["currentRevision"] = Json::UInt64(result.currentRevision);
        value["currentChangeId"] = result.currentChangeId;
        value["currentAuthor"] = result.currentAuthor;
        value["faults"] = jsonArray(result.faults);
        sendJson(reply, it->http, value);
    });
}

void OperatorApi::audit(Call& call)
{
    const std::string dataCentre = call.request.query.starts_with("dataCentre=") ? call.request.query.substr(std::string("dataCentre=").size()) : m_settings.dataCentre;
    m_control.readAudit(dataCentre, [reply = call.reply](Ports::PlatformStatus status, const std::vector<std::string>& lines) {
        if (status != Ports::PlatformStatus::Ok) {
            sendError(reply, unavailable, "the platform's store doesn't answer");
            return;
        }
        std::string body;
        for (const auto& line : lines)
            body += line + "\n";
        reply({ ok, "application/x-ndjson", body });
    });
}

void OperatorApi::move(Call& call)
{
    std::string errors;
    const auto body = parseObject(call.request.body, errors);
    if (!body || !hasText(*body, "upstream") || !hasText(*body, "target")) {
        sendError(call.reply, badRequest, "required: upstream (string), target (string); optional: reason (string)");
        return;
    }
    const std::string reason = hasText(*body, "reason") ? (*body)["reason"].asString() : "";
    const auto refusal = m_control.requestMove(call.operatorName, (*body)["upstream"].asString(), (*body)["target"].asString(), reason);
    if (refusal) {
        sendError(call.reply, conflict, *refusal);
        return;
    }
    Json::Value value;
    value["status"] = "accepted";
    sendJson(call.reply, accepted, value);
}

void OperatorApi::waves(Call& call)
{
    static const char* const s_states[] = { "waiting", "running", "paused", "held", "finished", "window-closed" };
    Json::Value value(Json::arrayValue);
    const bool planning = m_control.holdsFleetDuty();
    for (const auto& [name, progress] : m_control.waves()) {
        Json::Value item;
        item["name"] = name;
        item["state"] = s_states[static_cast<std::size_t>(progress.state)];
        item["hostsTotal"] = progress.total;
        item["hostsDone"] = progress.done;
        item["hostsDraining"] = progress.draining;
        item["hostsRebooting"] = progress.rebooting;
        item["hostsReturning"] = progress.returning;
        item["hostsOverdue"] = progress.overdue;
        item["planner"] = planning;
        item["dataCentre"] = m_settings.dataCentre;
        if (progress.timeLeft) {
            item["secondsLeft"] = Json::Int64(progress.timeLeft->count());
            const std::time_t end = std::chrono::system_clock::to_time_t(Common::wallNow() + *progress.timeLeft);
            std::tm utc {};
            gmtime_r(&end, &utc);
            char text[sizeof("2026-01-01T00:00:00Z")];
            std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
            item["forecastEnd"] = text;
        }
        value.append(item);
    }
    sendJson(call.reply, ok, value);
}

void OperatorApi::pauseWave(Call& call)
{
    editWave(call, true);
}

void OperatorApi::resumeWave(Call& call)
{
    editWave(call, false);
}

void OperatorApi::editWave(Call& call, bool paused)
{
    const std::string& path = call.request.path;
    const auto begin = std::string("/v1/waves/").size();
    const std::string name = path.substr(begin, path.rfind('/') - begin);
    const auto document = m_control.document();
    auto set = Objects::ObjectSetLoader::loadText("configuration", document ? *document : "{}");
    if (!set || !set.value().waves.count(name)) {
        sendError(call.reply, notFound, "unknown wave " + name);
        return;
    }
    set.value().waves[name].paused = paused;
    // Waves are part of the configuration: pausing one publishes the objects with that one field changed.
    Decision::PublishRequest request;
    request.baseRevision = m_control.revision();
    request.changeId = "wave-" + name + (paused ? "-pause-" : "-resume-") + std::to_string(Common::wallNow().time_since_epoch().count());
    request.document = Objects::ObjectWriter::write(set.value());
    request.author = call.operatorName;
    request.reason = std::string(paused ? "pause" : "resume") + " wave " + name;
    publishDocument(call, std::move(request));
}

} // namespace Kernel
