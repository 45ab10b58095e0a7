#pragma once

/// History of a simulated run (requests, answers, executions) and the checks of the guarantees against it.

#include "Decision/Requests/RequestTypes.h"

#include <map>
#include <string>
#include <vector>

namespace RequestTests {

/// Guarantees of the request path that a run can violate.
enum class Guarantee {
    OneAnswerInTime, ///< Each try gets exactly one answer, by its deadline.
    AtMostOnce, ///< A non-idempotent request runs at most once.
    NotRunIsTrue, ///< A request answered with NotRun has not run.
    MatchingAnswer, ///< A Done answer is the result of the request's own body.
    NoRefusalAfterDone, ///< After Done, a later try of the key isn't answered with NotRun.
    SlotLimitKept, ///< No upstream runs more requests than it has slots.
    NoLeaks, ///< After the run, no request, attempt or slot is left.
    HarmfulBounded, ///< A harmful body crashes at most two upstreams.
};

/// One try of a request through an entry host.
struct Try {
    Decision::HostId host;
    Common::Instant sentAt {};
    Common::Instant deadline {};
    unsigned answers = 0;
    Common::Instant answeredAt {};
    Ports::Answer answer;
    bool hostFailed = false; ///< The entry host crashed or was frozen before the answer, so the deadline isn't guaranteed.
    bool disconnected = false;
};

/// A request of a caller with all its tries.
struct LogicalRequest {
    std::string service;
    std::string team;
    std::string priority;
    std::string key; ///< Empty for none.
    std::string body;
    std::string dataCentre; ///< Data centre of the caller.
    bool idempotent = false;
    bool harmful = false;
    std::vector<Try> tries;
    std::vector<Common::Instant> runs; ///< Times at which an upstream started to run it.
    unsigned losses = 0; ///< Upstreams that it crashed.
};

/// Record of a run.
struct FleetRecord {
    std::vector<LogicalRequest> requests;
    std::map<Guarantee, unsigned> violations;
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    unsigned keyed = 0;
    unsigned keyedDone = 0;
    unsigned views = 0; ///< Number of view changes.
    unsigned offloaded = 0;
    std::map<Ports::Reason, unsigned> reasons;

    unsigned count(Guarantee guarantee) const
    {
        const auto it = violations.find(guarantee);
        return it == violations.end() ? 0 : it->second;
    }

    /// Checks every request. Called once, after the run.
    void evaluate();

private:
    void checkTry(const LogicalRequest&, const Try&);
    void checkNotRun(const LogicalRequest&);
    void checkRepeats(const LogicalRequest&);
};

} // namespace RequestTests
