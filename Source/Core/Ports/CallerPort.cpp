#include "Ports/CallerPort.h"

namespace Ports {

const char* reasonName(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::UnknownService:
        return "unknown-service";
    case Reason::TeamNotAllowed:
        return "team-not-allowed";
    case Reason::PriorityNotAllowed:
        return "priority-not-allowed";
    case Reason::BodyTooLarge:
        return "body-too-large";
    case Reason::BadIdempotencyKey:
        return "bad-idempotency-key";
    case Reason::KeyReusedWithOtherBody:
        return "key-reused-with-other-body";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::DeadlineCannotBeMet:
        return "deadline-cannot-be-met";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::QuotaExceeded:
        return "quota-exceeded";
    case Reason::NoUpstream:
        return "no-upstream";
    case Reason::NoPeer:
        return "no-peer";
    case Reason::HarmfulRequest:
        return "harmful-request";
    case Reason::ShuttingDown:
        return "shutting-down";
    case Reason::NotReady:
        return "not-ready";
    case Reason::ClaimUnavailable:
        return "claim-unavailable";
    case Reason::CancelledByCaller:
        return "cancelled-by-caller";
    case Reason::UpstreamRefused:
        return "upstream-refused";
    case Reason::UpstreamLost:
        return "upstream-lost";
    case Reason::AnswerTruncated:
        return "answer-truncated";
    case Reason::RetryBudgetSpent:
        return "retry-budget-spent";
    case Reason::OwnerLost:
        return "owner-lost";
    case Reason::KeyTooOld:
        return "key-too-old";
    case Reason::AnswerExpired:
        return "answer-expired";
    case Reason::StillRunning:
        return "still-running";
    }
    return "none";
}

} // namespace Ports
