#pragma once

/// Fakes for commands: a fleet with one configuration, and a clock that doesn't sleep.

#include "ApiClient.h"
#include "Application.h"
#include "Clock.h"
#include "Objects/Types.h"

#include <deque>
#include <sstream>
#include <string>
#include <vector>

namespace UnitTests {

/// What goes wrong with a publication.
enum class PublishFault {
    None,
    LostBefore, ///< The request is lost.
    LostAfter, ///< It takes effect and the answer is lost.
    Unsettled, ///< It takes effect and the server can't tell.
    StoreAway,
    Unreachable,
};

/// Servers that keep one configuration and know change ids.
class FakeFleet {
public:
    std::uint64_t revision = 1;
    std::string document;
    std::string author = "amina";
    std::string changeId = "change-1";
    std::deque<PublishFault> faults; ///< One for each publication to come.
    std::vector<Ctl::PublishCall> publications;
    std::vector<Ctl::HostInForce> inForce;
    std::vector<std::string> members;
    std::vector<Ctl::AuditEntry> trail;
    std::vector<Ctl::UpstreamPlace> places;
    std::vector<std::string> calls; ///< Moves and waves.
    unsigned statusCalls = 0;
    unsigned spreadsAfter = 0; ///< Calls of status until all hosts have the revision.
    /// Published by somebody else after the next reading of the configuration.
    std::string raceDocument;

    Ctl::PublishAnswer publish(const Ctl::PublishCall&);

private:
    Ctl::PublishAnswer apply(const Ctl::PublishCall&);
};

/// A client of the fake fleet.
class FakeApiClient : public Ctl::ApiClient {
public:
    explicit FakeApiClient(FakeFleet& fleet)
        : m_fleet(fleet)
    {
    }

    Ctl::FleetStatus status() override;
    std::vector<Ctl::UpstreamPlace> pools() override { return m_fleet.places; }
    Ctl::Configuration configuration() override;
    Ctl::PublishAnswer publish(const Ctl::PublishCall& call) override { return m_fleet.publish(call); }
    std::vector<Ctl::AuditEntry> audit(const std::string&) override { return m_fleet.trail; }
    void move(const Ctl::MoveCall&) override;
    std::vector<Ctl::WaveStatus> waves() override { return { { "reboots", "paused", 3, 12, "" } }; }
    void setWavePaused(const std::string& wave, bool paused) override;

private:
    FakeFleet& m_fleet;
};

/// Sleeping takes virtual time alone.
class FakeClock : public Ctl::Clock {
public:
    Common::Instant now() override { return m_now; }
    void sleep(std::chrono::milliseconds duration) override { m_now += duration; }

private:
    Common::Instant m_now {};
};

/// What a run of the program gave.
struct RunResult {
    Ctl::ExitCode code = Ctl::ExitCode::Ok;
    std::string out;
    std::string err;
};

/// Runs the program against the fleet.
RunResult runCtl(FakeFleet&, const std::vector<std::string>& arguments);

/// Directory with the demonstration's documents, and the set in it.
std::string demoPath();
Objects::ObjectSet demoSet();

} // namespace UnitTests
