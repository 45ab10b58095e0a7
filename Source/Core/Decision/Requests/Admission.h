#pragma once

/// Admission checks: requests that can never be served are rejected before they are queued.

#include "Common/Result.h"
#include "Decision/Requests/RequestTypes.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Decision {

/// Result of a successful check: the properties of the request that follow from the configuration.
struct Admitted {
    std::string pool;
    unsigned rank = 0; ///< Rank of the priority; 0 is the most urgent.
    std::string homeDataCentre; ///< Data centre that keeps the claim; empty unless the request is non-idempotent and has a key.
};

/// Properties of a request that the admission check depends on.
struct AdmissionRequest {
    const std::string& service;
    const std::string& team;
    const std::string& priority;
    const std::string& key;
    bool idempotent;
    std::size_t bodyBytes;
    std::chrono::milliseconds timeLeft;
};

/// Checks a request against the active configuration, for requests of callers and of peers alike. The error is the answer
/// to send, always NotRun; use refusalAnswer() to turn it into one that also holds for a retried key. Keys issued more
/// than `clockSkew` in the future are rejected.
Common::Result<Admitted, Answer> checkAdmission(const Objects::ObjectSet&, const std::vector<std::string>& dataCentres, WallTime now, std::chrono::milliseconds clockSkew, const AdmissionRequest&);

/// Answer to send for a request that failed the check. An earlier try of a keyed request may have run, so its answer is
/// Unknown unless isUnconditionalRefusal().
Answer refusalAnswer(const Answer& refusal, bool keyed);

/// True for reasons that remain correct regardless of what happened to an earlier try with the same key.
bool isUnconditionalRefusal(Reason);

} // namespace Decision
