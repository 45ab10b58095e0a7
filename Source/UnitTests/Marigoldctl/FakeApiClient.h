#pragma once

/// Fakes for tests of commands: a fleet with one configuration, and a clock that doesn't sleep.

#include "ApiClient.h"
#include "Application.h"
#include "Clock.h"
#include "Objects/Types.h"

#include <deque>
#include <sstream>
#include <string>
#include <vector>

namespace UnitTests {

/// Fault injected into a publication.
enum class PublishFault {
    None,
    LostBeforeEffect, ///< The request is lost before it takes effect.
    LostAfterEffect, ///< The request takes effect, but its answer is lost.
    Unsettled, ///< The request takes effect, but the server doesn't know the outcome yet.
    StoreUnavailable, ///< The server can't reach the store; the request has no effect.
    Unreachable, ///< No server is reachable; the request has no effect.
};

/// State of the fake servers: one configuration, whose last change id makes retries idempotent.
class FakeFleet {
public:
    std::uint64_t revision = 1;
    std::string document;
    std::string author = "amina";
    std::string changeId = "change-1";
    std::deque<PublishFault> faults; ///< For the next publications, in order.
    std::vector<Ctl::PublishRequest> publications; ///< Every request received, including faulty ones.
    std::vector<Ctl::HostRevision> inForce;
    std::vector<std::string> members;
    std::vector<Ctl::AuditEntry> auditTrail;
    std::vector<Ctl::UpstreamAssignment> assignments;
    std::vector<std::string> calls; ///< Moves and waves received, in order.
    unsigned statusCalls = 0;
    unsigned statusCallsUntilInForce = 0; ///< Number of status calls before every host has the revision in force.
    /// Published by another operator right after the next read of the configuration.
    std::string concurrentDocument;

    Ctl::PublishAnswer publish(const Ctl::PublishRequest&);

private:
    Ctl::PublishAnswer apply(const Ctl::PublishRequest&);
};

/// A client of the fake fleet.
class FakeApiClient : public Ctl::ApiClient {
public:
    explicit FakeApiClient(FakeFleet& fleet)
        : m_fleet(fleet)
    {
    }

    Ctl::FleetStatus status() override;
    std::vector<Ctl::UpstreamAssignment> pools() override { return m_fleet.assignments; }
    Ctl::Configuration configuration() override;
    Ctl::PublishAnswer publish(const Ctl::PublishRequest& request) override { return m_fleet.publish(request); }
    std::vector<Ctl::AuditEntry> audit(const std::string&) override { return m_fleet.auditTrail; }
    void move(const Ctl::MoveRequest&) override;
    std::vector<Ctl::WaveStatus> waves() override { return { { "reboots", "paused", 3, 12, "" } }; }
    void setWavePaused(const std::string& wave, bool paused) override;

private:
    FakeFleet& m_fleet;
};

/// Sleeping only advances virtual time.
class FakeClock : public Ctl::Clock {
public:
    Common::Instant now() override { return m_now; }
    void sleep(std::chrono::milliseconds duration) override { m_now += duration; }

private:
    Common::Instant m_now {};
};

/// Exit code and output of a run of marigoldctl.
struct RunResult {
    Ctl::ExitCode code = Ctl::ExitCode::Ok;
    std::string out;
    std::string err;
};

/// Runs marigoldctl against the fleet.
RunResult runCtl(FakeFleet&, const std::vector<std::string>& arguments);

/// Directory of the demo's documents, and the object set in it.
std::string demoPath();
Objects::ObjectSet demoSet();

} // namespace UnitTests
