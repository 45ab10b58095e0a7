#pragma once

/// What callers asked and were told and what upstreams ran, with the checks of the promises.

#include "Decision/Requests/RequestTypes.h"

#include <map>
#include <string>
#include <vector>

namespace RequestTests {

/// Promises that a run can break.
enum class Promise {
    OneAnswerInTime,
    AtMostOnce,
    NotRunIsTrue,
    OwnAnswer,
    SameAnswerAgain,
    SlotsKept,
    NothingLeaks,
    HarmfulBounded,
};

/// One try of a request through one entry host.
struct Try {
    Decision::HostId host;
    Common::Instant asked {};
    Common::Instant deadline {};
    unsigned answers = 0;
    Common::Instant answeredAt {};
    Ports::Answer answer;
    bool hostFailed = false; ///< The entry host died or was frozen meanwhile, so nothing is promised of the time.
    bool hungUp = false;
};

/// A request as its caller means it, over all its tries.
struct Logical {
    std::string service;
    std::string team;
    std::string priority;
    std::string key; ///< Empty for none.
    std::string body;
    std::string dataCentre; ///< Of its caller.
    bool idempotent = false;
    bool harmful = false;
    std::vector<Try> tries;
    std::vector<Common::Instant> runs;
    unsigned losses = 0; ///< Upstreams broken by it.
};

/// The record of a run.
struct FleetRecord {
    std::vector<Logical> requests;
    std::map<Promise, unsigned> broken;
    unsigned done = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    unsigned keyed = 0;
    unsigned keyedDone = 0;
    unsigned views = 0; ///< Changes of views.
    unsigned passedOn = 0;
    std::map<Ports::Reason, unsigned> reasons;

    unsigned count(Promise promise) const
    {
        const auto it = broken.find(promise);
        return it == broken.end() ? 0 : it->second;
    }

    /// Judges every request once the run is over.
    void judge();

private:
    void judgeTry(const Logical&, const Try&);
    void judgeTruth(const Logical&);
    void judgeRepeats(const Logical&);
};

} // namespace RequestTests
