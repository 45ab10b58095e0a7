#pragma once

/// Parses and validates callers' requests.

#include "Adapters/Callers/AnswerFormat.h"
#include "Ports/CallerPort.h"

#include <chrono>
#include <pistache/http.h>
#include <string>
#include <variant>

namespace Adapters {

/// The longest timeout that a caller may request.
constexpr std::chrono::milliseconds maximumTimeout = std::chrono::minutes(10);

/// DELETE /v1/requests/<key>: cancels a request by its idempotency key.
struct CancelCommand {
    std::string team;
    std::string idempotencyKey;
};

/// GET /health.
struct HealthCheck {
};

/// GET /ready.
struct ReadinessCheck {
};

using CallerCommand = std::variant<RequestFault, Ports::CallerRequest, CancelCommand, HealthCheck, ReadinessCheck>;

/// Returns the command in an HTTP request, or the first fault found in it. The handle of a CallerRequest is left at zero.
CallerCommand readCommand(const Pistache::Http::Request&, const Ports::CallerSettings&);

} // namespace Adapters
