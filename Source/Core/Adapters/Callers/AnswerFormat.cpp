#include "Adapters/Callers/AnswerFormat.h"

#include "Common/CompactJson.h"

#include <chrono>
#include <json/json.h>

namespace Adapters {
namespace {

    constexpr const char* jsonType = "application/json";
    constexpr int statusUnknown = 504;
    constexpr int statusBadGateway = 502;
    constexpr int lowestFinalStatus = 200;
    constexpr int highestStatus = 599;

    struct ReasonRow {
        Ports::Reason reason;
        int status;
        const char* message;
    };

    using Ports::Reason;

    // The statuses apply to the outcome "not-run"; the outcome "unknown" is always answered with 504.
    constexpr ReasonRow reasonTable[] = {
        { Reason::UnknownService, 404, "No service of that name is published." },
        { Reason::TeamNotAllowed, 403, "The team may not call this service." },
        { Reason::PriorityNotAllowed, 403, "The team may not use this priority." },
        { Reason::BodyTooLarge, 413, "The body is larger than the service allows." },
        { Reason::BadIdempotencyKey, 400, "The Idempotency-Key can't be used: its format or its time is wrong." },
        { Reason::KeyReusedWithOtherBody, 422, "The Idempotency-Key was used before with another body." },
        { Reason::DeadlinePassed, 400, "The deadline has passed." },
        { Reason::DeadlineCannotBeMet, 503, "The deadline can't be met now." },
        { Reason::QueueFull, 503, "The queue of the pool is full." },
        { Reason::QuotaExceeded, 429, "The team's quota is in use." },
        { Reason::NoUpstream, 503, "No upstream serves the service now." },
        { Reason::NoPeer, 503, "No entry host can take the request now." },
        { Reason::HarmfulRequest, 503, "The request was set aside because upstreams failed on it." },
        { Reason::ShuttingDown, 503, "This entry host is stopping; ask another one." },
        { Reason::NotReady, 503, "This entry host isn't ready yet." },
        { Reason::ClaimUnavailable, 503, "The claim on the request could not be recorded." },
        { Reason::CancelledByCaller, 503, "The request was cancelled by its caller." },
        { Reason::UpstreamRefused, 503, "The upstream refused the request without running it." },
        { Reason::UpstreamLost, 503, "The upstream was lost." },
        { Reason::AnswerTruncated, 503, "The upstream's answer was cut short." },
        { Reason::RetryBudgetSpent, 503, "The retry budget is spent." },
        { Reason::OwnerLost, 503, "The entry host in charge of the pool was lost." },
        { Reason::KeyTooOld, 503, "The Idempotency-Key is older than what is remembered." },
        { Reason::AnswerExpired, 503, "The request ran before, and its answer is no longer kept." },
        { Reason::StillRunning, 503, "An earlier try of the same Idempotency-Key may still run." },
    };

    struct FaultRow {
        RequestFault fault;
        int status;
        const char* reason;
        const char* message;
    };

    constexpr FaultRow faultTable[] = {
        { RequestFault::BadPath, 404, "bad-path", "No such path; use POST /v1/services/<service> or DELETE /v1/requests/<key>." },
        { RequestFault::MethodNotAllowed, 405, "method-not-allowed", "The path doesn't take this method." },
        { RequestFault::BadService, 400, "bad-service", "The service name must be 1 to 128 letters, digits, '.', '_' or '-'." },
        { RequestFault::BadTeam, 400, "bad-team", "Marigold-Team must be 1 to 128 letters, digits, '.', '_' or '-'." },
        { RequestFault::BadPriority, 400, "bad-priority", "Marigold-Priority must be 1 to 128 letters, digits, '.', '_' or '-'." },
        { RequestFault::BadTimeout, 400, "bad-timeout", "Marigold-Timeout-Ms must be a whole number from 1 to 600000." },
        { RequestFault::BadIdempotent, 400, "bad-idempotent", "Marigold-Idempotent must be true or false." },
        { RequestFault::BadKey, 400, "bad-idempotency-key", "Idempotency-Key must be a quoted string of 1 to 128 printable characters." },
        { RequestFault::BodyTooLarge, 413, "body-too-large", "The body is larger than this host takes." },
        { RequestFault::UnsupportedExpect, 417, "unsupported-expect", "Only Expect: 100-continue is understood." },
    };

    ReasonRow findRow(Reason reason)
    {
        for (const auto& row : reasonTable) {
            if (row.reason == reason)
                return row;
        }
        return { reason, 503, "No reason is known." };
    }

    FaultRow findRow(RequestFault fault)
    {
        for (const auto& row : faultTable) {
            if (row.fault == fault)
                return row;
        }
        return { fault, 400, "bad-request", "The request can't be understood." };
    }

    Ports::Bytes jsonBody(const Json::Value& value)
    {
        return std::make_shared<const std::string>(Common::compactJson(value) + "\n");
    }

    Reply makeRefusal(const char* outcome, int status, const std::string& reason, const char* message, std::chrono::milliseconds retryAfter)
    {
        Json::Value value;
        value["outcome"] = outcome;
        value["reason"] = reason;
        value["retryAfterMs"] = static_cast<Json::Int64>(retryAfter.count());
        value["message"] = message;
        Reply reply { status, jsonType, { { "Marigold-Outcome", outcome }, { "Marigold-Reason", reason } }, jsonBody(value) };
        if (retryAfter.count() > 0) {
            reply.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()) });
            reply.headers.push_back({ "Marigold-Retry-After-Ms", std::to_string(retryAfter.count()) });
        }
        return reply;
    }

    Reply makeDone(const Ports::Answer& answer)
    {
        const bool sendable = answer.status >= lowestFinalStatus && answer.status <= highestStatus;
        return { sendable ? answer.status : statusBadGateway, answer.contentType, { { "Marigold-Outcome", "done" } }, answer.body };
    }

    Reply makeStatus(int status, const char* text)
    {
        Json::Value value;
        value["status"] = text;
        return { status, jsonType, {}, jsonBody(value) };
    }

} // namespace

Reply formatAnswer(const Ports::Answer& answer)
{
    if (answer.outcome == Ports::Outcome::Done)
        return makeDone(answer);
    const auto row = findRow(answer.reason);
    const char* name = Ports::reasonName(answer.reason);
    if (answer.outcome == Ports::Outcome::NotRun)
        return makeRefusal("not-run", row.status, name, row.message, answer.retryAfter);
    return makeRefusal("unknown", statusUnknown, name, row.message, answer.retryAfter);
}

Reply formatFault(RequestFault fault)
{
    const auto row = findRow(fault);
    return makeRefusal("not-run", row.status, row.reason, row.message, std::chrono::milliseconds(0));
}

Reply formatCancellation(bool found)
{
    return found ? makeStatus(202, "cancelling") : makeStatus(404, "no such request is waiting or running here");
}

Reply formatCheck(bool passed)
{
    return passed ? makeStatus(200, "ok") : makeStatus(503, "not ready");
}

} // namespace Adapters
