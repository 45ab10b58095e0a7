/// Part of Ownership: which duties a host claims, and how it releases them.

#include "Jobs/Runtime/OwnershipState.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Jobs {

using Ports::PlatformStatus;

namespace {

    constexpr std::chrono::milliseconds reevaluateInterval { 500 }; ///< Between evaluations while a duty has no holder.
    constexpr std::chrono::milliseconds overloadCheckInterval { 1000 }; ///< Two checks in a row must agree, so that a host that has just returned doesn't count yet.

    /// Value of a duty's term once its holder has released it.
    constexpr const char* releasedText = "released";

} // namespace

std::string Ownership::State::lastHolder(const std::string& duty) const
{
    const auto term = terms.find(duty);
    return term == terms.end() ? std::string() : term->second.value.substr(0, term->second.value.find(' '));
}

DutyCounts Ownership::State::dutyCounts() const
{
    DutyCounts counts;
    for (const auto& [duty, owner] : owners)
        ++counts[owner.host];
    return counts;
}

std::set<std::string> Ownership::State::openDuties() const
{
    std::set<std::string> open;
    if (duties.empty())
        return open;
    std::ranges::copy_if(duties, std::inserter(open, open.end()), [this](const auto& it) { return !owners.contains(it); });
    for (const auto& [duty, term] : terms) {
        if (!owners.contains(duty))
            open.insert(duty);
    }
    return open;
}

void Ownership::State::evaluateSoon()
{
    if (isLeaving || evaluateTimer != 0 || openDuties().empty())
        return;
    evaluateTimer = loop.after(std::chrono::milliseconds(1), [self = shared_from_this()] {
        self->evaluateTimer = 0;
        if (!self->isOver)
            self->evaluateDuties();
    });
}

void Ownership::State::evaluateLater()
{
    if (isLeaving || reevaluateTimer != 0 || openDuties().empty())
        return;
    reevaluateTimer = loop.after(reevaluateInterval, [self = shared_from_this()] {
        self->reevaluateTimer = 0;
        if (!self->isOver)
            self->evaluateDuties();
    });
}

void Ownership::State::evaluateDuties()
{
    evaluateLater();
    if (isLeaving || !isRegistered || !feed->isSynced() || !members.contains(settings.self.host) || members.at(settings.self.host).isLeaving)
        return;
    auto counts = dutyCounts();
    for (const auto& duty : openDuties()) {
        const auto last = lastHolder(duty);
        const auto ranked = rankCandidates(duty, members, counts, last);
        ++counts[ranked.front()];
        const auto rank = std::ranges::find(ranked, settings.self.host) - ranked.begin();
        if (last == settings.self.host || loop.now() >= settledAt)
            claimAfter(duty, settings.claimStagger * rank);
        else
            evaluateOnceSettled();
    }
}

void Ownership::State::evaluateOnceSettled()
{
    loop.cancel(settleTimer);
    settleTimer = loop.after(std::chrono::ceil<std::chrono::milliseconds>(settledAt - loop.now()), [self = shared_from_this()] {
        if (!self->isOver)
            self->evaluateSoon();
    });
}

void Ownership::State::scheduleOverloadCheck()
{
    overloadTimer = loop.after(overloadCheckInterval, [self = shared_from_this()] {
        if (!self->isOver)
            self->checkOverload();
    });
}

void Ownership::State::checkOverload()
{
    scheduleOverloadCheck();
    const bool isSettled = isRegistered && !isLeaving && feed->isSynced() && openDuties().empty();
    const bool wasOverloaded = std::exchange(isOverloadSuspected, isSettled && isOverloaded(settings.self.host, members, dutyCounts()));
    if (wasOverloaded && isOverloadSuspected && hooks.overloaded)
        hooks.overloaded();
}

void Ownership::State::claimAfter(const std::string& duty, std::chrono::milliseconds delay)
{
    if (!pendingClaims.insert(duty).second)
        return;
    loop.after(delay, [self = shared_from_this(), duty] {
        if (self->isOver || self->isLeaving || self->owners.contains(duty) || !self->isRegistered || !self->isDuty(duty)) {
            self->pendingClaims.erase(duty);
            return;
        }
        self->claim(duty, 0);
    });
}

