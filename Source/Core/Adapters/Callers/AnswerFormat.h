#pragma once

/// Formats answers and refusals as HTTP responses: status, headers and JSON body.

#include "Ports/CallerPort.h"

#include <string>
#include <utility>
#include <vector>

namespace Adapters {

/// A response header.
struct HeaderLine {
    std::string name;
    std::string value;
};

/// A complete HTTP response.
struct Reply {
    int status = 200;
    std::string contentType;
    std::vector<HeaderLine> headers;
    Ports::Bytes body;
};

/// Why the adapter rejects a request itself. A rejected request never reaches the sink.
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

/// Response for an answer: the upstream's own status and body when done, else the status of the reason and a JSON body that
/// names it. An unknown outcome is always 504; an invalid status of the upstream becomes 502.
Reply formatAnswer(const Ports::Answer&);
/// Response to a request that the adapter rejects itself.
Reply formatFault(RequestFault);
/// Response to a cancellation by key: 202 when a matching request was found, else 404.
Reply formatCancellation(bool found);
/// Response to a health or readiness check: 200 or 503.
Reply formatCheck(bool passed);

} // namespace Adapters
