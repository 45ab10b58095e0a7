#include "FakeApiClient.h"

#include "Objects/ObjectSetLoader.h"

#include <algorithm>
#include <utility>

namespace UnitTests {

using Ctl::ApiError;
using Ctl::ApiFailure;
using Ctl::PublishOutcome;

Ctl::PublishAnswer FakeFleet::apply(const Ctl::PublishRequest& request)
{
    if (request.changeId == changeId)
        return { PublishOutcome::Accepted, revision, 0, {}, {}, {} };
    if (request.baseRevision != revision)
        return { PublishOutcome::Conflict, 0, revision, changeId, author, {} };
    ++revision;
    document = request.document;
    changeId = request.changeId;
    return { PublishOutcome::Accepted, revision, 0, {}, {}, {} };
}

Ctl::PublishAnswer FakeFleet::publish(const Ctl::PublishRequest& request)
{
    publications.push_back(request);
    PublishFault fault = PublishFault::None;
    if (!faults.empty()) {
        fault = faults.front();
        faults.pop_front();
    }
    switch (fault) {
    case PublishFault::None:
        return apply(request);
    case PublishFault::LostAfterEffect:
        apply(request);
        throw ApiError(ApiFailure::AnswerLost, "the answer was lost");
    case PublishFault::LostBeforeEffect:
        throw ApiError(ApiFailure::AnswerLost, "the answer was lost");
    case PublishFault::Unsettled:
        apply(request);
        return { PublishOutcome::Unsettled, 0, 0, {}, {}, {} };
    case PublishFault::StoreUnavailable:
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
    status.alarms = { "store unavailable" };
    if (++m_fleet.statusCalls > m_fleet.statusCallsUntilInForce) {
        for (auto& host : status.inForce)
            host.revision = m_fleet.revision;
    }
    return status;
}

Ctl::Configuration FakeApiClient::configuration()
{
    Ctl::Configuration configuration { m_fleet.revision, m_fleet.document };
    if (!m_fleet.concurrentDocument.empty()) {
        m_fleet.document = std::exchange(m_fleet.concurrentDocument, {});
        m_fleet.author = "brahim";
        m_fleet.changeId = "change-of-brahim";
        ++m_fleet.revision;
    }
    return configuration;
}

void FakeApiClient::move(const Ctl::MoveRequest& request) { m_fleet.calls.push_back("move " + request.upstream + " " + request.target); }

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
    const auto makeClient = [&](const Ctl::Options&) -> std::unique_ptr<Ctl::ApiClient> { return std::make_unique<FakeApiClient>(fleet); };
    const auto code = Ctl::Application({ makeClient, clock, out, err }).run(arguments);
    return { code, out.str(), err.str() };
}

std::string demoPath() { return MARIGOLD_SOURCE_ROOT "/examples/demo"; }

Objects::ObjectSet demoSet() { return Objects::ObjectSetLoader::loadFiles({ demoPath() }).take(); }

} // namespace UnitTests
