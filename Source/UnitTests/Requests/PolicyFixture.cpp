#include "Requests/PolicyFixture.h"

namespace PolicyTests {

using namespace std::chrono_literals;

namespace {

    constexpr const char* pool = "desk";

    std::shared_ptr<const Objects::ObjectSet> makeObjects(const FixtureSettings& settings)
    {
        auto objects = std::make_shared<Objects::ObjectSet>();
        objects->domains["imlil"] = { "imlil", Objects::DomainLevel::DataCentre, "atlas" };
        objects->pools[pool].name = pool;
        auto& service = objects->services["booking"];
        service.name = "booking";
        service.pool = pool;
        service.expectedRunTime = settings.declaredRunTime;
        objects->priorities["urgent"] = { "urgent", 0 };
        objects->priorities["batch"] = { "batch", 1 };
        objects->teams["hotels"] = { "hotels", { "urgent", "batch" }, 0, 1 };
        objects->teams["capped"] = { "capped", { "urgent", "batch" }, settings.slotQuota, 1 };
        return objects;
    }

} // namespace

PolicyFixture::PolicyFixture(const FixtureSettings& settings)
    : core(Decision::RequestCore::create({ "entry-1", "imlil", 1, 7 }, settings.limits, settings.guards))
{
    core->setConfiguration(moment(), makeObjects(settings), 1);
    std::vector<Decision::PoolUpstream> upstreams;
    for (unsigned n = 0; n < settings.upstreams; ++n)
        upstreams.push_back({ "desk-" + std::to_string(n), "127.0.0.1:1", 8 });
    core->setUpstreams(moment(), pool, upstreams);
}

Decision::Moment PolicyFixture::moment() const
{
    return { m_now, Common::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())) };
}

void PolicyFixture::collect()
{
    for (const auto& action : core->takeActions()) {
        if (const auto* it = std::get_if<Decision::DispatchAttempt>(&action)) {
            inFlight.push_back(it->call);
            startedPriorities.push_back(*it->call.body);
        } else if (const auto* it = std::get_if<Decision::AnswerCaller>(&action))
            answers[it->handle] = { it->answer, m_now };
        else if (const auto* it = std::get_if<Decision::CancelAttempt>(&action))
            cancelled.push_back(it->attempt);
    }
}

Ports::CallerHandle PolicyFixture::sendRequest(const std::string& priority, std::chrono::milliseconds timeLeft, const std::string& team)
{
    Ports::CallerRequest request;
    request.handle = m_nextHandle++;
    request.service = "booking";
    request.team = team;
    request.priority = priority;
    request.idempotent = true;
    request.timeLeft = timeLeft;
    request.body = std::make_shared<const std::string>(priority);
    core->onCallerRequest(moment(), request);
    collect();
    return request.handle;
}

void PolicyFixture::disconnect(Ports::CallerHandle handle)
{
    core->onCallerDisconnected(moment(), handle);
    collect();
}

void PolicyFixture::endOldest(Ports::AttemptEnd how, int status)
{
    const auto call = inFlight.front();
    end(call, how, status);
}

void PolicyFixture::end(const Ports::UpstreamCall& call, Ports::AttemptEnd how, int status)
{
    const auto attempt = call.attempt;
    std::erase_if(inFlight, [&](const auto& it) { return it.attempt == attempt; });
    core->onAttemptEnded(moment(), { attempt, how, status, {}, nullptr });
    collect();
}

void PolicyFixture::advance(std::chrono::microseconds time)
{
    const auto until = m_now + time;
    for (auto next = core->nextDeadline(); next && *next <= until; next = core->nextDeadline()) {
        m_now = std::max(m_now, *next);
        core->tick(moment());
        collect();
    }
    m_now = until;
}

void PolicyFixture::receiveHeartbeat(const Ports::HostId& from, const std::vector<Messages::UpstreamUse>& uses)
{
    Messages::Heartbeat heartbeat;
    heartbeat.dataCentre = "imlil";
    heartbeat.loads.push_back({ pool, 0, 0, 0, 0ms, uses });
    core->peerMessage(moment(), from, heartbeat);
    collect();
}

const TimedAnswer* PolicyFixture::answerOf(Ports::CallerHandle handle) const
{
    const auto it = answers.find(handle);
    return it == answers.end() ? nullptr : &it->second;
}

unsigned PolicyFixture::queued() const
{
    unsigned queued = 0;
    for (const auto& load : core->loads(m_now))
        queued += load.queued;
    return queued;
}

} // namespace PolicyTests
