#include "Decision/Requests/Admission.h"

#include "Decision/Requests/IdempotencyKey.h"

#include <algorithm>

namespace Decision {

namespace {

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    Reason firstRefusal(const Objects::ObjectSet& objects, const Objects::Service& service, const AdmissionRequest& request)
    {
        const auto team = objects.teams.find(request.team);
        if (team == objects.teams.end())
            return Reason::TeamNotAllowed;
        if (!service.teams.empty() && !contains(service.teams, request.team))
            return Reason::TeamNotAllowed;
        if (!objects.priorities.count(request.priority) || !contains(team->second.priorities, request.priority))
            return Reason::PriorityNotAllowed;
        if (request.bodyBytes > service.maximumBodyBytes)
            return Reason::BodyTooLarge;
        if (request.timeLeft <= std::chrono::milliseconds(0))
            return Reason::DeadlinePassed;
        return Reason::None;
    }

} // namespace

Common::Result<Admitted, Answer> checkAdmission(const Objects::ObjectSet& objects, const std::vector<std::string>& dataCentres, WallTime now, std::chrono::milliseconds clockSkew, const AdmissionRequest& request)
{
    const auto service = objects.services.find(request.service);
    if (service == objects.services.end())
        return notRun(Reason::UnknownService);
    const Reason reason = firstRefusal(objects, service->second, request);
    if (reason != Reason::None)
        return notRun(reason);
    Admitted admitted;
    admitted.pool = service->second.pool;
    admitted.rank = objects.priorities.at(request.priority).rank;
    if (request.idempotent || request.key.empty())
        return admitted;
    const auto key = IdempotencyKey::parse(request.key);
    if (!key || key->issued > now + clockSkew)
        return notRun(Reason::BadIdempotencyKey);
    const auto home = homeDataCentreOf(*key, request.key, dataCentres);
    if (!home)
        return notRun(Reason::BadIdempotencyKey);
    admitted.homeDataCentre = *home;
    return admitted;
}

Answer refusalAnswer(const Answer& refusal, bool keyed)
{
    if (keyed && !isUnconditionalRefusal(refusal.reason))
        return unknown(refusal.reason, refusal.retryAfter);
    return refusal;
}

bool isUnconditionalRefusal(Reason reason)
{
    switch (reason) {
    case Reason::UnknownService:
    case Reason::TeamNotAllowed:
    case Reason::PriorityNotAllowed:
    case Reason::BodyTooLarge:
    case Reason::BadIdempotencyKey:
    case Reason::KeyReusedWithOtherBody:
        return true;
    default:
        return false;
    }
}

} // namespace Decision
