#pragma once

/// How answers and refusals look to callers: HTTP status, headers and JSON body.

#include "Ports/CallerPort.h"

#include <string>
#include <utility>
#include <vector>

namespace Adapters {

/// A header line.
struct HeaderLine {
    std::string name;
    std::string value;
};

/// A whole HTTP response, ready to be written.
struct Reply {
    int status = 200;
    std::string contentType;
    std::vector<HeaderLine> headers;
    Ports::Bytes body;
};

/// What a caller did wrong on the HTTP level. Such a request is never handed on.
enum class RequestFault {
    BadPath,
    MethodNotAllowed,
    BadService,
    BadTeam,
    BadPriority,
    BadTimeout,
    BadIdempotent,
    BadKey,
    BodyTooLarge,
    UnsupportedExpect,
};

/// Reply for one of the three answers.
Reply formatAnswer(const Ports::Answer&);
/// Reply for a request that was refused by the adapter itself.
Reply formatFault(RequestFault);
/// Reply to a cancellation by key.
Reply formatCancellation(bool found);
/// Reply of the health and readiness checks.
Reply formatCheck(bool good);

} // namespace Adapters
