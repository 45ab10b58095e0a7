#include "Jobs/Runtime/Ownership.h"

#include "Jobs/Runtime/DutyRanking.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/MemberText.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Jobs {

namespace {

    using Ports::PlatformStatus;

    constexpr std::chrono::milliseconds reconsiderInterval { 500 }; ///< While a duty is without a holder.
    constexpr std::chrono::milliseconds loadCheckInterval { 1000 }; ///< A returning host counts once it has been a member at two checks.
    constexpr std::chrono::milliseconds retryDelay { 400 }; ///< While the store doesn't answer or refuses.

    /// The holder's text in a term that was given up.
    constexpr const char* releasedText = "released";

} // namespace

struct Ownership::State : std::enable_shared_from_this<Ownership::State> {
    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, OwnershipSettings given, Hooks ownershipHooks)
        : loop(taskLoop)
        , platform(platformPort)
        , settings(std::move(given))
        , hooks(std::move(ownershipHooks))
    {
    }

    void start()
    {
        settledAt = loop.now() + settings.settleTime;
        PrefixFeed::Hooks feedHooks;
        feedHooks.changed = [this](const Ports::KeyValue& pair) { keyChanged(pair); };
        feedHooks.removed = [this](const std::string& key) { keyRemoved(key); };
        feedHooks.synced = [this](bool) { considerSoon(); };
        feed = std::make_unique<PrefixFeed>(loop, platform, StoreKeys::control, std::move(feedHooks));
        feed->start();
        grant();
        checkLoadLater();
    }

    void later(std::chrono::milliseconds delay, void (State::*step)())
    {
        loop.cancel(leaseTimer);
        leaseTimer = loop.after(delay, [self = shared_from_this(), step] {
            if (!self->isOver)
                (self.get()->*step)();
        });
    }

    void grant()
    {
        const auto sentAt = loop.now();
        platform.grantLease(settings.leaseTime, [self = shared_from_this(), sentAt](const Ports::PlatformReply& reply) {
            if (self->isOver)
                return;
            if (reply.status != PlatformStatus::Ok || reply.lease == 0) {
                self->logFailed("grant", self->settings.self.host, reply.status);
                self->later(retryDelay, &State::grant);
                return;
            }
            self->lease = reply.lease;
            self->renewed(sentAt);
            self->later(self->settings.renewInterval, &State::renew);
            self->enroll();
        });
    }

    void enroll()
    {
        Ports::Transaction transaction;
        transaction.puts = { { StoreKeys::members + settings.self.host, memberText(settings.self), lease } };
        platform.transact(std::move(transaction), [self = shared_from_this(), given = lease](const Ports::PlatformReply& reply) {
            if (self->isOver || self->lease != given)
                return;
            if (reply.status == PlatformStatus::Ok) {
                self->isRegistered = true;
                writeEvent("ownership", { "registered", self->settings.self.host, { { "lease", std::to_string(given) } } });
                self->reclaim();
                self->considerSoon();
            } else if (reply.status == PlatformStatus::ComparesFailed) {
                self->leaseLapsed();
            } else {
                self->logFailed("register", self->settings.self.host, reply.status);
                self->enrollLater();
            }
        });
    }

    void enrollLater()
    {
        loop.after(retryDelay, [self = shared_from_this(), given = lease] {
            if (!self->isOver && self->lease == given)
                self->enroll();
        });
    }

    /// Best effort: others also see that this host doesn't claim.
    void tellLeaving()
    {
        Ports::Transaction transaction;
        transaction.puts = { { StoreKeys::members + settings.self.host, memberText(settings.self), lease } };
        platform.transact(std::move(transaction), [self = shared_from_this()](const Ports::PlatformReply& reply) {
            if (reply.status != PlatformStatus::Ok)
                self->logFailed("tell-leaving", self->settings.self.host, reply.status);
        });
    }

    /// A call to the store that wasn't carried out, or of which that isn't known.
    void logFailed(const char* call, const std::string& id, PlatformStatus status)
    {
        const auto unheard = std::chrono::duration_cast<std::chrono::milliseconds>(loop.now() - lastContact);
        writeEvent("ownership", { "call-failed", id, { { "call", call }, { "status", std::to_string(static_cast<int>(status)) }, { "unheardMs", lastContact == Common::Instant() ? "never" : std::to_string(unheard.count()) } } });
    }

    void renew()
    {
        const auto sentAt = loop.now();
        platform.renewLease(lease, [self = shared_from_this(), sentAt, given = lease](const Ports::PlatformReply& reply) {
            if (self->isOver || self->lease != given)
                return;
            if (reply.status == PlatformStatus::Ok && reply.timeToLive.count() == 0) {
                self->leaseLapsed();
                return;
            }
            if (reply.status == PlatformStatus::Ok)
                self->renewed(sentAt);
            else
                self->logFailed("renew", self->settings.self.host, reply.status);
            self->later(reply.status == PlatformStatus::Ok ? self->settings.renewInterval : retryDelay, &State::renew);
        });
    }

    void renewed(Common::Instant sentAt)
    {
        leaseSureUntil = sentAt + settings.leaseTime;
        lastContact = loop.now();
    }

    void leaseLapsed()
    {
        writeEvent("ownership", { "lease-lapsed", settings.self.host, { { "lease", std::to_string(lease) }, { "duties", std::to_string(own.size()) } } });
        lease = 0;
        isRegistered = false;
        leaseSureUntil = {};
        // Other hosts' leases may have lapsed with it, and these come back one after the other.
        settledAt = loop.now() + settings.lapseSettleTime;
        loseAll("lease-lapsed");
        grant();
    }

    void loseAll(const char* reason)
    {
        for (const auto& [duty, fence] : std::exchange(own, {}))
            lose(duty, fence, reason);
    }

    void lose(const std::string& duty, Fence fence, const char* reason)
    {
        writeEvent("ownership", { "duty-lost", duty, { { "fence", std::to_string(fence) }, { "reason", reason } } });
        hooks.lost(duty);
    }

    void keyChanged(const Ports::KeyValue& pair)
    {
        const std::string_view key = pair.key;
        if (key.starts_with(StoreKeys::members)) {
            const std::string host(key.substr(std::string_view(StoreKeys::members).size()));
            members[host] = readMember(host, pair.value);
        } else if (key.starts_with(StoreKeys::owners)) {
            const std::string duty(key.substr(std::string_view(StoreKeys::owners).size()));
            ownerChanged(duty, pair.value, static_cast<Fence>(pair.modRevision));
        } else if (key.starts_with(StoreKeys::terms)) {
            terms[std::string(key.substr(std::string_view(StoreKeys::terms).size()))] = pair.value;
        }
        considerSoon();
        hooks.changed();
    }

    void ownerChanged(const std::string& duty, const std::string& text, Fence fence)
    {
        owners[duty] = { text.substr(0, text.find(' ')), fence };
        const auto it = own.find(duty);
        if (it != own.end() && it->second < fence) {
            const auto lostFence = it->second;
            own.erase(it);
            lose(duty, lostFence, "taken");
        }
        const bool wasReleased = released.contains(duty) && fence <= released.at(duty);
        if (wasReleased)
            return;
        if (text == ownerText())
            gained(duty, fence); // A claim whose answer was lost.
        else if (!isLeaving && owners[duty].host == settings.self.host && duties.contains(duty) && isRegistered)
            claim(duty, fence); // Left by this host's earlier incarnation, which is surely gone.
    }

    std::string ownerText() const { return settings.self.host + ' ' + std::to_string(settings.incarnation); }

    void keyRemoved(const std::string& text)
    {
        const std::string_view key = text;
        if (key.starts_with(StoreKeys::members)) {
            const std::string host(key.substr(std::string_view(StoreKeys::members).size()));
            members.erase(host);
            // The store may take keys away and leave their lease; the next renewal wouldn't tell.
            if (host == settings.self.host && std::exchange(isRegistered, false))
                enroll();
        } else if (key.starts_with(StoreKeys::owners)) {
            const std::string duty(key.substr(std::string_view(StoreKeys::owners).size()));
            owners.erase(duty);
            const auto it = own.find(duty);
            if (it != own.end()) {
                const auto fence = it->second;
                own.erase(it);
                lose(duty, fence, "key-removed");
            }
        }
        considerSoon();
        hooks.changed();
    }

    std::string lastHolder(const std::string& duty) const
    {
        const auto term = terms.find(duty);
        return term == terms.end() ? std::string() : term->second.substr(0, term->second.find(' '));
    }

    DutyCounts dutyCounts() const
    {
        DutyCounts counts;
        for (const auto& [duty, owner] : owners)
            ++counts[owner.host];
        return counts;
    }

    bool hasOpenDuty() const
    {
        return std::ranges::any_of(duties, [this](const auto& it) { return !owners.contains(it); });
    }

    void considerSoon()
    {
        if (isLeaving || considerTimer != 0 || !hasOpenDuty())
            return;
        considerTimer = loop.after(std::chrono::milliseconds(1), [self = shared_from_this()] {
            self->considerTimer = 0;
            if (!self->isOver)
                self->consider();
        });
    }

    /// Claims may fail, and what they depend on may come to be known in any order.
    void considerAgain()
    {
        if (!hasOpenDuty() || isLeaving || reconsiderTimer != 0)
            return;
        reconsiderTimer = loop.after(reconsiderInterval, [self = shared_from_this()] {
            self->reconsiderTimer = 0;
            if (!self->isOver)
                self->consider();
        });
    }

    /// Every host gives the open duties out in its mind, in the same way, and takes its own when its turn comes.
    void consider()
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

    void considerOnceSettled()
    {
        loop.cancel(settleTimer);
        settleTimer = loop.after(std::chrono::ceil<std::chrono::milliseconds>(settledAt - loop.now()), [self = shared_from_this()] {
            if (!self->isOver)
                self->considerSoon();
        });
    }

    void checkLoadLater()
    {
        loadTimer = loop.after(loadCheckInterval, [self = shared_from_this()] {
            if (!self->isOver)
                self->checkLoad();
        });
    }

    /// After an outage duties may lie with the hosts that were back first, whatever their strength.
    void checkLoad()
    {
        checkLoadLater();
        const bool isSettled = isRegistered && !isLeaving && feed->isSynced() && !hasOpenDuty();
        const bool wasOverloaded = std::exchange(isAtLimit, isSettled && isOverloaded(settings.self.host, members, dutyCounts()));
        if (wasOverloaded && isAtLimit && hooks.overloaded)
            hooks.overloaded();
    }

    void claimAt(const std::string& duty, std::chrono::milliseconds delay)
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

    Predecessor predecessorOf(const std::string& term) const
    {
        if (term == releasedText)
            return Predecessor::Released;
        return term.starts_with(settings.self.host + ' ') ? Predecessor::Self : Predecessor::Lapsed;
    }

    /// Takes again what this host's earlier incarnation has left, before its lease lapses.
    void reclaim()
    {
        if (isLeaving || !isRegistered)
            return;
        for (const auto& [duty, owner] : owners) {
            if (owner.host == settings.self.host && duties.contains(duty) && !own.contains(duty) && !claims.contains(duty))
                claim(duty, owner.fence);
        }
    }

    /// Takes a duty whose key is at that revision; zero when there is none.
    void claim(const std::string& duty, Fence from)
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

    void claimFailed(const std::string& duty, PlatformStatus status)
    {
        logFailed("claim", duty, status);
        if (status == PlatformStatus::ComparesFailed)
            return;
        // It may have been carried out, of which the feed tells.
        loop.after(retryDelay, [self = shared_from_this()] {
            if (!self->isOver)
                self->considerSoon();
        });
    }

    void gained(const std::string& duty, Fence fence)
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

    void release(const std::string& duty)
    {
        const auto it = own.find(duty);
        if (it == own.end())
            return;
        const auto fence = it->second;
        own.erase(it);
        giveBack(duty, fence, true);
    }

    /// The next holder may rely on the end of a term only where this host has served it: the holder before may go on.
    void giveBack(const std::string& duty, Fence fence, bool hasServed)
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

    /// Tries until it is known to be done, or that it can't be any more.
    void transactSurely(const std::string& duty, const Ports::Transaction& transaction)
    {
        platform.transact(transaction, [self = shared_from_this(), duty, transaction](const Ports::PlatformReply& reply) {
            if (self->isOver || reply.status == PlatformStatus::Ok || reply.status == PlatformStatus::ComparesFailed)
                return;
            self->logFailed("release", duty, reply.status);
            self->loop.after(retryDelay, [self, duty, transaction] { self->isOver ? void() : self->transactSurely(duty, transaction); });
        });
    }

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    OwnershipSettings settings;
    Hooks hooks;
    std::unique_ptr<PrefixFeed> feed;
    std::map<std::string, MemberInfo> members;
    std::map<std::string, OwnerInfo> owners;
    std::map<std::string, Fence> own;
    std::map<std::string, std::string> terms; ///< By duty: its last holder.
    std::map<std::string, Predecessor> predecessors; ///< By duty that was claimed.
    std::map<std::string, Fence> released; ///< Events of these and older keys are late ones.
    std::set<std::string> duties;
    std::set<std::string> claims; ///< Duties that a claim is waiting or under way for.
    Ports::LeaseId lease = 0;
    Common::Instant settledAt {}; ///< From then on the members that are known are taken for all that there are.
    Common::Instant leaseSureUntil {};
    Common::Instant lastContact {};
    Common::TaskLoop::TimerId leaseTimer = 0;
    Common::TaskLoop::TimerId considerTimer = 0;
    Common::TaskLoop::TimerId reconsiderTimer = 0;
    Common::TaskLoop::TimerId settleTimer = 0;
    Common::TaskLoop::TimerId loadTimer = 0;
    bool isRegistered = false;
    bool isLeaving = false;
    bool isAtLimit = false; ///< Another host would be better at the last check.
    bool isOver = false;
};

