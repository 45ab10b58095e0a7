#include "Jobs/Runtime/OwnershipState.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/MemberText.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <string_view>
#include <utility>

namespace Jobs {

using Ports::PlatformStatus;

Ownership::State::State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, OwnershipSettings ownershipSettings, Hooks ownershipHooks)
    : loop(taskLoop)
    , platform(platformPort)
    , settings(std::move(ownershipSettings))
    , hooks(std::move(ownershipHooks))
{
}

void Ownership::State::start()
{
    settledAt = loop.now() + settings.settleTime;
    PrefixFeed::Hooks feedHooks;
    feedHooks.changed = [this](const Ports::KeyValue& pair) { handleKeyChange(pair); };
    feedHooks.removed = [this](const std::string& key) { handleKeyRemoval(key); };
    feedHooks.synced = [this](bool) { evaluateSoon(); };
    feed = std::make_unique<PrefixFeed>(loop, platform, StoreKeys::control, std::move(feedHooks));
    feed->start();
    grant();
    scheduleOverloadCheck();
}

void Ownership::State::scheduleLeaseCall(std::chrono::milliseconds delay, void (State::*step)())
{
    loop.cancel(leaseTimer);
    leaseTimer = loop.after(delay, [self = shared_from_this(), step] {
        if (!self->isOver)
            (self.get()->*step)();
    });
}

void Ownership::State::noteRenewalSent()
{
    if (hooks.renewalSent)
        hooks.renewalSent();
}

void Ownership::State::noteRenewalAnswer(PlatformStatus status)
{
    if (status == PlatformStatus::Ok && hooks.renewalAnswered)
        hooks.renewalAnswered();
}

void Ownership::State::grant()
{
    const auto sentAt = loop.now();
    noteRenewalSent();
    platform.grantLease(settings.leaseTime, [self = shared_from_this(), sentAt](const Ports::PlatformReply& reply) {
        if (self->isOver)
            return;
        self->noteRenewalAnswer(reply.status);
        if (reply.status != PlatformStatus::Ok || reply.lease == 0) {
            self->logFailed("grant", self->settings.self.host, reply.status);
            self->scheduleLeaseCall(storeRetryDelay, &State::grant);
            return;
        }
        self->lease = reply.lease;
        self->recordRenewal(sentAt);
        self->scheduleLeaseCall(self->settings.renewInterval, &State::renew);
        self->registerMember();
    });
}

void Ownership::State::registerMember()
{
    Ports::Transaction transaction;
    transaction.puts = { { StoreKeys::members + settings.self.host, formatMember(settings.self), lease } };
    platform.transact(std::move(transaction), [self = shared_from_this(), sentLease = lease](const Ports::PlatformReply& reply) {
        if (self->isOver || self->lease != sentLease)
            return;
        if (reply.status == PlatformStatus::Ok) {
            self->isRegistered = true;
            writeEvent("ownership", { "registered", self->settings.self.host, { { "lease", std::to_string(sentLease) } } });
            self->reclaim();
            self->evaluateSoon();
        } else if (reply.status == PlatformStatus::ComparesFailed) {
            self->handleLeaseLapse();
        } else {
            self->logFailed("register", self->settings.self.host, reply.status);
            self->registerMemberLater();
        }
    });
}

void Ownership::State::registerMemberLater()
{
    loop.after(storeRetryDelay, [self = shared_from_this(), sentLease = lease] {
        if (!self->isOver && self->lease == sentLease)
            self->registerMember();
    });
}

void Ownership::State::publishLeaving()
{
    Ports::Transaction transaction;
    transaction.puts = { { StoreKeys::members + settings.self.host, formatMember(settings.self), lease } };
    platform.transact(std::move(transaction), [self = shared_from_this()](const Ports::PlatformReply& reply) {
        if (reply.status != PlatformStatus::Ok)
            self->logFailed("publish-leaving", self->settings.self.host, reply.status);
    });
}

void Ownership::State::logFailed(const char* call, const std::string& id, PlatformStatus status)
{
    const auto sinceContact = std::chrono::duration_cast<std::chrono::milliseconds>(loop.now() - lastContact);
    writeEvent("ownership", { "call-failed", id, { { "call", call }, { "status", std::to_string(static_cast<int>(status)) }, { "sinceContactMs", lastContact == Common::Instant() ? "never" : std::to_string(sinceContact.count()) } } });
}

void Ownership::State::renew()
{
    const auto sentAt = loop.now();
    noteRenewalSent();
    platform.renewLease(lease, [self = shared_from_this(), sentAt, sentLease = lease](const Ports::PlatformReply& reply) {
        if (self->isOver || self->lease != sentLease)
            return;
        self->noteRenewalAnswer(reply.status);
        if (reply.status == PlatformStatus::Ok && reply.timeToLive.count() == 0) {
            self->handleLeaseLapse();
            return;
        }
        if (reply.status == PlatformStatus::Ok)
            self->recordRenewal(sentAt);
        else
            self->logFailed("renew", self->settings.self.host, reply.status);
        self->scheduleLeaseCall(reply.status == PlatformStatus::Ok ? self->settings.renewInterval : storeRetryDelay, &State::renew);
    });
}

void Ownership::State::recordRenewal(Common::Instant sentAt)
{
    leaseValidUntil = sentAt + settings.leaseTime;
    lastContact = sentAt; // The answer may have been read long after it arrived.
}

