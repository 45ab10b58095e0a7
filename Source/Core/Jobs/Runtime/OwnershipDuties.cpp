/// Which duties a host claims, and how it gives them back.

#include "Jobs/Runtime/OwnershipState.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Ports::PlatformStatus;

namespace {

    constexpr std::chrono::milliseconds reconsiderInterval { 500 }; ///< While a duty is without a holder.
    constexpr std::chrono::milliseconds loadCheckInterval { 1000 }; ///< A returning host counts once it has been a member at two checks.

    /// The holder's text in a term that was given up.
    constexpr const char* releasedText = "released";

} // namespace

std::string Ownership::State::lastHolder(const std::string& duty) const
{
    const auto term = terms.find(duty);
    return term == terms.end() ? std::string() : term->second.substr(0, term->second.find(' '));
}

DutyCounts Ownership::State::dutyCounts() const
{
    DutyCounts counts;
    for (const auto& [duty, owner] : owners)
        ++counts[owner.host];
    return counts;
}

bool Ownership::State::hasOpenDuty() const
{
    return std::ranges::any_of(duties, [this](const auto& it) { return !owners.contains(it); });
}

void Ownership::State::considerSoon()
{
    if (isLeaving || considerTimer != 0 || !hasOpenDuty())
        return;
    considerTimer = loop.after(std::chrono::milliseconds(1), [self = shared_from_this()] {
        self->considerTimer = 0;
        if (!self->isOver)
            self->consider();
    });
}

void Ownership::State::considerAgain()
{
    if (!hasOpenDuty() || isLeaving || reconsiderTimer != 0)
        return;
    reconsiderTimer = loop.after(reconsiderInterval, [self = shared_from_this()] {
        self->reconsiderTimer = 0;
        if (!self->isOver)
            self->consider();
    });
}

void Ownership::State::consider()
{
    considerAgain();
    if (isLeaving || !isRegistered || !feed->isSynced() || !members.contains(settings.self.host) || members.at(settings.self.host).isLeaving)
        return;
    auto counts = dutyCounts();
    for (const auto& duty : duties) {
        if (owners.contains(duty))
            continue;
        const auto last = lastHolder(duty);
        const auto ranked = rankCandidates(duty, members, counts, last);
        ++counts[ranked.front()];
        const auto turn = std::ranges::find(ranked, settings.self.host) - ranked.begin();
        if (last == settings.self.host || loop.now() >= settledAt)
            claimAt(duty, settings.turnTime * turn);
        else
            considerOnceSettled();
    }
}

void Ownership::State::considerOnceSettled()
{
    loop.cancel(settleTimer);
    settleTimer = loop.after(std::chrono::ceil<std::chrono::milliseconds>(settledAt - loop.now()), [self = shared_from_this()] {
        if (!self->isOver)
            self->considerSoon();
    });
}

void Ownership::State::checkLoadLater()
{
    loadTimer = loop.after(loadCheckInterval, [self = shared_from_this()] {
        if (!self->isOver)
            self->checkLoad();
    });
}

void Ownership::State::checkLoad()
{
    checkLoadLater();
    const bool isSettled = isRegistered && !isLeaving && feed->isSynced() && !hasOpenDuty();
    const bool wasOverloaded = std::exchange(isAtLimit, isSettled && isOverloaded(settings.self.host, members, dutyCounts()));
    if (wasOverloaded && isAtLimit && hooks.overloaded)
        hooks.overloaded();
}

void Ownership::State::claimAt(const std::string& duty, std::chrono::milliseconds delay)
{
    if (!claims.insert(duty).second)
        return;
    loop.after(delay, [self = shared_from_this(), duty] {
        if (self->isOver || self->isLeaving || self->owners.contains(duty) || !self->isRegistered || !self->duties.contains(duty)) {
            self->claims.erase(duty);
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
        if (owner.host == settings.self.host && duties.contains(duty) && !own.contains(duty) && !claims.contains(duty))
            claim(duty, owner.fence);
    }
}

void Ownership::State::claim(const std::string& duty, Fence from)
{
    claims.insert(duty);
    const auto term = terms.find(duty);
    predecessors[duty] = term == terms.end() ? Predecessor::None : predecessorOf(term->second);
    Ports::Transaction transaction;
    transaction.compares = { { keyOf(duty), static_cast<std::int64_t>(from) } };
    transaction.puts = { { keyOf(duty), ownerText(), lease }, { StoreKeys::terms + duty, ownerText(), 0 } };
    platform.transact(std::move(transaction), [self = shared_from_this(), duty](const Ports::PlatformReply& reply) {
        self->claims.erase(duty);
        if (self->isOver)
            return;
        if (reply.status == PlatformStatus::Ok)
            self->gained(duty, static_cast<Fence>(reply.revision));
        else
            self->claimFailed(duty, reply.status);
    });
}

void Ownership::State::claimFailed(const std::string& duty, PlatformStatus status)
{
    logFailed("claim", duty, status);
    if (status == PlatformStatus::ComparesFailed)
        return;
    // It may have been carried out, of which the feed tells.
    loop.after(storeRetryDelay, [self = shared_from_this()] {
        if (!self->isOver)
            self->considerSoon();
    });
}

void Ownership::State::gained(const std::string& duty, Fence fence)
{
    const auto known = owners.find(duty);
    if (own.contains(duty) || (known != owners.end() && known->second.fence > fence))
        return;
    owners[duty] = { settings.self.host, fence };
    if (isLeaving) {
        giveBack(duty, fence, false); // Claimed before.
        return;
    }
    own[duty] = fence;
    writeEvent("ownership", { "duty-acquired", duty, { { "fence", std::to_string(fence) } } });
    hooks.acquired(duty, fence, predecessors[duty]);
    hooks.changed();
}

void Ownership::State::release(const std::string& duty)
{
    const auto it = own.find(duty);
    if (it == own.end())
        return;
    const auto fence = it->second;
    own.erase(it);
    giveBack(duty, fence, true);
}

void Ownership::State::giveBack(const std::string& duty, Fence fence, bool hasServed)
{
    released[duty] = fence;
    writeEvent("ownership", { "duty-released", duty, { { "fence", std::to_string(fence) } } });
    Ports::Transaction transaction;
    transaction.compares = { { keyOf(duty), static_cast<std::int64_t>(fence) } };
    transaction.deletes = { keyOf(duty) };
    if (hasServed)
        transaction.puts = { { StoreKeys::terms + duty, releasedText, 0 } };
    transactSurely(duty, transaction);
}

void Ownership::State::transactSurely(const std::string& duty, const Ports::Transaction& transaction)
{
    platform.transact(transaction, [self = shared_from_this(), duty, transaction](const Ports::PlatformReply& reply) {
        if (self->isOver || reply.status == PlatformStatus::Ok || reply.status == PlatformStatus::ComparesFailed)
            return;
        self->logFailed("release", duty, reply.status);
        self->loop.after(storeRetryDelay, [self, duty, transaction] { self->isOver ? void() : self->transactSurely(duty, transaction); });
    });
}

} // namespace Jobs