Ownership::Ownership(Common::TaskLoop& loop, Ports::PlatformPort& platform, OwnershipSettings settings, Hooks hooks)
    : m_state(std::make_shared<State>(loop, platform, std::move(settings), std::move(hooks)))
{
}

Ownership::~Ownership()
{
    m_state->isOver = true;
    m_state->loop.cancel(m_state->leaseTimer);
    m_state->loop.cancel(m_state->considerTimer);
    m_state->loop.cancel(m_state->reconsiderTimer);
    m_state->loop.cancel(m_state->settleTimer);
    m_state->loop.cancel(m_state->loadTimer);
    m_state->feed.reset();
    m_state->hooks = {};
}

void Ownership::start() { m_state->start(); }

void Ownership::setDuties(const std::set<std::string>& duties)
{
    if (m_state->duties == duties)
        return;
    m_state->duties = duties;
    m_state->reclaim();
    m_state->considerSoon();
}

void Ownership::release(const std::string& duty) { m_state->release(duty); }

void Ownership::leave()
{
    m_state->isLeaving = true;
    m_state->settings.self.isLeaving = true;
    if (m_state->isRegistered)
        m_state->tellLeaving();
}

const std::map<std::string, MemberInfo>& Ownership::members() const { return m_state->members; }

const std::map<std::string, OwnerInfo>& Ownership::owners() const { return m_state->owners; }

const OwnerInfo* Ownership::ownerOf(const std::string& duty) const
{
    const auto it = m_state->owners.find(duty);
    return it == m_state->owners.end() ? nullptr : &it->second;
}

bool Ownership::owns(const std::string& duty) const { return m_state->own.contains(duty); }

bool Ownership::isLeaseSure() const { return m_state->loop.now() < m_state->leaseSureUntil; }

Common::Instant Ownership::lastContact() const { return m_state->lastContact; }

bool Ownership::isRegistered() const { return m_state->isRegistered; }

std::string Ownership::keyOf(const std::string& duty) { return StoreKeys::owners + duty; }

} // namespace Jobs
