#pragma once

/// Checks at the door: what can never be served is refused before it takes a place.

#include "Common/Result.h"
#include "Decision/Requests/RequestTypes.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Decision {

/// A request that the door lets in, with what the configuration says about it.
struct Admitted {
    std::string pool;
    unsigned rank = 0;
    std::string homeDataCentre; ///< Empty unless the request is non-idempotent and has a key.
};

/// What the door needs to know of a request.
struct DoorRequest {
    const std::string& service;
    const std::string& team;
    const std::string& priority;
    const std::string& key;
    bool idempotent;
    std::size_t bodyBytes;
    std::chrono::milliseconds timeLeft;
};

/// Judges a request by the objects in force. Errors are the answers to give.
Common::Result<Admitted, Answer> checkAtDoor(const Objects::ObjectSet&, const std::vector<std::string>& dataCentres, WallTime now, std::chrono::milliseconds clockSkew, const DoorRequest&);

/// The answer to give for a refusal at the door: an earlier try of a keyed request may have run, unless the refusal
/// holds whatever became of it.
Answer doorAnswer(const Answer& refusal, bool keyed);

/// True for refusals that hold whatever an earlier try of the same key did.
bool isDoorReason(Reason);

} // namespace Decision
