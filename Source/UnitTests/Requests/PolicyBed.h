#pragma once

/// One request core that owns its pool, driven by hand in virtual time for tests of the overload policy.

#include "Decision/Requests/RequestCore.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace PolicyTests {

/// An answer and when it came.
struct GivenAnswer {
    Ports::Answer answer;
    Decision::Instant at {};
};

/// What a test varies.
struct BedSettings {
    Decision::RequestGuards guards;
    Decision::RequestLimits limits;
    unsigned upstreams = 1;
    std::chrono::milliseconds declaredRunTime { 1000 };
    unsigned slotQuota = 0; ///< Of team "capped".
};

/// Pool "desk" of upstreams "desk-0" and so on with eight slots each; service "booking"; priorities urgent and batch;
/// teams "hotels" and "capped".
class PolicyBed {
public:
    explicit PolicyBed(const BedSettings&);

    /// A request arrives; returns its handle.
    Ports::CallerHandle ask(const std::string& priority, std::chrono::milliseconds timeLeft, const std::string& team = "hotels");
    void hangUp(Ports::CallerHandle);
    /// Ends the attempt that has been out for longest.
    void endOldest(Ports::AttemptEnd = Ports::AttemptEnd::Answered, int status = 200);
    void end(const Ports::UpstreamCall&, Ports::AttemptEnd = Ports::AttemptEnd::Answered, int status = 200);
    /// Time passes; the core is ticked whenever it asks for it.
    void pass(std::chrono::microseconds);
    void hear(const Ports::HostId& from, const std::vector<Messages::UpstreamUse>&);

    const GivenAnswer* answerOf(Ports::CallerHandle) const;
    Decision::Instant now() const { return m_now; }
    unsigned queued() const;

    std::unique_ptr<Decision::RequestCore> core;
    std::deque<Ports::UpstreamCall> out; ///< Attempts without an end, oldest first.
    std::vector<std::string> startedPriorities; ///< Of every attempt, in order.
    std::vector<Ports::AttemptId> cancelled;
    std::map<Ports::CallerHandle, GivenAnswer> answers;

private:
    Decision::Moment moment() const;
    void collect();

    Decision::Instant m_now { std::chrono::seconds(100) };
    Ports::CallerHandle m_nextHandle = 1;
};

} // namespace PolicyTests