Predecessor Ownership::State::predecessorOf(const std::string& term) const
{
    if (term == releasedText)
        return Predecessor::Released;
    return term.starts_with(settings.self.host + ' ') ? Predecessor::Self : Predecessor::Lapsed;
}

void Ownership::State::reclaim()
{
    if (isLeaving || !isRegistered)
        return;
    for (const auto& [duty, owner] : owners) {
        if (owner.host == settings.self.host && isDuty(duty) && !ownedDuties.contains(duty) && !pendingClaims.contains(duty))
            claim(duty, owner.fence);
    }
}

void Ownership::State::claim(const std::string& duty, Fence expectedRevision)
{
    pendingClaims.insert(duty);
    const auto term = terms.find(duty);
    predecessors[duty] = term == terms.end() ? Predecessor::None : predecessorOf(term->second.value);
    Ports::Transaction transaction;
    transaction.compares = { { keyOf(duty), static_cast<std::int64_t>(expectedRevision) } };
    if (expectedRevision == 0)
        transaction.compares.push_back({ StoreKeys::terms + duty, term == terms.end() ? 0 : term->second.modRevision });
    transaction.puts = { { keyOf(duty), ownerText(), lease }, { StoreKeys::terms + duty, ownerText(), 0 } };
    platform.transact(std::move(transaction), [self = shared_from_this(), duty](const Ports::PlatformReply& reply) {
        self->pendingClaims.erase(duty);
        if (self->isOver)
            return;
        if (reply.status == PlatformStatus::Ok)
            self->becomeHolder(duty, static_cast<Fence>(reply.revision));
        else
            self->handleClaimFailure(duty, reply.status);
    });
}

void Ownership::State::handleClaimFailure(const std::string& duty, PlatformStatus status)
{
    logFailed("claim", duty, status);
    if (status == PlatformStatus::ComparesFailed)
        return;
    // The claim may have been carried out; the feed reports that.
    loop.after(storeRetryDelay, [self = shared_from_this()] {
        if (!self->isOver)
            self->evaluateSoon();
    });
}

void Ownership::State::becomeHolder(const std::string& duty, Fence fence)
{
    const auto known = owners.find(duty);
    if (ownedDuties.contains(duty) || (known != owners.end() && known->second.fence > fence))
        return;
    owners[duty] = { settings.self.host, fence };
    if (isLeaving) {
        releaseKey(duty, fence, Release::Unserved); // The claim was sent before this host began to leave.
        return;
    }
    ownedDuties[duty] = fence;
    writeEvent("ownership", { "duty-acquired", duty, { { "fence", std::to_string(fence) } } });
    hooks.acquired(duty, fence, predecessors[duty]);
    hooks.changed();
}

void Ownership::State::release(const std::string& duty, Release how)
{
    const auto it = ownedDuties.find(duty);
    if (it == ownedDuties.end())
        return;
    const auto fence = it->second;
    ownedDuties.erase(it);
    releaseKey(duty, fence, how);
}

void Ownership::State::releaseKey(const std::string& duty, Fence fence, Release how)
{
    releasedFences[duty] = fence;
    writeEvent("ownership", { how == Release::Retired ? "duty-retired" : "duty-released", duty, { { "fence", std::to_string(fence) } } });
    Ports::Transaction transaction;
    transaction.compares = { { keyOf(duty), static_cast<std::int64_t>(fence) } };
    transaction.deletes = { keyOf(duty) };
    if (how == Release::Retired)
        transaction.deletes.push_back(StoreKeys::terms + duty);
    else if (how == Release::Served)
        transaction.puts = { { StoreKeys::terms + duty, releasedText, 0 } };
    transactUntilSettled(duty, transaction);
}

void Ownership::State::transactUntilSettled(const std::string& duty, const Ports::Transaction& transaction)
{
    platform.transact(transaction, [self = shared_from_this(), duty, transaction](const Ports::PlatformReply& reply) {
        if (self->isOver || reply.status == PlatformStatus::Ok || reply.status == PlatformStatus::ComparesFailed)
            return;
        self->logFailed("release", duty, reply.status);
        self->loop.after(storeRetryDelay, [self, duty, transaction] { self->isOver ? void() : self->transactUntilSettled(duty, transaction); });
    });
}

} // namespace Jobs
