#include "FakeApiClient.h"

#include "Objects/ObjectSetLoader.h"

#include <algorithm>
#include <utility>

namespace UnitTests {

using Ctl::ApiError;
using Ctl::ApiFailure;
using Ctl::PublishOutcome;

Ctl::PublishAnswer FakeFleet::apply(const Ctl::PublishCall& call)
{
    if (call.changeId == changeId)
        return { PublishOutcome::Accepted, revision, 0, {}, {}, {} };
    if (call.baseRevision != revision)
        return { PublishOutcome::Conflict, 0, revision, changeId, author, {} };
    ++revision;
    document = call.document;
    changeId = call.changeId;
    return { PublishOutcome::Accepted, revision, 0, {}, {}, {} };
}

Ctl::PublishAnswer FakeFleet::publish(const Ctl::PublishCall& call)
{
    publications.push_back(call);
    PublishFault fault = PublishFault::None;
    if (!faults.empty()) {
        fault = faults.front();
        faults.pop_front();
    }
    switch (fault) {
    case PublishFault::None:
        return apply(call);
    case PublishFault::LostAfter:
        apply(call);
        throw ApiError(ApiFailure::AnswerLost, "the answer was lost");
    case PublishFault::LostBefore:
        throw ApiError(ApiFailure::AnswerLost, "the answer was lost");
    case PublishFault::Unsettled:
        apply(call);
        return { PublishOutcome::Unsettled, 0, 0, {}, {}, {} };
    case PublishFault::StoreAway:
        return { PublishOutcome::Unavailable, 0, 0, {}, {}, {} };
    case PublishFault::Unreachable:
        break;
    }
    throw ApiError(ApiFailure::Unreachable, "no server answers");
}

Ctl::FleetStatus FakeApiClient::status()
{
    Ctl::FleetStatus status;
    status.host = "entry-1";
    status.dataCentre = "imlil";
    status.ready = true;
    status.revision = m_fleet.revision;
    status.members = m_fleet.members;
    status.inForce = m_fleet.inForce;
    status.alarms = { "store away" };
    if (++m_fleet.statusCalls > m_fleet.spreadsAfter) {
        for (auto& host : status.inForce)
            host.revision = m_fleet.revision;
    }
    return status;
}

Ctl::Configuration FakeApiClient::configuration()
{
    Ctl::Configuration configuration { m_fleet.revision, m_fleet.document };
    if (!m_fleet.raceDocument.empty()) {
        m_fleet.document = std::exchange(m_fleet.raceDocument, {});
        m_fleet.author = "brahim";
        m_fleet.changeId = "change-of-brahim";
        ++m_fleet.revision;
    }
    return configuration;
}

void FakeApiClient::move(const Ctl::MoveCall& call) { m_fleet.calls.push_back("move " + call.upstream + " " + call.target); }

void FakeApiClient::setWavePaused(const std::string& wave, bool paused)
{
    if (wave == "unknown")
        throw ApiError(ApiFailure::Refused, "the server refused (HTTP 404): no such wave");
    m_fleet.calls.push_back((paused ? "pause " : "resume ") + wave);
}

RunResult runCtl(FakeFleet& fleet, const std::vector<std::string>& arguments)
{
    FakeClock clock;
    std::ostringstream out;
    std::ostringstream err;
    const auto makeApi = [&](const Ctl::Options&) -> std::unique_ptr<Ctl::ApiClient> { return std::make_unique<FakeApiClient>(fleet); };
    const auto code = Ctl::Application({ makeApi, clock, out, err }).run(arguments);
    return { code, out.str(), err.str() };
}

std::string demoPath() { return MARIGOLD_SOURCE_ROOT "/examples/demo"; }

Objects::ObjectSet demoSet() { return Objects::ObjectSetLoader::loadFiles({ demoPath() }).take(); }

} // namespace UnitTests