void Ownership::State::handleLeaseLapse()
{
    writeEvent("ownership", { "lease-lapsed", settings.self.host, { { "lease", std::to_string(lease) }, { "duties", std::to_string(ownedDuties.size()) } } });
    loop.cancel(leaseTimer); // A failed registration may find out before the next renewal does.
    lease = 0;
    isRegistered = false;
    leaseValidUntil = {};
    // The leases of other hosts may have lapsed at the same time, and these hosts register again one by one.
    settledAt = loop.now() + settings.lapseSettleTime;
    loseAll("lease-lapsed");
    grant();
}

void Ownership::State::loseAll(const char* reason)
{
    for (const auto& [duty, fence] : std::exchange(ownedDuties, {}))
        loseDuty(duty, fence, reason);
}

void Ownership::State::loseDuty(const std::string& duty, Fence fence, const char* reason)
{
    writeEvent("ownership", { "duty-lost", duty, { { "fence", std::to_string(fence) }, { "reason", reason } } });
    hooks.lost(duty);
}

void Ownership::State::handleKeyChange(const Ports::KeyValue& pair)
{
    const std::string_view key = pair.key;
    if (key.starts_with(StoreKeys::members)) {
        const std::string host(key.substr(std::string_view(StoreKeys::members).size()));
        members[host] = parseMember(host, pair.value);
    } else if (key.starts_with(StoreKeys::owners)) {
        const std::string duty(key.substr(std::string_view(StoreKeys::owners).size()));
        handleOwnerChange(duty, pair.value, static_cast<Fence>(pair.modRevision));
    } else if (key.starts_with(StoreKeys::terms)) {
        terms[std::string(key.substr(std::string_view(StoreKeys::terms).size()))] = pair;
    }
    evaluateSoon();
    hooks.changed();
}

void Ownership::State::handleOwnerChange(const std::string& duty, const std::string& text, Fence fence)
{
    owners[duty] = { text.substr(0, text.find(' ')), fence };
    const auto it = ownedDuties.find(duty);
    if (it != ownedDuties.end() && it->second < fence) {
        const auto lostFence = it->second;
        ownedDuties.erase(it);
        loseDuty(duty, lostFence, "taken-over");
    }
    const bool wasReleased = releasedFences.contains(duty) && fence <= releasedFences.at(duty);
    if (wasReleased)
        return;
    if (text == ownerText())
        becomeHolder(duty, fence); // A claim that was carried out but whose answer was lost.
    else if (!isLeaving && owners[duty].host == settings.self.host && isDuty(duty) && isRegistered)
        claim(duty, fence); // Held by an earlier incarnation of this host, which no longer runs.
}

void Ownership::State::handleKeyRemoval(const std::string& text)
{
    const std::string_view key = text;
    if (key.starts_with(StoreKeys::members)) {
        const std::string host(key.substr(std::string_view(StoreKeys::members).size()));
        members.erase(host);
        // The store may delete keys without revoking their lease, which the next renewal wouldn't show.
        if (host == settings.self.host && std::exchange(isRegistered, false))
            registerMember();
    } else if (key.starts_with(StoreKeys::owners)) {
        const std::string duty(key.substr(std::string_view(StoreKeys::owners).size()));
        owners.erase(duty);
        const auto it = ownedDuties.find(duty);
        if (it != ownedDuties.end()) {
            const auto fence = it->second;
            ownedDuties.erase(it);
            loseDuty(duty, fence, "key-removed");
        }
    } else if (key.starts_with(StoreKeys::terms)) {
        terms.erase(std::string(key.substr(std::string_view(StoreKeys::terms).size())));
    }
    evaluateSoon();
    hooks.changed();
}

Ownership::Ownership(Common::TaskLoop& loop, Ports::PlatformPort& platform, OwnershipSettings settings, Hooks hooks)
    : m_state(std::make_shared<State>(loop, platform, std::move(settings), std::move(hooks)))
{
}

Ownership::~Ownership()
{
    m_state->isOver = true;
    m_state->loop.cancel(m_state->leaseTimer);
    m_state->loop.cancel(m_state->evaluateTimer);
    m_state->loop.cancel(m_state->reevaluateTimer);
    m_state->loop.cancel(m_state->settleTimer);
    m_state->loop.cancel(m_state->overloadTimer);
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
    m_state->evaluateSoon();
}

void Ownership::release(const std::string& duty) { m_state->release(duty, Release::Served); }

void Ownership::retire(const std::string& duty)
{
    if (!m_state->duties.contains(duty))
        m_state->release(duty, Release::Retired);
}

void Ownership::leave()
{
    m_state->isLeaving = true;
    m_state->settings.self.isLeaving = true;
    if (m_state->isRegistered)
        m_state->publishLeaving();
}

const std::map<std::string, MemberInfo>& Ownership::members() const { return m_state->members; }

const std::map<std::string, OwnerInfo>& Ownership::owners() const { return m_state->owners; }

const OwnerInfo* Ownership::ownerOf(const std::string& duty) const
{
    const auto it = m_state->owners.find(duty);
    return it == m_state->owners.end() ? nullptr : &it->second;
}

bool Ownership::owns(const std::string& duty) const { return m_state->ownedDuties.contains(duty); }

bool Ownership::isLeaseValid() const { return m_state->loop.now() < m_state->leaseValidUntil; }

Common::Instant Ownership::lastContact() const { return m_state->lastContact; }

bool Ownership::isRegistered() const { return m_state->isRegistered; }

std::string Ownership::keyOf(const std::string& duty) { return StoreKeys::owners + duty; }

} // namespace Jobs
