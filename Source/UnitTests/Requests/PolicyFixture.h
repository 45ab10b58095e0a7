#pragma once

/// A single request core that owns its pool, run in virtual time, for tests of the overload policy.

#include "Decision/Requests/RequestCore.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace PolicyTests {

/// An answer and the time at which it was sent.
struct TimedAnswer {
    Ports::Answer answer;
    Decision::Instant at {};
};

/// Parameters of the fixture.
struct FixtureSettings {
    Decision::RequestGuards guards;
    Decision::RequestLimits limits;
    unsigned upstreams = 1;
    std::chrono::milliseconds declaredRunTime { 1000 };
    unsigned slotQuota = 0; ///< Slot quota of team "capped"; zero for none.
};

/// Pool "desk" with upstreams "desk-0", "desk-1" and so on, eight slots each; service "booking"; priorities "urgent" and
/// "batch"; teams "hotels" and "capped". All requests are idempotent, and their body is the priority.
class PolicyFixture {
public:
    explicit PolicyFixture(const FixtureSettings&);

    /// Sends a request and returns its handle.
    Ports::CallerHandle sendRequest(const std::string& priority, std::chrono::milliseconds timeLeft, const std::string& team = "hotels");
    void disconnect(Ports::CallerHandle);
    /// Ends the oldest attempt in flight.
    void endOldest(Ports::AttemptEnd = Ports::AttemptEnd::Answered, int status = 200);
    void end(const Ports::UpstreamCall&, Ports::AttemptEnd = Ports::AttemptEnd::Answered, int status = 200);
    /// Advances the time, with a tick at each deadline of the core.
    void advance(std::chrono::microseconds);
    void receiveHeartbeat(const Ports::HostId& from, const std::vector<Messages::UpstreamUse>&);

    /// Null while the request is unanswered.
    const TimedAnswer* answerOf(Ports::CallerHandle) const;
    Decision::Instant now() const { return m_now; }
    unsigned queued() const;

    std::unique_ptr<Decision::RequestCore> core;
    std::deque<Ports::UpstreamCall> inFlight; ///< Attempts without a result, oldest first.
    std::vector<std::string> startedPriorities; ///< Priority of every attempt, in the order of their start.
    std::vector<Ports::AttemptId> cancelled;
    std::map<Ports::CallerHandle, TimedAnswer> answers;

private:
    Decision::Moment moment() const;
    void collect();

    Decision::Instant m_now { std::chrono::seconds(100) };
    Ports::CallerHandle m_nextHandle = 1;
};

} // namespace PolicyTests
