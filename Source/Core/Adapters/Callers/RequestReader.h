#pragma once

/// Reads and checks what a caller sent.

#include "Adapters/Callers/AnswerFormat.h"
#include "Ports/CallerPort.h"

#include <chrono>
#include <pistache/http.h>
#include <string>
#include <variant>

namespace Adapters {

/// The longest deadline that a caller may ask for.
constexpr std::chrono::milliseconds maximumTimeout = std::chrono::minutes(10);

/// A cancellation by key.
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

/// Turns an HTTP request into a command or the first fault found in it; the handle is left at zero.
CallerCommand readCommand(const Pistache::Http::Request&, const Ports::CallerSettings&);

} // namespace Adapters
